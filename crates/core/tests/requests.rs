//! Requests at one entry's reducer, under events that come late, doubled, lost or in any order.

use {
    hemlockspool_core::{
        clock::{ClockReading, Moment},
        effect::NodeEffect,
        identity::NodeIdentity,
        reducer::{NodeEvent, NodeState},
        requests::{
            AttemptDestination, AttemptResult, IncomingRequest, RequestAction, RequestEvent,
            RequestId,
        },
        targets::LoadReport,
        wire::{ConfirmationStatus, PeerMessage, PeerSender},
    },
    hemlockspool_model::{
        api::RunOutcome,
        names::ConfigVersion,
        objects::{
            BlockObject, DeclaredObject, DomainObject, EntryObject, KindPolicy, LimitObject,
            LimitResource, RegionObject, ServiceObject, TargetObject,
        },
        set::ObjectSet,
    },
    quickcheck::{Arbitrary, Gen},
    rand::Rng,
    rand_pcg::{Pcg32, rand_core::SeedableRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

const SEEDS: std::ops::Range<u64> = 0..40;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn one_domain(targets: u16, slots: u32, ramp_ms: Option<u64>) -> ObjectSet {
    let mut set = ObjectSet::default();
    set.upsert(DeclaredObject::Region(RegionObject { name: "r".into() }));
    let (name, region) = ("d".into(), "r".into());
    set.upsert(DeclaredObject::FailureDomain(DomainObject { name, region }));
    let kind = |weight| KindPolicy { weight, deadline_ms: 60_000, ..KindPolicy::default() };
    let kinds = [("light".into(), kind(1)), ("heavy".into(), kind(3))].into();
    let service = ServiceObject { name: "s".into(), kinds, lookup_ttl_ms: 1_000 };
    set.upsert(DeclaredObject::Service(service));
    let (http, peer) = (address(1), address(2));
    let (name, domain) = ("e".into(), "d".into());
    set.upsert(DeclaredObject::Entry(EntryObject { name, domain, http, peer }));
    for number in 0..targets {
        set.upsert(DeclaredObject::Target(TargetObject {
            name: format!("t{number}").as_str().into(),
            service: "s".into(),
            domain: "d".into(),
            address: address(100 + number),
            slots,
            connections: 100,
            ramp_ms,
        }));
    }
    set
}

/// An entry with a configuration in force, and what it ordered.
struct TestEntry {
    state: NodeState,
    now_us: u64,
    actions: Vec<(RequestId, RequestAction)>,
    version: u64,
}

impl TestEntry {
    fn new(set: ObjectSet) -> Self {
        let now_us = 3_600_000_000;
        let identity = NodeIdentity {
            deployment: "test".to_owned(),
            name: "e".into(),
            domain: "d".into(),
            peer: address(2),
            incarnation: 1,
        };
        let random = Pcg32::seed_from_u64(1);
        let state = NodeState::new(identity, vec![address(9)], None, Moment(now_us), random);
        let mut entry = Self { state, now_us, actions: Vec::new(), version: 0 };
        entry.publish(set);
        entry.pass(Duration::from_secs(3));
        entry
    }

    fn publish(&mut self, set: ObjectSet) {
        self.version += 1;
        let version = ConfigVersion(self.version);
        let notice = ConfirmationStatus { age: Some(Duration::ZERO), absent: Vec::new() };
        let message = PeerMessage::ConfigWhole { version, set, notice };
        let sender = PeerSender { name: "x".into(), incarnation: 1, peer: address(9) };
        let envelope = self.state.identity().envelope(message);
        let envelope = hemlockspool_core::wire::PeerEnvelope { sender, ..envelope };
        self.apply(NodeEvent::Peer(Box::new(envelope)));
    }

    fn apply(&mut self, event: NodeEvent) {
        let clock = ClockReading { now: Moment(self.now_us), wall_ms: self.now_us / 1_000 };
        for effect in self.state.reduce(event, clock) {
            if let NodeEffect::Request { id, action } = effect {
                self.actions.push((id, action));
            }
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now_us + span.as_micros() as u64;
        while self.now_us < end {
            self.now_us += 25_000;
            self.apply(NodeEvent::Tick);
        }
    }

    fn arrive(&mut self, id: u64, kind: &str, caller: u8) {
        self.apply(NodeEvent::Request(RequestEvent::Arrived(Box::new(IncomingRequest {
            id: RequestId(id),
            service: "s".into(),
            kind: kind.into(),
            caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, caller)),
            forwarded: false,
            key: None,
            digest: [0; 32],
            deadline: None,
            body_bytes: 0,
            replayable: true,
        }))));
    }

    fn end(&mut self, id: RequestId, attempt: u32, result: AttemptResult) {
        self.apply(NodeEvent::Request(RequestEvent::AttemptEnded { id, attempt, result }));
    }

    fn take(&mut self) -> Vec<(RequestId, RequestAction)> {
        std::mem::take(&mut self.actions)
    }
}

fn answered() -> AttemptResult {
    AttemptResult::Answered { answer: None, latency: Duration::from_millis(5) }
}

#[test]
fn requests_weighted_kinds() {
    let mut entry = TestEntry::new(one_domain(4, 2, None));
    for id in 0..8 {
        entry.arrive(id, "light", 1);
    }
    let mut running: Vec<(RequestId, u32)> = Vec::new();
    let collect = |entry: &mut TestEntry, running: &mut Vec<(RequestId, u32)>| {
        for (id, action) in entry.take() {
            if let RequestAction::Dispatch(dispatch) = action {
                running.push((id, dispatch.attempt));
            }
        }
    };
    collect(&mut entry, &mut running);
    assert_eq!(running.len(), 8, "every slot is taken");
    // Eight of each kind wait; the first eight slots go three to one.
    for id in 100..108 {
        entry.arrive(id, "light", 2);
        entry.arrive(id + 100, "heavy", 3);
    }
    let mut heavy = 0;
    for place in 0..8 {
        let (id, attempt) = running[place];
        entry.end(id, attempt, answered());
        collect(&mut entry, &mut running);
    }
    for (id, _) in &running[8..] {
        heavy += u32::from(id.0 >= 200);
    }
    assert_eq!((running.len(), heavy), (16, 6));
}

#[test]
fn requests_any_order_of_events() {
    for seed in SEEDS {
        let mut generator = Gen::from_size_and_seed(100, seed);
        let mut random = |below: u64| {
            let (one, other) = (u64::arbitrary(&mut generator), u64::arbitrary(&mut generator));
            one.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(other.rotate_left(31)) % below
        };
        let mut entry = TestEntry::new(one_domain(3, 2, None));
        let mut running: BTreeMap<RequestId, (u32, AttemptDestination)> = BTreeMap::new();
        let mut past: Vec<(RequestId, u32)> = Vec::new();
        let mut closed: BTreeSet<RequestId> = BTreeSet::new();
        let mut next = 0;
        for _ in 0..1_500 {
            match random(6) {
                0 | 1 => {
                    next += 1;
                    entry.arrive(
                        next,
                        if random(2) == 0 { "light" } else { "heavy" },
                        random(4) as u8,
                    );
                }
                2 | 3 => {
                    let Some(id) = running.keys().nth(random(7) as usize).copied() else {
                        continue;
                    };
                    let (attempt, _) = running.remove(&id).unwrap();
                    past.push((id, attempt));
                    entry.end(
                        id,
                        attempt,
                        match random(5) {
                            0 => AttemptResult::NotSent,
                            1 => AttemptResult::NotRun { retry_after: None },
                            2 => AttemptResult::Interrupted,
                            _ => answered(),
                        },
                    );
                }
                4 => {
                    // Something that ended long ago ends again.
                    let Some((id, attempt)) = past.get(random(1 + past.len() as u64) as usize)
                    else {
                        continue;
                    };
                    let (id, attempt) = (*id, *attempt);
                    entry.end(id, attempt, answered());
                }
                _ => {
                    entry.pass(Duration::from_millis(random(200)));
                    if random(4) == 0
                        && let Some(id) = running.keys().next().copied()
                    {
                        running.remove(&id);
                        closed.insert(id);
                        entry.apply(NodeEvent::Request(RequestEvent::Closed { id }));
                    }
                }
            }
            for (id, action) in entry.take() {
                assert!(!closed.contains(&id), "seed {seed}: {id:?} is over and gets {action:?}");
                match action {
                    RequestAction::Dispatch(dispatch) => {
                        let before = running.insert(id, (dispatch.attempt, dispatch.destination));
                        assert_eq!(before, None, "seed {seed}: two attempts at once");
                    }
                    RequestAction::Refuse(body) => {
                        assert!(!running.contains_key(&id), "seed {seed}: refused while it runs");
                        let tried = past.iter().any(|(past, _)| *past == id);
                        assert!(tried || body.outcome == RunOutcome::NotRun);
                        assert!(body.retry_after_ms > 0);
                        closed.insert(id);
                    }
                    RequestAction::Replay(_) => panic!("nothing was recorded"),
                }
            }
            let mut by_target: BTreeMap<String, u32> = BTreeMap::new();
            for (_, place) in running.values() {
                *by_target.entry(format!("{place:?}")).or_default() += 1;
            }
            assert!(by_target.values().all(|count| *count <= 2), "seed {seed}: {by_target:?}");
        }
        let counts = entry.state.requests().counts();
        assert!(counts.retries <= counts.arrived / 10 + 10, "seed {seed}: {counts:?}");
    }
}

#[test]
fn requests_cold_target_ramps_up() {
    let mut set = one_domain(1, 10, Some(10_000));
    let mut entry = TestEntry::new(set.clone());
    set.upsert(DeclaredObject::Target(TargetObject {
        name: "new".into(),
        service: "s".into(),
        domain: "d".into(),
        address: address(200),
        slots: 10,
        connections: 100,
        ramp_ms: Some(10_000),
    }));
    entry.publish(set);
    let mut next = 0;
    let mut share = Vec::new();
    for _ in 0..5 {
        for _ in 0..40 {
            next += 1;
            entry.arrive(next, "light", (next % 200) as u8);
        }
        let on_new = |action: &RequestAction| matches!(action, RequestAction::Dispatch(o) if o.address == address(200));
        let started = entry.take();
        share.push(started.iter().filter(|(_, action)| on_new(action)).count());
        for (id, action) in started {
            if let RequestAction::Dispatch(dispatch) = action {
                entry.end(id, dispatch.attempt, answered());
            }
        }
        // What was waiting goes on; end that as well.
        loop {
            let more = entry.take();
            if more.is_empty() {
                break;
            }
            for (id, action) in more {
                if let RequestAction::Dispatch(dispatch) = action {
                    entry.end(id, dispatch.attempt, answered());
                }
            }
        }
        entry.pass(Duration::from_millis(2_500));
    }
    assert!(share[0] <= 1 && share[1] <= 4, "a cold target starts with little: {share:?}");
    assert_eq!(share[4], 10, "and gets its part in the end: {share:?}");
}

#[test]
fn requests_lying_reports() {
    let mut entry = TestEntry::new(one_domain(2, 3, None));
    for target in ["t0", "t1"] {
        let report = Some(LoadReport { load: 0, draining: false });
        entry.apply(NodeEvent::Probed { target: target.into(), report });
    }
    for id in 0..50 {
        entry.arrive(id, "light", id as u8);
    }
    let dispatched =
        entry.take().iter().filter(|(_, o)| matches!(o, RequestAction::Dispatch(_))).count();
    assert_eq!(dispatched, 6, "no more than the slots, whatever is reported");
}

/// The time to live of look-up answers in `one_domain`, which is the window of shifts.
const SHIFT_WINDOW: Duration = Duration::from_secs(1);
/// Requests of callers from elsewhere that may begin within a window.
const SHIFT_CAP: u64 = 6;

/// A region that callers of another one have turned to.
fn shifted_region() -> ObjectSet {
    let mut set = one_domain(2, 8, None);
    set.upsert(DeclaredObject::Region(RegionObject { name: "lost".into() }));
    let (name, region) = ("home".into(), "lost".into());
    set.upsert(DeclaredObject::FailureDomain(DomainObject { name, region }));
    let (prefix, domain) = ("10.0.0.0/24".parse().unwrap(), "home".into());
    let caller = "far".into();
    set.upsert(DeclaredObject::CallerBlock(BlockObject { prefix, domain, caller }));
    let (name, resource) = ("cap".into(), LimitResource::Shift("r".into()));
    set.upsert(DeclaredObject::Limit(LimitObject { name, resource, ceiling: SHIFT_CAP }));
    set
}

#[test]
fn requests_shift_late_sends() {
    for seed in SEEDS {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut entry = TestEntry::new(shifted_region());
        // When each attempt begins at its target: it is sent at any moment at which that is still
        // allowed, and some targets don't run what they get, so that it is sent once more.
        let mut due: BTreeMap<u64, Vec<(RequestId, u32)>> = BTreeMap::new();
        let mut began: Vec<u64> = Vec::new();
        for id in 0..4_000 {
            entry.now_us += 1_000;
            entry.arrive(id, "light", 1);
            if id % 25 == 0 {
                entry.apply(NodeEvent::Tick);
            }
            let later = due.split_off(&(entry.now_us + 1));
            for (at, attempts) in std::mem::replace(&mut due, later) {
                for (id, attempt) in attempts {
                    began.push(at);
                    let not_run = AttemptResult::NotRun { retry_after: None };
                    let ran = random.random_bool(0.8);
                    entry.end(id, attempt, if ran { answered() } else { not_run });
                }
            }
            for (id, action) in entry.take() {
                let RequestAction::Dispatch(dispatch) = action else { continue };
                let last = dispatch.valid_until.0.max(entry.now_us);
                let at = random.random_range(entry.now_us..=last);
                due.entry(at).or_default().push((id, dispatch.attempt));
            }
        }
        began.sort_unstable();
        let window = SHIFT_WINDOW.as_micros() as u64;
        let within =
            |start: u64| began.iter().filter(|at| (start..start + window).contains(*at)).count();
        let most = began.iter().map(|start| within(*start)).max().unwrap_or(0) as u64;
        assert!(most <= SHIFT_CAP, "seed {seed}: {most} began within a time to live");
        assert!(began.len() as u64 > 2 * SHIFT_CAP, "seed {seed}: the shift goes on");
    }
}
