/*!
What a replica does for entries: it answers the pulses of those that follow it, and sends them what they
lack.
*/

use {
    super::ReplicaState,
    crate::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            decision_events::DecisionEvent,
            messages::{EntryHeartbeat, FleetMessage, HeartbeatReply, PublishedState},
            replica::send_message,
        },
    },
    std::net::SocketAddr,
};

impl ReplicaState {
    pub(super) fn hear_entry(
        &mut self,
        peer: SocketAddr,
        pulse: EntryHeartbeat,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let (follows, echo, seen) = (pulse.follows, pulse.sent_at, pulse.census);
        self.loads.record(&pulse.loads, now);
        self.outages.record(&pulse.place, &pulse.outages, now);
        let region = pulse.place.region.clone();
        self.entries.record(peer, pulse, now);
        if !follows {
            return Vec::new();
        }
        let current = self.is_current(now) && !self.stopping;
        let (roster, roster_age_ms) = (self.roster.version(), self.roster_age_ms(now));
        let replicas = self.replica_peers().into_iter().collect();
        let view = self.refresh_view(&region, now);
        let (busy, outages) = view.lines(&region, now);
        let reply = HeartbeatReply {
            echo,
            current,
            roster,
            roster_age_ms,
            replicas,
            census: (view.census.mark != seen).then(|| view.census.clone()),
            demand: view.demand.clone(),
            busy,
            outages,
        };
        vec![send_message(peer, FleetMessage::PulseReply(reply))]
    }

    /// Sends followers what they lack.
    pub(super) fn feed_followers(&mut self, effects: &mut Vec<NodeEffect>, now: Moment) {
        let tables = self.replica.ledger().tables();
        let (change, version, mark) = (tables.change(), tables.version(), self.roster.version());
        if version > 0 {
            self.texts.push(change, tables.text());
        }
        // A follower refuses a whole list that is older than its own, and would get it again with
        // each pulse.
        let (roster, age_ms) = (&self.roster, self.roster_age_ms(now));
        let lacks_list = |pulse: &EntryHeartbeat| {
            let fresher = pulse.roster_age_ms.is_none_or(|theirs| age_ms <= theirs);
            pulse.roster != mark && (fresher || roster.has_history_since(pulse.roster))
        };
        let behind = |pulse: &EntryHeartbeat| pulse.change < change || lacks_list(pulse);
        let late: Vec<(SocketAddr, EntryHeartbeat)> = (self.entries.followers(now))
            .filter(|(_, pulse)| behind(pulse))
            .map(|(peer, pulse)| (peer, pulse.clone()))
            .collect();
        for (peer, pulse) in late {
            if pulse.change < change {
                match self.texts.compressed_for(pulse.change) {
                    Ok(table) => {
                        let evacuated = self.replica.ledger().tables().evacuated().clone();
                        let state = PublishedState { change, version, table, evacuated };
                        effects.push(send_message(peer, FleetMessage::Published(state)));
                    }
                    Err(error) => {
                        let reason = error.to_string();
                        let note = DecisionEvent::TableUnreadable { version, reason };
                        effects.push(NodeEffect::LogDecision(note));
                    }
                }
            }
            let update = lacks_list(&pulse).then(|| self.roster.update_since(pulse.roster, now));
            let update = update.flatten();
            self.entries.sent(peer, |pulse| {
                pulse.change = change;
                if update.is_some() {
                    pulse.roster = mark;
                }
            });
            if let Some(update) = update {
                effects.push(send_message(peer, FleetMessage::Roster(update)));
            }
        }
    }
}
