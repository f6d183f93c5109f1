/* Where a resumed stream began, over kills of single routers or of all of them and over
 * a restore of the store from an older copy. Three routers are the witnesses of one
 * stream, servers of three versions may begin it, and the store holds the first two of
 * them in the order in which they were added. Routers of the earlier release add the third
 * one as well, and others shorten the history then. A call may reach any of the routers or
 * none. A router that is asked to resume the stream names a version or rejects: it must
 * never name another version than the one that began the stream.
 *
 * Time is the life of the stream: a router that started before the stream began may
 * have run for a life, one that started after it has not. Routers that ran before a
 * restore notice it before others trust the first version of what they read then.
 *
 * Mutants, each of which spin must refute:
 *   TRUST_RESTORED  a history that is first read after a restore proves that no stream had a record
 *   ONLY_RESTORED  the only version in a restored history counts as the only one ever
 *   FIRST_AT_ONCE  the first version of a restored history is trusted at once
 *   STORED_ORDER  a router takes over the order of versions that the store has
 *   IGNORE_DISPUTE  a router ignores that the store has another first version
 *   UNRECORDED  a stream of the only known version begins without records soon after a restore
 *   FEW_RECORDS  a stream of a later version goes on without a majority of records
 *   FORGET_START  a witness that has started again answers as if it had had all records
 *   MINORITY  one witness without a record is enough
 *   UNREGISTERED  a router that has read one version only begins the stream at any version
 *   DROP_SECOND  a router that shortens a history leaves the first version only
 *   DROP_FIRST  a router that shortens a history leaves the last two versions
 */
#define ROUTERS 3
#define MAJORITY 2
/* A version that is never among the first two. The others stand for any order of them. */
#define LATER 3

/* The versions in the store and in its copy, in the order of their addition; 0: none. */
byte first = 0, second = 0, third = 0, copy_first = 0, copy_second = 0, copy_third = 0;
bool restored = false, copied = false;

/* What routers know. */
byte known_first[ROUTERS], known_second[ROUTERS], record[ROUTERS];
bool from_first_record[ROUTERS]; /* has had all records of later versions */
bool read_restored[ROUTERS];     /* first read the history after the restore */
bool disputed[ROUTERS];          /* the store has had another first version */
bool unaware[ROUTERS];           /* has not noticed the restore */
bool ran_for_life[ROUTERS];
bool first_settled[ROUTERS];     /* streams of unaware routers have ended */

byte begun = 0;    /* the version that began the stream; 0: not forwarded */
bool used = false; /* the stream's ID has been used */
bool one_killed = false;
bool all_killed = false;

#ifdef TRUST_RESTORED
#define READ_ALL true
#else
#define READ_ALL (!restored)
#endif
#ifdef ONLY_RESTORED
#define ONLY_PROVES true
#else
#define ONLY_PROVES (!restored)
#endif
#ifdef FIRST_AT_ONCE
#define SETTLED(r) true
#else
#define SETTLED(r) (!read_restored[r] || first_settled[r])
#endif
#ifdef IGNORE_DISPUTE
#define UNDISPUTED(r) true
#else
#define UNDISPUTED(r) (!disputed[r])
#endif
#define TRUSTED(r) (SETTLED(r) && UNDISPUTED(r))
#ifdef UNRECORDED
#define NEEDS_NO_RECORD(r) true
#else
#define NEEDS_NO_RECORD(r) TRUSTED(r)
#endif
#ifdef FEW_RECORDS
#define MAY_BEGIN(r, v, n) true
#else
#define MAY_BEGIN(r, v, n) (n >= MAJORITY || (v == known_first[r] && TRUSTED(r)))
#endif
#ifdef FORGET_START
#define COMPLETE(w) (known_first[w] != 0)
#else
#define COMPLETE(w) (known_first[w] != 0 && (from_first_record[w] || ran_for_life[w]))
#endif
#define PERMITS(r, v) (known_first[r] == v || known_second[r] != 0)
#ifdef UNREGISTERED
#define BEGINS(r, v) (known_first[r] != 0)
#else
#define BEGINS(r, v) PERMITS(r, v)
#endif
#ifdef MINORITY
#define ENOUGH 1
#else
#define ENOUGH MAJORITY
#endif

