/*
 * Reservations at another router: a requester reserves tokens at the owner of a
 * budget and settles them, over calls that may be lost, repeated, late and
 * reordered.
 *
 * Each reservation has a number. A call to reserve may be carried out twice, at any
 * time after it was sent. The requester waits for a reply or gives up; it then
 * settles with the tokens used, or with none. Settlements are sent until they are
 * acknowledged. A message of settlements may also name the next number and the
 * numbers that are open, so that the owner ends all others and refuses calls that
 * are carried out late; until then it remembers what was settled. Two messages may be under way at a time. Once all is calm,
 * the owner holds no reservation and has booked what was used.
 *
 * Mutants, each of which spin must refute:
 *   ADMIT_LATE  the owner carries out calls that the requester has given up
 *   FORGET_SETTLED  the owner does not remember what was settled since the last list
 *   SEND_ONCE  a settlement that is not acknowledged is dropped
 *   RELEASE_LATER  the owner ends reservations that are newer than the list
 *   ACCEPT_OLD_LIST  an older list replaces a newer one
 */

#define COUNT 2

mtype = { NEW, CALLED, HELD, ENDED, ACKNOWLEDGED };

/* The requester. */
mtype state[COUNT] = NEW;
byte used[COUNT];
byte next = 0;

/* Calls under way, by number: how often each may still be carried out. */
byte calls[COUNT];

/* Two messages of settlements under way. */
bool sent[2];
byte listed_next[2];
bool listed_open[4];     /* by message and number */
bool listed[2];          /* the message names the next and the open numbers */
bool listed_settled[4];
bool replied[2];         /* the owner has read the message */

/* The owner. */
bool holds[COUNT];
bool settled[COUNT];     /* settled numbers that are not below the mark */
byte mark = 0;           /* numbers below it are closed unless they are open */
bool open[COUNT];
byte booked = 0;

#define AT(m, n) ((m) * COUNT + (n))
#define IS_CLOSED(n) ((n < mark && !open[n]) || settled[n])

inline end_reservation(n, tokens) {
    if
    :: holds[n] -> holds[n] = false; booked = booked + tokens
    :: else -> skip
    fi
}

active proctype Requester() {
    byte n;
end_requester:
    do
    :: atomic { next < COUNT -> state[next] = CALLED; calls[next] = 2; next++ }
    /* The reply that the tokens are reserved arrives. */
    :: atomic { state[0] == CALLED && holds[0] -> state[0] = HELD }
    :: atomic { state[1] == CALLED && holds[1] -> state[1] = HELD }
    /* The requester gives up the call. */
    :: atomic { state[0] == CALLED -> state[0] = ENDED }
    :: atomic { state[1] == CALLED -> state[1] = ENDED }
    :: atomic { state[0] == HELD -> state[0] = ENDED; used[0] = 1 }
    :: atomic { state[1] == HELD -> state[1] = ENDED; used[1] = 1 }
    od
}

/* Sends what is not acknowledged, and drops a message that was lost. */
proctype Sender(byte m) {
    byte n;
end_sender:
    do
    :: atomic {
        !sent[m] && (state[0] == ENDED || state[1] == ENDED) ->
        sent[m] = true;
        replied[m] = false;
        if
        :: listed[m] = true
        :: listed[m] = false
        fi;
        listed_next[m] = next;
        n = 0;
        do
        :: n < COUNT ->
            listed_open[AT(m, n)] = (state[n] == CALLED || state[n] == HELD);
            listed_settled[AT(m, n)] = (state[n] == ENDED);
            n++
        :: else -> break
        od;
        n = 0
       }
    /* The message or its reply is lost: the message may have been read. */
    :: atomic {
        sent[m] && !replied[m] -> sent[m] = false;
#ifdef SEND_ONCE
        n = 0;
        do
        :: n < COUNT ->
            if
            :: listed_settled[AT(m, n)] -> state[n] = ACKNOWLEDGED
            :: else -> skip
            fi;
            n++
        :: else -> break
        od;
        n = 0
#endif
       }
    :: atomic {
        sent[m] && replied[m] ->
        sent[m] = false;
        if
        :: skip
        :: n = 0;
            do
            :: n < COUNT ->
                if
                :: listed_settled[AT(m, n)] && state[n] == ENDED -> state[n] = ACKNOWLEDGED
                :: else -> skip
                fi;
                n++
            :: else -> break
            od
        fi;
        n = 0
       }
    od
}

/* Carries out calls and reads messages in any order. */
active proctype Owner() {
    byte n, m;
end_owner:
    do
    :: atomic { calls[0] > 0 -> n = 0; goto carry_out }
    :: atomic { calls[1] > 0 -> n = 1; goto carry_out }
    :: atomic { sent[0] && !replied[0] -> m = 0; goto read }
    :: atomic { sent[1] && !replied[1] -> m = 1; goto read }
    od;
carry_out:
    atomic {
        calls[n]--;
        if
#ifdef ADMIT_LATE
        :: !holds[n] && !settled[n] -> holds[n] = true
#else
        :: !holds[n] && !IS_CLOSED(n) -> holds[n] = true
#endif
        :: else -> skip
        fi;
        n = 0;
        goto end_owner
    };
read:
    atomic {
        replied[m] = true;
        n = 0;
        do
        :: n < COUNT ->
            if
            :: listed_settled[AT(m, n)] -> end_reservation(n, used[n]);
                open[n] = false;
#ifndef FORGET_SETTLED
                settled[n] = true
#endif
            :: else -> skip
            fi;
            n++
        :: else -> break
        od;
        if
#ifdef ACCEPT_OLD_LIST
        :: listed[m] ->
#else
        :: listed[m] && listed_next[m] >= mark ->
#endif
            n = 0;
            do
            :: n < COUNT ->
                if
#ifdef RELEASE_LATER
                :: !listed_open[AT(m, n)] ->
#else
                :: n < listed_next[m] && !listed_open[AT(m, n)] ->
#endif
                    /* Nothing that the requester uses is ended. */
                    assert(!(holds[n] && state[n] == HELD));
                    end_reservation(n, 0);
                    open[n] = false
#ifdef ACCEPT_OLD_LIST
                :: n < listed_next[m] && listed_open[AT(m, n)] -> open[n] = !settled[n]
#else
                :: n < listed_next[m] && listed_open[AT(m, n)] -> open[n] = (open[n] || n >= mark) && !settled[n]
#endif
                :: else -> skip
                fi;
                n++
            :: else -> break
            od;
            mark = listed_next[m];
            /* The list closes them. */
            settled[0] = settled[0] && mark <= 0;
            settled[1] = settled[1] && mark <= 1
        :: else -> skip
        fi;
        n = 0;
        m = 0;
        goto end_owner
    }
}

active proctype Monitor() {
end_monitor:
    do
    :: atomic {
        state[0] == ACKNOWLEDGED && state[1] == ACKNOWLEDGED && calls[0] == 0 && calls[1] == 0 ->
        assert(!holds[0] && !holds[1]);
        assert(booked == used[0] + used[1]);
        break
       }
    od
}

init { atomic { run Sender(0); run Sender(1) } }
