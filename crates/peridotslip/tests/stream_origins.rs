//! Where streams began, in a simulated fleet whose routers die, one by one or all at
//! once, restart and are partitioned from the store and from each other, and whose store
//! returns to older copies of itself.

use peridotslip::forwarding::{
    HistorySource, MAX_STREAM_MS, ORIGIN_WITNESSES, OriginQuery, OriginVerdict, StoredHistory,
    StreamOrigin, StreamOrigins, VersionHistory, origin_majority,
};
use proptest::prelude::*;

const SERVICE: &str = "model";
const ROUTERS: usize = 5;

/// Returns what a router reads of these versions in the store.
fn history(versions: &[String]) -> VersionHistory {
    let stored = serde_json::json!({ "versions": versions });
    let stored: StoredHistory = serde_json::from_value(stored).unwrap();
    stored.history()
}

/// One step of the fleet. Routers and streams are chosen modulo their number;
/// `reached` has a bit for each router that a call reaches.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Servers of a new version register, and a router adds the version.
    AddVersion { router: usize },
    /// A router sees servers of a version that may have been added before.
    SeeVersion { router: usize, version: usize },
    /// A router of the earlier release, which adds all versions, adds one.
    AddByEarlierRelease { version: usize },
    /// A router reads the history and adds what it knows.
    ReadHistory { router: usize },
    /// A stream begins at a server of the `version`th version that the router
    /// knows.
    Begin {
        router: usize,
        version: usize,
        reached: u8,
    },
    /// A caller resumes a stream at a router.
    Resume {
        router: usize,
        stream: usize,
        reached: u8,
        store_reached: bool,
    },
    /// A router loses all it knows and starts again.
    Restart { router: usize },
    /// All routers lose all they know and start again.
    RestartAll,
    /// The store copies itself.
    Copy,
    /// The store returns to its copy, which is empty at first.
    Restore,
    /// Time passes.
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let router = 0..ROUTERS;
    let step = prop_oneof![
        1 => router.clone().prop_map(|router| Step::AddVersion { router }),
        2 => (router.clone(), 1..4_usize).prop_map(|(router, version)| {
            Step::SeeVersion { router, version }
        }),
        1 => (1..6_usize).prop_map(|version| Step::AddByEarlierRelease { version }),
        3 => router.clone().prop_map(|router| Step::ReadHistory { router }),
        4 => (router.clone(), 0..4_usize, any::<u8>()).prop_map(|(router, version, reached)| {
            Step::Begin { router, version, reached }
        }),
        6 => (router.clone(), 0..50_usize, any::<u8>(), any::<bool>()).prop_map(
            |(router, stream, reached, store_reached)| Step::Resume {
                router,
                stream,
                reached,
                store_reached,
            }
        ),
        2 => router.prop_map(|router| Step::Restart { router }),
        1 => Just(Step::RestartAll),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
        2 => (1..MAX_STREAM_MS / 2).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..80)
}

struct Stream {
    version: String,
    began_ms: u64,
}

struct Fleet {
    now_ms: u64,
    /// The versions in the store.
    stored: Vec<String>,
    copied: Vec<String>,
    /// When the store last returned to a copy.
    restored_ms: Option<u64>,
    versions: usize,
    routers: Vec<StreamOrigins>,
    streams: Vec<Stream>,
}

impl Fleet {
    fn start() -> Self {
        Self {
            now_ms: 0,
            stored: Vec::new(),
            copied: Vec::new(),
            restored_ms: None,
            versions: 0,
            routers: vec![StreamOrigins::new(0); ROUTERS],
            streams: Vec::new(),
        }
    }

    fn witnesses(stream: usize) -> impl Iterator<Item = usize> {
        (0..ORIGIN_WITNESSES).map(move |offset| (stream + offset) % ROUTERS)
    }

    fn add_version(&mut self, router: usize) {
        self.versions += 1;
        self.register(router, &[format!("v{}", self.versions)]);
    }

    /// Adds versions to the history and has the router read it.
    fn register(&mut self, router: usize, versions: &[String]) {
        let before = history(&self.stored);
        let mut after = before.clone();
        for version in versions {
            after.add(version);
        }
        self.stored = after.versions().to_vec();
        let source = match self.restored_ms {
            None => HistorySource::Complete,
            Some(_) => HistorySource::Restored,
        };
        let state = &mut self.routers[router];
        state.set_history(SERVICE, &before, &after, source, self.now_ms);
    }

    /// Has a router read the history and add what it knows.
    fn read_history(&mut self, router: usize) {
        let known = self.routers[router].versions(SERVICE).to_vec();
        self.register(router, &known);
    }

