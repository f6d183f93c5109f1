//! Which data centres are evacuated.
//!
//! Operators evacuate a data centre by writing a key to the store and end the
//! evacuation by removing the key. A store that is restored from an older copy may
//! have lost a key that the operator then writes again, so an evacuation which a
//! restored listing lacks stays in force for some time.

use std::collections::{BTreeMap, BTreeSet};

/// How long an evacuation stays in force that a restored listing lacks, in
/// milliseconds. Operators write it again within about two seconds.
pub const RESTORED_EVACUATION_MS: u64 = 2_500;

/// Until when an evacuation is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Validity {
    /// Until the operator's key is removed.
    UntilRemoved,
    /// Until this time in milliseconds, unless the key is written before.
    UntilMs(u64),
}

/// The evacuations of one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DataCentre {
    /// The current evacuation, if any.
    current: Option<Validity>,
    /// When the last evacuation ended, in milliseconds.
    ended_ms: Option<u64>,
}

impl DataCentre {
    fn end(&mut self, now_ms: u64) {
        // An evacuation whose time has passed ended then.
        let ended_ms = match self.current.take() {
            Some(Validity::UntilMs(until_ms)) => until_ms.min(now_ms),
            _ => now_ms,
        };
        self.ended_ms = Some(ended_ms);
    }

    fn is_evacuated(&self, now_ms: u64) -> bool {
        match self.current {
            None => false,
            Some(Validity::UntilRemoved) => true,
            Some(Validity::UntilMs(until_ms)) => now_ms < until_ms,
        }
    }
}

/// What a listing of the operators' keys has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// The data centres that are evacuated from now on.
    pub begun: Vec<String>,
    /// The data centres whose evacuation has ended.
    pub ended: Vec<String>,
    /// The data centres whose evacuation a restored listing lacks. It ends after
    /// [`RESTORED_EVACUATION_MS`] unless it is written again.
    pub unconfirmed: Vec<String>,
}

/// The evacuations of all data centres, as one router knows them. All times are in
/// milliseconds on the router's clock.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    data_centres: BTreeMap<String, DataCentre>,
}

impl Evacuations {
    /// Records that the key of an evacuation has been written. Returns whether the
    /// data centre was not evacuated before.
    pub fn begin(&mut self, data_centre: &str, now_ms: u64) -> bool {
        let known = self.data_centres.entry(data_centre.to_owned()).or_default();
        let was_evacuated = known.is_evacuated(now_ms);
        if !was_evacuated && known.current.is_some() {
            known.end(now_ms);
        }
        known.current = Some(Validity::UntilRemoved);
        !was_evacuated
    }

    /// Records that the key of an evacuation has been removed. Returns whether the
    /// data centre was evacuated.
    pub fn end(&mut self, data_centre: &str, now_ms: u64) -> bool {
        let known = self.data_centres.get_mut(data_centre);
        let Some(known) = known.filter(|known| known.current.is_some()) else {
            return false;
        };
        let was_evacuated = known.is_evacuated(now_ms);
        known.end(now_ms);
        was_evacuated
    }

    /// Applies a listing that has the keys of `listed`. `restored`: whether it is the
    /// first one after a restore of the store from an older copy.
    pub fn apply_listing(
        &mut self,
        listed: &BTreeSet<String>,
        restored: bool,
        now_ms: u64,
    ) -> EvacuationChanges {
        let mut changes = EvacuationChanges {
            ended: self.expire(now_ms),
            ..EvacuationChanges::default()
        };
        for (name, known) in &mut self.data_centres {
            match known.current {
                Some(_) if listed.contains(name) => {}
                Some(_) if restored => {
                    let until_ms = now_ms + RESTORED_EVACUATION_MS;
                    known.current = Some(Validity::UntilMs(until_ms));
                    changes.unconfirmed.push(name.clone());
                }
                Some(Validity::UntilRemoved) => {
                    known.end(now_ms);
                    changes.ended.push(name.clone());
                }
                // Later listings may precede the operator's second write, too.
                Some(Validity::UntilMs(_)) | None => {}
            }
        }
        for name in listed {
            if self.begin(name, now_ms) {
                changes.begun.push(name.clone());
            }
        }
        changes
    }

    /// Ends the evacuations that were not written again in time after a restore and
    /// returns their data centres. They are out of force without this call, too.
    pub fn expire(&mut self, now_ms: u64) -> Vec<String> {
        let known = self.data_centres.iter_mut();
        let expired = known.filter(|(_, known)| {
            matches!(known.current, Some(Validity::UntilMs(until_ms)) if now_ms >= until_ms)
        });
        expired
            .map(|(name, known)| {
                known.end(now_ms);
                name.clone()
            })
            .collect()
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str, now_ms: u64) -> bool {
        let known = self.data_centres.get(data_centre);
        known.is_some_and(|known| known.is_evacuated(now_ms))
    }

    /// Returns the number of evacuated data centres.
    #[must_use]
    pub fn count(&self, now_ms: u64) -> usize {
        let known = self.data_centres.values();
        known.filter(|known| known.is_evacuated(now_ms)).count()
    }

    /// Returns when the last evacuation of a data centre ended, in milliseconds;
    /// `None` if this router knows of none. If one is about to end because it was not
    /// written again after a restore, this is the end of that one, in the future.
    #[must_use]
    pub fn ended_ms(&self, data_centre: &str) -> Option<u64> {
        let known = self.data_centres.get(data_centre)?;
        match known.current {
            Some(Validity::UntilMs(until_ms)) => Some(until_ms),
            Some(Validity::UntilRemoved) | None => known.ended_ms,
        }
    }
}
