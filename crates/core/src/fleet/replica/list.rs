/*!
Reading the platform's list of targets at a replica, and agreement of the replicas on one roster.

The leader reads the list. If its reads stop, the other replicas take over at different times. Every
replica adopts the roster that was read most recently.
*/

use {
    super::ReplicaState,
    crate::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            decision_events::DecisionEvent,
            messages::{FleetMessage, ReplicaHeartbeat},
            replica::send_message,
            roster::TargetList,
        },
        util::stable_hash,
        wire::PeerSender,
    },
    std::time::Duration,
};

/// The time between two reads of the list by the leader, longer if the platform's rate limit
/// requires it. It is a third of the time after which a removed target must get no more requests.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The age of the list above which a replica that isn't the leader reads it: the sum of the
/// leader's interval, the duration of a read and the delay of a message.
const LIST_TTL: Duration = Duration::from_millis(1_250);
/// The window over which the takeover times of the other replicas are distributed, in milliseconds.
const STANDBY_WINDOW_MS: u64 = 400;
/// The fraction of the platform's call rate that one replica uses, which leaves enough for a second
/// one.
const LIST_RATE_FRACTION: f64 = 0.25;
/// The delay before the next attempt after a failed read.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The interval of heartbeats to the other replicas.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

impl ReplicaState {
    /// Sends a heartbeat to the other replicas if one is due.
    pub(super) fn send_heartbeats(&mut self, now: Moment) -> Vec<NodeEffect> {
        if now < self.heartbeat_due {
            return Vec::new();
        }
        self.heartbeat_due = now.after(HEARTBEAT_INTERVAL);
        let roster_age_ms = self.roster_age_ms(now);
        let (place, roster) = (self.place.clone(), self.roster.version());
        let peers = self.replica_peers().into_iter().filter(|peer| *peer != self.identity.peer);
        let heartbeat = |peer| {
            self.links.record_question(peer, now, now);
            let heartbeat = ReplicaHeartbeat {
                place: place.clone(),
                roster,
                roster_age_ms,
                sent_at: Some(now),
                last_heard: Some(self.links.last_heard(peer)),
            };
            send_message(peer, FleetMessage::ReplicaPulse(heartbeat))
        };
        peers.map(heartbeat).collect()
    }

    /// Returns the time since the list was last read, in milliseconds. If it never was, returns a
    /// very large value that still doesn't overflow when it is converted to microseconds.
    pub(super) fn roster_age_ms(&self, now: Moment) -> u64 {
        self.roster.age(now).map_or(u64::MAX / 2_000, |age| age.as_millis() as u64)
    }

    /// Requests a read of the platform's list if one is due at this replica.
    pub(super) fn read_list(&mut self, now: Moment) -> Vec<NodeEffect> {
        if !self.list.is_due(now) {
            return Vec::new();
        }
        let is_leader = self.replica.group().is_leader() && self.is_current(now);
        // Replicas that aren't the leader take over at different times.
        let takeover_delay = Duration::from_millis(
            stable_hash(self.identity.name.as_str().as_bytes()) % STANDBY_WINDOW_MS,
        );
        let stale = self.roster.age(now).is_none_or(|age| age > LIST_TTL + takeover_delay);
        if !is_leader && !stale {
            return Vec::new();
        }
        let interval = LIST_INTERVAL.max(self.list.min_interval(1, LIST_RATE_FRACTION));
        self.list.start(now, if is_leader { interval } else { 2 * interval });
        vec![NodeEffect::ReadInstanceList]
    }

    /// Handles the result of a read and sends the resulting update to the other replicas.
    pub(super) fn handle_list_read(
        &mut self,
        list: Option<TargetList>,
        calls: u32,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let Some(list) = list else {
            self.list.fail(calls, now.after(LIST_RETRY_DELAY));
            return vec![NodeEffect::LogDecision(DecisionEvent::ListUnread {
                age_ms: self.roster_age_ms(now),
            })];
        };
        self.list.complete(calls);
        // Without an immediate heartbeat, the other replicas would consider their list stale.
        self.heartbeat_due = now;
        let previous_version = self.roster.version();
        if !self.roster.record_read(self.identity.incarnation, list, now) {
            return Vec::new();
        }
        let mut effects = vec![NodeEffect::LogDecision(DecisionEvent::ListChanged {
            targets: self.roster.targets().len(),
            number: self.roster.version().number,
        })];
        if let Some(update) = self.roster.update_since(previous_version, now) {
            effects.extend(self.send_to_replicas(&FleetMessage::Roster(update)));
        }
        effects
    }

    /// Handles a heartbeat of another replica and sends it an update if its roster is older.
    pub(super) fn handle_replica_heartbeat(
        &mut self,
        sender: &PeerSender,
        heartbeat: &ReplicaHeartbeat,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let peer = sender.peer;
        self.links.record_answer(sender, heartbeat.last_heard, now);
        if let Some(sent_at) = heartbeat.sent_at {
            self.links.record_heard(sender, sent_at, now);
        }
        self.membership.record_location(peer, &heartbeat.place);
        self.roster.refresh(heartbeat.roster, heartbeat.roster_age_ms, now);
        // If two replicas read the list independently, only the leader sends its list without a
        // margin. Otherwise each would replace the other's list.
        let is_leader = self.replica.group().is_leader();
        let margin = if is_leader { 0 } else { HEARTBEAT_INTERVAL.as_millis() as u64 };
        let fresher = self.roster_age_ms(now) + margin <= heartbeat.roster_age_ms;
        let update = self.roster.update_since(heartbeat.roster, now).filter(|_| fresher);
        update.map(|update| send_message(peer, FleetMessage::Roster(update))).into_iter().collect()
    }
}
