//! Simulated cluster: node reducers, messages in transit, and disks that lose unsynced writes.

pub mod disk;

use {
    self::disk::TestDisk,
    hemlockspool_core::{
        clock::{ClockReading, Moment},
        consensus::{GroupId, LogPosition, ReplicaId},
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
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Duration of a simulation step, in microseconds.
pub const TICK_US: u64 = 25_000;

/// Node of the simulated cluster.
pub struct TestNode {
    /// State of the process; none while it is down.
    pub state: Option<NodeState>,
    pub disk: TestDisk,
    pub replica: ReplicaId,
    /// Time until which the process is paused, in microseconds.
    pub paused_until_us: u64,
    /// Time until which the disk takes no writes, in microseconds.
    pub disk_full_until_us: u64,
    incarnation: u64,
    /// Highest version that was in force since the disk was last lost, over all incarnations.
    pub highest_in_force: ConfigVersion,
}

/// Rates of injected faults: per message for loss and duplication, otherwise per running node and
/// step.
#[derive(Clone, Copy, Debug)]
pub struct TestFaults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub crash_per_mille: u32,
    /// Rate of lost disks. A disk is lost only while all nodes vote and the others have the
    /// leader's whole log.
    pub disk_loss_per_mille: u32,
    pub pause_per_mille: u32,
    /// Rate of links that are cut in one direction.
    pub cut_per_mille: u32,
}

/// Simulated cluster with seeded faults.
pub struct TestCluster {
    pub nodes: Vec<TestNode>,
    pub now_us: u64,
    /// Messages in transit: time of delivery in microseconds, destination, message.
    pub in_transit: Vec<(u64, SocketAddr, PeerEnvelope)>,
    pub generator: Gen,
    pub faults: TestFaults,
    pub publish_outcomes: BTreeMap<ReplyTicket, PublishOutcome>,
    pub replica_responses: Vec<ReplicaResponse>,
    /// Request tags of all publications.
    pub tags: BTreeMap<ReplyTicket, RequestTag>,
    /// Links that are cut in one direction, by the indices of sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Chain digest of each audit record by sequence number, as first seen on any node.
    chains: BTreeMap<u64, String>,
    /// First leader seen in each term.
    leaders: BTreeMap<u64, ReplicaId>,
    last_ticket: u64,
}

/// Returns the peer address of a node.
pub fn address(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 20_000 + index).parse().unwrap()
}

/// Returns the name of a node.
pub fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("n{index}"))
}

/// Returns a set of objects that declares only regions.
pub fn region_set(regions: &[String]) -> ObjectSet {
    let mut set = ObjectSet::default();
    for region in regions {
        set.upsert(DeclaredObject::Region(RegionObject { name: region.as_str().into() }));
    }
    set
}

