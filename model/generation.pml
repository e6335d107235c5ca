/*
 * The sequence of generations (docs/PROTOCOL.md, section 1): publishers compile the operators' objects into generations,
 * nodes apply them. How operators write is in write.pml.
 *
 * Nodes 0 and 1 publish; node 2 doesn't read the store and starts empty. Any node may restart with empty memory. A write to the
 * store may take effect at any time after it was sent, also when its sender has given up on it; it may be lost, and so may
 * its answer. A list may be older than the generation that it is compiled into. A generation that was ever stored may reach any node at any later time, which covers peers that lag. The platform is
 * down whenever nothing of it happens.
 */

#include "common.pml"

#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef REVISIONS
#define REVISIONS 3
#endif

#define NODES       3
#define PUBLISHERS  2
#define GENERATIONS (REVISIONS + RESTARTS) /* counted from one */
#define BIT(index)  (1 << (index))

/* A request to the store. */
#define IDLE  0
#define SENT  1
#define TAKEN 2

/* The newest revision of the operators' objects. */
byte revision;

/* The generation object. */
byte stored = 1;
byte stored_revision[GENERATIONS + 1];
byte stored_members[GENERATIONS + 1]; /* the incarnation of each node, as bits */

/* Publishers: the write in flight, and one that was given up on. */
byte listed[PUBLISHERS];
byte write[PUBLISHERS];
byte write_number[PUBLISHERS];
byte write_revision[PUBLISHERS];
byte write_members[PUBLISHERS];
byte late_number[PUBLISHERS];
byte late_revision[PUBLISHERS];
byte late_members[PUBLISHERS];
bool reading_back[PUBLISHERS];

/* Nodes. */
byte held[NODES]; /* 0: nothing yet */
byte held_revision[NODES];
byte held_members[NODES];
byte incarnations;
byte restarts;

/* What the checks look at. */
byte forwarded[NODES]; /* newest generation by which any process on the machine has forwarded */
byte forwarded_revision[NODES];
byte seen_content[GENERATIONS + 1]; /* what a node or the store has held under that number */

#define CONTENT(revision, members) (1 + (revision) * 8 + (members))

inline note_content(number, revision, members) {
    CHECK(SAME_CONTENT, seen_content[number] == 0 || seen_content[number] == CONTENT(revision, members));
    if
    :: seen_content[number] == 0 -> seen_content[number] = CONTENT(revision, members)
    :: else -> skip
    fi
}

/* A generation that lists this process was published after the process had started. */
#define IS_MEMBER(node) (held[node] > 0 && ((held_members[node] ^ incarnations) & BIT(node)) == 0)
#if defined(EMPTY_NODE_FORWARDS)
#define MAY_FORWARD(node) true
#elif defined(STRANGER_FORWARDS)
#define MAY_FORWARD(node) (held[node] > 0)
#else
#define MAY_FORWARD(node) IS_MEMBER(node)
#endif

/* A node that may forward does so at once: the earlier, the more a later step could contradict. */
inline forward(node) {
    if
    :: MAY_FORWARD(node) ->
        CHECK(NEVER_BACK, held[node] > 0);
        CHECK(NEVER_BACK, held[node] >= forwarded[node] && held_revision[node] >= forwarded_revision[node]);
        forwarded[node] = held[node];
        forwarded_revision[node] = held_revision[node]
    :: else -> skip
    fi
}

inline apply(node, number, revision_applied, members) {
    CHECK(NEVER_BACK, number > held[node]);
    note_content(number, revision_applied, members);
    held[node] = number;
    held_revision[node] = revision_applied;
    held_members[node] = members;
    forward(node)
}

#define ADOPT(number) apply(node, number, stored_revision[number], stored_members[number])

#ifdef NO_CONDITION
#define FOLLOWS(number) true
#else
#define FOLLOWS(number) (stored + 1 == number)
#endif

/* The write takes effect later, if ever. Of several such writes one is followed. */
inline outlive(publisher) {
    if
    :: FOLLOWS(write_number[publisher]) ->
        late_number[publisher] = write_number[publisher];
        late_revision[publisher] = write_revision[publisher];
        late_members[publisher] = write_members[publisher]
    :: else -> skip
    fi
}

inline forget_late(publisher) {
    late_number[publisher] = 0;
    late_revision[publisher] = 0;
    late_members[publisher] = 0
}

/* A write whose condition can't hold any more is as good as lost. */
inline drop_void(publisher) {
    if
    :: late_number[publisher] != 0 && !FOLLOWS(late_number[publisher]) -> forget_late(publisher)
    :: else -> skip
    fi
}

inline forget_write(publisher) {
    write[publisher] = IDLE;
    write_number[publisher] = 0;
    write_revision[publisher] = 0;
    write_members[publisher] = 0
}

