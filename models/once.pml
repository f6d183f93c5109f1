/*
 * Once: a request key is billed once, work that may not be repeated runs at
 * most once, and "not run" is true.
 *
 * A caller sends the same key to two routers, at any time. Each claims the
 * key in the record (read, apply, swap), sends the work only if it is certain
 * to be the holder, settles the outcome, and answers. Swaps lose races,
 * replies are lost, routers die at any step. A router that holds the claim may
 * refuse for want of tokens: only then does it say "not run", and gives the
 * claim back. One that can't learn whether its claim was recorded says
 * "unknown" and gives the claim back if it was.
 *
 * Mutants, each of which spin must refute:
 *   BLIND_WRITE     the store swaps whatever the version is
 *   CLAIM_ANY       a second claim of a key is granted
 *   RUN_UNCLAIMED   a lost reply to a claim is taken for a grant
 *   NO_KEY          a key is billed as often as it is settled
 *   TAKE_OVER       a claim without an outcome is taken over by a retry
 *   LIE             a held key without an outcome is answered as "not run"
 *   RESERVE_FIRST   a refusal for want of tokens comes before the claim
 */

#define N 2
#define TRIES 2
#define NOBODY 9

/* The key's entry in the store. */
byte holder = NOBODY;
bool finished = false;
byte billed = 0;
byte version = 0;

byte runs = 0;
bool ended[N];

inline swap_claim(me, seen, r_holder, r_finished, ok) {
    ok = false;
    if
#ifdef BLIND_WRITE
    :: true ->
#else
    :: version == seen ->
#endif
        holder = r_holder;
        finished = r_finished;
        version++;
        if
        :: ok = true
        :: skip
        fi
    :: skip
#ifndef BLIND_WRITE
    :: version != seen -> skip
#endif
    fi
}

proctype Router(byte me) {
    byte seen, r_holder;
    byte tries = 0;
    bool r_finished, ok, mine, held, fin;

#ifdef RESERVE_FIRST
    if
    :: skip
    :: assert(runs == 0); goto die          /* no tokens: "not run" */
    fi;
#endif
    ok = false;
    do
    :: ok || tries == TRIES -> break
    :: !ok && tries < TRIES ->
        tries++;
        atomic { seen = version; r_holder = holder; r_finished = finished };
        if
        :: r_finished -> fin = true; ok = true
        :: else ->
            if
#ifdef CLAIM_ANY
            :: true -> r_holder = me
#endif
#ifdef TAKE_OVER
            :: r_holder != NOBODY && ended[r_holder] -> r_holder = me
#endif
            :: r_holder == NOBODY -> r_holder = me
            :: r_holder == me -> skip
            :: r_holder != NOBODY && r_holder != me -> held = true; ok = true
            fi;
            if
            :: held -> skip
            :: else ->
                atomic {
                    swap_claim(me, seen, r_holder, r_finished, ok);
                    mine = ok;
#ifdef RUN_UNCLAIMED
                    mine = true; ok = true;
#endif
                }
            fi
        fi
    :: true -> goto die
    od;
    if
    :: fin -> goto die                      /* answered as run */
    :: held ->
#ifdef LIE
        assert(runs == 0);
#endif
        goto die                            /* answered as unknown */
    :: mine && !held && !fin -> goto holding
    :: !mine && !held && !fin -> goto give_back
    fi;

holding:
    if
    :: skip
    :: goto die
    :: assert(runs == 0);                   /* no tokens: "not run" */
        goto give_back
    fi;
    runs++;
    assert(runs <= 1);
    if
    :: skip
    :: goto die
    fi;
    /* Settlement: the outcome and the bill, once for the key. */
    tries = 0;
    ok = false;
    do
    :: ok || tries == TRIES -> break
    :: !ok && tries < TRIES ->
        tries++;
        atomic { seen = version; r_holder = holder; r_finished = finished };
        atomic {
            if
#ifdef NO_KEY
            :: version == seen -> billed++; finished = true; version++;
#else
            :: version == seen && !r_finished -> billed++; finished = true; version++;
            :: version == seen && r_finished -> skip
#endif
            :: version != seen -> skip
            fi;
            assert(billed <= 1);
            if
            :: ok = true
            :: skip                         /* the reply is lost */
            fi
        }
    :: true -> goto die
    od;
    goto die;

give_back:
    /* The claim is or may be recorded, and nothing was sent under it. */
    tries = 0;
    ok = false;
    do
    :: ok || tries == TRIES -> break
    :: !ok && tries < TRIES ->
        tries++;
        atomic { seen = version; r_holder = holder; r_finished = finished };
        if
        :: r_holder == me && !r_finished -> r_holder = NOBODY
        :: else -> skip
        fi;
        atomic { swap_claim(me, seen, r_holder, r_finished, ok) }
    :: true -> goto die
    od;
die:
    ended[me] = true
}

init {
    atomic { run Router(0); run Router(1) }
}
