/*
 * Release of witnesses: a holder whose witnesses are unreachable names none in
 * the record, so that no ceiling bounds its use any more.
 *
 * The holder spends up to a ceiling that its witness has recorded. While the
 * witness is unreachable, the holder may write a record that names no witness,
 * by compare-and-swap; the reply may be lost, and the write may take effect late.
 * Once the reply has arrived, the holder spends what every copy of the store
 * shows as granted. A second router is granted the free tokens. The holder may
 * die at any step. A reclaimer reads the record, seals the ceiling at the witness
 * that the record names and frees what lies above it. The store may return once
 * to its last copy; the record is then made from the copy, from what the living
 * routers hold and, for a dead holder, from the recorded ceiling. No more than
 * PAID tokens may be spent.
 *
 * Mutants, each of which spin must refute:
 *   SPEND_UNCONFIRMED  the holder exceeds the ceiling before the reply has arrived
 *   STALE_RECLAIM  the reclaimer writes without comparing the revision
 *   KEEP_WITNESSES  the witnesses that the copy names may reclaim the grant of a dead holder
 *   USE_RECENT  a holder without witnesses spends grants that a copy may lack
 */

#define PAID 3

/* The record. */
byte granted = 0;
byte freed = 0;
byte second_granted = 0;
bool named = true;
byte revision = 0;

/* The last copy of the store. */
byte copied_granted = 0;
byte copied_second = 0;
bool copied_named = true;

bool restored = false;

/* The holder. */
byte held = 0;              /* granted, by the replies that have arrived */
byte used = 0;
byte recorded = 0;          /* the ceiling at the witness */
bool sealed = false;
bool dead = false;
bool released = false;      /* the reply to the release has arrived */
byte write_revision = 0;
bool release_sent = false;

byte second_used = 0;

#define FREE (PAID - (granted - freed) - second_granted)

#ifdef SPEND_UNCONFIRMED
#define RELEASED release_sent
#else
#define RELEASED released
#endif
#ifdef USE_RECENT
#define AGED held
#else
#define AGED copied_granted
#endif

active proctype Holder() {
end_holder:
    do
    :: atomic { !dead && FREE > 0 -> granted++; held = granted; revision++ }
    :: atomic { !dead && !sealed && recorded < PAID -> recorded++ }
    :: atomic { !dead && used < held && (used < recorded || (RELEASED && used < AGED)) -> used++ }
    :: atomic { !dead && !release_sent -> release_sent = true; write_revision = revision }
    :: atomic { !dead -> dead = true; break }
    od
}

/* The store applies the release, possibly late or never. The reply may be lost. */
active proctype Release() {
end_release:
    atomic {
        release_sent && !restored && write_revision == revision ->
        named = false;
        revision++;
        if
        :: !dead -> released = true
        :: skip
        fi
    }
}

active proctype Second() {
end_second:
    do
    :: atomic { FREE > 0 -> second_granted++; revision++; second_used++ }
    od
}

/* Reclaims once: the entry of a later process on the holder's VM has proved the end. */
active proctype Reclaimer() {
    byte read_revision;
    byte read_granted;
end_reclaimer:
    atomic { named -> read_revision = revision; read_granted = granted };
#ifdef STALE_RECLAIM
end_dead:
    atomic { dead -> sealed = true };
    atomic { freed = (read_granted > recorded -> read_granted - recorded : 0) }
#else
end_dead:
    atomic { dead -> sealed = true };
    atomic {
        if
        :: read_revision == revision ->
            freed = (read_granted > recorded -> read_granted - recorded : 0);
            revision++
        :: else -> skip
        fi
    }
#endif
}

active proctype Store() {
end_store:
    do
    :: atomic {
        copied_granted = granted;
        copied_second = second_granted;
        copied_named = named
       }
    :: atomic {
        !restored ->
        restored = true;
        freed = 0;
        revision++;
        second_granted = second_used;
        if
        :: !dead ->
            granted = held;
            named = !released
        :: else ->
            granted = (recorded > copied_granted -> recorded : copied_granted);
            granted = (granted > PAID - second_granted -> PAID - second_granted : granted);
#ifdef KEEP_WITNESSES
            named = copied_named
#else
            named = false
#endif
        fi;
        break
       }
    od
}

active proctype Monitor() {
    assert(used + second_used <= PAID)
}