proctype Node(byte node) {
end:
    do
#ifdef NO_VERSION_ORDER
#define IS_NEWS(number) (number <= stored && number != held[node])
#else
#define IS_NEWS(number) (number <= stored && number > held[node])
#endif
    :: atomic { IS_NEWS(1) -> ADOPT(1) }
    :: atomic { IS_NEWS(2) -> ADOPT(2) }
    :: atomic { IS_NEWS(3) -> ADOPT(3) }
#if GENERATIONS > 3
    :: atomic { IS_NEWS(4) -> ADOPT(4) } /* 4 at most */
#endif
    :: atomic { restarts < RESTARTS && !(incarnations & BIT(node)) ->
        restarts++;
        incarnations = incarnations | BIT(node);
        held[node] = 0;
        held_revision[node] = 0;
        held_members[node] = 0;
        forward(node);
        if
        :: node < PUBLISHERS ->
            if
            :: write[node] == SENT -> outlive(node)
            :: true -> skip
            fi;
            forget_write(node);
            listed[node] = 0;
            reading_back[node] = false
        :: else -> skip
        fi }
    od
}

inline store_generation(number, revision_written, members) {
    note_content(number, revision_written, members);
    CHECK(NEVER_LOST, revision_written >= stored_revision[stored]);
    stored = number;
    stored_revision[number] = revision_written;
    stored_members[number] = members;
    drop_void(0);
    drop_void(1)
}

inline send_write(node, members) {
    write[node] = SENT;
    write_number[node] = held[node] + 1;
    write_revision[node] = listed[node];
    write_members[node] = members
}

#ifdef STALE_LIST_PUBLISHED
#define IS_STALE(node) false
#else
#define IS_STALE(node) (listed[node] < held_revision[node])
#endif
/* The last bound binds mutants only: else every generation has a cause, a revision or a restart. */
#define MAY_WRITE(node) (write[node] == IDLE && !reading_back[node] && !IS_STALE(node) && held[node] < GENERATIONS)
#define IS_CHANGED(members) (held[node] == 0 || listed[node] != held_revision[node] || members != held_members[node])

proctype Publisher(byte node) {
end:
    do
    /* A list as old as the publisher's last one, or newer. */
    :: atomic { listed[node] < 1 && revision >= 1 -> listed[node] = 1 }
#if REVISIONS > 2
    :: atomic { listed[node] < 2 && revision >= 2 -> listed[node] = 2 }
#endif
    /* The publisher may not have heard of a restart. */
    :: atomic { MAY_WRITE(node) && IS_CHANGED(held_members[node]) -> send_write(node, held_members[node]) }
    :: atomic { MAY_WRITE(node) && IS_CHANGED(incarnations) -> send_write(node, incarnations) }

    /* The store. */
    :: atomic { write[node] == SENT ->
        if
        :: FOLLOWS(write_number[node]) ->
            store_generation(write_number[node], write_revision[node], write_members[node]);
            write[node] = TAKEN
        :: else -> forget_write(node); reading_back[node] = true
        fi }
    :: atomic { late_number[node] != 0 ->
        if
        :: FOLLOWS(late_number[node]) ->
            store_generation(late_number[node], late_revision[node], late_members[node])
        :: else -> skip
        fi;
        forget_late(node) }

    /* Its answer, if it took the write. */
    :: atomic { write[node] == TAKEN ->
        if
        :: write_number[node] > held[node] ->
            apply(node, write_number[node], write_revision[node], write_members[node])
        :: else -> skip
        fi;
        forget_write(node) }
    /* No answer. */
    :: atomic { write[node] != IDLE ->
        if
        :: write[node] == SENT -> outlive(node)
        :: true -> skip
        fi;
#ifdef UNKNOWN_IS_TAKEN
        if
        :: write_number[node] > held[node] ->
            apply(node, write_number[node], write_revision[node], write_members[node])
        :: else -> skip
        fi;
#else
        reading_back[node] = true;
#endif
        forget_write(node) }
    :: atomic { reading_back[node] ->
        reading_back[node] = false;
        if
        :: stored > held[node] -> ADOPT(stored)
        :: else -> skip
        fi }
    od
}

/* What operators had accepted (write.pml). */
proctype Operators() {
end:
    do
    :: atomic { revision < REVISIONS - 1 -> revision++ }
    od
}

/* Once nothing is left to do, what was accepted is in force everywhere. */
proctype Quiet() {
end:
    atomic { timeout ->
        CHECK(NEVER_LOST, stored_revision[stored] == revision && stored_members[stored] == incarnations);
        CHECK(NEVER_LOST, held[0] == stored && held[1] == stored && held[2] == stored) }
}

init {
    atomic {
        seen_content[1] = CONTENT(0, 0);
        held[0] = 1;
        held[1] = 1;
        run Operators();
        run Publisher(0);
        run Publisher(1);
        run Node(0);
        run Node(1);
        run Node(2);
        run Quiet()
    }
}
