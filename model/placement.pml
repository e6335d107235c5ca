/*
 * Change of generation n to n+1 for one bucket whose target moves from A to B
 * (docs/PROTOCOL.md, section 3).
 *
 * Nodes 0, 1 and 2; node 2 owns the bucket. Node 0 may be removed as failed before it acknowledges; it may be dead, or
 * paused and run on later, with its old generation. Control messages are monotone facts that a receiver may see at any
 * later time or never, which covers loss, resending, duplicates and reordering. Packets are copies in the fabric and in
 * the relay queue to the owner, delivered in any order or dropped.
 */

#include "common.pml"

#ifndef FLOWS
#define FLOWS 1
#endif
#ifndef OPENING_COPIES
#define OPENING_COPIES 3
#endif
#ifndef DATA_COPIES
#define DATA_COPIES 2
#endif

#define NODES 3
#define OWNER 2
#define AT(node, flow) ((node) * FLOWS + (flow))

/* The fabric and the relay queues. */
byte opening_copies[FLOWS];
byte data_copies[FLOWS];
byte relayed_opening[NODES * FLOWS];
byte relayed_data[NODES * FLOWS];

/* The nodes. */
bool published;
bool adopted[NODES];      /* holds n+1 */
bool acknowledged[NODES];
byte known[NODES * FLOWS]; /* flow table: the backend of a flow, or NO_BACKEND */
bool handed_over[NODES * FLOWS];
bool leased[NODES];

/* The owner. */
bool list_held[NODES];
bool opened_recently[FLOWS];
byte pin[FLOWS];

/* Removal of node 0 by failure. */
bool removed;
bool lease_lapsed;
bool opened_before_lapse[FLOWS];
bool horizon_passed;

/* What the checks look at. */
byte reached[FLOWS]; /* backends that got a packet of the flow, as bits */
bool refused[FLOWS]; /* its caller was told "not run" */

#define NODE_SETTLED(node) (acknowledged[node] || ((node) == 0 && removed && horizon_passed))
#ifdef NO_BARRIER
#define BARRIER true
#else
#define BARRIER (NODE_SETTLED(0) && NODE_SETTLED(1) && NODE_SETTLED(2))
#endif

/*
 * Copies of an opening packet last for the delay horizon: a flow is recently opened while one is left. The horizon covers
 * the queues of the nodes too, since a node drops opening packets that waited in it too long.
 */
#ifdef NO_QUEUE_AGE
#define RECENT(flow) (opening_copies[flow] > 0)
#else
#define RECENT(flow) (opening_copies[flow] > 0 || relayed_opening[AT(0, flow)] > 0 \
        || relayed_opening[AT(1, flow)] > 0 || relayed_opening[AT(2, flow)] > 0)
#endif

inline forward(flow, backend) {
    CHECK(NO_NEW_ON_LEAVING, !(backend == BACKEND_A && reached[flow] == 0 && BARRIER));
    reached[flow] = reached[flow] | backend;
    CHECK(ONE_BACKEND, reached[flow] != (BACKEND_A | BACKEND_B));
    CHECK(NOT_RUN, !(refused[flow] && reached[flow]))
}

inline refuse(flow) {
    refused[flow] = true;
    CHECK(NOT_RUN, !reached[flow])
}

inline forward_and_learn(node, flow, backend) {
    forward(flow, backend);
    known[AT(node, flow)] = backend
}

/* Step 1: the traffic threads switch and list what they opened within the delay horizon. */
inline adopt(node) {
    flow = 0;
    do
    :: flow < FLOWS ->
#ifndef NO_HANDOVER_LIST
        handed_over[AT(node, flow)] = known[AT(node, flow)] != NO_BACKEND && RECENT(flow);
#endif
        flow++
    :: else -> break
    od;
    flow = 0;
    adopted[node] = true
}

inline receive_opening(node, flow) {
    opening_copies[flow]--;
    if
    :: known[AT(node, flow)] != NO_BACKEND -> forward(flow, known[AT(node, flow)])
    :: else ->
        if
#ifdef NO_FENCING
        :: !adopted[node] -> forward_and_learn(node, flow, BACKEND_A)
#else
        :: !adopted[node] && leased[node] -> forward_and_learn(node, flow, BACKEND_A)
        :: !adopted[node] && !leased[node] -> skip
#endif
        :: adopted[node] -> relayed_opening[AT(node, flow)]++
        fi
    fi
}

inline receive_data(node, flow) {
    data_copies[flow]--;
    if
    :: known[AT(node, flow)] != NO_BACKEND -> forward(flow, known[AT(node, flow)])
    :: else ->
        if
#ifdef UNFENCED_TABLE
        :: !adopted[node] -> forward(flow, BACKEND_A)
#else
        :: !adopted[node] && leased[node] -> forward(flow, BACKEND_A)
        :: !adopted[node] && !leased[node] -> skip
#endif
        :: adopted[node] -> relayed_data[AT(node, flow)]++
        fi
    fi
}

