//! The parts of a failure domain's entries never add up to more than the whole, whoever comes, goes,
//! stands still or comes back, and however late pulses are.

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

const TICK_US: u64 = 25_000;
const STEPS: usize = 8_000;
const SEEDS: [u64; 10] = [1, 2, 3, 5, 8, 13, 21, 34, 55, 89];

struct TestEntry {
    peers: Option<DomainPeers>,
    lives: u64,
    frozen_until: u64,
    /// When each request in flight ends.
    in_flight: Vec<u64>,
}

struct TestDomain {
    entries: Vec<TestEntry>,
    set: ObjectSet,
    bag: Vec<(u64, SocketAddr, PeerSender, PeerMessage)>,
    now_us: u64,
    whole: u64,
    generator: Gen,
    used_all: u32,
}

fn address(index: usize, base: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], base + index as u16))
}

fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("e{index}"))
}

impl TestDomain {
    fn new(count: usize, whole: u64, seed: u64) -> Self {
        let mut set = ObjectSet::default();
        for index in 0..count {
            set.upsert(DeclaredObject::Entry(EntryObject {
                name: name(index),
                domain: "d".into(),
                http: address(index, 1_000),
                peer: address(index, 2_000),
            }));
        }
        let entry = || TestEntry { peers: None, lives: 0, frozen_until: 0, in_flight: Vec::new() };
        let entries = (0..count).map(|_| entry()).collect();
        let generator = Gen::from_size_and_seed(100, seed);
        let now_us = 3_600_000_000;
        Self { entries, set, bag: Vec::new(), now_us, whole, generator, used_all: 0 }
    }

    fn random(&mut self, below: u64) -> u64 {
        let one = u64::arbitrary(&mut self.generator);
        let other = u64::arbitrary(&mut self.generator);
        one.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(other.rotate_left(31)) % below.max(1)
    }

    fn start(&mut self, index: usize) {
        let now = Moment(self.now_us);
        let entry = &mut self.entries[index];
        entry.lives += 1;
        let mut peers = DomainPeers::new(name(index), entry.lives, false, now);
        peers.apply_config(&self.set, &"d".into(), now);
        entry.peers = Some(peers);
    }

    fn step(&mut self) {
        self.now_us += TICK_US;
        for index in 0..self.entries.len() {
            self.fault(index);
            let now = self.now_us;
            self.entries[index].in_flight.retain(|end| *end > now);
            if self.entries[index].frozen_until > now {
                continue;
            }
            // Work that came in meanwhile may be handled before the clock is looked at.
            self.take_work(index);
            self.tick(index);
            self.take_work(index);
        }
        self.deliver();
        let sum: u64 = self.entries.iter().map(|entry| entry.in_flight.len() as u64).sum();
        assert!(sum <= self.whole, "{sum} of {} in flight", self.whole);
        self.used_all += u32::from(sum == self.whole);
    }

    fn fault(&mut self, index: usize) {
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
                entry.frozen_until = 0;
            }
            1 => {
                let span = self.random(6_000_000);
                self.entries[index].frozen_until = self.now_us + span;
            }
            _ => {}
        }
    }

    fn take_work(&mut self, index: usize) {
        let now = Moment(self.now_us);
        let Some(peers) = &self.entries[index].peers else { return };
        let part = peers.share(now).portion_of(self.whole, 7) as usize;
        while self.entries[index].in_flight.len() < part {
            let end = self.now_us + 10_000 + self.random(1_500_000);
            self.entries[index].in_flight.push(end);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = Moment(self.now_us);
        let busy = self.entries[index].in_flight.len() as u64;
        let lives = self.entries[index].lives;
        let Some(peers) = &mut self.entries[index].peers else { return };
        let fits = busy <= peers.share(now).portion_of(self.whole, 7);
        for effect in peers.tick(fits, now) {
            let NodeEffect::Send { to, message } = effect else { continue };
            let peer = address(index, 2_000);
            let sender = PeerSender { name: name(index), incarnation: lives, peer };
            let due = self.now_us + self.random(40_000);
            self.bag.push((due, to, sender, *message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now_us;
        for (due, to, sender, message) in std::mem::take(&mut self.bag) {
            let index = usize::from(to.port()) - 2_000;
            let frozen = self.entries[index].frozen_until;
            if due > now || frozen > now {
                self.bag.push((due.max(frozen), to, sender, message));
                continue;
            }
            let PeerMessage::Pulse(pulse) = message else { continue };
            if let Some(peers) = &mut self.entries[index].peers {
                peers.record_heartbeat(&sender, &pulse, Moment(now));
            }
        }
    }
}

fn run(count: usize, whole: u64) {
    for seed in SEEDS {
        let mut domain = TestDomain::new(count, whole, seed);
        for index in 0..count {
            domain.start(index);
        }
        for _ in 0..STEPS {
            domain.step();
        }
        assert!(domain.used_all > 100, "the whole is used at times: {}", domain.used_all);
    }
}

#[test]
fn shares_two_entries() {
    run(2, 7);
}

#[test]
fn shares_three_entries_odd_whole() {
    run(3, 11);
}

#[test]
fn shares_five_entries_few_slots() {
    run(5, 3);
}
