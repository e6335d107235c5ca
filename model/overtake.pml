/*
 * One bucket over several generations: contested, retargeted while it is contested, settling, clean, contested again
 * (docs/PROTOCOL.md, sections 2 to 4).
 *
 * Generation 0 is clean on A. A publisher appends generations that are allowed by the content of the newest. Nodes 0
 * and 1 and the owner adopt the newest at any later time, so they skip numbers. Pins are replicated (ownership.pml), so the owner
 * is one process. One flow: an old one on A, or one that opens at any time. What a member knows of
 * others' acknowledgements and reports is taken as true when it is used.
 */

#include "common.pml"

#define GENERATIONS 4
#ifndef OPENING_COPIES
#define OPENING_COPIES 2
#endif
#ifndef DATA_COPIES
#define DATA_COPIES 1
#endif

#define BACKEND_C 8
#define NODES 3
#define OWNER 2

/* Published generations. */
byte newest;
byte base[GENERATIONS]; /* NO_BACKEND where the bucket is clean */
byte target[GENERATIONS];
byte contested_since[GENERATIONS];

/* Nodes. */
byte held[NODES];
byte acknowledged[NODES];
byte known[NODES];

/* The owner, itself node 2. */
byte pin;
bool opened_recently;

/* Packets: in the fabric, and relayed by the sender's generation. */
byte opening_copies = OPENING_COPIES;
byte data_copies = DATA_COPIES;
byte relayed_opening[GENERATIONS];
byte relayed_data[GENERATIONS];

/* What the checks look at. */
byte reached;
bool refused;

#define CLEAN(generation) (base[generation] == NO_BACKEND)
#define ALL_ACKNOWLEDGED(generation) \
    (acknowledged[0] >= generation && acknowledged[1] >= generation && acknowledged[2] >= generation)
#define RELAYS(queue) (queue[0] + queue[1] + queue[2] + queue[3] > 0)
#define RECENT (opening_copies > 0 || RELAYS(relayed_opening))
#define LIVE (RECENT || data_copies > 0 || RELAYS(relayed_data))
/* No live flow lives anywhere but on `backend`. */
#define SETTLED(backend) (!LIVE || (!refused && pin != REFUSED && (reached | pin | backend) == backend))

inline forward(backend) {
    reached = reached | backend;
    CHECK(ONE_BACKEND, reached == BACKEND_A || reached == BACKEND_B || reached == BACKEND_C);
    CHECK(NOT_RUN, !refused)
}

inline refuse() {
    refused = true;
    CHECK(NOT_RUN, !reached)
}

inline publish(new_base, new_target, since) {
    base[newest + 1] = new_base;
    target[newest + 1] = new_target;
    contested_since[newest + 1] = since;
    newest++
}

inline other_target() {
    if
    :: target[newest] != BACKEND_A -> choice = BACKEND_A
    :: target[newest] != BACKEND_B -> choice = BACKEND_B
    :: target[newest] != BACKEND_C -> choice = BACKEND_C
    fi
}

proctype Publisher() {
    byte choice = 0;
end:
    do
    /* Change of the target. */
    :: atomic { newest < GENERATIONS - 1 && CLEAN(newest) ->
        other_target();
        publish(target[newest], choice, newest + 1);
        choice = 0 }
    :: atomic { newest < GENERATIONS - 1 && !CLEAN(newest) ->
        other_target();
#ifdef BASE_MOVES
        publish(target[newest], choice, contested_since[newest]);
#else
        publish(base[newest], choice, contested_since[newest]);
#endif
        choice = 0 }
#ifdef ONE_STEP_CLEAN
    :: atomic { newest < GENERATIONS - 1 && !CLEAN(newest) && ALL_ACKNOWLEDGED(newest) && SETTLED(target[newest]) ->
        publish(NO_BACKEND, target[newest], 0) }
#else
    /* All members reported the bucket settled: from now on nothing but the target is possible. */
    :: atomic { newest < GENERATIONS - 1 && !CLEAN(newest) && base[newest] != target[newest] &&
#ifndef SETTLE_WITHOUT_REPORTS
            SETTLED(target[newest]) &&
#endif
            ALL_ACKNOWLEDGED(newest) ->
        publish(target[newest], target[newest], contested_since[newest]) }
    /* And the barrier of the settling generation passed. */
    :: atomic { newest < GENERATIONS - 1 && !CLEAN(newest) && base[newest] == target[newest] &&
#ifndef CLEAN_WITHOUT_REPORTS
            SETTLED(target[newest]) &&
#endif
#ifdef CLEAN_WITHOUT_BARRIER
            true ->
#else
            ALL_ACKNOWLEDGED(newest) ->
#endif
        publish(NO_BACKEND, target[newest], 0) }
#endif
    od
}

