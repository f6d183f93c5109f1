/*
 * Relay: a router that reads the store's changes through relays that come and go.
 *
 * The store has two keys, and each write of one of them is a revision. The store
 * is restored from an older copy once; revisions are given out again then. Two
 * relays read the store and pass on the last change of each key since they
 * started; a relay may start anew at any step, and reads at any time. The
 * follower asks either relay or the store at any step. At each step, the follower
 * must have just what the store had at the follower's position, and its position
 * must not go back within an epoch.
 *
 * Mutants, each of which spin must refute:
 *   NO_EPOCH   a relay compares revisions without their epochs
 *   NO_BASE    a relay serves a follower whose position is before its start
 *   GO_BACK    a follower takes over the position of a relay that has read less
 *   KEEP_LOG   a relay that starts anew at a later position keeps its changes
 */

#define REVISIONS 3
#define AT(e, r) ((e) * (REVISIONS + 1) + (r))

byte epoch = 0;
byte revision = 0;
byte copied = 0;

/* The revision of the last write of each key at each revision of an epoch. */
byte first[8];
byte second[8];

/* The relays: where the log starts and ends, and the last change of each key. */
bool started[2];
byte relay_epoch[2];
byte base[2];
byte position[2];
byte first_change[2];
byte second_change[2];

/* The follower. */
byte known_epoch = 0;
byte known = 0;
byte known_first = 0;
byte known_second = 0;

#ifdef NO_EPOCH
#define SAME_EPOCH(r) true
#else
#define SAME_EPOCH(r) (relay_epoch[r] == known_epoch)
#endif
#ifdef NO_BASE
#define COVERED(r) true
#else
#define COVERED(r) (known >= base[r])
#endif

inline write(f, s) {
    revision++;
    first[AT(epoch, revision)] = (f -> revision : first[AT(epoch, revision - 1)]);
    second[AT(epoch, revision)] = (s -> revision : second[AT(epoch, revision - 1)]);
}

active proctype Store() {
    byte i;
    bool restored = false;

    do
    :: atomic { revision < REVISIONS -> write(true, false) }
    :: atomic { revision < REVISIONS -> write(false, true) }
    :: atomic { epoch == 0 -> copied = revision }
    :: atomic {
        !restored ->
        restored = true;
        i = 0;
        do
        :: i <= copied ->
            first[AT(1, i)] = first[AT(0, i)];
            second[AT(1, i)] = second[AT(0, i)];
            i++
        :: else -> break
        od;
        i = 0;
        revision = copied;
        epoch = 1
    }
    od
}

proctype Relay(byte r) {
    do
    /* Starts, also anew after a pause or in another epoch. */
    :: atomic {
        started[r] = true;
        relay_epoch[r] = epoch;
        base[r] = revision;
        position[r] = revision;
#ifndef KEEP_LOG
        first_change[r] = 0;
        second_change[r] = 0
#endif
    }
    /* Reads the changes after its position. */
    :: atomic {
        started[r] && relay_epoch[r] == epoch ->
        if
        :: first[AT(epoch, revision)] > position[r] ->
            first_change[r] = first[AT(epoch, revision)]
        :: else -> skip
        fi;
        if
        :: second[AT(epoch, revision)] > position[r] ->
            second_change[r] = second[AT(epoch, revision)]
        :: else -> skip
        fi;
        position[r] = revision
    }
    od
}

/* Takes over what relay r has after the known position. */
inline follow(r) {
    atomic {
        started[r] && SAME_EPOCH(r) && COVERED(r) ->
        if
        :: first_change[r] > known -> known_first = first_change[r]
        :: else -> skip
        fi;
        if
        :: second_change[r] > known -> known_second = second_change[r]
        :: else -> skip
        fi;
#ifdef GO_BACK
        known = position[r];
#else
        known = (position[r] > known -> position[r] : known);
#endif
        assert(known_first == first[AT(known_epoch, known)]);
        assert(known_second == second[AT(known_epoch, known)])
    }
}

active proctype Follower() {
    do
    :: follow(0)
    :: follow(1)
    /* Reads all keys from the store. */
    :: atomic {
        known_epoch = epoch;
        known = revision;
        known_first = first[AT(epoch, revision)];
        known_second = second[AT(epoch, revision)]
    }
    od
}

init {
    atomic {
        run Relay(0);
        run Relay(1)
    }
}
