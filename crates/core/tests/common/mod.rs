//! A few node reducers with a bag of messages and disks that forget what wasn't synced.

use {
    hemlockspool_core::{
        clock::{ClockReading, Moment},
        consensus::{GroupId, LogPosition, PersistBatch, ReplicaId, RestoredLog},
        effect::{NodeEffect, OperatorReply, ReplyTicket},
        identity::NodeIdentity,
        operators::{OperatorCall, SetChange},
        reducer::{NodeEvent, NodeState},
        replica::ReplicaNode,
        wire::PeerEnvelope,
    },
    hemlockspool_model::{
        api::{PublishOutcome, ReplicaRequest, ReplicaResponse},
        names::{ConfigVersion, InstanceName, RequestTag},
        objects::{DeclaredObject, RegionObject},
        set::ObjectSet,
    },
    quickcheck::{Arbitrary, Gen},
    rand_pcg::{Pcg32, rand_core::SeedableRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
    },
};

pub const TICK_US: u64 = 25_000;

/// A disk: what is synced, and writes that aren't.
#[derive(Clone, Debug, Default)]
pub struct TestDisk {
    pub synced: RestoredLog,
    pub unsynced: VecDeque<(u64, PersistBatch)>,
}

impl TestDisk {
    fn store(log: &mut RestoredLog, batch: &PersistBatch) {
        if let Some((image, base)) = &batch.reset {
            *log = RestoredLog { image: image.clone(), base: *base, ..RestoredLog::default() };
        }
        if let Some(hard) = batch.hard {
            log.hard = hard;
        }
        if let Some(index) = batch.truncate_after {
            log.entries.retain(|entry| entry.position.index <= index);
        }
        log.entries.extend(batch.entries.iter().cloned());
    }

    /// Syncs up to a number of writes and returns the last ticket.
    fn sync(&mut self, count: usize) -> Option<u64> {
        let mut last = None;
        for _ in 0..count {
            let Some((ticket, batch)) = self.unsynced.pop_front() else { break };
            Self::store(&mut self.synced, &batch);
            last = Some(ticket);
        }
        last
    }
}

pub struct TestNode {
    pub state: Option<NodeState>,
    pub disk: TestDisk,
    pub replica: ReplicaId,
    pub frozen_until: u64,
    lives: u64,
    /// The highest version in force, over all lives.
    pub highest: ConfigVersion,
}

/// How hostile a run is, in percent for each step.
#[derive(Clone, Copy, Debug)]
pub struct TestFaults {
    pub lose: u32,
    pub double: u32,
    pub crash: u32,
    pub wipe: u32,
    pub freeze: u32,
    pub cut: u32,
}

pub struct TestNet {
    pub nodes: Vec<TestNode>,
    pub now_us: u64,
    pub bag: Vec<(u64, SocketAddr, PeerEnvelope)>,
    pub generator: Gen,
    pub faults: TestFaults,
    pub answers: BTreeMap<ReplyTicket, PublishOutcome>,
    pub replica_answers: Vec<ReplicaResponse>,
    pub tags: BTreeMap<ReplyTicket, RequestTag>,
    pub cut: BTreeSet<(usize, usize)>,
    /// The digest of each audit record, wherever it was first seen.
    chains: BTreeMap<u64, String>,
    leaders: BTreeMap<u64, ReplicaId>,
    last_ticket: u64,
}

pub fn address(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 20_000 + index).parse().unwrap()
}

pub fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("n{index}"))
}

pub fn set_of(regions: &[String]) -> ObjectSet {
    let mut set = ObjectSet::default();
    for region in regions {
        set.upsert(DeclaredObject::Region(RegionObject { name: region.as_str().into() }));
    }
    set
}

