/* Grant transfers and witnessed ceilings of one budget. The holder and the
 * receiver are routers that may hold grants; a third router is the holder's
 * witness. The holder may crash at any step, may transfer tokens to the
 * receiver, and its grant may be reclaimed down to the ceiling that the
 * witness reports. Up to PAID tokens of the budget may be spent, never more.
 *
 * Each mutant must be refuted:
 *   SPEND_UNNOTED  the holder spends beyond the ceiling that the witness has recorded
 *   LEND_UNNOTED  the holder transfers beyond the ceiling that the witness has recorded
 *   KEEP_LENT  the holder still spends tokens that it has transferred
 *   TAKE_TWICE  the receiver accepts a repeated grant transfer again
 *   RELEASE_LIVING  the grant is reclaimed while the holder still runs
 *   RELEASE_FORGOTTEN  a restarted witness reports ceiling 0
 */
#define PAID 3

byte granted = 0;          /* to the holder, according to the shard record */
byte returned = 0;         /* of the holder's grant, according to the shard record */
byte receiver_granted = 0; /* to the receiver, according to the shard record */
byte used = 0;             /* tokens spent at all routers */

byte available = 0;        /* tokens that the holder may spend or transfer */
byte consumed = 0;         /* spent or transferred by the holder in total */
byte recorded = 0;         /* the holder's ceiling at the witness */
byte ceiling = 0;          /* the ceiling that the holder knows to be recorded */
byte transferred = 0;      /* size of the grant transfer, from when it is issued */
byte received = 0;         /* transferred tokens that the receiver has not spent */
bool holder_dead = false;
bool witness_restarted = false;
bool reclaimed = false;
bool accepted = false;     /* the receiver has accepted the grant transfer */

/* Tokens that the shard record counts as held by the holder or as used from its grant. */
#define HELD (granted - returned)
#define FREE (PAID - HELD - receiver_granted)

#ifdef SPEND_UNNOTED
#define MAY_SPEND true
#else
#define MAY_SPEND (consumed < ceiling)
#endif
#ifdef LEND_UNNOTED
#define MAY_TRANSFER true
#else
#define MAY_TRANSFER (consumed < ceiling)
#endif
#ifdef KEEP_LENT
#define RETAINED 1
#else
#define RETAINED 0
#endif
#ifdef TAKE_TWICE
#define MAY_ACCEPT (received < PAID)
#else
#define MAY_ACCEPT (!accepted)
#endif
#ifdef RELEASE_LIVING
#define MAY_RECLAIM (!witness_restarted)
#define REPORTED_CEILING recorded
#else
#ifdef RELEASE_FORGOTTEN
#define MAY_RECLAIM holder_dead
#define REPORTED_CEILING (witness_restarted -> 0 : recorded)
#else
#define MAY_RECLAIM (holder_dead && !witness_restarted)
#define REPORTED_CEILING recorded
#endif
#endif

active proctype holder() {
end_holder:
    do
    :: atomic { !holder_dead && !reclaimed && FREE > 0 -> granted++; available++ }
    :: atomic { !holder_dead && !witness_restarted && consumed == ceiling && ceiling < PAID ->
        recorded = consumed + 1; ceiling = recorded }
    :: atomic { !holder_dead && available > 0 && MAY_SPEND -> available--; consumed++; used++ }
    :: atomic { !holder_dead && available > 0 && transferred == 0 && MAY_TRANSFER ->
        available = available - 1 + RETAINED; consumed++; transferred = 1 }
    :: atomic { !holder_dead -> holder_dead = true }
    :: holder_dead -> break
    od
}

active proctype receiver() {
end_receiver:
    do
    :: atomic { transferred > 0 && MAY_ACCEPT -> accepted = true; received = received + transferred }
    :: atomic { received > 0 -> received--; used++ }
    :: atomic { FREE > 0 -> receiver_granted++; used++ }
    od
}

/* The witness may restart at any step and then has lost the recorded ceiling. */
active proctype witness() {
    witness_restarted = true
}

/* Reclaims, a single time, the part of the grant above the ceiling that the
 * witness reports: the holder can't have used that part. */
active proctype reclaimer() {
end_reclaimer:
    atomic { MAY_RECLAIM -> reclaimed = true;
        if
        :: granted > REPORTED_CEILING -> returned = granted - REPORTED_CEILING
        :: else -> skip
        fi }
}

/* May take its step at any time, so that spin checks the assertion in every
 * reachable state. */
active proctype monitor() {
    assert(used <= PAID)
}
