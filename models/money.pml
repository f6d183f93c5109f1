/*
 * Money: grants in escrow, spending, replication of settlements, settlement
 * and reclaim, over a shard record in a store with compare-and-swap.
 *
 * Instead of a version number, each process has a flag that says whether the
 * store has changed since the process read it. The behaviour is the same and
 * the model has fewer states.
 *
 * Two routers share a budget of PAID tokens and each needs DEMAND. Any router
 * writes the record: it reads it, applies its report to the read copy, and
 * compares and swaps. Any step of another process may come between the read
 * and the write. A compare-and-swap may lose its race; it may take effect
 * although its reply is lost; the request may be lost. A router may crash at
 * any step or pause, which is to take no step for any time. The response to a
 * request is released to its caller once its settlement has a replica at
 * another router or is in the store. The router that holds the replica reports
 * the settlement for the crashed router. The reclaimer reclaims the grant of a
 * router that has ended, once the settlements of its replicas have been
 * reported; the implementation waits for the hold time (`in_doubt_hold_s`)
 * instead. A third router bills a free token at any time.
 *
 * Each mutant drops one rule; scripts/check-models requires spin to find a
 * violation in every one, and none without a mutant:
 *   BLIND_WRITE     the store writes without comparing the version
 *   SPEND_EARLY     tokens are spent before the store holds the grant
 *   NO_SEQ          a settlement is applied as often as it arrives
 *   RELEASE_ALIVE   a grant is reclaimed while its holder may be alive
 *   RELEASE_EARLY   a grant is reclaimed before replicas are reported
 *   ANSWER_EARLY    the response is released before its settlement is stored or replicated
 */

#define PAID 2
#define DEMAND 1
#define ROUTERS 2
#define MAX_ATTEMPTS 2

typedef Record {
    byte settled;
    byte granted[ROUTERS];    /* cumulative */
    byte used[ROUTERS];       /* cumulative */
    bool applied[ROUTERS];    /* settlement number 1 of the router */
    bool closed[ROUTERS]
}

Record store;
bool stale[5];            /* the store changed since the process read it */
bool replicated[ROUTERS]; /* another router holds a replica of the settlement */
bool ended[ROUTERS];      /* the router has crashed or finished */
byte delivered = 0;       /* complete responses that callers have received */
byte spent[ROUTERS];      /* tokens that a router has spent from its grant */
byte third_billed = 0;    /* tokens billed to the third router */
bool swapped;             /* whether the last compare-and-swap took effect */

/* Callers receive no more than is paid for, and only spent tokens are billed. */
#define CHECK_INVARIANTS assert(delivered + third_billed <= PAID && store.settled <= spent[0] + spent[1] + third_billed)

inline copy_record(to, from) {
    to.settled = from.settled;
    to.granted[0] = from.granted[0]; to.granted[1] = from.granted[1];
    to.used[0] = from.used[0]; to.used[1] = from.used[1];
    to.applied[0] = from.applied[0]; to.applied[1] = from.applied[1];
    to.closed[0] = from.closed[0]; to.closed[1] = from.closed[1]
}

#define OUTSTANDING(r) ((r.granted[0] - r.used[0]) + (r.granted[1] - r.used[1]))
#define FREE(r) (PAID - r.settled - OUTSTANDING(r))

/* Applies a settlement of one token by router `origin` to the record `r`. */
inline apply_settlement(r, origin) {
    if
#ifndef NO_SEQ
    :: r.applied[origin] -> skip
    :: else ->
#else
    :: true ->
#endif
        r.applied[origin] = true;
        if
        :: !r.closed[origin] && r.granted[origin] > r.used[origin] ->
            r.used[origin]++; r.settled++
        :: else ->
            /* Reclaimed: billed only from tokens that no router holds. */
            if
            :: FREE(r) > 0 -> r.settled++
            :: else -> skip
            fi
        fi
    fi
}

/* Reads the store into `r`; `p` is the reading process. */
inline read_record(p, r) {
    copy_record(r, store);
    stale[p] = false
}

/* Clears a copy that is not needed any more, so that states that differ only
 * in the copy are one state. */
inline clear_record(r) {
    r.settled = 0;
    r.granted[0] = 0; r.granted[1] = 0;
    r.used[0] = 0; r.used[1] = 0;
    r.applied[0] = false; r.applied[1] = false;
    r.closed[0] = false; r.closed[1] = false
}

/*
 * Writes `r`, read by process `p`, to the store by compare-and-swap. Sets `ok`
 * if the process learns that the write took effect.
 */
inline compare_and_swap(p, r, ok) {
    ok = false;
    swapped = false;
    if
#ifdef BLIND_WRITE
    :: true ->
#else
    :: !stale[p] ->
#endif
        copy_record(store, r);
        swapped = true;
        stale[0] = true; stale[1] = true; stale[2] = true; stale[3] = true; stale[4] = true;
        assert(store.settled + OUTSTANDING(store) <= PAID);
        if
        :: ok = true        /* the reply arrives */
        :: skip             /* the reply is lost */
        fi
    :: skip                 /* the request or the race is lost */
    fi
}

#define REPLICA_HOLDER 2
#define RECLAIMER 3
#define THIRD_ROUTER 4

