/*!
The identity of an instance.
*/

use {
    crate::{
        ledger::TallySource,
        wire::{PeerEnvelope, PeerMessage, PeerSender, WIRE_FORMAT},
    },
    hemlockspool_model::names::{DomainName, InstanceName},
    std::net::SocketAddr,
};

/// The identity of an instance, from its settings and the start of its process.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The deployment that the instance belongs to.
    pub deployment: String,
    /// The name of the instance.
    pub name: InstanceName,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// The address on which the instance listens for peers.
    pub peer: SocketAddr,
    /// The incarnation of the process, which increases with every start unless the wall clock has
    /// gone back.
    pub incarnation: u64,
}

impl NodeIdentity {
    /// Returns the sender information of this instance's messages.
    pub fn sender(&self) -> PeerSender {
        let (name, incarnation, peer) = (self.name.clone(), self.incarnation, self.peer);
        PeerSender { name, incarnation, peer }
    }

    /// Returns an envelope that contains a message.
    pub fn envelope(&self, message: PeerMessage) -> PeerEnvelope {
        let (deployment, sender) = (self.deployment.clone(), self.sender());
        PeerEnvelope { format: WIRE_FORMAT, deployment, sender, message }
    }

    pub(crate) fn tally_source(&self) -> TallySource {
        TallySource { incarnation: self.incarnation, entry: self.name.clone() }
    }
}