impl TestCluster {
    /// Starts `count` nodes that aren't members of a group yet.
    pub fn new(count: usize, seed: u64, faults: TestFaults) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            now_us: 3_600_000_000,
            in_transit: Vec::new(),
            generator: Gen::from_size_and_seed(100, seed),
            faults,
            publish_outcomes: BTreeMap::new(),
            replica_responses: Vec::new(),
            tags: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            chains: BTreeMap::new(),
            leaders: BTreeMap::new(),
            last_ticket: 0,
        };
        for index in 0..count {
            cluster.nodes.push(TestNode {
                state: None,
                disk: TestDisk::default(),
                replica: ReplicaId(index as u64 + 1),
                paused_until_us: 0,
                disk_full_until_us: 0,
                incarnation: 0,
                highest_in_force: ConfigVersion::default(),
            });
            cluster.start(index);
        }
        cluster
    }

    /// Returns a random integer below `limit`.
    pub fn random(&mut self, limit: u32) -> u32 {
        // quickcheck favors edge values; mixing two integers makes the result more uniform.
        let first = u32::arbitrary(&mut self.generator);
        let second = u32::arbitrary(&mut self.generator);
        first.wrapping_mul(0x9E37_79B9).wrapping_add(second.rotate_left(7)) % limit.max(1)
    }

    /// Returns true with a probability of `per_mille` thousandths.
    fn chance(&mut self, per_mille: u32) -> bool {
        self.random(1_000) < per_mille
    }

    /// Starts a node from the synced contents of its disk.
    pub fn start(&mut self, index: usize) {
        let count = self.nodes.len().max(index + 1);
        let seeds = (0..count.max(5)).map(address).collect();
        let now = Moment(self.now_us);
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        let identity = NodeIdentity {
            deployment: "test".to_owned(),
            name: name(index),
            domain: "d".into(),
            peer: address(index),
            incarnation: node.incarnation,
        };
        let seed = index as u64 * 1_000 + node.incarnation;
        let restored = node.disk.synced.clone();
        let random = Pcg32::seed_from_u64(seed);
        let group = GroupId::default();
        let replica = ReplicaNode::restore(group, node.replica, restored, now, random.clone());
        let state = NodeState::new(identity, seeds, Some(replica.unwrap()), now, random);
        node.state = Some(state);
    }

    /// Crashes a node; a random number of its writes in progress reach the disk.
    pub fn crash(&mut self, index: usize) {
        let unsynced = self.nodes[index].disk.unsynced.len() as u32;
        let synced_writes = self.random(unsynced + 1) as usize;
        let node = &mut self.nodes[index];
        node.state = None;
        node.disk.sync(synced_writes);
        node.disk.unsynced.clear();
    }

    /// Crashes a node and erases its disk, so that it restarts as another replica.
    pub fn lose_disk(&mut self, index: usize) {
        self.crash(index);
        let node = &mut self.nodes[index];
        node.disk = TestDisk::default();
        node.replica = ReplicaId(node.replica.0 + 1_000);
        node.highest_in_force = ConfigVersion::default();
    }

    /// Passes an event to a node, carries out the effects and checks the invariants. Does nothing
    /// while the node is down.
    pub fn apply(&mut self, index: usize, event: NodeEvent) {
        let clock = ClockReading { now: Moment(self.now_us), wall_ms: self.now_us / 1_000 };
        let Some(state) = &mut self.nodes[index].state else { return };
        let effects = state.reduce(event, clock);
        for effect in effects {
            self.perform(index, effect);
        }
        self.check_invariants(index);
    }

    fn perform(&mut self, index: usize, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => {
                let envelope =
                    self.nodes[index].state.as_ref().unwrap().identity().envelope(*message);
                // The receiver gets what the encoded message decodes to.
                let envelope = PeerEnvelope::decode(&envelope.encode()).unwrap();
                let to_itself = to == address(index);
                if !to_itself && self.chance(self.faults.loss_percent * 10) {
                    return;
                }
                let copies = if self.chance(self.faults.duplicate_percent * 10) { 2 } else { 1 };
                for _ in 0..copies {
                    let is_slow = self.chance(50);
                    let delay_us = self.random(if is_slow { 900_000 } else { 30_000 });
                    let due_us = self.now_us + u64::from(delay_us);
                    self.in_transit.push((due_us, to, envelope.clone()));
                }
            }
            NodeEffect::Disk(write) => {
                self.nodes[index].disk.unsynced.push_back((write.ticket, write.batch));
            }
            NodeEffect::Reply { ticket, reply } => match reply {
                OperatorReply::Publish(outcome) => {
                    self.publish_outcomes.insert(ticket, outcome);
                }
                OperatorReply::Replica(response) => self.replica_responses.push(response),
                other => panic!("no operator call of these tests gets the reply {other:?}"),
            },
            _ => {}
        }
    }

    /// Publishes a set of objects through a node. Using a tag again retries the earlier request.
    pub fn publish(&mut self, index: usize, tag: &str, base: ConfigVersion, set: ObjectSet) {
        self.last_ticket += 1;
        let ticket = ReplyTicket(self.last_ticket);
        let request = RequestTag::new(tag);
        self.tags.insert(ticket, request.clone());
        let (operator, change) = (Some("ops".into()), SetChange::Whole(Box::new(set)));
        let call = OperatorCall::Publish { request, operator, base, change };
        self.apply(index, NodeEvent::Operator { ticket, call });
    }

    /// Passes an operator call to a node.
    pub fn send_operator_call(&mut self, index: usize, call: OperatorCall) {
        self.last_ticket += 1;
        let ticket = ReplyTicket(self.last_ticket);
        self.apply(index, NodeEvent::Operator { ticket, call });
    }

    /// Advances the clock by one tick, restores some of the cut links, injects faults, syncs disks,
    /// passes ticks to the nodes and delivers messages.
    pub fn step(&mut self) {
        self.now_us += TICK_US;
        for link in self.cut_links.clone() {
            if self.chance(15) {
                self.cut_links.remove(&link);
            }
        }
        for index in 0..self.nodes.len() {
            self.inject_fault(index);
            if self.nodes[index].paused_until_us > self.now_us {
                continue;
            }
            let pending = self.nodes[index].disk.unsynced.len() as u32;
            let partial = self.random(pending + 1) as usize;
            let count = if self.chance(700) { pending as usize } else { partial };
            let is_full = self.nodes[index].disk_full_until_us > self.now_us;
            if let Some(ticket) = self.nodes[index].disk.sync(if is_full { 0 } else { count }) {
                self.apply(index, NodeEvent::Persisted { group: GroupId::default(), ticket });
            }
            self.apply(index, NodeEvent::Tick);
        }
        self.deliver();
    }

    /// Restarts a node that is down with a probability of 3%, or injects at most one fault into a
    /// running one.
    fn inject_fault(&mut self, index: usize) {
        if self.nodes[index].state.is_none() {
            if self.chance(30) {
                self.start(index);
            }
            return;
        }
        let count = self.nodes.len() as u32;
        let TestFaults {
            crash_per_mille, disk_loss_per_mille, pause_per_mille, cut_per_mille, ..
        } = self.faults;
        if self.chance(crash_per_mille) {
            self.crash(index);
        } else if self.chance(disk_loss_per_mille) && self.others_have_all(index) {
            self.lose_disk(index);
        } else if self.chance(pause_per_mille) {
            self.nodes[index].paused_until_us = self.now_us + u64::from(self.random(4_000_000));
        } else if self.chance(cut_per_mille) {
            let receiver = self.random(count) as usize;
            self.cut_links.insert((index, receiver));
        }
    }

    /// Returns whether all nodes vote and all others have the leader's whole log, so that this
    /// node's disk may be lost.
    fn others_have_all(&self, index: usize) -> bool {
        let count = self.nodes.len();
        let groups =
            self.nodes.iter().filter_map(|node| Some(node.state.as_ref()?.replica()?.group()));
        let leader = groups.filter(|group| group.is_leader()).max_by_key(|group| group.term());
        leader.is_some_and(|group| {
            let members = group.members();
            let all_joined = self.nodes.iter().all(|node| members.contains_key(&node.replica));
            let all_vote =
                all_joined && members.len() == count && members.values().all(|member| member.voter);
            all_vote
                && members.iter().all(|(id, member)| {
                    member.name == name(index)
                        || group.match_index(*id) == Some(group.last_position().index)
                })
        })
    }

    /// Delivers the messages that are due, in random order. Messages to nodes that are down or over
    /// cut links are lost; those to paused nodes wait until the end of the pause.
    fn deliver(&mut self) {
        let now = self.now_us;
        let (mut due, later): (Vec<_>, Vec<_>) =
            self.in_transit.drain(..).partition(|(due_us, _, _)| *due_us <= now);
        self.in_transit = later;
        while !due.is_empty() {
            let pick = self.random(due.len() as u32) as usize;
            let (_, to, envelope) = due.swap_remove(pick);
            let index = usize::from(to.port()) - 20_000;
            let from = usize::from(envelope.sender.peer.port()) - 20_000;
            let is_up = index < self.nodes.len() && self.nodes[index].state.is_some();
            if !is_up || self.cut_links.contains(&(from, index)) {
                continue;
            }
            if self.nodes[index].paused_until_us > now {
                self.in_transit.push((self.nodes[index].paused_until_us, to, envelope));
                continue;
            }
            self.apply(index, NodeEvent::Peer(Box::new(envelope)));
        }
    }

    /// Stops fault injection, restores cut links, restarts nodes that are down and runs until a
    /// condition holds; returns whether it holds within `timeout_s` seconds. Pauses that have begun
    /// go on.
    pub fn run_without_faults_until<F>(&mut self, timeout_s: u64, mut condition: F) -> bool
    where
        F: FnMut(&Self) -> bool,
    {
        self.faults = TestFaults {
            loss_percent: 0,
            duplicate_percent: 0,
            crash_per_mille: 0,
            disk_loss_per_mille: 0,
            pause_per_mille: 0,
            cut_per_mille: 0,
        };
        self.cut_links.clear();
        for index in 0..self.nodes.len() {
            if self.nodes[index].state.is_none() {
                self.start(index);
            }
        }
        let end_us = self.now_us + timeout_s * 1_000_000;
        while self.now_us < end_us {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    /// Returns the index of the leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leader_term = |node: &TestNode| {
            let group = node.state.as_ref()?.replica()?.group();
            group.is_leader().then(|| group.term())
        };
        let leaders = self
            .nodes
            .iter()
            .enumerate()
            .filter_map(|(index, node)| Some((leader_term(node)?, index)));
        leaders.max().map(|(_, index)| index)
    }

    /// Returns the number of messages in transit and one line for each running node, for the
    /// messages of failed checks.
    pub fn describe(&self) -> String {
        let mut out = format!("{} messages in transit\n", self.in_transit.len());
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(state) = &node.state else { continue };
            let group = state.replica().unwrap().group();
            out += &format!(
                "n{index} {} {} term {} commit {} last {:?} durable {} persisted commit {} held {} in force {:?} pending submissions {} members {:?}\n",
                group.me(),
                group.role_name(),
                group.term(),
                group.commit_index(),
                group.last_position(),
                group.durable_index(),
                group.persisted_commit(),
                state.config().held_version(),
                state.config().version(),
                state.pending_commands(),
                group
                    .members()
                    .iter()
                    .map(|(id, member)| (id.0, member.voter, group.match_index(*id)))
                    .collect::<Vec<_>>(),
            );
        }
        out
    }

    /// Checks what must hold after every event: the version in force on a node doesn't decrease
    /// unless the disk is lost, each term has at most one leader, and the audit trails of the nodes
    /// don't differ in a common record. Only the last three records are compared, because the
    /// digest of a record covers all earlier ones.
    fn check_invariants(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(state) = &node.state else { return };
        if let Some(version) = state.config().version() {
            assert!(
                version >= node.highest_in_force,
                "the version in force on n{index} went back from {} to {version}",
                node.highest_in_force
            );
            node.highest_in_force = version;
        }
        let Some(replica) = state.replica() else { return };
        if replica.group().is_leader() {
            let (term, me) = (replica.group().term(), replica.group().me());
            let first_leader = self.leaders.entry(term).or_insert(me);
            assert_eq!(*first_leader, me, "two leaders in term {term}");
        }
        let trail = replica.ledger().audit();
        for record in trail.records_from(trail.last_sequence().saturating_sub(2), 3) {
            let first_seen =
                self.chains.entry(record.sequence).or_insert_with(|| record.chain.clone());
            assert_eq!(
                *first_seen, record.chain,
                "audit record {} of n{index} differs from that of another node",
                record.sequence
            );
        }
    }

    /// Checks that each request tag has only one definite outcome and that no version was accepted
    /// for two tags.
    pub fn check_outcomes(&self) {
        let mut by_tag: BTreeMap<&RequestTag, &PublishOutcome> = BTreeMap::new();
        let mut by_version: BTreeMap<ConfigVersion, &RequestTag> = BTreeMap::new();
        for (ticket, outcome) in &self.publish_outcomes {
            let tag = &self.tags[ticket];
            if matches!(outcome, PublishOutcome::Unknown | PublishOutcome::Behind { .. }) {
                continue;
            }
            let first_outcome = by_tag.entry(tag).or_insert(outcome);
            assert_eq!(*first_outcome, outcome, "{tag} has two outcomes");
            if let PublishOutcome::Accepted { version } = outcome {
                let first_tag = by_version.entry(*version).or_insert(tag);
                assert_eq!(*first_tag, tag, "version {version} was accepted twice");
            }
        }
    }
}

fn replica_call(body: ReplicaRequest) -> OperatorCall {
    OperatorCall::Replicas { operator: Some("ops".into()), body }
}

/// Forms a group in which all nodes vote; no faults are injected meanwhile.
pub fn form_group(cluster: &mut TestCluster) {
    let faults = cluster.faults;
    cluster.send_operator_call(0, replica_call(ReplicaRequest::Init));
    assert!(
        cluster.run_without_faults_until(10, |cluster| cluster.leader() == Some(0)),
        "the first voter doesn't lead"
    );
    let count = cluster.nodes.len();
    for index in 1..count {
        let votes = |cluster: &TestCluster| {
            let state = cluster.nodes[0].state.as_ref().unwrap();
            let members = state.replica().unwrap().group().members();
            members.values().any(|member| member.name == name(index) && member.voter)
        };
        for _ in 0..40 {
            cluster.send_operator_call(0, replica_call(ReplicaRequest::Add(name(index))));
            if cluster.run_without_faults_until(1, votes) {
                break;
            }
        }
        assert!(votes(cluster), "n{index} doesn't vote");
    }
    cluster.faults = faults;
}

/// Returns the position before the first log entry.
#[allow(dead_code)]
pub fn origin() -> LogPosition {
    LogPosition::default()
}
