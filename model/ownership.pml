/*
 * Pins of one contested bucket, copied by its owner to three replicas under ballots, with take-over
 * (docs/PROTOCOL.md, section 6).
 *
 * One flow: a new one, one that a node opened on the base shortly before the change, or an old one. Ballot b belongs to
 * node (b - 1) % 3; ballot 1 serves at the start. Any node may stop or pause at any point, unaware of what happens meanwhile,
 * and any replica may ask for promises at any time. Messages are facts that a receiver may see at any later time or never.
 */

#include "common.pml"

#ifndef BALLOTS
#define BALLOTS 3
#endif
#ifndef OPENING_COPIES
#define OPENING_COPIES 2
#endif
#ifndef DATA_COPIES
#define DATA_COPIES 1
#endif

#define REPLICAS 3
#define SLOTS    5 /* ballots are counted from one; BALLOTS is at most four */
#define HOLDER(ballot) (((ballot) - 1) % REPLICAS)
#define AT(ballot, replica) ((ballot) * REPLICAS + (replica))
#define BIT(replica) (1 << (replica))
#define MAJORITY(set) ((set) == 3 || (set) >= 5) /* of three, as bits */

#define IDLE      0
#define PREPARING 1
#define SERVING   2

/* The replicas. */
byte promised[REPLICAS];
byte accepted_ballot[REPLICAS];
byte accepted_verdict[REPLICAS];

/* The ballots and their messages. */
byte phase[SLOTS];
byte promises[SLOTS]; /* replicas that promised, as bits */
byte promise_ballot[SLOTS * REPLICAS];
byte promise_verdict[SLOTS * REPLICAS];
byte proposal[SLOTS];
byte accepted[SLOTS]; /* replicas that accepted the proposal, as bits */
byte listed; /* replicas that hold the list although no ballot guards it (mutant only) */
bool reading[SLOTS]; /* a packet of a flow without a pin waits for the confirmation of the owner */
byte confirmed[SLOTS]; /* replicas that confirmed it, as bits */
byte merged[SLOTS]; /* pin that an owner used without copying it (mutants only) */

/* The flow and the change of generation. */
byte opening_copies = OPENING_COPIES;
byte data_copies = DATA_COPIES;
bool adopted; /* the node that may have opened the flow holds n+1 */
bool opened_recently; /* and it opened the flow */
bool barrier;

/* What the checks look at. */
byte reached;
bool refused;
byte chosen;

inline forward(backend) {
    reached = reached | backend;
    CHECK(ONE_BACKEND, reached != (BACKEND_A | BACKEND_B));
    CHECK(NOT_RUN, !(refused && reached))
}

inline act_on(verdict) {
    if
    :: verdict == REFUSED -> refused = true; CHECK(NOT_RUN, !reached)
    :: else -> forward(verdict)
    fi
}

/* The replica of the holder has promised nothing higher, as far as the holder knows. */
#define STILL_OWNER(ballot) (phase[ballot] == SERVING && promised[HOLDER(ballot)] == ballot)
#ifdef NO_PIN_REPLICATION
#define COMMITTED(ballot) (proposal[ballot] != NO_BACKEND)
#else
#define COMMITTED(ballot) (proposal[ballot] != NO_BACKEND && MAJORITY(accepted[ballot]))
#endif
#ifdef LISTS_WITHOUT_BALLOT
#define LIST_CONFIRMED MAJORITY(listed)
#else
#define LIST_CONFIRMED (MAJORITY(accepted[1]) && proposal[1] == BACKEND_A \
        || MAJORITY(accepted[2]) && proposal[2] == BACKEND_A \
        || MAJORITY(accepted[3]) && proposal[3] == BACKEND_A \
        || MAJORITY(accepted[4]) && proposal[4] == BACKEND_A)
#endif

