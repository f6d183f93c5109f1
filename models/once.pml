/*
 * Once: an idempotency key is billed once, a non-idempotent request is
 * executed at most once, and "not run" is reported only if it is true.
 *
 * A caller sends the same key to two routers, at any time. Each router claims
 * the key in the shard record (read, apply, compare-and-swap), sends the
 * request only if it is certain that it holds the claim, settles the outcome, and
 * responds. A compare-and-swap may lose its race, a reply may be lost, and a
 * router may crash at any step. A router that holds the claim may refuse for
 * want of tokens: only then does it report "not run", and it releases the
 * claim. A router that can't learn whether its claim was recorded reports
 * "unknown" and releases the claim if it was recorded.
 *
 * Mutants, each of which spin must refute:
 *   BLIND_WRITE     the store writes without comparing the version
 *   CLAIM_ANY       a second claim of a key is granted
 *   RUN_UNCLAIMED   a lost reply to a claim is treated as a granted claim
 *   NO_KEY          a key is billed as often as it is settled
 *   TAKE_OVER       a retry acquires the claim of an ended router without an outcome
 *   LIE             a key held without an outcome is reported as "not run"
 *   RESERVE_FIRST   a refusal for want of tokens comes before the claim
 */

#define ROUTERS 2
#define MAX_ATTEMPTS 2
#define NO_HOLDER 9

/* The key's entry in the store. */
byte holder = NO_HOLDER;
bool completed = false;
byte billed = 0;
byte version = 0;

byte executions = 0;  /* executions of the request */
bool ended[ROUTERS];  /* the router has crashed or finished */

/* Writes the key's entry to the store if the store still has `read_version`.
 * Sets `ok` if the router learns that the write took effect. */
inline compare_and_swap_claim(id, read_version, entry_holder, entry_completed, ok) {
    ok = false;
    if
#ifdef BLIND_WRITE
    :: true ->
#else
    :: version == read_version ->
#endif
        holder = entry_holder;
        completed = entry_completed;
        version++;
        if
        :: ok = true        /* the reply arrives */
        :: skip             /* the reply is lost */
        fi
    :: skip                 /* the request is lost */
#ifndef BLIND_WRITE
    :: version != read_version -> skip
#endif
    fi
}

/* Handles the request. A `goto exit_router` that may be taken without a
 * condition is a crash, where no comment says otherwise. */
proctype Router(byte id) {
    byte read_version, entry_holder;
    byte attempts = 0;
    bool entry_completed, ok, owns_claim, held_by_other, is_completed;

#ifdef RESERVE_FIRST
    if
    :: skip
    :: assert(executions == 0); goto exit_router  /* no tokens: "not run" */
    fi;
#endif
    ok = false;
    do
    :: ok || attempts == MAX_ATTEMPTS -> break
    :: !ok && attempts < MAX_ATTEMPTS ->
        attempts++;
        atomic { read_version = version; entry_holder = holder; entry_completed = completed };
        if
        :: entry_completed -> is_completed = true; ok = true
        :: else ->
            if
#ifdef CLAIM_ANY
            :: true -> entry_holder = id
#endif
#ifdef TAKE_OVER
            :: entry_holder != NO_HOLDER && ended[entry_holder] -> entry_holder = id
#endif
            :: entry_holder == NO_HOLDER -> entry_holder = id
            :: entry_holder == id -> skip
            :: entry_holder != NO_HOLDER && entry_holder != id -> held_by_other = true; ok = true
            fi;
            if
            :: held_by_other -> skip
            :: else ->
                atomic {
                    compare_and_swap_claim(id, read_version, entry_holder, entry_completed, ok);
                    owns_claim = ok;
#ifdef RUN_UNCLAIMED
                    owns_claim = true; ok = true;
#endif
                }
            fi
        fi
    :: true -> goto exit_router
    od;
    if
    :: is_completed -> goto exit_router     /* reports "ran" */
    :: held_by_other ->
#ifdef LIE
        assert(executions == 0);
#endif
        goto exit_router                    /* reports "unknown" */
    :: owns_claim && !held_by_other && !is_completed -> goto execute
    :: !owns_claim && !held_by_other && !is_completed -> goto release_claim
    fi;

execute:
    if
    :: skip
    :: goto exit_router
    :: assert(executions == 0);             /* no tokens: "not run" */
        goto release_claim
    fi;
    executions++;
    assert(executions <= 1);
    if
    :: skip
    :: goto exit_router
    fi;
    /* Records the outcome and bills the key, once for each key. */
    attempts = 0;
    ok = false;
    do
    :: ok || attempts == MAX_ATTEMPTS -> break
    :: !ok && attempts < MAX_ATTEMPTS ->
        attempts++;
        atomic { read_version = version; entry_holder = holder; entry_completed = completed };
        atomic {
            if
#ifdef NO_KEY
            :: version == read_version -> billed++; completed = true; version++;
#else
            :: version == read_version && !entry_completed -> billed++; completed = true; version++;
            :: version == read_version && entry_completed -> skip
#endif
            :: version != read_version -> skip
            fi;
            assert(billed <= 1);
            if
            :: ok = true
            :: skip                         /* the reply is lost */
            fi
        }
    :: true -> goto exit_router
    od;
    goto exit_router;

release_claim:
    /* The claim is recorded or may be, and no request was sent under it. */
    attempts = 0;
    ok = false;
    do
    :: ok || attempts == MAX_ATTEMPTS -> break
    :: !ok && attempts < MAX_ATTEMPTS ->
        attempts++;
        atomic { read_version = version; entry_holder = holder; entry_completed = completed };
        if
        :: entry_holder == id && !entry_completed -> entry_holder = NO_HOLDER
        :: else -> skip
        fi;
        atomic { compare_and_swap_claim(id, read_version, entry_holder, entry_completed, ok) }
    :: true -> goto exit_router
    od;
exit_router:
    ended[id] = true
}

init {
    atomic { run Router(0); run Router(1) }
}
