//! Shares of a failure domain's entries: requests in flight at all entries together never exceed
//! the domain's total, while entries start, stop, pause and resume, and heartbeats are late.

use {
    hemlockspool_core::{
        clock::Moment,
        domain::DomainPeers,
        effect::NodeEffect,
        wire::{PeerMessage, PeerSender},
    },
    hemlockspool_model::{
        names::InstanceName,
        objects::{DeclaredObject, EntryObject},
        set::ObjectSet,
    },
    quickcheck::{Arbitrary, Gen},
    std::net::SocketAddr,
};

/// Duration of a simulation step, in microseconds.
const TICK_US: u64 = 25_000;
const STEPS: usize = 8_000;
const SEEDS: [u64; 10] = [1, 2, 3, 5, 8, 13, 21, 34, 55, 89];

struct TestEntry {
    /// None while the process is down.
    peers: Option<DomainPeers>,
    incarnation: u64,
    /// Time until which the process is paused, in microseconds.
    paused_until_us: u64,
    /// End of each request in flight, in microseconds.
    in_flight: Vec<u64>,
}

struct TestDomain {
    entries: Vec<TestEntry>,
    set: ObjectSet,
    /// Messages in transit: time of delivery in microseconds, destination, sender, message.
    in_transit: Vec<(u64, SocketAddr, PeerSender, PeerMessage)>,
    now_us: u64,
    /// Number of requests that all entries together may have in flight.
    total: u64,
    generator: Gen,
    /// Number of steps after which the whole total was in use.
    fully_used_steps: u32,
}

fn address(index: usize, base_port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], base_port + index as u16))
}

fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("e{index}"))
}

impl TestDomain {
    fn new(count: usize, total: u64, seed: u64) -> Self {
        let mut set = ObjectSet::default();
        for index in 0..count {
            set.upsert(DeclaredObject::Entry(EntryObject {
                name: name(index),
                domain: "d".into(),
                http: address(index, 1_000),
                peer: address(index, 2_000),
            }));
        }
        let entry =
            || TestEntry { peers: None, incarnation: 0, paused_until_us: 0, in_flight: Vec::new() };
        let entries = (0..count).map(|_| entry()).collect();
        let generator = Gen::from_size_and_seed(100, seed);
        let now_us = 3_600_000_000;
        Self { entries, set, in_transit: Vec::new(), now_us, total, generator, fully_used_steps: 0 }
    }

    /// Returns a random integer below `limit`.
    fn random(&mut self, limit: u64) -> u64 {
        // quickcheck favors edge values; mixing two integers makes the result more uniform.
        let first = u64::arbitrary(&mut self.generator);
        let second = u64::arbitrary(&mut self.generator);
        first.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(second.rotate_left(31))
            % limit.max(1)
    }

    /// Starts an entry as a new incarnation.
    fn start(&mut self, index: usize) {
        let now = Moment(self.now_us);
        let entry = &mut self.entries[index];
        entry.incarnation += 1;
        let mut peers = DomainPeers::new(name(index), entry.incarnation, false, now);
        peers.apply_config(&self.set, &"d".into(), now);
        entry.peers = Some(peers);
    }

    /// Advances the clock by one tick, injects faults, runs the entries and delivers messages.
    fn step(&mut self) {
        self.now_us += TICK_US;
        for index in 0..self.entries.len() {
            self.inject_fault(index);
            let now = self.now_us;
            self.entries[index].in_flight.retain(|end_us| *end_us > now);
            if self.entries[index].paused_until_us > now {
                continue;
            }
            // Requests that arrived during a pause may be handled before the first tick after it.
            self.start_requests(index);
            self.tick(index);
            self.start_requests(index);
        }
        self.deliver();
        let in_flight: u64 = self.entries.iter().map(|entry| entry.in_flight.len() as u64).sum();
        assert!(in_flight <= self.total, "{in_flight} requests in flight exceed {}", self.total);
        self.fully_used_steps += u32::from(in_flight == self.total);
    }

    /// Restarts an entry that is down, or stops or pauses a running one, each with a low
    /// probability.
    fn inject_fault(&mut self, index: usize) {
        if self.entries[index].peers.is_none() {
            if self.random(100) == 0 {
                self.start(index);
            }
            return;
        }
        match self.random(600) {
            0 => {
                let entry = &mut self.entries[index];
                entry.peers = None;
                entry.in_flight.clear();
                entry.paused_until_us = 0;
            }
            1 => {
                let duration_us = self.random(6_000_000);
                self.entries[index].paused_until_us = self.now_us + duration_us;
            }
            _ => {}
        }
    }

    /// Starts as many requests as the entry's share allows.
    fn start_requests(&mut self, index: usize) {
        let now = Moment(self.now_us);
        let Some(peers) = &self.entries[index].peers else { return };
        let portion = peers.share(now).portion_of(self.total, 7) as usize;
        while self.entries[index].in_flight.len() < portion {
            let end_us = self.now_us + 10_000 + self.random(1_500_000);
            self.entries[index].in_flight.push(end_us);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = Moment(self.now_us);
        let in_flight = self.entries[index].in_flight.len() as u64;
        let incarnation = self.entries[index].incarnation;
        let Some(peers) = &mut self.entries[index].peers else { return };
        let within_share = in_flight <= peers.share(now).portion_of(self.total, 7);
        for effect in peers.tick(within_share, now) {
            let NodeEffect::Send { to, message } = effect else { continue };
            let peer = address(index, 2_000);
            let sender = PeerSender { name: name(index), incarnation, peer };
            let due_us = self.now_us + self.random(40_000);
            self.in_transit.push((due_us, to, sender, *message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now_us;
        for (due_us, to, sender, message) in std::mem::take(&mut self.in_transit) {
            let index = usize::from(to.port()) - 2_000;
            let paused_until_us = self.entries[index].paused_until_us;
            if due_us > now || paused_until_us > now {
                self.in_transit.push((due_us.max(paused_until_us), to, sender, message));
                continue;
            }
            let PeerMessage::Pulse(heartbeat) = message else { continue };
            if let Some(peers) = &mut self.entries[index].peers {
                peers.record_heartbeat(&sender, &heartbeat, Moment(now));
            }
        }
    }
}

/// Runs `count` entries that together may have `total` requests in flight, once for each seed.
fn run_seeds(count: usize, total: u64) {
    for seed in SEEDS {
        let mut domain = TestDomain::new(count, total, seed);
        for index in 0..count {
            domain.start(index);
        }
        for _ in 0..STEPS {
            domain.step();
        }
        assert!(
            domain.fully_used_steps > 100,
            "the total was in use after only {} steps",
            domain.fully_used_steps
        );
    }
}

#[test]
fn domain_share_two_entries() {
    run_seeds(2, 7);
}

#[test]
fn domain_share_three_entries_odd_total() {
    run_seeds(3, 11);
}

#[test]
fn domain_share_fewer_slots_than_entries() {
    run_seeds(5, 3);
}
