//! What routers tell each other of routers.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, Revision};

/// A router process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// `IP:port` of its peer listener, which names the VM's place.
    pub address: String,
    /// Which run of the process.
    pub incarnation: Incarnation,
    /// The firm it works for; others are not spoken with.
    pub firm: String,
    /// Its VM's name.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// The revision it was last known to have in force.
    pub revision: Revision,
}

/// What is thought of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers.
    Live,
    /// It did not answer lately.
    Suspect,
    /// It is in a planned stop.
    Leaving,
    /// It has not answered for long.
    Dead,
    /// It ended its planned stop.
    Left,
}

/// One statement about a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The router.
    pub node: Node,
    /// What is thought of it.
    pub state: MemberState,
    /// How often it has contradicted being suspected or dead.
    pub refutation: u32,
}

impl MemberUpdate {
    /// Whether this is news for somebody who thinks `state` of the same
    /// address: a later incarnation wins (they are ordered by time), then a
    /// later refutation, then the graver state.
    #[must_use]
    pub fn supersedes(
        &self,
        incarnation: Incarnation,
        refutation: u32,
        state: MemberState,
    ) -> bool {
        let mine = (self.node.incarnation, self.refutation, self.state);
        mine > (incarnation, refutation, state)
    }
}
