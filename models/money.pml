/*
 * Money: grants in escrow, spending, copies of bills, settlement and release,
 * over a record in a store with compare-and-swap.
 *
 * Instead of a version number, each process has a flag that says whether the
 * store has changed since it read: the same thing with fewer states.
 *
 * Two routers share a budget of PAID tokens and each wants WANT. Any router
 * writes the record: it reads it, applies its report to what it read, and
 * swaps. Between the two steps anything may happen. A swap may lose its race;
 * it may take effect and its reply be lost; the request may be lost. A router
 * may die at any step, or pause, which is to take no step for any time. The
 * answer of a request is released to its caller once its bill has a copy at
 * another router or is in the store. The keeper of a copy settles in the dead
 * router's name. A third process releases the grant of a router that has
 * ended, once copies of its bills have been reported (the hold time).
 *
 * Each mutant drops one rule; scripts/check-models requires spin to find a
 * violation in every one, and none without a mutant:
 *   BLIND_WRITE     the store swaps whatever the version is
 *   SPEND_EARLY     tokens are spent before the store holds the grant
 *   NO_SEQ          a settlement is applied as often as it arrives
 *   RELEASE_ALIVE   a grant is released while its holder may still live
 *   RELEASE_EARLY   a grant is released before copies are reported
 *   ANSWER_EARLY    the answer is released before its bill is safe
 */

#define PAID 2
#define WANT 1
#define N 2
#define TRIES 2

typedef Record {
    byte settled;
    byte granted[N];    /* cumulative */
    byte used[N];       /* cumulative */
    bool applied[N];    /* settlement number 1 of the router */
    bool closed[N]
}

Record store;
bool stale[5];          /* the store changed since the process read it */
bool copied[N];         /* another router keeps a copy of the bill */
bool ended[N];
byte delivered = 0;     /* answers that callers have whole */
byte spent[N];          /* tokens a router took from its grant */
byte others = 0;        /* tokens billed to a third router */
bool took;              /* whether the last swap took effect */

/* What callers got is paid for, and nothing is billed that did not run. */
#define CHECK assert(delivered + others <= PAID && store.settled <= spent[0] + spent[1] + others)

inline copy_record(to, from) {
    to.settled = from.settled;
    to.granted[0] = from.granted[0]; to.granted[1] = from.granted[1];
    to.used[0] = from.used[0]; to.used[1] = from.used[1];
    to.applied[0] = from.applied[0]; to.applied[1] = from.applied[1];
    to.closed[0] = from.closed[0]; to.closed[1] = from.closed[1]
}

#define OUT(r) ((r.granted[0] - r.used[0]) + (r.granted[1] - r.used[1]))
#define FREE(r) (PAID - r.settled - OUT(r))

/* Applies a settlement of one token by router `who` to the record `r`. */
inline apply_settlement(r, who) {
    if
#ifndef NO_SEQ
    :: r.applied[who] -> skip
    :: else ->
#else
    :: true ->
#endif
        r.applied[who] = true;
        if
        :: !r.closed[who] && r.granted[who] > r.used[who] ->
            r.used[who]++; r.settled++
        :: else ->
            /* Released: billed only from what nobody holds. */
            if
            :: FREE(r) > 0 -> r.settled++
            :: else -> skip
            fi
        fi
    fi
}

/* Reads the store into `r`; `p` is the reading process. */
inline read(p, r) {
    copy_record(r, store);
    stale[p] = false
}

inline forget(r) {
    r.settled = 0;
    r.granted[0] = 0; r.granted[1] = 0;
    r.used[0] = 0; r.used[1] = 0;
    r.applied[0] = false; r.applied[1] = false;
    r.closed[0] = false; r.closed[1] = false
}

/*
 * Swaps `r`, read by process `p`, into the store. `ok` says whether the
 * process learns that it took effect.
 */
inline swap(p, r, ok) {
    ok = false;
    took = false;
    if
#ifdef BLIND_WRITE
    :: true ->
#else
    :: !stale[p] ->
#endif
        copy_record(store, r);
        took = true;
        stale[0] = true; stale[1] = true; stale[2] = true; stale[3] = true; stale[4] = true;
        assert(store.settled + OUT(store) <= PAID);
        if
        :: ok = true        /* the reply arrives */
        :: skip             /* the reply is lost */
        fi
    :: skip                 /* the request is lost, or the race */
    fi
}

