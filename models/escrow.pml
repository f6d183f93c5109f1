/* Vouchers and witnessed ceilings of one budget: two routers may hold grants,
 * a third is the witness of the first. The first may die at any step, lend
 * to the second, and be released on the witness's word. All of a budget of
 * PAID tokens may be spent, never more.
 *
 * Each mutant must be refuted:
 *   SPEND_UNNOTED  the holder spends beyond what the witness has noted
 *   LEND_UNNOTED  the holder lends beyond what the witness has noted
 *   KEEP_LENT  the holder goes on spending what it has lent
 *   TAKE_TWICE  the borrower takes a repeated voucher in again
 *   RELEASE_LIVING  the holder is released though it still runs
 *   RELEASE_FORGOTTEN  a witness that has started anew tells ceiling 0
 */
#define PAID 3

byte granted = 0;     /* of the holder, as the record has it */
byte returned = 0;    /* of the holder's grant, as the record has it */
byte granted2 = 0;    /* of the borrower */
byte used = 0;        /* tokens really used */

byte at_hand = 0;     /* of the holder */
byte life_use = 0;    /* spent or lent by the holder over its life */
byte noted = 0;       /* by the witness, for the holder */
byte ceiling = 0;     /* that the holder knows to be noted */
byte lent = 0;        /* size of the voucher on its way, sent until taken */
byte borrowed = 0;    /* at the borrower */
bool holder_dead = false;
bool witness_fresh = false; /* the witness has started anew */
bool released = false;
bool taken = false;

/* Tokens that the record counts as held by the holder, or used out of it. */
#define HELD (granted - returned)
#define FREE (PAID - HELD - granted2)

#ifdef SPEND_UNNOTED
#define MAY_SPEND true
#else
#define MAY_SPEND (life_use < ceiling)
#endif
#ifdef LEND_UNNOTED
#define MAY_LEND true
#else
#define MAY_LEND (life_use < ceiling)
#endif
#ifdef KEEP_LENT
#define KEPT 1
#else
#define KEPT 0
#endif
#ifdef TAKE_TWICE
#define MAY_TAKE (borrowed < PAID)
#else
#define MAY_TAKE (!taken)
#endif
#ifdef RELEASE_LIVING
#define MAY_RELEASE (!witness_fresh)
#define TOLD noted
#else
#ifdef RELEASE_FORGOTTEN
#define MAY_RELEASE holder_dead
#define TOLD (witness_fresh -> 0 : noted)
#else
#define MAY_RELEASE (holder_dead && !witness_fresh)
#define TOLD noted
#endif
#endif

active proctype holder() {
end_holder:
    do
    :: atomic { !holder_dead && !released && FREE > 0 -> granted++; at_hand++ }
    :: atomic { !holder_dead && !witness_fresh && life_use == ceiling && ceiling < PAID ->
        noted = life_use + 1; ceiling = noted }
    :: atomic { !holder_dead && at_hand > 0 && MAY_SPEND -> at_hand--; life_use++; used++ }
    :: atomic { !holder_dead && at_hand > 0 && lent == 0 && MAY_LEND ->
        at_hand = at_hand - 1 + KEPT; life_use++; lent = 1 }
    :: atomic { !holder_dead -> holder_dead = true }
    :: holder_dead -> break
    od
}

active proctype borrower() {
end_borrower:
    do
    :: atomic { lent > 0 && MAY_TAKE -> taken = true; borrowed = borrowed + lent }
    :: atomic { borrowed > 0 -> borrowed--; used++ }
    :: atomic { FREE > 0 -> granted2++; used++ }
    od
}

/* The witness may start anew, and then knows nothing. */
active proctype witness() {
    witness_fresh = true
}

/* What a holder can't have used is freed once on its witness's word. */
active proctype releaser() {
end_releaser:
    atomic { MAY_RELEASE -> released = true;
        if
        :: granted > TOLD -> returned = granted - TOLD
        :: else -> skip
        fi }
}

active proctype monitor() {
    assert(used <= PAID)
}
