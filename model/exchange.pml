/*
 * What nodes know where the packet carries the identity of its instance (bellyoke_core::cookie): lists, watches and peers'
 * snapshots in any order, restarts, and a store that goes down for good. One instance's record changes as RECORD says; the
 * last revision changes something else, so that an answer may reach further than the last change of the record.
 *
 * A snapshot, delta or confirmation under way is a fact that its receiver may see at any later time, or never. A delta
 * (since, to] tells what has changed after one revision, up to another; a confirmation (changed, to) that nothing has
 * changed after the one, up to the other. A stale read tells the state at any revision up to the newest.
 */

#include "common.pml"

#define NODES     2
#define NEWEST    4
#define NOTHING   0
#define READY     1
#define GONE      2

#ifndef RESTARTS
#define RESTARTS 1
#endif

/* State of the record at a revision: it comes, goes, comes back, and stays. */
#define RECORD(at) ((at) == 0 -> NOTHING : ((at) == 2 -> GONE : READY))
/* Revision of its last change up to one. */
#define CHANGED(at) ((at) > 3 -> 3 : (at))

byte store = 1;
bool store_up = true;

/* Nodes: the revision that is known, the record as held, where the watch goes on (0: a list is needed). */
byte as_of[NODES];
byte held[NODES];
byte watch_from[NODES];
byte restarts;

/* Snapshots under way, by receiver: bit r says that one as of revision r is. */
byte under_way[NODES];
#define BIT(index) (1 << (index))

/* The delta and the confirmation under way to each receiver, none while their last revision is 0. One of each is enough: what
 * an arrival does depends on no other message. */
byte delta_since[NODES];
byte delta_to[NODES];
byte confirm_changed[NODES];
byte confirm_to[NODES];

/* The changes in (since, to], for a node that knows all up to since. Records carry their revisions, removals don't. */
inline apply_delta(since, to) {
    if
#ifdef ANY_DELTA
    :: to > as_of[node] ->
#else
    :: as_of[node] > 0 && as_of[node] >= since && to > as_of[node] ->
#endif
        if
        :: CHANGED(to) > since && RECORD(to) == GONE -> held[node] = GONE
        :: CHANGED(to) > since && RECORD(to) == READY && CHANGED(to) > as_of[node] -> held[node] = READY
        :: else
        fi;
        as_of[node] = to
    :: else
    fi;
    check_held()
}

/* Nothing has changed after changed, up to to. */
inline confirm(changed, to) {
    if
#ifdef CONFIRM_ANY
    :: as_of[node] > 0 && to > as_of[node] -> as_of[node] = to
#else
    :: as_of[node] > 0 && as_of[node] >= changed && to > as_of[node] -> as_of[node] = to
#endif
    :: else
    fi;
    check_held()
}

inline check_held() {
    CHECK(SAME_CONTENT, held[node] == RECORD(as_of[node]))
}

inline replace_by(at) {
#ifndef NO_VERSION_ORDER
    if
    :: at >= as_of[node] ->
#endif
        CHECK(NEVER_BACK, at >= as_of[node]);
        held[node] = RECORD(at);
        as_of[node] = at
#ifndef NO_VERSION_ORDER
    :: else
    fi
#endif
    ;
    check_held()
}

/* The changes in (watch_from, to]. Their last one counts: a put that is known already changes nothing, and neither may
 * a removal that was overtaken. */
inline apply_up_to(to) {
    if
    :: to > as_of[node] ->
#ifdef EACH_EVENT
        /* Each event on its own: a removal carries no revision, so it counts whenever it comes. */
        if
        :: watch_from[node] < 2 && to >= 2 -> held[node] = GONE
        :: else
        fi;
        if
        :: to >= 3 && watch_from[node] < 3 && as_of[node] < 3 -> held[node] = READY
        :: else
        fi;
#else
        if
        :: CHANGED(to) > watch_from[node] -> held[node] = RECORD(CHANGED(to))
        :: else
        fi;
#endif
        as_of[node] = to
    :: else
    fi;
    watch_from[node] = to;
    check_held()
}

proctype Node(byte node) {
    byte revision;
    byte since;
end:
    do
    /* A list: the newest state, or a stale one. */
    :: atomic { store_up && watch_from[node] == 0 ->
        select (revision : 1 .. NEWEST);
        if
        :: revision <= store -> replace_by(revision); watch_from[node] = revision
        :: else
        fi;
        revision = 0 }
    /* A watch, answered up to any revision, also a stale one. */
    :: atomic { store_up && watch_from[node] > 0 && watch_from[node] < store ->
        select (revision : 2 .. NEWEST);
        if
        :: revision > watch_from[node] && revision <= store -> apply_up_to(revision)
        :: else
        fi;
        revision = 0 }
    /* History is gone. */
    :: atomic { store_up && watch_from[node] > 0 && watch_from[node] < store -> watch_from[node] = 0 }
    /* A peer that knows more sends a snapshot. */
#ifndef NO_FETCH
    :: atomic { as_of[(node + 1) % NODES] > as_of[node] ->
        under_way[node] = under_way[node] | BIT(as_of[(node + 1) % NODES]) }
#endif
    /* A snapshot arrives, maybe late. */
    :: atomic { under_way[node] != 0 ->
        select (revision : 1 .. NEWEST);
        if
        :: under_way[node] & BIT(revision) ->
            under_way[node] = under_way[node] & (255 - BIT(revision));
            replace_by(revision)
        :: else
        fi;
        revision = 0 }
#ifdef PUSH
    /* A peer that knows more pushes what has changed after any revision. */
    :: atomic { delta_to[node] == 0 && as_of[(node + 1) % NODES] > as_of[node] ->
        select (since : 0 .. NEWEST - 1);
        if
        :: since < as_of[(node + 1) % NODES] ->
            delta_since[node] = since;
            delta_to[node] = as_of[(node + 1) % NODES]
        :: else
        fi;
        since = 0 }
    :: atomic { delta_to[node] != 0 ->
        apply_delta(delta_since[node], delta_to[node]);
        delta_since[node] = 0;
        delta_to[node] = 0 }
#endif
#ifdef CONFIRM
    /* It says up to where nothing has changed. */
    :: atomic { confirm_to[node] == 0 && as_of[(node + 1) % NODES] > as_of[node] ->
        confirm_changed[node] = CHANGED(as_of[(node + 1) % NODES]);
        confirm_to[node] = as_of[(node + 1) % NODES] }
    :: atomic { confirm_to[node] != 0 ->
        confirm(confirm_changed[node], confirm_to[node]);
        confirm_changed[node] = 0;
        confirm_to[node] = 0 }
#endif
    /* The process is restarted and knows nothing. */
    :: atomic { restarts < RESTARTS && as_of[node] > 0 ->
        restarts++;
        as_of[node] = 0;
        held[node] = NOTHING;
        watch_from[node] = 0;
        under_way[node] = 0;
        delta_since[node] = 0;
        delta_to[node] = 0;
        confirm_changed[node] = 0;
        confirm_to[node] = 0 }
    od
}

proctype Operator() {
    do
    :: atomic { store_up && store < NEWEST -> store++ }
    :: atomic { store_up -> store_up = false; break }
    od
}

/* All is quiet: the store is down for good, and no node has anything left to do. Whoever is up knows what any knows. */
proctype Observer() {
    timeout ->
    CHECK(ALL_LEARN, as_of[0] == as_of[1])
}

init {
    atomic {
        run Node(0);
        run Node(1);
        run Operator();
        run Observer()
    }
}