    /// Lets time pass. Routers that ran before a restore notice it within the life of a
    /// stream.
    fn wait(&mut self, ms: u64) {
        let noticed_ms = self.restored_ms.map(|at_ms| at_ms + MAX_STREAM_MS);
        if noticed_ms.is_some_and(|noticed_ms| self.now_ms + ms >= noticed_ms) {
            for router in 0..ROUTERS {
                if !self.routers[router].versions(SERVICE).is_empty() {
                    self.read_history(router);
                }
            }
        }
        self.now_ms += ms;
    }

    /// Returns the versions at which a router may begin streams.
    fn permitted(&self, router: usize) -> Vec<String> {
        let versions = (1..=self.versions).map(|version| format!("v{version}"));
        let state = &self.routers[router];
        versions
            .filter(|version| state.permits(SERVICE, version))
            .collect()
    }

    /// Begins a stream if the router knows a version and a majority of the
    /// witnesses records it where that is needed. A stream of the first version may
    /// begin with fewer records.
    fn begin(&mut self, router: usize, version: usize, reached: u8) {
        let permitted = self.permitted(router);
        let Some(version) = permitted.get(version % permitted.len().max(1)).cloned() else {
            return;
        };
        let stream = self.streams.len();
        if self.routers[router].must_record(SERVICE, self.now_ms) {
            let origin = StreamOrigin {
                service: SERVICE.to_owned(),
                version: version.clone(),
            };
            let expires_ms = self.now_ms + MAX_STREAM_MS;
            let mut recorded = 0;
            for witness in Self::witnesses(stream) {
                if witness == router || reached & (1 << witness) != 0 {
                    let state = &mut self.routers[witness];
                    let id = stream.to_string();
                    recorded +=
                        usize::from(state.record(&id, origin.clone(), expires_ms, self.now_ms));
                }
            }
            let may_begin =
                self.routers[router].may_begin_unrecorded(SERVICE, &version, self.now_ms);
            if recorded < origin_majority(ORIGIN_WITNESSES) && !may_begin {
                // The caller got no event. The ID is not used again.
                self.streams.push(Stream {
                    version: String::new(),
                    began_ms: 0,
                });
                return;
            }
        }
        self.streams.push(Stream {
            version,
            began_ms: self.now_ms,
        });
    }

    /// Returns the version at which a router resumes a stream.
    fn resume(
        &self,
        router: usize,
        stream: usize,
        reached: u8,
        store_reached: bool,
    ) -> Option<String> {
        let mut query = OriginQuery::new(ORIGIN_WITNESSES);
        let services = [SERVICE.to_owned()];
        for witness in Self::witnesses(stream) {
            if witness != router && reached & (1 << witness) == 0 {
                continue;
            }
            let reply = self.routers[witness].find(&stream.to_string(), &services, self.now_ms);
            match query.add(reply) {
                Some(OriginVerdict::Recorded(origin)) => return Some(origin.version),
                Some(OriginVerdict::NeverRecorded) => {
                    let first = self.routers[router].first_version(SERVICE, self.now_ms);
                    return first.cloned();
                }
                None => {}
            }
        }
        let proves = store_reached && self.restored_ms.is_none();
        history(&self.stored).only().filter(|_| proves).cloned()
    }

