/*
 * The lease of a member that is removed while it may be paused (docs/PROTOCOL.md, sections 3 and 5).
 *
 * Generation n+1 removes the holder, which never learns of it. Three members grant its lease; each acknowledges n+1 at any
 * time or never. Time passes in ticks at any point, so that a message, a pause or a wait may take any number of them. The holder
 * sends a renewal in each tick of its own clock, which may lose DRIFT ticks. Between the check of the lease and the
 * sending of the packet the holder may stand still for no longer than the delay horizon.
 */

#include "common.pml"

#define GRANTERS      3
#define LEASE_TIME    3
#define DELAY_HORIZON 1
#define DRIFT         1
#define LAST_TICK     9
#define NEVER         0

#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN DRIFT
#endif
#ifdef NO_LEASE_WAIT
#define WAIT DELAY_HORIZON
#else
#ifdef NO_HORIZON_WAIT
#define WAIT LEASE_TIME
#else
#define WAIT (LEASE_TIME + DELAY_HORIZON)
#endif
#endif
#ifdef MINORITY_ACKNOWLEDGED
#define ACKNOWLEDGEMENTS_NEEDED 1
#else
#define ACKNOWLEDGEMENTS_NEEDED 2
#endif

/* Clocks. Tick 1 is the first. */
byte now = 1;
byte lost_ticks;
#define HOLDER_CLOCK (now - lost_ticks)

/* Granters. */
bool acknowledged[GRANTERS];
byte last_granted[GRANTERS]; /* send time of the newest renewal that came before the acknowledgement */

/* The holder. */
byte renewed[GRANTERS]; /* as far as the answers have come */
byte checked_at;        /* the lease held, and the packet is about to be sent */

/* The barrier. */
byte fenced_since;
bool barrier;

/* The second newest of three. */
#define MIDDLE(a, b, c) ((a) > (b) -> ((b) > (c) -> (b) : ((a) > (c) -> (c) : (a))) : ((a) > (c) -> (a) : ((b) > (c) -> (c) : (b))))
#define NEWEST(a, b, c) ((a) > (b) -> ((a) > (c) -> (a) : (c)) : ((b) > (c) -> (b) : (c)))
#ifdef MINORITY_LEASE
#define AGREED NEWEST(renewed[0], renewed[1], renewed[2])
#else
#define AGREED MIDDLE(renewed[0], renewed[1], renewed[2])
#endif

#ifdef NO_FENCING
#define LEASED true
#else
#define LEASED (AGREED != NEVER && HOLDER_CLOCK < AGREED + LEASE_TIME - MARGIN)
#endif

proctype Clocks() {
end:
    do
#ifdef LONG_PAUSE
    :: atomic { now < LAST_TICK -> now++ }
    :: atomic { now < LAST_TICK && lost_ticks < DRIFT -> now++; lost_ticks++ }
#else
    :: atomic { now < LAST_TICK && (checked_at == NEVER || now < checked_at + DELAY_HORIZON) -> now++ }
    :: atomic { now < LAST_TICK && (checked_at == NEVER || now < checked_at + DELAY_HORIZON) && lost_ticks < DRIFT ->
        now++;
        lost_ticks++ }
#endif
    od
}

/* The newest renewal that the granter can have granted, or may still grant. */
#ifdef GENERATION_UNNAMED
#define GRANTABLE(granter) HOLDER_CLOCK
#else
#define GRANTABLE(granter) (acknowledged[granter] -> last_granted[granter] : HOLDER_CLOCK)
#endif

proctype Granter(byte granter) {
end:
    do
    :: atomic { !acknowledged[granter] ->
        last_granted[granter] = HOLDER_CLOCK;
        acknowledged[granter] = true;
        if
        :: fenced_since == NEVER && acknowledged[0] + acknowledged[1] + acknowledged[2] >= ACKNOWLEDGEMENTS_NEEDED ->
            fenced_since = now
        :: else -> skip
        fi }
    /* An answer arrives, to the newest renewal or an older one, at any time after it was sent. */
    :: atomic { renewed[granter] < GRANTABLE(granter) ->
#ifdef LEASE_FROM_ANSWER
        renewed[granter] = HOLDER_CLOCK
#else
        if
        :: renewed[granter] = GRANTABLE(granter)
        :: renewed[granter] + 1 < GRANTABLE(granter) -> renewed[granter]++
        fi
#endif
        }
    od
}

proctype Holder() {
end:
    do
    :: atomic { checked_at == NEVER && LEASED -> checked_at = now }
    :: atomic { checked_at != NEVER ->
        CHECK(FENCED, !barrier);
        checked_at = NEVER }
    od
}

proctype Barrier() {
end:
    atomic { fenced_since != NEVER && now >= fenced_since + WAIT -> barrier = true }
}

init {
    atomic {
        run Clocks();
        run Granter(0);
        run Granter(1);
        run Granter(2);
        run Holder();
        run Barrier()
    }
}
