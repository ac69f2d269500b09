/*!
Automatic management of the group's members by the leader.

A replica that asks to join becomes a learner. An older incarnation of the same instance is removed
in the same change, since its disk is lost. Learners that have caught up become voters until there
are [`VOTERS_WANTED`], those in the region and failure domain with the fewest voters first. A voter
that stops responding is demoted if a learner can replace it. A learner that doesn't respond for a
long time is removed. Only one change is in progress at a time.
*/

use {
    crate::{
        clock::Moment,
        consensus::{ConsensusGroup, ReplicaId, ReplicaMember},
        fleet::messages::InstancePlace,
    },
    hemlockspool_model::names::{InstanceName, RegionName},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The desired number of voters: five tolerate the loss of two disks, and with at most two in each
/// region, the loss of a region.
const VOTERS_WANTED: usize = 5;
/// The time for which a voter must have been unresponsive before a learner replaces it. A member
/// counts as unresponsive 0.8 s after its last reply (`ELECTION_TIMEOUT_MIN`), so a learner
/// replaces a voter 2.8 s after its last reply: longer than an election, and under the 4 s within
/// which a lost disk must be compensated for.
const VOTER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The time for which a learner must have been unresponsive before it is removed; it asks to join
/// again when it returns.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(60);
/// The time for which a join request is valid.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(3);

/// A replica's request to be added to the group.
#[derive(Clone, Debug)]
struct JoinRequest {
    peer: SocketAddr,
    received_at: Moment,
}

/// The leader's state for managing the group's members.
#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipController {
    join_requests: BTreeMap<ReplicaId, JoinRequest>,
    /// The locations of replicas by their peer addresses.
    locations: BTreeMap<SocketAddr, InstancePlace>,
    /// The last time at which each member was responsive; initially the time at which this leader
    /// first saw the member.
    last_responsive: BTreeMap<ReplicaId, Moment>,
}

impl MembershipController {
    /// Returns the member name of a replica in the group: its peer address, which every instance
    /// can know in advance, unlike the name of another instance.
    pub(crate) fn member_name(peer: SocketAddr) -> InstanceName {
        InstanceName::new(&peer.to_string())
    }

    /// Records a join request.
    pub(crate) fn handle_join(
        &mut self,
        id: ReplicaId,
        peer: SocketAddr,
        place: InstancePlace,
        now: Moment,
    ) {
        self.join_requests.insert(id, JoinRequest { peer, received_at: now });
        self.locations.insert(peer, place);
    }

    /// Records the location of a replica.
    pub(crate) fn record_location(&mut self, peer: SocketAddr, place: &InstancePlace) {
        if self.locations.get(&peer) != Some(place) {
            self.locations.insert(peer, place.clone());
        }
    }

    /// Returns whether a replica is known to be in a region.
    pub(crate) fn is_in_region(&self, peer: SocketAddr, region: &RegionName) -> bool {
        self.locations.get(&peer).is_some_and(|place| place.region == *region)
    }

    /// Clears the times at which members were responsive, which are valid only during the
    /// leadership of this replica.
    pub(crate) fn step_down(&mut self) {
        self.last_responsive.clear();
    }

    /// Makes the next membership change, if one is due.
    pub(crate) fn reconcile(&mut self, group: &mut ConsensusGroup, now: Moment) {
        self.join_requests.retain(|_, request| now.since(request.received_at) < JOIN_REQUEST_TTL);
        let members = group.members().clone();
        for id in members.keys() {
            let last_responsive = self.last_responsive.entry(*id).or_insert(now);
            if group.is_responsive(*id, now) {
                *last_responsive = now;
            }
        }
        self.last_responsive.retain(|id, _| members.contains_key(id));
        if group.check_can_change().is_err() {
            return;
        }
        let request = self.join_requests.iter().find(|(id, _)| !members.contains_key(*id));
        if let Some((id, request)) = request {
            let (name, peer) = (Self::member_name(request.peer), request.peer);
            let member = ReplicaMember { name, peer, voter: false };
            // A refusal here and below is ignored, because the next tick tries again.
            let _ = group.add_learner(*id, member, now);
            return;
        }
        let unresponsive_for = |id: &ReplicaId| {
            self.last_responsive.get(id).map_or(Duration::ZERO, |at| now.since(*at))
        };
        let learner = self.best_learner(group, now);
        let voters = members.values().filter(|member| member.voter).count();
        if voters < VOTERS_WANTED {
            if let Some(id) = learner {
                let _ = group.set_voter(id, true, now);
            }
            return;
        }
        let lost = members
            .iter()
            .find(|(id, member)| member.voter && unresponsive_for(id) > VOTER_TIMEOUT);
        if let (Some((id, _)), Some(_)) = (lost, learner) {
            let _ = group.set_voter(*id, false, now);
            return;
        }
        let expired = members
            .iter()
            .find(|(id, member)| !member.voter && unresponsive_for(id) > LEARNER_TIMEOUT);
        if let Some((_, member)) = expired {
            let _ = group.remove(&member.name, now);
        }
    }

    /// Returns the caught-up learner whose promotion distributes the voters most evenly: the one in
    /// the region, and then the failure domain, with the fewest voters.
    fn best_learner(&self, group: &ConsensusGroup, now: Moment) -> Option<ReplicaId> {
        let members = group.members();
        let location_of = |member: &ReplicaMember| self.locations.get(&member.peer);
        let nearby_voters = |member: &ReplicaMember| {
            let Some(location) = location_of(member) else { return (usize::MAX, usize::MAX) };
            let voters = || members.values().filter(|other| other.voter).filter_map(location_of);
            let region = voters().filter(|place| place.region == location.region).count();
            let domain = voters().filter(|place| place.domain == location.domain).count();
            (region, domain)
        };
        let caught_up =
            members.iter().filter(|(id, member)| !member.voter && group.is_caught_up(**id, now));
        caught_up.min_by_key(|(_, member)| nearby_voters(member)).map(|(id, _)| *id)
    }
}
