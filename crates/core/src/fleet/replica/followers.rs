/*!
Handling of the entries that follow a replica: replies to their heartbeats, and updates of their
state.
*/

use {
    super::ReplicaState,
    crate::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            decision_events::DecisionEvent,
            messages::{
                CrashReport, EntryHeartbeat, FleetMessage, HeartbeatReply, PublishedState,
                RateLimitView, SearchReply,
            },
            replica::send_message,
        },
        wire::PeerSender,
    },
    std::net::SocketAddr,
};

impl ReplicaState {
    /// Records a heartbeat of an entry, and replies if the entry follows this replica or searches for
    /// a current one.
    pub(super) fn handle_entry_heartbeat(
        &mut self,
        sender: &PeerSender,
        heartbeat: EntryHeartbeat,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let peer = sender.peer;
        let (follows, echo, known_entries) =
            (heartbeat.follows, heartbeat.sent_at, heartbeat.census);
        self.links.record_answer(sender, heartbeat.last_answered, now);
        self.links.await_next(peer, now);
        let known_limits = heartbeat.rate_limits_mark;
        self.loads.record(&heartbeat.loads, now);
        self.outages.record(&heartbeat.place, &heartbeat.outages, now);
        self.rate_limits.record(&heartbeat.rate_limits, now);
        let crashes = CrashReport::with_runs(&heartbeat.crashes, &heartbeat.crash_runs_ms);
        self.crashes.merge(crashes, now);
        let known_crashes = heartbeat.crash_mark;
        let (region, searches) = (heartbeat.place.region.clone(), heartbeat.searches);
        let machine_clock = self.machine_clock;
        let stated_offset = machine_clock.and_then(|clock| {
            self.clock_offsets.exchange(peer, heartbeat.clock_offset, clock.id, now)
        });
        self.entries.record(peer, sender.incarnation, heartbeat, now);
        let current = self.is_current(now) && !self.stopping;
        if follows || searches {
            self.links.record_question(peer, echo, now);
        }
        if !follows {
            let sent_at = Some(now);
            let reply = SearchReply { echo, current, sent_at, machine_clock, stated_offset };
            let message = FleetMessage::SearchReply(reply);
            return searches.then(|| send_message(peer, message)).into_iter().collect();
        }
        let (roster, roster_age_ms) = (self.roster.version(), self.roster_age_ms(now));
        let replicas = self.replica_peers().into_iter().collect();
        let bridges = self.bridges_for(&region);
        let view = self.refresh_follower_view(&region, now);
        let (busy, outages) = view.region_reports(&region, now);
        let rate_limits = view.rate_limits.as_ref().map(|limits| match limits.mark {
            mark if mark == known_limits => RateLimitView { mark, limits: None },
            _ => limits.clone(),
        });
        let crashes = (view.crashes.mark != known_crashes).then(|| view.crash_view(now));
        let reports = crashes.as_ref().map_or(&[][..], |view| &view.reports);
        let crash_runs_ms = CrashReport::runs_ms(reports);
        let reply = HeartbeatReply {
            echo,
            current,
            roster,
            roster_age_ms,
            replicas,
            census: (view.live_entries.mark != known_entries).then(|| view.live_entries.clone()),
            demand: view.demand.clone(),
            busy,
            outages,
            rate_limits,
            bridges,
            crashes,
            crash_runs_ms,
            sent_at: Some(now),
            machine_clock,
            stated_offset,
        };
        vec![send_message(peer, FleetMessage::PulseReply(reply))]
    }

    /// Sends newer published states and rosters to the followers that lack them.
    pub(super) fn update_followers(&mut self, effects: &mut Vec<NodeEffect>, now: Moment) {
        let tables = self.replica.ledger().tables();
        let (change, table_version, roster_version) =
            (tables.change(), tables.version(), self.roster.version());
        if table_version > 0 {
            self.table_history.push(change, tables.text());
        }
        // A whole list that is older than the follower's isn't sent: the follower would drop it,
        // and it would be sent again after each heartbeat.
        let (roster, age_ms) = (&self.roster, self.roster_age_ms(now));
        let lacks_roster = |heartbeat: &EntryHeartbeat| {
            let fresher =
                heartbeat.roster_age_ms.is_none_or(|follower_age_ms| age_ms <= follower_age_ms);
            heartbeat.roster != roster_version
                && (fresher || roster.has_history_since(heartbeat.roster))
        };
        let is_behind =
            |heartbeat: &EntryHeartbeat| heartbeat.change < change || lacks_roster(heartbeat);
        let outdated: Vec<(SocketAddr, EntryHeartbeat)> = (self.entries.followers(now))
            .filter(|(_, heartbeat)| is_behind(heartbeat))
            .map(|(peer, heartbeat)| (peer, heartbeat.clone()))
            .collect();
        for (peer, heartbeat) in outdated {
            if heartbeat.change < change {
                match self.table_history.compressed_for(heartbeat.change) {
                    Ok(table) => {
                        let evacuated = self.replica.ledger().tables().evacuated().clone();
                        let state =
                            PublishedState { change, version: table_version, table, evacuated };
                        effects.push(send_message(peer, FleetMessage::Published(state)));
                    }
                    Err(error) => {
                        let reason = error.to_string();
                        let event =
                            DecisionEvent::TableUnreadable { version: table_version, reason };
                        effects.push(NodeEffect::LogDecision(event));
                    }
                }
            }
            let update =
                lacks_roster(&heartbeat).then(|| self.roster.update_since(heartbeat.roster, now));
            let update = update.flatten();
            let roster = if update.is_some() { roster_version } else { heartbeat.roster };
            self.entries.record_sent(peer, (change, roster), now);
            if let Some(update) = update {
                effects.push(send_message(peer, FleetMessage::Roster(update)));
            }
        }
    }
}
