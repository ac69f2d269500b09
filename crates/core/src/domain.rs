/*!
Membership of the entries of one failure domain, and how they share the domain's quotas.

The entries of a domain exchange heartbeats. Each entry splits the domain's slots and limits by its
rank among the members, which are itself and the entries whose heartbeat is current. The shares of
all entries must never add up to more than the whole, also while an entry joins, leaves, pauses or
resumes:

* An entry that receives the first heartbeat of a new member reduces its share at once, but reports
  a membership that includes the new member only when its requests in flight fit into the reduced
  share.
* Until every member reports the same membership, an entry uses the smaller of its old and new
  shares. So no share grows before each entry whose share shrinks has reduced its use. An entry that
  just started, resumed or was declared has no old share, and uses nothing until then.
* When an entry's heartbeats stop, the others leave its share unused until its lease
  ([`HEARTBEAT_LEASE`]) expires.

This relies on a guarantee of the platform: network partitions occur only between failure domains,
never within one.
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

/// The interval between heartbeats. The next one is sent sooner after a new configuration, the
/// first heartbeat of a new member, a change of `within_share` or the start of a planned stop.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The time after its last heartbeat for which an entry counts as a member.
pub const HEARTBEAT_LEASE: Duration = Duration::from_secs(2);
/// The shortest gap between ticks that counts as a pause of the process, after which the entry
/// rejoins as if newly started.
const PROCESS_PAUSE_MIN: Duration = Duration::from_secs(1);

/// The state of another entry, from its latest heartbeat.
#[derive(Clone, Debug)]
struct PeerState {
    peer: SocketAddr,
    last_seen: Moment,
    /// The digest of the membership that the peer reports, or `None` while its requests in flight
    /// exceed its share or its report isn't valid (see [`DomainPeers::record_heartbeat`]).
    members_digest: Option<u64>,
    /// The identifier of the peer's latest heartbeat.
    heartbeat_id: HeartbeatId,
    replica: bool,
    leaving: bool,
}

/// The entries of this instance's failure domain, as seen by this instance.
#[derive(Clone, Debug)]
pub struct DomainPeers {
    me: InstanceName,
    incarnation: u64,
    has_replica: bool,
    leaving: bool,
    peers: BTreeMap<InstanceName, PeerState>,
    declared: BTreeSet<InstanceName>,
    addresses: BTreeMap<InstanceName, SocketAddr>,
    /// This entry's rank when all members last agreed; `None` if they haven't since `rejoined_at`.
    agreed_rank: Option<ShareRank>,
    /// Whether this entry's requests in flight fitted into its share at the last tick.
    within_share: bool,
    /// The time at which this entry last started, resumed after a pause, or was newly declared.
    rejoined_at: Moment,
    last_tick: Moment,
    heartbeat_due: Moment,
}

/// The rank of an entry among the members of its failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareRank {
    /// The entry's position in the order of names.
    pub rank: u32,
    /// The number of members.
    pub count: u32,
}

impl ShareRank {
    fn portion(self, total: u64, salt: u64) -> u64 {
        let count = u64::from(self.count.max(1));
        let position = (u64::from(self.rank) + salt % count) % count;
        total / count + u64::from(position < total % count)
    }
}

/// The share of a failure domain's quotas that one entry may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DomainShare {
    /// The rank in the current membership.
    pub rank: ShareRank,
    /// The rank when all members last agreed; `None` for an entry that may not use anything,
    /// because they haven't agreed yet or because its process may have been paused.
    pub agreed_rank: Option<ShareRank>,
}

impl DomainShare {
    /// Returns this entry's share of a number of units. The shares of all entries for the same salt
    /// never add up to more than that number. The salt determines which entries get the remainder
    /// of the division.
    pub fn portion_of(&self, total: u64, salt: u64) -> u64 {
        let Some(agreed) = self.agreed_rank else { return 0 };
        self.rank.portion(total, salt).min(agreed.portion(total, salt))
    }
}

impl DomainPeers {
    /// Returns the state of an instance that just started.
    pub fn new(me: InstanceName, incarnation: u64, has_replica: bool, now: Moment) -> Self {
        Self {
            me,
            incarnation,
            has_replica,
            leaving: false,
            peers: BTreeMap::new(),
            declared: BTreeSet::new(),
            addresses: BTreeMap::new(),
            agreed_rank: None,
            within_share: true,
            rejoined_at: now,
            last_tick: now,
            heartbeat_due: now,
        }
    }

    /// Updates the declared entries of the failure domain from a new version.
    ///
    /// An instance that wasn't declared before doesn't know the members yet, so it has no share
    /// until the members agree.
    pub fn apply_config(&mut self, set: &ObjectSet, domain: &DomainName, now: Moment) {
        let in_domain = || set.entries.values().filter(|entry| entry.domain == *domain);
        let was_declared = self.declared.contains(&self.me);
        self.declared = in_domain().map(|entry| entry.name.clone()).collect();
        let others = in_domain().filter(|entry| entry.name != self.me);
        self.addresses = others.map(|entry| (entry.name.clone(), entry.peer)).collect();
        self.peers.retain(|name, _| self.declared.contains(name));
        if !was_declared {
            self.reset_share(now);
        }
        // The others count this instance as a member only after its first heartbeat.
        self.heartbeat_due = Moment(0);
    }

    /// Returns the names of the members, this instance included.
    pub fn members(&self, now: Moment) -> Vec<InstanceName> {
        let peers = self.current_peers(now).map(|(name, _)| name.clone());
        let all: BTreeSet<InstanceName> = peers.chain([self.me.clone()]).collect();
        all.into_iter().collect()
    }

    /// Returns whether an entry of the domain is a member and isn't stopping.
    pub fn serves(&self, name: &InstanceName, now: Moment) -> bool {
        if *name == self.me {
            return !self.leaving;
        }
        let state = self.peers.get(name);
        state.is_some_and(|state| now.since(state.last_seen) < HEARTBEAT_LEASE && !state.leaving)
    }

    /// Returns the share that this instance may use.
    pub fn share(&self, now: Moment) -> DomainShare {
        // Between the end of a process pause and the first tick, the membership may be outdated.
        let current = now.since(self.last_tick) <= PROCESS_PAUSE_MIN;
        DomainShare { rank: self.rank(now), agreed_rank: self.agreed_rank.filter(|_| current) }
    }

    fn rank(&self, now: Moment) -> ShareRank {
        let members = self.members(now);
        let rank = members.iter().position(|name| *name == self.me).unwrap_or(0);
        ShareRank { rank: rank as u32, count: members.len() as u32 }
    }

    /// Returns whether this entry is declared, and all members report the same membership and keep
    /// within their shares.
    ///
    /// Until a lease has passed since `rejoined_at`, every declared entry must be a member, because
    /// the heartbeat of one may not have arrived yet.
    fn all_agree(&self, now: Moment) -> bool {
        let members = self.members(now);
        let all_declared = self.declared.iter().all(|name| members.contains(name));
        let lease_passed = now.since(self.rejoined_at) >= HEARTBEAT_LEASE;
        let digest = members_digest(&members);
        let digests_match =
            self.current_peers(now).all(|(_, state)| state.members_digest == Some(digest));
        let declared = self.declared.contains(&self.me);
        declared && self.within_share && digests_match && (all_declared || lease_passed)
    }

    /// Returns the peer address of the relay, the entry that polls for the configuration on behalf
    /// of the domain, or `None` if that is this instance.
    pub fn relay(&self, now: Moment) -> Option<SocketAddr> {
        let mut best = (!self.has_replica, &self.me);
        let mut address = None;
        for (name, state) in self.current_peers(now) {
            if (!state.replica, name) < best {
                best = (!state.replica, name);
                address = Some(state.peer);
            }
        }
        address
    }

    /// Marks this instance as stopping, which its heartbeats report from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.heartbeat_due = Moment(0);
    }

    /// Returns whether this instance is stopping.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Records a heartbeat.
    ///
    /// The reported membership is valid only if the heartbeat echoes one that this instance sent
    /// after it last started, resumed or was newly declared. Otherwise the heartbeat may have
    /// waited in a buffer while the sender took over this instance's share.
    pub fn record_heartbeat(
        &mut self,
        sender: &PeerSender,
        heartbeat: &PeerHeartbeat,
        now: Moment,
    ) {
        let valid = heartbeat.echo.is_some_and(|echo| {
            echo.incarnation == self.incarnation && echo.sent_at >= self.rejoined_at
        });
        let members_digest = heartbeat.counts.filter(|_| valid);
        let PeerHeartbeat { mark: heartbeat_id, replica, leaving, .. } = *heartbeat;
        let state = PeerState {
            peer: sender.peer,
            last_seen: now,
            members_digest,
            heartbeat_id,
            replica,
            leaving,
        };
        if self.peers.insert(sender.name.clone(), state).is_none() {
            // Tells a new member at once, not at the next interval, that it is counted.
            self.heartbeat_due = now;
        }
    }

    /// Detects pauses of this process, removes members whose lease has expired, updates the agreed
    /// rank, and sends heartbeats when due.
    ///
    /// `within_share` is whether this instance's requests in flight fit into its share.
    pub fn tick(&mut self, within_share: bool, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > PROCESS_PAUSE_MIN {
            self.reset_share(now);
            self.peers.clear();
            effects
                .push(NodeEffect::Log(LogEvent::ProcessPaused { millis: gap.as_millis() as u64 }));
        }
        let expired: Vec<InstanceName> = (self.peers.iter())
            .filter(|(_, state)| now.since(state.last_seen) >= HEARTBEAT_LEASE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.peers.remove(&name);
            effects.push(NodeEffect::Log(LogEvent::PeerTimedOut { name }));
        }
        if within_share != self.within_share {
            self.within_share = within_share;
            self.heartbeat_due = now;
        }
        if self.all_agree(now) {
            self.agreed_rank = Some(self.rank(now));
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now.after(HEARTBEAT_INTERVAL);
            effects.extend(self.heartbeats(now));
        }
        effects
    }

    fn reset_share(&mut self, now: Moment) {
        self.rejoined_at = now;
        self.agreed_rank = None;
    }

    fn heartbeats(&self, now: Moment) -> Vec<NodeEffect> {
        let counts = self.within_share.then(|| members_digest(&self.members(now)));
        let mark = HeartbeatId { incarnation: self.incarnation, sent_at: now };
        let (replica, leaving) = (self.has_replica, self.leaving);
        let heartbeat = |name: &InstanceName| {
            let echo = self.peers.get(name).map(|state| state.heartbeat_id);
            PeerMessage::Pulse(PeerHeartbeat { counts, mark, echo, replica, leaving })
        };
        let sends = self.addresses.iter();
        sends.map(|(name, to)| NodeEffect::send(*to, heartbeat(name))).collect()
    }

    fn current_peers(&self, now: Moment) -> impl Iterator<Item = (&InstanceName, &PeerState)> {
        self.peers.iter().filter(move |(_, state)| now.since(state.last_seen) < HEARTBEAT_LEASE)
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
