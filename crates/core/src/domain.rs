/*!
The entries of one failure domain, and how they share what the domain has.

Entries of a domain tell each other that they serve. Each splits the domain's slots and limits by
rank among those that it hears. The parts of two entries must never add up to more than the whole,
also while one comes, goes, stands still or comes back:

* An entry that hears a newcomer makes do with its smaller part at once, but says that it counts the
  newcomer only when what it has in flight fits into that part.
* An entry uses the larger of an old and a new part only once every entry that it hears counts the
  same ones, so that whoever has to give way has given way. One that starts, or that stood still,
  has no old part.
* An entry that goes silent keeps its part until the others' lease on it has run out.

This rests on networks being cut between failure domains and not within one, as the platform has it.
*/

use {
    crate::{
        clock::Moment,
        effect::NodeEffect,
        log_events::LogEvent,
        util::stable_hash,
        wire::{HeartbeatId, PeerHeartbeat, PeerMessage, PeerSender},
    },
    hemlockspool_model::{
        names::{DomainName, InstanceName},
        set::ObjectSet,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time between pulses.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// For how long an entry that went silent is counted.
pub const HEARTBEAT_LEASE: Duration = Duration::from_secs(2);
/// A gap between ticks after which a process takes itself for newly started.
const STANDSTILL: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct PeerView {
    peer: SocketAddr,
    heard: Moment,
    /// The digest of the entries that it counts; none while it has yet to give way.
    counts: Option<u64>,
    /// The mark of its latest pulse.
    mark: HeartbeatId,
    replica: bool,
    leaving: bool,
}

/// The entries of this instance's failure domain.
#[derive(Clone, Debug)]
pub struct DomainPeers {
    me: InstanceName,
    incarnation: u64,
    my_replica: bool,
    leaving: bool,
    peers: BTreeMap<InstanceName, PeerView>,
    declared: BTreeSet<InstanceName>,
    addresses: BTreeMap<InstanceName, SocketAddr>,
    /// This instance's place when all last agreed; none since it started or stood still.
    agreed_rank: Option<ShareRank>,
    /// Whether what this instance has in flight fits into its part.
    within_share: bool,
    fresh_since: Moment,
    last_tick: Moment,
    pulse_due: Moment,
}

/// A place among the entries that serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareRank {
    /// This entry's rank.
    pub rank: u32,
    /// How many serve.
    pub count: u32,
}

impl ShareRank {
    fn portion(self, whole: u64, salt: u64) -> u64 {
        let count = u64::from(self.count.max(1));
        let turn = (u64::from(self.rank) + salt % count) % count;
        whole / count + u64::from(turn < whole % count)
    }
}

/// The part of what a failure domain has that one entry may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DomainShare {
    /// The place by whom this entry hears.
    pub rank: ShareRank,
    /// The place when all last agreed; none for an entry that may use nothing yet.
    pub agreed_rank: Option<ShareRank>,
}

impl DomainShare {
    /// Returns this entry's part of a whole number of units; the parts of all entries never add up
    /// to more. The salt decides who gets the units that are left over.
    pub fn portion_of(&self, whole: u64, salt: u64) -> u64 {
        let Some(agreed) = self.agreed_rank else { return 0 };
        self.rank.portion(whole, salt).min(agreed.portion(whole, salt))
    }
}

impl DomainPeers {
    /// Makes the view of an instance that just started.
    pub fn new(me: InstanceName, incarnation: u64, my_replica: bool, now: Moment) -> Self {
        Self {
            me,
            incarnation,
            my_replica,
            leaving: false,
            peers: BTreeMap::new(),
            declared: BTreeSet::new(),
            addresses: BTreeMap::new(),
            agreed_rank: None,
            within_share: true,
            fresh_since: now,
            last_tick: now,
            pulse_due: now,
        }
    }

    /// Takes in who is declared for the failure domain.
    ///
    /// An instance that wasn't declared before doesn't know yet who else serves.
    pub fn apply_config(&mut self, set: &ObjectSet, domain: &DomainName, now: Moment) {
        let own = || set.entries.values().filter(|entry| entry.domain == *domain);
        let known = self.declared.contains(&self.me);
        self.declared = own().map(|entry| entry.name.clone()).collect();
        let others = own().filter(|entry| entry.name != self.me);
        self.addresses = others.map(|entry| (entry.name.clone(), entry.peer)).collect();
        self.peers.retain(|name, _| self.declared.contains(name));
        if !known {
            self.start_over(now);
        }
        // Others can't count this instance before they have heard it.
        self.pulse_due = Moment(0);
    }

    /// Returns the names that are counted, this instance included.
    pub fn members(&self, now: Moment) -> Vec<InstanceName> {
        let heard = self.live(now).map(|(name, _)| name.clone());
        let all: BTreeSet<InstanceName> = heard.chain([self.me.clone()]).collect();
        all.into_iter().collect()
    }

