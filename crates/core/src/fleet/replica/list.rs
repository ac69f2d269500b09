/*!
The list of targets at a replica: who reads it when, and how replicas keep to one.

The leader reads. The others stand in one after another when its readings stop, and take over whatever
list was read last.
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
    },
    std::{net::SocketAddr, time::Duration},
};

/// The time between two readings of the list by the leader, if the platform allows it: a third of
/// the time after which a target that leaves must get nothing more.
const LIST_EVERY: Duration = Duration::from_millis(1_000);
/// From which age of the list on a replica that doesn't lead reads it: the leader's time between
/// readings, a reading and a message.
const LIST_STALE: Duration = Duration::from_millis(1_250);
/// The time over which replicas that don't lead stand in one after another, in milliseconds.
const LIST_TURNS_MS: u64 = 400;
/// The share of the platform's call rate that one reader uses, so that a second reader fits.
const LIST_RATE_SHARE: f64 = 0.25;
/// When a reading is tried again after one that failed.
const LIST_AGAIN: Duration = Duration::from_millis(500);
/// The time between pulses to other replicas.
const PULSE_EVERY: Duration = Duration::from_millis(500);

impl ReplicaState {
    pub(super) fn pulse(&mut self, now: Moment) -> Vec<NodeEffect> {
        if now < self.pulse_due {
            return Vec::new();
        }
        self.pulse_due = now.after(PULSE_EVERY);
        let roster_age_ms = self.roster_age_ms(now);
        let (place, roster) = (self.place.clone(), self.roster.version());
        self.tell_replicas(&FleetMessage::ReplicaPulse(ReplicaHeartbeat {
            place,
            roster,
            roster_age_ms,
        }))
    }

    pub(super) fn roster_age_ms(&self, now: Moment) -> u64 {
        self.roster.age(now).map_or(u64::MAX / 2_000, |age| age.as_millis() as u64)
    }

    /// Asks for a reading when it is this replica's turn.
    pub(super) fn read_list(&mut self, now: Moment) -> Vec<NodeEffect> {
        if !self.list.is_due(now) {
            return Vec::new();
        }
        let leads = self.replica.group().is_leader() && self.is_current(now);
        // Replicas that don't lead stand in one after another.
        let turn = Duration::from_millis(
            stable_hash(self.identity.name.as_str().as_bytes()) % LIST_TURNS_MS,
        );
        let stale = self.roster.age(now).is_none_or(|age| age > LIST_STALE + turn);
        if !leads && !stale {
            return Vec::new();
        }
        let every = LIST_EVERY.max(self.list.pace(1, LIST_RATE_SHARE));
        self.list.begin(now, if leads { every } else { 2 * every });
        vec![NodeEffect::ReadInstanceList]
    }

    pub(super) fn list_read(
        &mut self,
        list: Option<TargetList>,
        calls: u32,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let Some(list) = list else {
            self.list.fail(calls, now.after(LIST_AGAIN));
            return vec![NodeEffect::LogDecision(DecisionEvent::ListUnread {
                age_ms: self.roster_age_ms(now),
            })];
        };
        self.list.end(calls);
        // Others take their list for old unless they hear at once that it was read again.
        self.pulse_due = now;
        let before = self.roster.version();
        if !self.roster.record_read(self.identity.incarnation, list, now) {
            return Vec::new();
        }
        let mut effects = vec![NodeEffect::LogDecision(DecisionEvent::ListChanged {
            targets: self.roster.targets().len(),
            number: self.roster.version().number,
        })];
        if let Some(update) = self.roster.update_since(before, now) {
            effects.extend(self.tell_replicas(&FleetMessage::Roster(update)));
        }
        effects
    }

    pub(super) fn hear_replica(
        &mut self,
        peer: SocketAddr,
        pulse: &ReplicaHeartbeat,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.membership.record_location(peer, &pulse.place);
        self.roster.refresh(pulse.roster, pulse.roster_age_ms, now);
        // Of two that read by themselves, the one that doesn't lead waits, or lists would cross.
        let leads = self.replica.group().is_leader();
        let margin = if leads { 0 } else { PULSE_EVERY.as_millis() as u64 };
        let fresher = self.roster_age_ms(now) + margin <= pulse.roster_age_ms;
        let update = self.roster.update_since(pulse.roster, now).filter(|_| fresher);
        update.map(|update| send_message(peer, FleetMessage::Roster(update))).into_iter().collect()
    }
}
