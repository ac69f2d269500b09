/*!
Who an instance is.
*/

use {
    crate::{
        ledger::TallySource,
        wire::{PeerEnvelope, PeerMessage, PeerSender, WIRE_FORMAT},
    },
    hemlockspool_model::names::{DomainName, InstanceName},
    std::net::SocketAddr,
};

/// Who an instance is, from its settings and its start.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The deployment that it belongs to.
    pub deployment: String,
    /// Its name.
    pub name: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// The life of its process, which rises from one to the next.
    pub incarnation: u64,
}

impl NodeIdentity {
    /// Returns what goes with every message of this instance.
    pub fn sender(&self) -> PeerSender {
        let (name, incarnation, peer) = (self.name.clone(), self.incarnation, self.peer);
        PeerSender { name, incarnation, peer }
    }

    /// Returns a message in its envelope.
    pub fn envelope(&self, message: PeerMessage) -> PeerEnvelope {
        let (deployment, sender) = (self.deployment.clone(), self.sender());
        PeerEnvelope { format: WIRE_FORMAT, deployment, sender, message }
    }

    pub(crate) fn tally_source(&self) -> TallySource {
        TallySource { incarnation: self.incarnation, entry: self.name.clone() }
    }
}