#define KEEPER 2
#define RELEASER 3
#define OTHER 4

proctype Router(byte me) {
    Record r;
    byte tries = 0;
    byte mine = 0;
    bool ok = false;

    /* Grant. */
    do
    :: ok || tries == TRIES -> break
    :: !ok && tries < TRIES ->
        tries++;
        atomic {
        read(me, r);
#ifdef SPEND_EARLY
        if
        :: FREE(r) >= WANT -> mine = WANT
        :: else -> skip
        fi;
#endif
        if
        :: r.closed[me] -> skip
        :: else ->
            /* Cumulative target: applying it again changes nothing. */
            if
            :: r.granted[me] < WANT && FREE(r) >= WANT - r.granted[me] ->
                r.granted[me] = WANT
            :: else -> skip
            fi
        fi
        };
        atomic {
            swap(me, r, ok);
            if
            :: ok -> mine = r.granted[me]
            :: else -> skip
            fi;
            took = false;
            forget(r)
        }
    :: true -> goto die
    od;
    if
    :: mine == 0 -> goto die
    :: else -> skip
    fi;

    /* The work runs and spends what is held. */
    spent[me] = mine;
#ifdef ANSWER_EARLY
    atomic { delivered++; CHECK };
#endif
    if
    :: skip
    :: goto die
    fi;

    /* The bill is copied, or settled, and then the answer is whole. */
    if
    :: atomic {
        copied[me] = true;
#ifndef ANSWER_EARLY
        delivered++; CHECK
#endif
        }
    :: skip                 /* no other router can be reached */
    fi;
    if
    :: skip
    :: goto die
    fi;
    ok = false;
    tries = 0;
    do
    :: ok || tries == TRIES -> break
    :: !ok && tries < TRIES ->
        tries++;
        atomic { read(me, r); apply_settlement(r, me) };
        atomic { swap(me, r, ok); CHECK; took = false; forget(r) }
    :: true -> goto die
    od;
#ifndef ANSWER_EARLY
    if
    :: atomic { ok && !copied[me] -> delivered++; CHECK }
    :: else -> skip
    fi;
#endif
die:
    ended[me] = true
}

/* Keeps a copy and settles in the origin's name, again and again. */
#define AT_REST (ended[0] && ended[1] && (!copied[0] || store.applied[0]) && (!copied[1] || store.applied[1]))

active [1] proctype Keeper() {
    Record r;
    bool ok;
    do
    :: copied[0] && !store.applied[0] ->
        atomic { read(KEEPER, r); apply_settlement(r, 0) };
        atomic { swap(KEEPER, r, ok); CHECK; ok = false; took = false; forget(r) }
    :: copied[1] && !store.applied[1] ->
        atomic { read(KEEPER, r); apply_settlement(r, 1) };
        atomic { swap(KEEPER, r, ok); CHECK; ok = false; took = false; forget(r) }
    :: AT_REST -> break
    od;
    /* Everything has come to rest: each whole answer is billed. */
    assert(store.settled >= delivered);
    assert(store.settled <= PAID)
}

/* Releases what routers that have ended still hold. */
active [1] proctype Release() {
    Record r;
    byte who;
    bool ok;
    select (who : 0 .. 1);
#ifdef RELEASE_ALIVE
    if :: true fi;
#else
    ended[who];
#endif
#ifndef RELEASE_EARLY
    !copied[who] || store.applied[who];
#endif
    atomic {
        read(RELEASER, r);
        r.used[who] = r.granted[who];
        r.closed[who] = true
    };
    atomic { swap(RELEASER, r, ok); CHECK; ok = false; took = false; forget(r) }
}

/* A third router that takes what is free, so that nothing is spare. */
active [1] proctype Other() {
    Record r;
    bool ok;
    bool mine = false;
    atomic {
        read(OTHER, r);
        if
        :: FREE(r) > 0 -> r.settled++; mine = true
        :: else -> skip
        fi
    };
    atomic {
        swap(OTHER, r, ok);
        if
        :: took && mine -> others = 1
        :: else -> skip
        fi;
        CHECK; ok = false; mine = false; took = false; forget(r)
    }
}

init {
    atomic { run Router(0); run Router(1) }
}
