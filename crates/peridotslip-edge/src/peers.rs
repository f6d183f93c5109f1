//! The other routers: who they are and which of them answer.
//!
//! Routers find each other by entries in the store. Whether one answers is
//! learned from the exchanges themselves; one that fails is passed over until
//! it answers a probe. Nothing here has to be agreed on: two routers that
//! disagree only divide the work otherwise.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use peridotslip::{ids::Incarnation, members::rank};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::rpc::{self, Client, RpcRequest};

/// Time between two probes of a router that does not answer, in milliseconds.
const PROBE_PAUSE_MS: u64 = 500;
/// Longest wait for the answer to a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;

/// A router's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// The VM's name, which is also the entry's key.
    pub(crate) vm: String,
    /// Where it answers peers.
    pub(crate) address: String,
    /// Its run.
    pub(crate) incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    answers: bool,
    leaving: bool,
}

/// The other routers of the fleet.
pub(crate) struct Peers {
    me: Member,
    others: Mutex<BTreeMap<String, Peer>>,
    /// Whether all entries in the store have been read once.
    listed: AtomicBool,
    client: Client,
}

impl Peers {
    pub(crate) fn new(me: Member) -> Arc<Self> {
        Arc::new(Self {
            me,
            others: Mutex::default(),
            listed: AtomicBool::new(false),
            client: Client::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Peer>> {
        self.others.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This router's entry.
    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    /// All entries in the store have been read.
    pub(crate) fn set_listed(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    /// Whether all entries in the store have been read once.
    pub(crate) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Takes in an entry.
    pub(crate) fn insert(&self, member: Member) {
        if member.vm == self.me.vm {
            return;
        }
        let mut peers = self.lock();
        if peers.get(&member.vm).map(|peer| &peer.member) == Some(&member) {
            return;
        }
        log::info!(peer = member.vm.as_str(), address = member.address.as_str(); "router joined");
        let peer = Peer {
            member: member.clone(),
            answers: true,
            leaving: false,
        };
        peers.insert(member.vm, peer);
    }

    /// Forgets an entry.
    pub(crate) fn remove(&self, vm: &str) {
        if self.lock().remove(vm).is_some() {
            log::info!(peer = vm; "router left");
        }
    }

    /// The known runs of other routers.
    pub(crate) fn incarnations(&self) -> Vec<Incarnation> {
        let peers = self.lock();
        peers.values().map(|peer| peer.member.incarnation).collect()
    }

    /// The known runs of other routers that still tell what they have noted: a
    /// router that leaves tells nothing any more.
    pub(crate) fn remembering(&self) -> Vec<Incarnation> {
        let peers = self.lock();
        let staying = peers.values().filter(|peer| !peer.leaving);
        staying.map(|peer| peer.member.incarnation).collect()
    }

    /// The router whose run this is, if it is known.
    pub(crate) fn by_incarnation(&self, incarnation: Incarnation) -> Option<Member> {
        let peers = self.lock();
        let mut members = peers.values().map(|peer| &peer.member);
        members
            .find(|member| member.incarnation == incarnation)
            .cloned()
    }

    /// The VM whose router answers peers at `address`.
    pub(crate) fn vm_at(&self, address: &str) -> Option<String> {
        let peers = self.lock();
        let mut members = peers.values().map(|peer| &peer.member);
        let other = members.find(|member| member.address == address);
        other
            .or_else(|| Some(&self.me).filter(|me| me.address == address))
            .map(|member| member.vm.clone())
    }

    /// How many routers the fleet has, those that don't answer included.
    pub(crate) fn fleet_size(&self) -> usize {
        self.lock().len() + 1
    }

    /// A run of a router has ended, or is about to.
    pub(crate) fn set_leaving(&self, incarnation: Incarnation) {
        let mut peers = self.lock();
        let mut others = peers.values_mut();
        if let Some(peer) = others.find(|peer| peer.member.incarnation == incarnation)
            && !peer.leaving
        {
            peer.leaving = true;
            log::info!(peer = peer.member.vm.as_str(); "router is leaving");
        }
    }

    /// The routers that answer and stay, this one included if `with_me`, in the order
    /// in which they should take on `duty`.
    pub(crate) fn ranked(&self, duty: &str, with_me: bool) -> Vec<Member> {
        let mut ranked: Vec<Member> = self
            .lock()
            .values()
            .filter(|peer| peer.answers && !peer.leaving)
            .map(|peer| peer.member.clone())
            .collect();
        if with_me {
            ranked.push(self.me.clone());
        }
        ranked.sort_by_key(|member| std::cmp::Reverse(rank(duty, &member.vm)));
        ranked
    }

    /// Asks a router.
    pub(crate) async fn call<Q: RpcRequest, A: DeserializeOwned>(
        &self,
        member: &Member,
        request: &Q,
        timeout: Duration,
    ) -> rpc::Result<A> {
        let answer = self.client.call(&member.address, request, timeout).await;
        if let Err(err) = &answer {
            self.set_answers(member, false, &err.to_string());
        }
        answer
    }

    fn set_answers(&self, member: &Member, answers: bool, reason: &str) {
        let mut peers = self.lock();
        let Some(peer) = peers.get_mut(&member.vm) else {
            return;
        };
        if peer.member != *member || peer.answers == answers {
            return;
        }
        peer.answers = answers;
        let peer = member.vm.as_str();
        if answers {
            log::info!(peer; "router answers again");
        } else {
            log::warn!(peer, reason; "router does not answer");
        }
    }

    fn silent(&self) -> Vec<Member> {
        let peers = self.lock();
        let silent = peers.values().filter(|peer| !peer.answers);
        silent.map(|peer| peer.member.clone()).collect()
    }

    /// Probes the routers that don't answer, with `probe`, until the process
    /// ends.
    pub(crate) async fn probe_silent<Q: RpcRequest>(self: Arc<Self>, probe: Q) {
        loop {
            tokio::time::sleep(Duration::from_millis(PROBE_PAUSE_MS)).await;
            for member in self.silent() {
                let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
                let answer: rpc::Result<bool> =
                    self.client.call(&member.address, &probe, timeout).await;
                if answer == Ok(true) {
                    self.set_answers(&member, true, "");
                }
            }
        }
    }
}