proctype Node(byte node) {
end:
    do
    /* Adopting, with the handing-over of what was opened while the bucket was clean. */
    :: atomic { held[node] < newest ->
        if
        :: CLEAN(held[node]) && !CLEAN(newest) && known[node] != NO_BACKEND && RECENT ->
            opened_recently = true;
            assert(known[node] == base[newest])
        :: else -> skip
        fi;
        if
        :: node == OWNER && CLEAN(newest) -> pin = NO_BACKEND; opened_recently = false
        :: else -> skip
        fi;
        held[node] = newest }
    :: atomic { acknowledged[node] < held[node] -> acknowledged[node] = held[node] }

    :: atomic { opening_copies > 0 ->
        opening_copies--;
        if
        :: known[node] != NO_BACKEND -> forward(known[node])
        :: known[node] == NO_BACKEND && CLEAN(held[node]) ->
            forward(target[held[node]]);
            known[node] = target[held[node]]
        :: else -> relayed_opening[held[node]]++
        fi }
    :: atomic { data_copies > 0 && (reached || refused) ->
        data_copies--;
        if
        :: known[node] != NO_BACKEND -> forward(known[node])
        :: known[node] == NO_BACKEND && CLEAN(held[node]) -> forward(target[held[node]])
        :: else -> relayed_data[held[node]]++
        fi }
    od
}

inline open(backend) {
    pin = backend;
    forward(backend)
}

/* An owner takes no relayed packet from a generation above its own: it has to learn that first. */
#define MAY_TAKE(generation) (generation <= held[OWNER])

inline own_opening() {
    if
    :: CLEAN(held[OWNER]) ->
        forward(target[held[OWNER]]);
        known[OWNER] = target[held[OWNER]]
    :: !CLEAN(held[OWNER]) && pin == REFUSED -> refuse()
    :: !CLEAN(held[OWNER]) && pin != REFUSED && pin != NO_BACKEND -> forward(pin)
    :: !CLEAN(held[OWNER]) && pin == NO_BACKEND ->
        if
        :: opened_recently || !ALL_ACKNOWLEDGED(contested_since[held[OWNER]]) -> open(base[held[OWNER]])
        :: else ->
            if
            :: open(target[held[OWNER]])
#ifdef REFUSE_WHILE_SETTLING
            :: pin = REFUSED; refuse()
#else
            :: base[held[OWNER]] != target[held[OWNER]] -> pin = REFUSED; refuse()
#endif
            fi
        fi
    fi
}

inline own_data() {
    if
    :: CLEAN(held[OWNER]) -> forward(target[held[OWNER]])
    :: !CLEAN(held[OWNER]) && pin == REFUSED -> refuse()
    :: !CLEAN(held[OWNER]) && pin != REFUSED && pin != NO_BACKEND -> forward(pin)
    :: !CLEAN(held[OWNER]) && pin == NO_BACKEND -> forward(base[held[OWNER]])
    fi
}

proctype Owner() {
end:
    do
    :: atomic { relayed_opening[0] > 0 && MAY_TAKE(0) -> relayed_opening[0]--; own_opening() }
    :: atomic { relayed_opening[1] > 0 && MAY_TAKE(1) -> relayed_opening[1]--; own_opening() }
    :: atomic { relayed_opening[2] > 0 && MAY_TAKE(2) -> relayed_opening[2]--; own_opening() }
    :: atomic { relayed_opening[3] > 0 && MAY_TAKE(3) -> relayed_opening[3]--; own_opening() }
    :: atomic { relayed_data[0] > 0 && MAY_TAKE(0) -> relayed_data[0]--; own_data() }
    :: atomic { relayed_data[1] > 0 && MAY_TAKE(1) -> relayed_data[1]--; own_data() }
    :: atomic { relayed_data[2] > 0 && MAY_TAKE(2) -> relayed_data[2]--; own_data() }
    :: atomic { relayed_data[3] > 0 && MAY_TAKE(3) -> relayed_data[3]--; own_data() }
    /* Lost, or dropped as too old. */
    :: atomic { relayed_opening[0] > 0 -> relayed_opening[0]-- }
    :: atomic { relayed_opening[1] > 0 -> relayed_opening[1]-- }
    :: atomic { relayed_opening[2] > 0 -> relayed_opening[2]-- }
    :: atomic { relayed_opening[3] > 0 -> relayed_opening[3]-- }
    :: atomic { opening_copies > 0 -> opening_copies-- } /* lost in the fabric */
    :: atomic { data_copies > 0 && reached -> data_copies-- } /* the flow ends */
    od
}

init {
    atomic {
        target[0] = BACKEND_A;
        if
        :: skip /* a flow that opens at any time */
        :: opening_copies = 0; forward(BACKEND_A) /* an old one */
        fi;
        run Publisher();
        run Node(0);
        run Node(1);
        run Node(2);
        run Owner()
    }
}