    /// Tells whether another entry of the domain is heard and isn't stopping.
    pub fn serves(&self, name: &InstanceName, now: Moment) -> bool {
        if *name == self.me {
            return !self.leaving;
        }
        let view = self.peers.get(name);
        view.is_some_and(|view| now.since(view.heard) < HEARTBEAT_LEASE && !view.leaving)
    }

    /// Returns the part that this instance may use.
    pub fn share(&self, now: Moment) -> DomainShare {
        // Between waking up from a standstill and the first tick, nothing known is current.
        let awake = now.since(self.last_tick) <= STANDSTILL;
        DomainShare { rank: self.rank(now), agreed_rank: self.agreed_rank.filter(|_| awake) }
    }

    fn rank(&self, now: Moment) -> ShareRank {
        let members = self.members(now);
        let rank = members.iter().position(|name| *name == self.me).unwrap_or(0);
        ShareRank { rank: rank as u32, count: members.len() as u32 }
    }

    /// Tells whether all entries that are heard count the same ones and have given way.
    fn all_agree(&self, now: Moment) -> bool {
        let members = self.members(now);
        let complete = self.declared.iter().all(|name| members.contains(name));
        let waited = now.since(self.fresh_since) >= HEARTBEAT_LEASE;
        let digest = members_digest(&members);
        let same = self.live(now).all(|(_, view)| view.counts == Some(digest));
        let declared = self.declared.contains(&self.me);
        declared && self.within_share && same && (complete || waited)
    }

    /// Returns the entry that fetches the configuration for the domain, and where it listens;
    /// none when that is this instance.
    pub fn relay(&self, now: Moment) -> Option<SocketAddr> {
        let mut best = (!self.my_replica, &self.me);
        let mut address = None;
        for (name, view) in self.live(now) {
            if (!view.replica, name) < best {
                best = (!view.replica, name);
                address = Some(view.peer);
            }
        }
        address
    }

    /// Says from now on that this instance is stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.pulse_due = Moment(0);
    }

    /// Tells whether this instance is stopping.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Hears a pulse.
    ///
    /// What it says of whom the sender counts stands only if the sender had heard this instance
    /// since its start or its last standstill: an older pulse may have waited in a buffer while the
    /// sender took this instance's part over.
    pub fn record_heartbeat(&mut self, sender: &PeerSender, pulse: &PeerHeartbeat, now: Moment) {
        let fresh = pulse.echo.is_some_and(|echo| {
            echo.incarnation == self.incarnation && echo.sent_at >= self.fresh_since
        });
        let counts = pulse.counts.filter(|_| fresh);
        let PeerHeartbeat { mark, replica, leaving, .. } = *pulse;
        let view = PeerView { peer: sender.peer, heard: now, counts, mark, replica, leaving };
        if self.peers.insert(sender.name.clone(), view).is_none() {
            // The newcomer should not wait for the next turn to learn that it is counted.
            self.pulse_due = now;
        }
    }

    /// Sends pulses when due, notices a standstill of this process, and takes up its part.
    ///
    /// `within_share` says whether what this instance has in flight fits into the part that it may use.
    pub fn tick(&mut self, within_share: bool, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > STANDSTILL {
            self.start_over(now);
            self.peers.clear();
            effects
                .push(NodeEffect::Log(LogEvent::ProcessPaused { millis: gap.as_millis() as u64 }));
        }
        let silent: Vec<InstanceName> = (self.peers.iter())
            .filter(|(_, view)| now.since(view.heard) >= HEARTBEAT_LEASE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.peers.remove(&name);
            effects.push(NodeEffect::Log(LogEvent::PeerTimedOut { name }));
        }
        if within_share != self.within_share {
            self.within_share = within_share;
            self.pulse_due = now;
        }
        if self.all_agree(now) {
            self.agreed_rank = Some(self.rank(now));
        }
        if now >= self.pulse_due {
            self.pulse_due = now.after(HEARTBEAT_INTERVAL);
            effects.extend(self.pulses(now));
        }
        effects
    }

    fn start_over(&mut self, now: Moment) {
        self.fresh_since = now;
        self.agreed_rank = None;
    }

    fn pulses(&self, now: Moment) -> Vec<NodeEffect> {
        let counts = self.within_share.then(|| members_digest(&self.members(now)));
        let mark = HeartbeatId { incarnation: self.incarnation, sent_at: now };
        let (replica, leaving) = (self.my_replica, self.leaving);
        let pulse = |name: &InstanceName| {
            let echo = self.peers.get(name).map(|view| view.mark);
            PeerMessage::Pulse(PeerHeartbeat { counts, mark, echo, replica, leaving })
        };
        let sends = self.addresses.iter();
        sends.map(|(name, to)| NodeEffect::send(*to, pulse(name))).collect()
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = (&InstanceName, &PeerView)> {
        self.peers.iter().filter(move |(_, view)| now.since(view.heard) < HEARTBEAT_LEASE)
    }
}

fn members_digest(members: &[InstanceName]) -> u64 {
    let mut bytes = Vec::new();
    for name in members {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.push(0);
    }
    stable_hash(&bytes)
}
