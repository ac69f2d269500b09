/*!
Heartbeats of an entry to replicas.

The followed replica gets the most, with what its reply depends on; a few others are asked only for
their clocks, and all are asked at times whether their links still carry anything.
*/

use {
    super::EntryState,
    crate::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            messages::{CrashReport, EntryHeartbeat, FleetMessage},
            replica::send_message,
        },
        traffic::link_check::LinkCheck,
    },
    std::{net::SocketAddr, time::Duration},
};

/// The interval of heartbeats to the followed replica.
const FOLLOWED_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The interval of heartbeats to the other replicas. They also carry the loads of targets, which
/// change within the processing time of a request.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The delay of replies from which on it is measured more often: more than messages between distant
/// regions wait for each other on an idle link.
const NOTABLE_DELAY: Duration = Duration::from_millis(50);
/// The time for which an answer to a question about the link alone is told from others.
const LINK_ANSWER_TTL: Duration = Duration::from_secs(30);

impl EntryState {
    /// Sends the messages to replicas that are due, and checks the links to them.
    pub(super) fn send_heartbeats(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let followed = self.choice.followed();
        if let Some(peer) = followed.filter(|_| now >= self.followed_heartbeat_due) {
            self.followed_heartbeat_due = now.after(FOLLOWED_HEARTBEAT_INTERVAL);
            self.links.record_question(peer, now, now);
            effects.push(self.heartbeat_to(peer, true, now));
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now.after(HEARTBEAT_INTERVAL);
            self.heartbeat_sent_at = now;
            let others = self.replica_peers().into_iter().filter(|peer| Some(*peer) != followed);
            effects.extend(others.map(|peer| self.heartbeat_to_other(peer, now)));
        }
        effects.extend(self.ask_witnesses(now));
        effects.extend(self.check_link(now).map(NodeEffect::CheckLink));
        effects.extend(self.links.take_silent(now).into_iter().map(NodeEffect::ReplaceLink));
        effects
    }

    /// Returns a check of this entry's link if replicas are late.
    fn check_link(&mut self, now: Moment) -> Option<LinkCheck> {
        let is_late =
            self.router.inbound_delay() >= NOTABLE_DELAY || self.witnesses.is_any_late(now);
        if is_late { self.router.next_link_check(now) } else { None }
    }

    /// Asks replicas for answers that show how long messages are delayed.
    fn ask_witnesses(&mut self, now: Moment) -> Vec<NodeEffect> {
        let followed = self.choice.followed();
        let mut candidates = self.replica_peers();
        candidates.retain(|peer| Some(*peer) != followed);
        let is_delayed = self.router.inbound_delay() >= NOTABLE_DELAY;
        let is_delayed = is_delayed || self.witnesses.are_overdue(now);
        self.router.set_link_delay(is_delayed);
        let peers = self.witnesses.next(&candidates, is_delayed, now);
        let question = |peer| {
            self.links.record_question(peer, now, now);
            self.link_questions.remove(&(now, peer));
            // Replicas have the long lists from the other heartbeats.
            let heartbeat = EntryHeartbeat {
                loads: Vec::new(),
                outages: Vec::new(),
                rate_limits: Vec::new(),
                searches: true,
                clock_offset: self.router.clock_offset(peer),
                ..self.heartbeat(peer, false, now)
            };
            send_message(peer, FleetMessage::EntryPulse(heartbeat))
        };
        peers.into_iter().map(question).collect()
    }

    /// Returns the heartbeat to a replica that this entry doesn't follow. It is a question if one is
    /// due on that link.
    fn heartbeat_to_other(&mut self, peer: SocketAddr, now: Moment) -> NodeEffect {
        let is_question_due = self.links.is_question_due(peer, now);
        let searches = self.is_searching || is_question_due;
        if searches {
            self.links.record_question(peer, now, now);
        }
        if !self.is_searching && is_question_due {
            self.link_questions.retain(|(asked_at, _)| now.since(*asked_at) < LINK_ANSWER_TTL);
            self.link_questions.insert((now, peer));
        }
        let clock_offset = if searches { self.router.clock_offset(peer) } else { None };
        let heartbeat =
            EntryHeartbeat { searches, clock_offset, ..self.heartbeat(peer, false, now) };
        send_message(peer, FleetMessage::EntryPulse(heartbeat))
    }

    fn heartbeat_to(&self, peer: SocketAddr, follows: bool, now: Moment) -> NodeEffect {
        let mut heartbeat = self.heartbeat(peer, follows, now);
        if heartbeat.follows || heartbeat.searches {
            heartbeat.clock_offset = self.router.clock_offset(peer);
        }
        send_message(peer, FleetMessage::EntryPulse(heartbeat))
    }

    fn heartbeat(&self, peer: SocketAddr, follows: bool, now: Moment) -> EntryHeartbeat {
        let interval = if follows { FOLLOWED_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
        let crashes = self.router.crash_reports(follows, now);
        EntryHeartbeat {
            front: self.callers_address,
            place: self.place.clone(),
            ready: self.is_ready(),
            follows,
            change: self.change,
            roster: self.roster.version(),
            roster_age_ms: self.roster.age(now).map(|age| age.as_millis() as u64),
            census: self.live_entries_hash,
            demand: self.router.local_demand(),
            link_percent: self.router.link_percent(),
            loads: self.router.recent_loads(interval, now),
            outages: self.router.recent_outages(now),
            sent_at: now,
            rate_limits: self.router.recent_rate_limits(now),
            rate_limits_mark: self.router.rate_limits_mark(),
            cut_off: self.router.is_forwarding(),
            crash_runs_ms: CrashReport::runs_ms(&crashes),
            crashes,
            searches: self.is_searching && !follows,
            last_reply: follows.then(|| self.choice.last_reply()),
            clock_offset: None,
            last_answered: Some(self.links.last_answered(peer)),
            // Only the followed replica replies with what it knows.
            crash_mark: if follows { self.router.crash_mark() } else { 0 },
        }
    }
}
