/*
 * Operators that change one object (docs/PROTOCOL.md, section 1). Its content is the set of operations that it contains, so
 * that an overwritten one shows. A write may take effect at any time after it was sent, also when its sender has given up on
 * it; it may be lost, and so may its answer.
 */

#include "common.pml"

#ifndef ATTEMPTS
#define ATTEMPTS 2 /* of an operator, to send one write */
#endif

#define OPERATORS  3
#define REVISIONS  (OPERATORS + 1)
#define BIT(index) (1 << (index))

/* A request to the store, and its answer. */
#define IDLE          0
#define SENT          1
#define TAKEN         2
#define REFUSED_WRITE 3

/* What an operator is told. */
#define CONFLICT 1
#define ACCEPTED 2
#define UNKNOWN  3

/* The object. */
byte revision;
byte operations[REVISIONS];
byte author[REVISIONS]; /* operation id of the revision, counted from one */

/* Operators. */
byte operator_write[OPERATORS];
byte operator_read[OPERATORS]; /* the revision that the write follows */
byte operator_late[OPERATORS]; /* copies of the write that the operator gave up on */
byte told[OPERATORS];

#define CONTAINED(operator) (told[operator] != ACCEPTED || (operations[revision] & BIT(operator)))

inline tell(outcome) {
    told[operator] = outcome;
    CHECK(NEVER_LOST, CONTAINED(operator));
    CHECK(CONFLICT_IS_VOID, outcome != CONFLICT || !(operations[revision] & BIT(operator)))
}

inline write_object() {
    CHECK(CONFLICT_IS_VOID, told[operator] != CONFLICT);
    operations[revision + 1] = operations[operator_read[operator]] | BIT(operator);
    author[revision + 1] = operator + 1;
    revision++;
    CHECK(NEVER_LOST, CONTAINED(0) && CONTAINED(1) && CONTAINED(2))
}

#ifdef NO_OBJECT_CONDITION
#define IS_CURRENT (author[revision] != operator + 1 && revision < REVISIONS - 1)
#else
#define IS_CURRENT (operator_read[operator] == revision)
#endif

/* One operator, one change of the object. */
proctype Operator(byte operator) {
    byte attempts = 0;
    bool answer_lost = false;
    bool reading = false;
    operator_read[operator] = revision; /* taken when the operator starts, which may be late */
end:
    do
    :: atomic { told[operator] == 0 && !reading && operator_write[operator] == IDLE && attempts < ATTEMPTS ->
        attempts++;
        operator_write[operator] = SENT }
    /* The store. */
    :: atomic { operator_write[operator] == SENT ->
        if
        :: IS_CURRENT -> write_object(); operator_write[operator] = TAKEN
        :: else -> operator_write[operator] = REFUSED_WRITE
        fi }
    :: atomic { operator_late[operator] > 0 ->
        operator_late[operator]--;
        if
        :: IS_CURRENT -> write_object()
        :: else -> skip
        fi }
    /* Its answer. */
    :: atomic { operator_write[operator] == TAKEN -> operator_write[operator] = IDLE; tell(ACCEPTED) }
    :: atomic { operator_write[operator] == REFUSED_WRITE -> operator_write[operator] = IDLE; reading = true }
    /* No answer. */
    :: atomic { operator_write[operator] != IDLE ->
        if
        :: operator_write[operator] == SENT -> operator_late[operator]++
        :: true -> skip
        fi;
        operator_write[operator] = IDLE;
#ifdef NO_READ_BACK
        tell(CONFLICT)
#else
        answer_lost = true;
        reading = true
#endif
        }
    /* Reading back. */
    :: atomic { reading ->
        reading = false;
        if
        :: author[revision] == operator + 1 -> tell(ACCEPTED)
        :: author[revision] != operator + 1 && operator_read[operator] == revision ->
            if
            :: attempts < ATTEMPTS -> skip /* try again on the same condition */
            :: else -> tell(UNKNOWN)
            fi
        :: else ->
            if
#ifndef OVERTAKEN_IS_CONFLICT
            :: answer_lost -> tell(UNKNOWN) /* the write may be one that the newer revision contains */
            :: !answer_lost -> tell(CONFLICT)
#else
            :: tell(CONFLICT)
#endif
            fi
        fi }
    od
}

init {
    atomic {
        run Operator(0);
        run Operator(1);
        run Operator(2)
    }
}