inline add(v) {
    if
    :: v == 0 || first == v || second == v -> skip
    :: else ->
        if
        :: first == 0 -> first = v
        :: first != 0 && second == 0 -> second = v
        :: else -> skip
        fi
    fi
}

/* Removes what only the earlier release adds. */
inline shorten() {
    if
    :: third == 0 -> skip
    :: else ->
#ifdef DROP_SECOND
        second = 0;
#endif
#ifdef DROP_FIRST
        first = second;
        second = third;
#endif
        third = 0
    fi
}

/* A router adds what it knows and a version, and applies the history. */
inline register(r, v) {
    if
    :: known_first[r] == 0 ->
        from_first_record[r] = (READ_ALL && second == 0);
        read_restored[r] = restored
    :: else -> skip
    fi;
    shorten();
    add(known_first[r]);
    add(known_second[r]);
    add(v);
    unaware[r] = false;
#ifdef STORED_ORDER
    known_first[r] = first;
    known_second[r] = second;
#else
    if
    :: known_first[r] == 0 -> known_first[r] = first
    :: else -> skip
    fi;
    if
    :: known_first[r] != first -> disputed[r] = true; known_second[r] = first
    :: known_first[r] == first && second != 0 -> known_second[r] = second
    :: else -> skip
    fi
#endif
}

inline kill(r) {
    known_first[r] = 0;
    known_second[r] = 0;
    record[r] = 0;
    from_first_record[r] = false;
    read_restored[r] = false;
    disputed[r] = false;
    unaware[r] = false;
    ran_for_life[r] = false;
    first_settled[r] = false
}

inline pass(w) {
    ran_for_life[w] = true;
    first_settled[w] = (known_first[w] != 0 && (first_settled[w] || !(unaware[0] || unaware[1] || unaware[2])))
}

inline maybe_record(w, v) {
    if
    :: record[w] = v; count++
    :: skip
    fi
}

#define NEGATIVE(w) (record[w] == 0 && COMPLETE(w) -> 1 : 0)

/* The router may reach any witnesses. Each record names the stream's version, so the
 * worst case is that it reaches those without a record only, or none. */
inline check(r) {
    assert(!(NEGATIVE(0) + NEGATIVE(1) + NEGATIVE(2) >= ENOUGH && known_first[r] != 0 && TRUSTED(r)) || known_first[r] == begun);
    assert(!(ONLY_PROVES && known_second[r] == 0 && first != 0 && second == 0) || first == begun)
}

active proctype Fleet() {
    byte r, v, count;

end:
    do
    :: atomic {
        select (r : 0 .. 2);
        select (v : 1 .. 3);
        if
        /* The router sees a server of a version, and reads the history. */
        :: v != LATER && !PERMITS(r, v) -> register(r, v)
        /* A router of the earlier release adds the later version. */
        :: r == 0 && v == LATER && second != 0 && third == 0 -> third = LATER
        /* The router reads the history. */
        :: v == 1 && (known_first[r] != 0 || second != 0) -> register(r, 0)
        /* The router begins the stream at a version that it knows. */
        :: !used && BEGINS(r, v) ->
            used = true;
            if
            :: known_second[r] == 0 && NEEDS_NO_RECORD(r) -> begun = v
            :: else ->
                maybe_record(0, v);
                maybe_record(1, v);
                maybe_record(2, v);
                if
                :: MAY_BEGIN(r, v, count) -> begun = v
                :: else -> skip
                fi
            fi
        :: v == 1 && !one_killed -> one_killed = true; kill(r)
        :: r == 0 && v == 1 && !all_killed -> all_killed = true; kill(0); kill(1); kill(2)
        :: r == 0 && v == 1 && !copied -> copied = true; copy_first = first; copy_second = second; copy_third = third
        :: r == 0 && v == 1 && copied && !restored ->
            restored = true;
            first = copy_first;
            second = copy_second;
            third = copy_third;
            unaware[0] = (known_first[0] != 0);
            unaware[1] = (known_first[1] != 0);
            unaware[2] = (known_first[2] != 0)
        /* Lives of streams pass before this one begins. */
        :: r == 0 && v == 1 && !used -> pass(0); pass(1); pass(2)
        :: else -> skip
        fi;
        /* Not part of the state between two steps. */
        r = 0;
        v = 0;
        count = 0;
        if
        :: begun != 0 -> check(0); check(1); check(2)
        :: else -> skip
        fi
       }
    od
}
