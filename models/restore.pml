/*
 * Restore: the tokens of a budget over a restore of the store from an older copy.
 *
 * Two routers are granted tokens by compare-and-swap on the budget's record. The
 * store copies itself at any step and returns to the copy at any later one, so
 * that revisions are given out again; a write that was sent before may still take
 * effect after the restore if its condition holds. Each epoch has a record under a
 * key of its own. The first router makes the record of the second epoch from the
 * copy and from what the routers hold. A router may die at any step; all tokens
 * that are left are charged to it then. A router spends what it has been
 * granted, so the accepted grants must never exceed the paid amount.
 *
 * Mutants, each of which spin must refute:
 *   ONE_KEY         both epochs use one key, so an old revision matches again
 *   GRANT_EARLY     the copy is granted from before all routers have reported
 *   IGNORE_DEAD     nothing is charged to a dead router
 *   NO_WRITE_LOCK   a router reports while its write is under way
 *   BELIEVE_LATE    a reply is accepted although its write hit a later epoch
 */

#define PAID 3
#define ROUTERS 2

#ifdef BELIEVE_LATE
#define IN_EPOCH(e) true
#else
#define IN_EPOCH(e) (epoch == e)
#endif
#ifdef NO_WRITE_LOCK
#define MAY_REPORT(r) true
#else
#define MAY_REPORT(r) (dead[r] || !writing[r])
#endif

byte epoch = 0;

/* The record of the first epoch, its revision, and the copy of both. */
byte granted[ROUTERS];
byte revision = 1;
byte copied[ROUTERS];
byte copied_revision = 1;

/* The record of the second epoch; it has all tokens that are not free. */
bool made = false;
byte charged = 0;
byte second_revision = 1;

byte held[ROUTERS];       /* grants that a router has accepted */
bool writing[ROUTERS];    /* a write is under way, or its reply */
bool dead[ROUTERS];
byte known_epoch[ROUTERS];

/* The store copies itself at any step, and returns to the copy once. */
active proctype Store() {
    atomic {
        copied[0] = granted[0];
        copied[1] = granted[1];
        copied_revision = revision
    }
    atomic {
        granted[0] = copied[0];
        granted[1] = copied[1];
        revision = copied_revision;
        epoch = 1;
#ifdef GRANT_EARLY
        charged = granted[0] + granted[1];
        made = true
#endif
    }
}

/* Requests a token until the steps are used up or the router dies. */
proctype Router(byte id) {
    byte steps = 0;
    byte read_epoch, read_revision, sum;
    bool applied, may_request;

    do
    :: steps < 3 ->
        steps++;
        /* Read the record. */
        atomic {
            known_epoch[id] = epoch;
            read_epoch = epoch;
            if
#ifndef ONE_KEY
            :: epoch == 1 ->
                read_revision = second_revision;
                sum = charged
#endif
#ifdef ONE_KEY
            :: true ->
                read_revision = revision;
                sum = granted[0] + granted[1]
#else
            :: epoch == 0 ->
                read_revision = revision;
                sum = granted[0] + granted[1]
#endif
            fi;
            may_request = (sum < PAID) && (read_epoch == 0 || made)
        }
        if
        :: !may_request -> skip
        :: may_request ->
            writing[id] = true;
            /* Write it, possibly after a restore. */
            atomic {
                applied = false;
                if
#ifdef ONE_KEY
                :: revision == read_revision ->
                    granted[id]++;
                    revision++;
                    applied = true
                :: else -> skip
#else
                :: read_epoch == 0 && revision == read_revision ->
                    granted[id]++;
                    revision++;
                    applied = true
                :: read_epoch == 1 && second_revision == read_revision ->
                    charged++;
                    second_revision++;
                    applied = true
                :: else -> skip
#endif
                fi;
                /* The reply names the epoch in which the write took effect. */
                applied = applied && IN_EPOCH(read_epoch)
            }
            /* Accept the reply, which may be late. A router that knows a later
             * epoch does not. */
            atomic {
                if
                :: applied && !dead[id] && known_epoch[id] == read_epoch -> held[id]++
                :: else -> skip
                fi;
                writing[id] = false
            }
        fi
    :: steps > 0 && !dead[0] && !dead[1] -> dead[id] = true; writing[id] = false; break
    :: break
    od
}

/* Makes the record of the second epoch once each router has reported or died. */
active proctype Maker() {
    byte sum;

end:
    atomic {
        epoch == 1 && !made && MAY_REPORT(0) && MAY_REPORT(1) ->
        sum = 0;
        if
        :: dead[0] -> sum = sum + copied[0]
        :: else -> sum = sum + (held[0] > copied[0] -> held[0] : copied[0])
        fi;
        if
        :: dead[1] -> sum = sum + copied[1]
        :: else -> sum = sum + (held[1] > copied[1] -> held[1] : copied[1])
        fi;
#ifndef IGNORE_DEAD
        if
        :: (dead[0] || dead[1]) -> sum = PAID
        :: else -> skip
        fi;
#endif
        charged = sum;
        made = true
    }
}

init {
    atomic {
        run Router(0);
        run Router(1)
    }
}

/* No overspend: what routers may spend never exceeds what was paid. */
active proctype Check() {
    assert(held[0] + held[1] <= PAID)
}
