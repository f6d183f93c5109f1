//! Membership updates that routers exchange.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, Revision};

/// A router process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// `IP:port` of the router's peer listener, which identifies the router across
    /// restarts.
    pub address: String,
    /// The incarnation of the process, which changes with each restart.
    pub incarnation: Incarnation,
    /// The firm that the router serves; routers of different firms don't
    /// exchange updates.
    pub firm: String,
    /// The name of the router's VM.
    pub vm: String,
    /// The router's data centre.
    pub data_centre: String,
    /// The revision of the tables that was active on the router when it last
    /// reported one.
    pub revision: Revision,
}

/// The state of a router in a view of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The router responds.
    Live,
    /// The router did not respond to a recent probe.
    Suspect,
    /// The router is in a graceful shutdown.
    Leaving,
    /// The router has been suspected for too long.
    Dead,
    /// The router has ended after a graceful shutdown.
    Left,
}

/// An update about the state of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The router.
    pub node: Node,
    /// The state of the router.
    pub state: MemberState,
    /// The version of the router's state within its incarnation. A router raises
    /// the number to refute an update that declares it suspected or dead, and when
    /// its shutdown begins.
    pub refutation: u32,
}

impl MemberUpdate {
    /// Returns whether this update replaces the given entry for the same
    /// address. A later incarnation takes precedence (incarnations are ordered
    /// by time), then a higher refutation, then the later state in the order
    /// of [`MemberState`].
    #[must_use]
    pub fn supersedes(
        &self,
        incarnation: Incarnation,
        refutation: u32,
        state: MemberState,
    ) -> bool {
        let update = (self.node.incarnation, self.refutation, self.state);
        update > (incarnation, refutation, state)
    }
}