inline note_chosen(ballot) {
    if
    :: MAJORITY(accepted[ballot]) ->
        CHECK(PINS_AGREE, chosen == NO_BACKEND || chosen == proposal[ballot]);
        chosen = proposal[ballot]
    :: else -> skip
    fi
}

/* A replica answers a request for promises, or a pin. */
proctype Replica(byte replica; byte ballot) {
end:
    do
    :: atomic { phase[ballot] == PREPARING && promised[replica] < ballot ->
        promised[replica] = ballot;
        promises[ballot] = promises[ballot] | BIT(replica);
        promise_ballot[AT(ballot, replica)] = accepted_ballot[replica];
        promise_verdict[AT(ballot, replica)] = accepted_verdict[replica];
#ifdef LISTS_WITHOUT_BALLOT
        if
        :: accepted_verdict[replica] == NO_BACKEND && (listed & BIT(replica)) ->
            promise_ballot[AT(ballot, replica)] = 1;
            promise_verdict[AT(ballot, replica)] = BACKEND_A
        :: else -> skip
        fi
#endif
        }
#ifdef LISTS_WITHOUT_BALLOT
    :: atomic { adopted && opened_recently && !(listed & BIT(replica)) -> listed = listed | BIT(replica) }
#endif
#ifdef NO_BALLOT_CHECK
    :: atomic { proposal[ballot] != NO_BACKEND && !(accepted[ballot] & BIT(replica)) ->
#else
    :: atomic { proposal[ballot] != NO_BACKEND && promised[replica] <= ballot && !(accepted[ballot] & BIT(replica)) ->
        promised[replica] = ballot;
#endif
        accepted_ballot[replica] = ballot;
        accepted_verdict[replica] = proposal[ballot];
        accepted[ballot] = accepted[ballot] | BIT(replica);
        note_chosen(ballot) }
    /* An empty batch asks whether the ballot still stands. */
#ifdef EARLIER_CONFIRMATION
    :: atomic { phase[ballot] == SERVING && promised[replica] <= ballot && !(confirmed[ballot] & BIT(replica)) ->
#else
    :: atomic { reading[ballot] && promised[replica] <= ballot && !(confirmed[ballot] & BIT(replica)) ->
#endif
        promised[replica] = ballot;
        confirmed[ballot] = confirmed[ballot] | BIT(replica) }
    od
}

inline consider(ballot, replica) {
    if
    :: (promises[ballot] & BIT(replica)) && promise_ballot[AT(ballot, replica)] > best ->
        best = promise_ballot[AT(ballot, replica)];
        verdict = promise_verdict[AT(ballot, replica)]
    :: else -> skip
    fi
}

proctype Owner(byte ballot) {
    byte best = 0;
    byte verdict = 0;
end:
    do
    :: atomic { phase[ballot] == IDLE && ballot > promised[HOLDER(ballot)] -> phase[ballot] = PREPARING }
    :: atomic { phase[ballot] == PREPARING && MAJORITY(promises[ballot]) && promised[HOLDER(ballot)] == ballot ->
#ifdef MERGE_ANY
        if
        :: (promises[ballot] & BIT(0)) -> verdict = promise_verdict[AT(ballot, 0)]
        :: (promises[ballot] & BIT(1)) -> verdict = promise_verdict[AT(ballot, 1)]
        :: (promises[ballot] & BIT(2)) -> verdict = promise_verdict[AT(ballot, 2)]
        fi;
#else
        consider(ballot, 0);
        consider(ballot, 1);
        consider(ballot, 2);
#endif
#ifdef SERVE_MERGED
        merged[ballot] = verdict;
        accepted_verdict[HOLDER(ballot)] = (verdict == NO_BACKEND -> accepted_verdict[HOLDER(ballot)] : verdict);
        accepted_ballot[HOLDER(ballot)] = (verdict == NO_BACKEND -> accepted_ballot[HOLDER(ballot)] : ballot);
#else
        proposal[ballot] = verdict; /* copied again under the new ballot before use */
#endif
        best = 0;
        verdict = 0;
        promise_ballot[AT(ballot, 0)] = 0; promise_verdict[AT(ballot, 0)] = 0;
        promise_ballot[AT(ballot, 1)] = 0; promise_verdict[AT(ballot, 1)] = 0;
        promise_ballot[AT(ballot, 2)] = 0; promise_verdict[AT(ballot, 2)] = 0;
        phase[ballot] = SERVING }

    /* A handed-over list becomes pins to the base. */
#ifdef LISTS_WITHOUT_BALLOT
    :: atomic { STILL_OWNER(ballot) && (listed & BIT(HOLDER(ballot))) && proposal[ballot] == NO_BACKEND ->
        proposal[ballot] = BACKEND_A }
#else
    :: atomic { STILL_OWNER(ballot) && adopted && opened_recently && !barrier && proposal[ballot] == NO_BACKEND &&
            merged[ballot] == NO_BACKEND -> proposal[ballot] = BACKEND_A }
#endif

    /* An opening packet of the flow. */
    :: atomic { STILL_OWNER(ballot) && opening_copies > 0 ->
        if
        :: merged[ballot] != NO_BACKEND -> opening_copies--; act_on(merged[ballot])
        :: merged[ballot] == NO_BACKEND && COMMITTED(ballot) -> opening_copies--; act_on(proposal[ballot])
        :: merged[ballot] == NO_BACKEND && proposal[ballot] == NO_BACKEND -> /* the owner may not have heard that the barrier passed */
#ifdef BASE_WITHOUT_PIN
            opening_copies--;
            forward(BACKEND_A);
            merged[ballot] = BACKEND_A
#else
            proposal[ballot] = BACKEND_A
#endif
        :: merged[ballot] == NO_BACKEND && proposal[ballot] == NO_BACKEND && barrier ->
            if
            :: proposal[ballot] = BACKEND_B
            :: proposal[ballot] = REFUSED
            fi
        :: else -> skip /* wait for the majority */
        fi }

    /* Any other packet of the flow. */
    :: atomic { STILL_OWNER(ballot) && data_copies > 0 && (reached || refused) ->
        if
        :: merged[ballot] != NO_BACKEND -> data_copies--; act_on(merged[ballot])
        :: merged[ballot] == NO_BACKEND && COMMITTED(ballot) -> data_copies--; act_on(proposal[ballot])
        :: merged[ballot] == NO_BACKEND && proposal[ballot] == NO_BACKEND && !reading[ballot] ->
            data_copies--;
#ifdef NO_READ_CONFIRMATION
            forward(BACKEND_A)
#else
            reading[ballot] = true
#endif
        :: else -> skip
        fi }
    /* The verdict was made before the confirmation was asked for, and holds whatever happened since. */
    :: atomic { reading[ballot] && MAJORITY(confirmed[ballot]) ->
        reading[ballot] = false;
        confirmed[ballot] = 0;
        forward(BACKEND_A) }
    od
}

/* The node that opens the flow on the base before it learns n+1, and the barrier. */
proctype Change() {
end:
    do
    :: atomic { !adopted && opening_copies > 0 ->
        opening_copies--;
        opened_recently = true;
        forward(BACKEND_A) }
    :: atomic { !adopted -> adopted = true }
    :: atomic { adopted && !barrier && (!opened_recently || LIST_CONFIRMED) -> barrier = true }
    od
}

init {
    byte ballot = 1;
    atomic {
        promised[0] = 1; promised[1] = 1; promised[2] = 1;
        phase[1] = SERVING;
        do
        :: ballot <= BALLOTS ->
            run Owner(ballot);
            run Replica(0, ballot);
            run Replica(1, ballot);
            run Replica(2, ballot);
            ballot++
        :: else -> break
        od;
        if
        :: skip /* a new flow, or one that is opened before the change */
        :: opening_copies = 0; forward(BACKEND_A) /* an old one */
        fi;
        run Change()
    }
}