/* Obtains a grant, executes a request and settles it. A `goto exit_router` that
 * may be taken without a condition is a crash. */
proctype Router(byte id) {
    Record r;
    byte attempts = 0;
    byte granted_tokens = 0;
    bool ok = false;

    /* Obtains a grant. */
    do
    :: ok || attempts == MAX_ATTEMPTS -> break
    :: !ok && attempts < MAX_ATTEMPTS ->
        attempts++;
        atomic {
        read_record(id, r);
#ifdef SPEND_EARLY
        if
        :: FREE(r) >= DEMAND -> granted_tokens = DEMAND
        :: else -> skip
        fi;
#endif
        if
        :: r.closed[id] -> skip
        :: else ->
            /* The target is cumulative: applying it again changes nothing. */
            if
            :: r.granted[id] < DEMAND && FREE(r) >= DEMAND - r.granted[id] ->
                r.granted[id] = DEMAND
            :: else -> skip
            fi
        fi
        };
        atomic {
            compare_and_swap(id, r, ok);
            if
            :: ok -> granted_tokens = r.granted[id]
            :: else -> skip
            fi;
            swapped = false;
            clear_record(r)
        }
    :: true -> goto exit_router
    od;
    if
    :: granted_tokens == 0 -> goto exit_router
    :: else -> skip
    fi;

    /* The request runs and spends the granted tokens. */
    spent[id] = granted_tokens;
#ifdef ANSWER_EARLY
    atomic { delivered++; CHECK_INVARIANTS };
#endif
    if
    :: skip
    :: goto exit_router
    fi;

    /* The response is complete once its settlement is replicated or stored. */
    if
    :: atomic {
        replicated[id] = true;
#ifndef ANSWER_EARLY
        delivered++; CHECK_INVARIANTS
#endif
        }
    :: skip                 /* no other router can be reached */
    fi;
    if
    :: skip
    :: goto exit_router
    fi;
    ok = false;
    attempts = 0;
    do
    :: ok || attempts == MAX_ATTEMPTS -> break
    :: !ok && attempts < MAX_ATTEMPTS ->
        attempts++;
        atomic { read_record(id, r); apply_settlement(r, id) };
        atomic { compare_and_swap(id, r, ok); CHECK_INVARIANTS; swapped = false; clear_record(r) }
    :: true -> goto exit_router
    od;
#ifndef ANSWER_EARLY
    if
    :: atomic { ok && !replicated[id] -> delivered++; CHECK_INVARIANTS }
    :: else -> skip
    fi;
#endif
exit_router:
    ended[id] = true
}

/* Both routers have ended and the store has applied each replicated settlement. */
#define QUIESCENT (ended[0] && ended[1] && (!replicated[0] || store.applied[0]) && (!replicated[1] || store.applied[1]))

/* Holds replicas and reports their settlements for the routers that made them
 * until the store has applied them. */
active [1] proctype ReplicaHolder() {
    Record r;
    bool ok;
    do
    :: replicated[0] && !store.applied[0] ->
        atomic { read_record(REPLICA_HOLDER, r); apply_settlement(r, 0) };
        atomic { compare_and_swap(REPLICA_HOLDER, r, ok); CHECK_INVARIANTS; ok = false; swapped = false; clear_record(r) }
    :: replicated[1] && !store.applied[1] ->
        atomic { read_record(REPLICA_HOLDER, r); apply_settlement(r, 1) };
        atomic { compare_and_swap(REPLICA_HOLDER, r, ok); CHECK_INVARIANTS; ok = false; swapped = false; clear_record(r) }
    :: QUIESCENT -> break
    od;
    /* Both routers have ended and no settlement is pending: each complete
     * response is billed. */
    assert(store.settled >= delivered);
    assert(store.settled <= PAID)
}

/* Reclaims the grant that a router still holds when it has ended. */
active [1] proctype Reclaimer() {
    Record r;
    byte holder;
    bool ok;
    select (holder : 0 .. 1);
#ifdef RELEASE_ALIVE
    if :: true fi;
#else
    ended[holder];
#endif
#ifndef RELEASE_EARLY
    !replicated[holder] || store.applied[holder];
#endif
    atomic {
        read_record(RECLAIMER, r);
        r.used[holder] = r.granted[holder];
        r.closed[holder] = true
    };
    atomic { compare_and_swap(RECLAIMER, r, ok); CHECK_INVARIANTS; ok = false; swapped = false; clear_record(r) }
}

/* A third router that bills one free token, so that no free token is left to
 * cover an overspend. */
active [1] proctype ThirdRouter() {
    Record r;
    bool ok;
    bool billed = false;
    atomic {
        read_record(THIRD_ROUTER, r);
        if
        :: FREE(r) > 0 -> r.settled++; billed = true
        :: else -> skip
        fi
    };
    atomic {
        compare_and_swap(THIRD_ROUTER, r, ok);
        if
        :: swapped && billed -> third_billed = 1
        :: else -> skip
        fi;
        CHECK_INVARIANTS; ok = false; billed = false; swapped = false; clear_record(r)
    }
}

init {
    atomic { run Router(0); run Router(1) }
}