impl TestNet {
    pub fn new(count: usize, seed: u64, faults: TestFaults) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            now_us: 3_600_000_000,
            bag: Vec::new(),
            generator: Gen::from_size_and_seed(100, seed),
            faults,
            answers: BTreeMap::new(),
            replica_answers: Vec::new(),
            tags: BTreeMap::new(),
            cut: BTreeSet::new(),
            chains: BTreeMap::new(),
            leaders: BTreeMap::new(),
            last_ticket: 0,
        };
        for index in 0..count {
            net.nodes.push(TestNode {
                state: None,
                disk: TestDisk::default(),
                replica: ReplicaId(index as u64 + 1),
                frozen_until: 0,
                lives: 0,
                highest: ConfigVersion::default(),
            });
            net.start(index);
        }
        net
    }

    pub fn random(&mut self, below: u32) -> u32 {
        // Integers of quickcheck prefer edges; mixing two spreads them.
        let one = u32::arbitrary(&mut self.generator);
        let other = u32::arbitrary(&mut self.generator);
        one.wrapping_mul(0x9E37_79B9).wrapping_add(other.rotate_left(7)) % below.max(1)
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.random(1_000) < per_mille
    }

    pub fn start(&mut self, index: usize) {
        let count = self.nodes.len().max(index + 1);
        let seeds = (0..count.max(5)).map(address).collect();
        let now = Moment(self.now_us);
        let node = &mut self.nodes[index];
        node.lives += 1;
        let identity = NodeIdentity {
            deployment: "test".to_owned(),
            name: name(index),
            domain: "d".into(),
            peer: address(index),
            incarnation: node.lives,
        };
        let seed = index as u64 * 1_000 + node.lives;
        let restored = node.disk.synced.clone();
        let random = Pcg32::seed_from_u64(seed);
        let group = GroupId::default();
        let replica = ReplicaNode::restore(group, node.replica, restored, now, random.clone());
        let state = NodeState::new(identity, seeds, Some(replica.unwrap()), now, random);
        node.state = Some(state);
    }

    /// Ends a node; of the writes under way, some reached the disk.
    pub fn crash(&mut self, index: usize) {
        let unsynced = self.nodes[index].disk.unsynced.len() as u32;
        let reached = self.random(unsynced + 1) as usize;
        let node = &mut self.nodes[index];
        node.state = None;
        node.disk.sync(reached);
        node.disk.unsynced.clear();
    }

    /// Takes a node's disk away; it comes back as another replica.
    pub fn wipe(&mut self, index: usize) {
        self.crash(index);
        let node = &mut self.nodes[index];
        node.disk = TestDisk::default();
        node.replica = ReplicaId(node.replica.0 + 1_000);
        node.highest = ConfigVersion::default();
    }

    pub fn apply(&mut self, index: usize, event: NodeEvent) {
        let clock = ClockReading { now: Moment(self.now_us), wall_ms: self.now_us / 1_000 };
        let Some(state) = &mut self.nodes[index].state else { return };
        let effects = state.reduce(event, clock);
        for effect in effects {
            self.perform(index, effect);
        }
        self.check(index);
    }

    fn perform(&mut self, index: usize, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => {
                let envelope =
                    self.nodes[index].state.as_ref().unwrap().identity().envelope(*message);
                // What crosses the wire must survive its codec.
                let envelope = PeerEnvelope::decode(&envelope.encode()).unwrap();
                let own = to == address(index);
                if !own && self.chance(self.faults.lose * 10) {
                    return;
                }
                let copies = if self.chance(self.faults.double * 10) { 2 } else { 1 };
                for _ in 0..copies {
                    let slow = self.chance(50);
                    let delay = self.random(if slow { 900_000 } else { 30_000 });
                    let due = self.now_us + u64::from(delay);
                    self.bag.push((due, to, envelope.clone()));
                }
            }
            NodeEffect::Disk(effect) => {
                self.nodes[index].disk.unsynced.push_back((effect.ticket, effect.batch));
            }
            NodeEffect::Reply { ticket, reply } => match reply {
                OperatorReply::Publish(answer) => {
                    self.answers.insert(ticket, answer);
                }
                OperatorReply::Replica(answer) => self.replica_answers.push(answer),
                other => panic!("{other:?} answers no call of these tests"),
            },
            _ => {}
        }
    }

    /// Publishes from a node's own version, or under an older tag again.
    pub fn publish(&mut self, index: usize, tag: &str, base: ConfigVersion, set: ObjectSet) {
        self.last_ticket += 1;
        let ticket = ReplyTicket(self.last_ticket);
        let request = RequestTag::new(tag);
        self.tags.insert(ticket, request.clone());
        let (operator, change) = (Some("ops".into()), SetChange::Whole(Box::new(set)));
        let call = OperatorCall::Publish { request, operator, base, change };
        self.apply(index, NodeEvent::Operator { ticket, call });
    }

    pub fn operate(&mut self, index: usize, call: OperatorCall) {
        self.last_ticket += 1;
        let ticket = ReplyTicket(self.last_ticket);
        self.apply(index, NodeEvent::Operator { ticket, call });
    }

    /// Lets a tick's time pass, with whatever faults come up.
    pub fn step(&mut self) {
        self.now_us += TICK_US;
        for pair in self.cut.clone() {
            if self.chance(15) {
                self.cut.remove(&pair);
            }
        }
        for index in 0..self.nodes.len() {
            self.fault(index);
            if self.nodes[index].frozen_until > self.now_us {
                continue;
            }
            let pending = self.nodes[index].disk.unsynced.len() as u32;
            let some = self.random(pending + 1) as usize;
            let count = if self.chance(700) { pending as usize } else { some };
            if let Some(ticket) = self.nodes[index].disk.sync(count) {
                self.apply(index, NodeEvent::Persisted { group: GroupId::default(), ticket });
            }
            self.apply(index, NodeEvent::Tick);
        }
        self.deliver();
    }

    fn fault(&mut self, index: usize) {
        if self.nodes[index].state.is_none() {
            if self.chance(30) {
                self.start(index);
            }
            return;
        }
        let others = self.nodes.len() as u32;
        let TestFaults { crash, wipe, freeze, cut, .. } = self.faults;
        if self.chance(crash) {
            self.crash(index);
        } else if self.chance(wipe) && self.others_vote(index) {
            self.wipe(index);
        } else if self.chance(freeze) {
            self.nodes[index].frozen_until = self.now_us + u64::from(self.random(4_000_000));
        } else if self.chance(cut) {
            let other = self.random(others) as usize;
            self.cut.insert((index, other));
        }
    }

    /// Whether all others hold everything, so that this disk may be lost.
    fn others_vote(&self, index: usize) -> bool {
        let count = self.nodes.len();
        let groups =
            self.nodes.iter().filter_map(|node| Some(node.state.as_ref()?.replica()?.group()));
        let leader = groups.filter(|group| group.is_leader()).max_by_key(|group| group.term());
        leader.is_some_and(|group| {
            let members = group.members();
            let lives = self.nodes.iter().all(|node| members.contains_key(&node.replica));
            let all = lives && members.len() == count && members.values().all(|one| one.voter);
            all && members.iter().all(|(id, member)| {
                member.name == name(index)
                    || group.match_index(*id) == Some(group.last_position().index)
            })
        })
    }

    fn deliver(&mut self) {
        let now = self.now_us;
        let (mut due, later): (Vec<_>, Vec<_>) =
            self.bag.drain(..).partition(|(at, _, _)| *at <= now);
        self.bag = later;
        while !due.is_empty() {
            let pick = self.random(due.len() as u32) as usize;
            let (_, to, envelope) = due.swap_remove(pick);
            let index = usize::from(to.port()) - 20_000;
            let from = usize::from(envelope.sender.peer.port()) - 20_000;
            let there = index < self.nodes.len() && self.nodes[index].state.is_some();
            if !there || self.cut.contains(&(from, index)) {
                continue;
            }
            if self.nodes[index].frozen_until > now {
                self.bag.push((self.nodes[index].frozen_until, to, envelope));
                continue;
            }
            self.apply(index, NodeEvent::Peer(Box::new(envelope)));
        }
    }

    /// Lets time pass without faults until a condition holds; tells whether it came to hold.
    pub fn calm_until<F>(&mut self, seconds: u64, mut holds: F) -> bool
    where
        F: FnMut(&Self) -> bool,
    {
        self.faults = TestFaults { lose: 0, double: 0, crash: 0, wipe: 0, freeze: 0, cut: 0 };
        self.cut.clear();
        for index in 0..self.nodes.len() {
            if self.nodes[index].state.is_none() {
                self.start(index);
            }
        }
        let end = self.now_us + seconds * 1_000_000;
        while self.now_us < end {
            if holds(self) {
                return true;
            }
            self.step();
        }
        holds(self)
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &TestNode| {
            let group = node.state.as_ref()?.replica()?.group();
            group.is_leader().then(|| group.term())
        };
        let led = self.nodes.iter().enumerate().filter_map(|(at, node)| Some((leads(node)?, at)));
        led.max().map(|(_, at)| at)
    }

    /// A line for each node, for failures.
    pub fn describe(&self) -> String {
        let mut out = format!("{} messages under way\n", self.bag.len());
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(state) = &node.state else { continue };
            let group = state.replica().unwrap().group();
            out += &format!(
                "n{index} {} {} term {} commit {} last {:?} durable {} marked {} held {} force {:?} submits {} members {:?}\n",
                group.me(),
                group.role_name(),
                group.term(),
                group.commit_index(),
                group.last_position(),
                group.durable_index(),
                group.persisted_commit(),
                state.config().held_version(),
                state.config().version(),
                state.submits_pending(),
                group
                    .members()
                    .iter()
                    .map(|(id, m)| (id.0, m.voter, group.match_index(*id)))
                    .collect::<Vec<_>>(),
            );
        }
        out
    }

    /// What must hold after every event.
    fn check(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(state) = &node.state else { return };
        if let Some(version) = state.config().version() {
            assert!(version >= node.highest, "n{index} fell from {} to {version}", node.highest);
            node.highest = version;
        }
        let Some(replica) = state.replica() else { return };
        if replica.group().is_leader() {
            let (term, me) = (replica.group().term(), replica.group().me());
            let first = self.leaders.entry(term).or_insert(me);
            assert_eq!(*first, me, "two leaders in term {term}");
        }
        let trail = replica.ledger().audit();
        for record in trail.records_from(trail.last_sequence().saturating_sub(2), 3) {
            let first = self.chains.entry(record.sequence).or_insert_with(|| record.chain.clone());
            assert_eq!(*first, record.chain, "n{index}: record {} differs", record.sequence);
        }
    }

    /// What must hold of all answers together.
    pub fn check_answers(&self) {
        let mut by_tag: BTreeMap<&RequestTag, &PublishOutcome> = BTreeMap::new();
        let mut by_version: BTreeMap<ConfigVersion, &RequestTag> = BTreeMap::new();
        for (ticket, answer) in &self.answers {
            let tag = &self.tags[ticket];
            if matches!(answer, PublishOutcome::Unknown | PublishOutcome::Behind { .. }) {
                continue;
            }
            let first = by_tag.entry(tag).or_insert(answer);
            assert_eq!(*first, answer, "{tag} got two answers");
            if let PublishOutcome::Accepted { version } = answer {
                let owner = by_version.entry(*version).or_insert(tag);
                assert_eq!(*owner, tag, "version {version} was given twice");
            }
        }
    }
}

fn replicas(body: ReplicaRequest) -> OperatorCall {
    OperatorCall::Replicas { operator: Some("ops".into()), body }
}

/// Forms a group of all nodes.
pub fn form(net: &mut TestNet) {
    let calm = net.faults;
    net.operate(0, replicas(ReplicaRequest::Init));
    assert!(net.calm_until(10, |net| net.leader() == Some(0)), "the first voter leads");
    let count = net.nodes.len();
    for index in 1..count {
        let votes = |net: &TestNet| {
            let state = net.nodes[0].state.as_ref().unwrap();
            let members = state.replica().unwrap().group().members();
            members.values().any(|member| member.name == name(index) && member.voter)
        };
        for _ in 0..40 {
            net.operate(0, replicas(ReplicaRequest::Add(name(index))));
            if net.calm_until(1, votes) {
                break;
            }
        }
        assert!(votes(net), "n{index} votes");
    }
    net.faults = calm;
}

#[allow(dead_code)]
pub fn origin() -> LogPosition {
    LogPosition::default()
}
