/*!
Which replicas vote: the leader keeps the group whole without an operator.

A replica that asks to join becomes a learner, and one that replaces an older life of the same
instance takes its place at once, since that disk is gone. Learners that have caught up get votes
until there are [`VOTERS_WANTED`] of them, from the region and failure domain that have the fewest.
A voter that stays silent gives its vote to a learner that answers. One change is under way at a time.
*/

use {
    crate::{
        clock::Moment,
        consensus::{ConsensusGroup, ReplicaId, ReplicaMember},
        fleet::messages::InstancePlace,
    },
    hemlockspool_model::names::InstanceName,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Voters wanted: five outlast two lost disks, and two to a region outlast a region.
const VOTERS_WANTED: usize = 5;
/// After how long without an answer a voter's vote goes to a learner: longer than an election, and
/// well under the 4 s within which a lost disk must be made up for.
const VOTER_SILENT: Duration = Duration::from_millis(2_000);
/// After how long without an answer a learner is dropped; it asks again when it comes back.
const LEARNER_SILENT: Duration = Duration::from_secs(60);
/// For how long a request to join counts as standing.
const JOIN_STANDS: Duration = Duration::from_secs(3);

/// A replica that asks to be taken in.
#[derive(Clone, Debug)]
struct JoinRequest {
    peer: SocketAddr,
    heard: Moment,
}

/// What a leader keeps to look after the replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipController {
    askers: BTreeMap<ReplicaId, JoinRequest>,
    places: BTreeMap<SocketAddr, InstancePlace>,
    /// When each replica last answered; a new leader counts from its own start.
    answered: BTreeMap<ReplicaId, Moment>,
}

impl MembershipController {
    /// Returns the name under which a replica stands in the group: its address, which every
    /// instance knows beforehand, unlike the name of another instance.
    pub(crate) fn member_name(peer: SocketAddr) -> InstanceName {
        InstanceName::new(&peer.to_string())
    }

    pub(crate) fn handle_join(
        &mut self,
        id: ReplicaId,
        peer: SocketAddr,
        place: InstancePlace,
        now: Moment,
    ) {
        self.askers.insert(id, JoinRequest { peer, heard: now });
        self.places.insert(peer, place);
    }

    pub(crate) fn record_location(&mut self, peer: SocketAddr, place: &InstancePlace) {
        if self.places.get(&peer) != Some(place) {
            self.places.insert(peer, place.clone());
        }
    }

    /// Forgets what only a leader may know.
    pub(crate) fn step_down(&mut self) {
        self.answered.clear();
    }

    /// Makes the next change of the replicas, if one is due.
    pub(crate) fn reconcile(&mut self, group: &mut ConsensusGroup, now: Moment) {
        self.askers.retain(|_, asker| now.since(asker.heard) < JOIN_STANDS);
        let members = group.members().clone();
        for id in members.keys() {
            let answered = self.answered.entry(*id).or_insert(now);
            if group.is_responsive(*id, now) {
                *answered = now;
            }
        }
        self.answered.retain(|id, _| members.contains_key(id));
        if group.check_can_change().is_err() {
            return;
        }
        let asker = self.askers.iter().find(|(id, _)| !members.contains_key(*id));
        if let Some((id, asker)) = asker {
            let (name, peer) = (Self::member_name(asker.peer), asker.peer);
            let member = ReplicaMember { name, peer, voter: false };
            // A refusal here and below passes: the next tick tries again.
            let _ = group.add_learner(*id, member, now);
            return;
        }
        let silent =
            |id: &ReplicaId| self.answered.get(id).map_or(Duration::ZERO, |at| now.since(*at));
        let learner = self.best_learner(group, now);
        let voters = members.values().filter(|member| member.voter).count();
        if voters < VOTERS_WANTED {
            if let Some(id) = learner {
                let _ = group.set_voter(id, true, now);
            }
            return;
        }
        let lost = members.iter().find(|(id, member)| member.voter && silent(id) > VOTER_SILENT);
        if let (Some((id, _)), Some(_)) = (lost, learner) {
            let _ = group.set_voter(*id, false, now);
            return;
        }
        let idle = members.iter().find(|(id, member)| !member.voter && silent(id) > LEARNER_SILENT);
        if let Some((_, member)) = idle {
            let _ = group.remove(&member.name, now);
        }
    }

    /// Returns the learner whose vote spreads the voters best.
    fn best_learner(&self, group: &ConsensusGroup, now: Moment) -> Option<ReplicaId> {
        let members = group.members();
        let place_of = |member: &ReplicaMember| self.places.get(&member.peer);
        let crowd = |member: &ReplicaMember| {
            let Some(own) = place_of(member) else { return (usize::MAX, usize::MAX) };
            let voters = || members.values().filter(|other| other.voter).filter_map(place_of);
            let region = voters().filter(|place| place.region == own.region).count();
            let domain = voters().filter(|place| place.domain == own.domain).count();
            (region, domain)
        };
        let ready =
            members.iter().filter(|(id, member)| !member.voter && group.is_caught_up(**id, now));
        ready.min_by_key(|(_, member)| crowd(member)).map(|(id, _)| *id)
    }
}
