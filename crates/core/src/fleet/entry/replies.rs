/*!
Messages of replicas to an entry: replies to its heartbeats, published states and rosters.
*/

use {
    super::{EntryState, replica_choice::REPLICA_TIMEOUT},
    crate::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            decision_events::DecisionEvent,
            messages::{
                CrashReport, CrashView, FleetMessage, HeartbeatReply, PublishedState, SearchReply,
            },
            roster::RosterUpdate,
        },
        traffic::send_times::ReplyTimes,
        wire::{PeerEnvelope, PeerMessage},
    },
    std::net::SocketAddr,
};

impl EntryState {
    /// Applies a message that hadn't arrived at `absent_at`.
    pub(super) fn receive(
        &mut self,
        envelope: PeerEnvelope,
        absent_at: Option<Moment>,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let PeerEnvelope { deployment, sender, message, .. } = envelope;
        if deployment != self.identity.deployment {
            return Vec::new();
        }
        let PeerMessage::Fleet(message) = message else {
            return Vec::new();
        };
        match *message {
            FleetMessage::PulseReply(reply) => {
                self.links.record_answer(&sender, Some(reply.echo), now);
                let HeartbeatReply { echo, sent_at, machine_clock, stated_offset, .. } = reply;
                let times = ReplyTimes { echo, sent_at, machine_clock, stated_offset, absent_at };
                self.router.record_reply_times(&sender, times, now);
                self.handle_heartbeat_reply(sender.peer, reply, now)
            }
            FleetMessage::SearchReply(reply) => {
                let SearchReply { echo, current, sent_at, machine_clock, stated_offset } = reply;
                self.links.record_answer(&sender, Some(echo), now);
                // The times of requests are known from the replies of few replicas, so that late
                // replies of two of many don't show a delay.
                if self.link_questions.contains(&(echo, sender.peer)) {
                    return Vec::new();
                }
                let round_trip = now.since(echo);
                let times = ReplyTimes { echo, sent_at, machine_clock, stated_offset, absent_at };
                self.router.record_reply_times(&sender, times, now);
                self.witnesses.record_answer(sender.peer, echo, sent_at.is_some(), now);
                // After other answers, the entry would leave a replica whose reply is about to be read.
                if self.is_searching && echo >= self.searching_since {
                    self.router.record_round_trip(round_trip, now);
                    self.choice.record_answer(sender.peer, current, round_trip, now);
                }
                Vec::new()
            }
            FleetMessage::Published(state) => self.apply_published(state, now),
            FleetMessage::Roster(update) => self.apply_roster_update(update, now),
            _ => Vec::new(),
        }
    }

    fn handle_heartbeat_reply(
        &mut self,
        peer: SocketAddr,
        reply: HeartbeatReply,
        now: Moment,
    ) -> Vec<NodeEffect> {
        if !reply.replicas.is_empty() {
            self.replicas = reply.replicas.into_iter().collect();
        }
        if self.choice.followed() != Some(peer) {
            return Vec::new();
        }
        let round_trip = now.since(reply.echo);
        self.router.record_reply(round_trip, now);
        self.choice.record_reply(reply.current, reply.echo, now);
        let mut effects = Vec::new();
        if reply.current && round_trip < REPLICA_TIMEOUT {
            self.last_current_reply = Some(now);
            self.state_confirmed |= self.change > 0;
            if self.loss_logged {
                self.loss_logged = false;
                effects
                    .push(NodeEffect::LogDecision(DecisionEvent::ReplicasBack { replica: peer }));
            }
        }
        // The age is counted from the time at which the heartbeat was sent, because a reply may be
        // delayed for a long time on a saturated link.
        self.roster.refresh(reply.roster, reply.roster_age_ms, reply.echo);
        if let Some(live_entries) = reply.census {
            self.live_entries_hash = live_entries.mark;
            self.entry_count = live_entries.entries.len().max(1);
            self.router.set_entries(&live_entries);
        }
        self.router.set_demand(reply.demand);
        self.router.apply_load_samples(&reply.busy, now);
        self.router.apply_outages(&reply.outages, now);
        self.router.set_bridges(reply.bridges);
        let crashes = reply.crashes.map(|view| CrashView {
            reports: CrashReport::with_runs(&view.reports, &reply.crash_runs_ms).collect(),
            ..view
        });
        self.router.apply_crashes(crashes.as_ref(), now);
        if let Some(limits) = reply.rate_limits {
            self.router.apply_rate_limits(limits, now);
        }
        effects
    }

    fn apply_published(&mut self, state: PublishedState, now: Moment) -> Vec<NodeEffect> {
        if state.change <= self.change {
            return Vec::new();
        }
        let compressed = state.table.filter(|_| state.version > self.table_version);
        if let Some(compressed) = compressed {
            // After the next heartbeat, the replica sends a table compressed with the right base.
            if compressed.base != 0 && compressed.base != self.change {
                return Vec::new();
            }
            let base = if compressed.base == 0 { "" } else { self.table_text.as_str() };
            match compressed.decompress_table(base) {
                Ok((text, table)) => {
                    self.router.set_table(&table);
                    self.table_text = text;
                    self.table_version = state.version;
                }
                Err(error) => {
                    let (version, reason) = (state.version, error.to_string());
                    let event = DecisionEvent::TableUnreadable { version, reason };
                    return vec![NodeEffect::LogDecision(event)];
                }
            }
        } else if state.version > self.table_version {
            return Vec::new();
        }
        self.change = state.change;
        self.router.set_evacuated(&state.evacuated, now);
        let (change, version) = (state.change, state.version);
        let evacuated = state.evacuated.len();
        vec![NodeEffect::LogDecision(DecisionEvent::InForce { change, version, evacuated })]
    }

    fn apply_roster_update(&mut self, update: RosterUpdate, now: Moment) -> Vec<NodeEffect> {
        if self.roster.apply(update, now) {
            return self.update_targets(now);
        }
        Vec::new()
    }
}