/* Steps 4 and 5 for an opening packet. */
inline own_opening(node, flow) {
    relayed_opening[AT(node, flow)]--;
    if
    :: pin[flow] == REFUSED -> refuse(flow)
    :: pin[flow] == BACKEND_A || pin[flow] == BACKEND_B -> forward_and_learn(node, flow, pin[flow])
    :: pin[flow] == NO_BACKEND && opened_recently[flow] -> forward_and_learn(node, flow, BACKEND_A)
    :: pin[flow] == NO_BACKEND && !opened_recently[flow] && !(BARRIER) ->
        if
        :: opened_recently[flow] = true;
            forward_and_learn(node, flow, BACKEND_A)
        :: skip /* the base is dead */
#ifdef EARLY_REFUSAL
        :: pin[flow] = REFUSED;
            refuse(flow)
#endif
        fi
    :: pin[flow] == NO_BACKEND && !opened_recently[flow] && (BARRIER) ->
        if
        :: pin[flow] = BACKEND_B;
            forward_and_learn(node, flow, BACKEND_B)
#ifndef NO_STICKY_REFUSAL
        :: pin[flow] = REFUSED;
            refuse(flow)
#else
        :: refuse(flow)
#endif
        fi
    fi
}

inline own_data(node, flow) {
    relayed_data[AT(node, flow)]--;
    if
    :: pin[flow] == REFUSED -> refuse(flow)
    :: pin[flow] == BACKEND_A || pin[flow] == BACKEND_B -> forward_and_learn(node, flow, pin[flow])
    :: pin[flow] == NO_BACKEND -> forward_and_learn(node, flow, BACKEND_A)
    fi
}

proctype Node(byte node) {
    byte flow = 0;
end:
    do
    :: atomic { published && !adopted[node] -> adopt(node) }
    :: atomic { adopted[node] && !acknowledged[node] && list_held[node] -> acknowledged[node] = true }
#ifdef ACKNOWLEDGE_FIRST
    :: atomic { adopted[node] && !acknowledged[node] -> acknowledged[node] = true }
#endif
    :: atomic { opening_copies[0] > 0 -> receive_opening(node, 0) }
    :: atomic { data_copies[0] > 0 && (reached[0] || refused[0]) -> receive_data(node, 0) }
#if FLOWS > 1
    :: atomic { opening_copies[1] > 0 -> receive_opening(node, 1) }
    :: atomic { data_copies[1] > 0 && (reached[1] || refused[1]) -> receive_data(node, 1) }
#endif
    od
}

/* The owner's side of the queue from `node`. */
proctype Owner(byte node) {
    byte flow = 0;
end:
    do
    :: atomic { adopted[OWNER] && adopted[node] && !list_held[node] ->
        flow = 0;
        do
        :: flow < FLOWS ->
            opened_recently[flow] = opened_recently[flow] || handed_over[AT(node, flow)];
            flow++
        :: else -> break
        od;
        flow = 0;
        list_held[node] = true }
    :: atomic { adopted[OWNER] && relayed_opening[AT(node, 0)] > 0 -> own_opening(node, 0) }
    :: atomic { relayed_opening[AT(node, 0)] > 0 -> relayed_opening[AT(node, 0)]-- } /* lost, or too old */
    :: atomic { adopted[OWNER] && relayed_data[AT(node, 0)] > 0 -> own_data(node, 0) }
    :: atomic { relayed_data[AT(node, 0)] > 0 -> relayed_data[AT(node, 0)]-- } /* lost, or too old */
#if FLOWS > 1
    :: atomic { adopted[OWNER] && relayed_opening[AT(node, 1)] > 0 -> own_opening(node, 1) }
    :: atomic { relayed_opening[AT(node, 1)] > 0 -> relayed_opening[AT(node, 1)]-- } /* lost, or too old */
    :: atomic { adopted[OWNER] && relayed_data[AT(node, 1)] > 0 -> own_data(node, 1) }
    :: atomic { relayed_data[AT(node, 1)] > 0 -> relayed_data[AT(node, 1)]-- } /* lost, or too old */
#endif
    od
}

#define GONE(flow) (!opened_before_lapse[flow] || !RECENT(flow))
#if FLOWS > 1
#define ALL_GONE (GONE(0) && GONE(1))
#else
#define ALL_GONE GONE(0)
#endif

/* Step 3 for a member that was removed by failure: lease time, then the delay horizon. */
proctype Removal() {
    byte flow = 0;
    byte node = 0;
    atomic { published && !acknowledged[0] -> removed = true };
#ifdef NO_CRASH_WAIT
    horizon_passed = true
#else
    atomic { acknowledged[1] && acknowledged[2] ->
        leased[0] = false;
        lease_lapsed = true;
        do
        :: flow < FLOWS ->
            opened_before_lapse[flow] = reached[flow] != 0;
            flow++
        :: else -> break
        od };
#ifdef NO_HORIZON_WAIT
    horizon_passed = true;
#else
    atomic { ALL_GONE -> horizon_passed = true }
#endif
#endif
}

/* The fabric loses opening packets. Losing data packets is the same as not receiving them. */
proctype Loss() {
end:
    do
    :: atomic { opening_copies[0] > 0 -> opening_copies[0]-- }
#if FLOWS > 1
    :: atomic { opening_copies[1] > 0 -> opening_copies[1]-- }
#endif
    od
}

init {
    byte flow = 0;
    atomic {
        do
        :: flow < FLOWS ->
            opening_copies[flow] = OPENING_COPIES;
            data_copies[flow] = DATA_COPIES;
            flow++
        :: else -> break
        od;
        leased[0] = true;
        leased[1] = true;
        leased[2] = true;
        run Node(0);
        run Node(1);
        run Node(2);
        run Owner(0);
        run Owner(1);
        run Owner(2);
        run Removal();
        run Loss();
        published = true
    }
}