    fn run(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::AddVersion { router } => self.add_version(router),
            Step::SeeVersion { router, version } => {
                if version <= self.versions {
                    self.register(router, &[format!("v{version}")]);
                }
            }
            Step::AddByEarlierRelease { version } => {
                let version = format!("v{version}");
                if !self.stored.contains(&version) {
                    self.stored.push(version);
                }
            }
            Step::ReadHistory { router } => self.read_history(router),
            Step::Begin {
                router,
                version,
                reached,
            } => self.begin(router, version, reached),
            Step::Resume {
                router,
                stream,
                reached,
                store_reached,
            } => {
                let Some(begun) = self.streams.get(stream % self.streams.len().max(1)) else {
                    return Ok(());
                };
                if begun.version.is_empty() || self.now_ms >= begun.began_ms + MAX_STREAM_MS {
                    return Ok(());
                }
                let stream = stream % self.streams.len();
                let resumed = self.resume(router, stream, reached, store_reached);
                if let Some(version) = resumed {
                    prop_assert_eq!(&version, &begun.version);
                }
            }
            Step::Restart { router } => self.routers[router] = StreamOrigins::new(self.now_ms),
            Step::RestartAll => self.routers = vec![StreamOrigins::new(self.now_ms); ROUTERS],
            Step::Copy => self.copied = self.stored.clone(),
            Step::Restore => {
                self.stored = self.copied.clone();
                self.restored_ms = Some(self.now_ms);
            }
            Step::Wait { ms } => self.wait(ms),
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Guards against ORDER: a stream goes on at its version or not at all.
    #[test]
    fn a_stream_never_resumes_at_another_version(steps in steps()) {
        let mut fleet = Fleet::start();
        for step in steps {
            fleet.run(step)?;
        }
    }
}

#[test]
fn every_stream_resumes_while_a_majority_of_its_witnesses_lives() {
    let mut fleet = Fleet::start();
    fleet.add_version(0);
    for router in 0..ROUTERS {
        fleet.run(Step::ReadHistory { router }).unwrap();
    }
    // Begins at the only version, and isn't recorded.
    fleet.begin(0, 0, u8::MAX);
    fleet.add_version(1);
    for stream in 1..=20 {
        let router = stream % ROUTERS;
        fleet.run(Step::ReadHistory { router }).unwrap();
        fleet.begin(router, stream, u8::MAX);
    }
    fleet.run(Step::Restart { router: 0 }).unwrap();

    for (stream, begun) in fleet.streams.iter().enumerate() {
        let resumed = fleet.resume((stream + 1) % ROUTERS, stream, u8::MAX, false);

        assert_eq!(resumed.as_ref(), Some(&begun.version), "stream {stream}");
    }
}

/// Guards against the history of a restored store, which another router has begun anew
/// with the later version: it became the version of all streams without a record.
#[test]
fn restored_history_in_another_order_leaves_no_first_version() {
    let mut fleet = Fleet::start();
    fleet.add_version(0);
    fleet.add_version(0);
    fleet.run(Step::Restore).unwrap();
    fleet.run(Step::Restart { router: 1 }).unwrap();
    let later = Step::SeeVersion {
        router: 1,
        version: 2,
    };
    fleet.run(later).unwrap();

    fleet.run(Step::ReadHistory { router: 0 }).unwrap();

    assert_eq!(fleet.routers[0].versions(SERVICE), ["v1", "v2"]);
    assert_eq!(fleet.routers[0].first_version(SERVICE, fleet.now_ms), None);
    assert_eq!(fleet.routers[1].first_version(SERVICE, fleet.now_ms), None);
}

/// Guards against a witness that answers for streams whose records have expired.
#[test]
fn witness_proves_nothing_once_records_may_have_expired() {
    let mut fleet = Fleet::start();
    fleet.add_version(0);
    fleet.add_version(0);
    let services = [SERVICE.to_owned()];

    let early = fleet.routers[0].find("begun", &services, MAX_STREAM_MS - 1);
    let late = fleet.routers[0].find("begun", &services, MAX_STREAM_MS);

    assert!(early.complete);
    assert!(!late.complete);
}

/// Guards against a router that has run for long, but has read its first history only
/// after a restore: others may still begin streams of an earlier first version.
#[test]
fn first_version_is_trusted_two_lives_after_a_read_that_followed_a_restore() {
    let mut fleet = Fleet::start();
    fleet.run(Step::Restore).unwrap();
    fleet.wait(2 * MAX_STREAM_MS);
    let read_ms = fleet.now_ms;
    fleet.add_version(0);

    let state = &fleet.routers[0];
    let early = state.first_version(SERVICE, read_ms + 2 * MAX_STREAM_MS - 1);
    let late = state.first_version(SERVICE, read_ms + 2 * MAX_STREAM_MS);

    assert_eq!(early, None);
    assert_eq!(late.map(String::as_str), Some("v1"));
}

/// Guards against histories that grow with each change and are never shortened.
#[test]
fn history_stays_short_over_many_versions() {
    let mut history = VersionHistory::default();

    for version in 0..10_000 {
        history.add(&format!("v{version}"));
    }

    assert_eq!(history.versions(), ["v0", "v1"]);
    assert!(history.permits("v9999"));
    assert_eq!(history.only(), None);
}

/// Guards against versions whose length alone fills a value of the store.
#[test]
fn long_versions_are_named_by_digests() {
    let versions = ["a", "b"].map(|letter| letter.repeat(1_000_000));
    let mut history = VersionHistory::default();

    history.add(&versions[0]);
    assert!(history.contains(&versions[0]));
    assert!(!history.permits(&versions[1]));
    history.add(&versions[1]);

    assert_eq!(history.versions().len(), 2);
    assert!(serde_json::to_vec(&history).unwrap().len() < 200);
}

/// Guards against taking an unreadable history for an empty one: any versions may have
/// served before.
#[test]
fn unreadable_history_proves_nothing() {
    let stored = StoredHistory::unreadable(b"[[[");
    let history = stored.history();
    let mut state = StreamOrigins::new(0);

    state.set_history(SERVICE, &history, &history, HistorySource::Complete, 0);

    assert_eq!(history.only(), None);
    assert!(state.must_record(SERVICE, 0));
    assert!(!state.may_begin_unrecorded(SERVICE, "v1", 0));
    let services = [SERVICE.to_owned()];
    assert!(!state.find("begun", &services, MAX_STREAM_MS - 1).complete);
}
