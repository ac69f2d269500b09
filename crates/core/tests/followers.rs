//! What a replica tells the entries that follow it, at the size to build towards.

use {
    hemlockspool_core::{
        clock::{ClockReading, Moment},
        consensus::{GroupId, ReplicaId, RestoredLog},
        effect::NodeEffect,
        fleet::{
            messages::{
                EntryHeartbeat, FleetMessage, HeartbeatReply, InstancePlace, LoadSample,
                OutageReport, target_hash,
            },
            replica::{ReplicaEvent, ReplicaParts, ReplicaState},
            roster::{RosterVersion, TargetInfo, TargetList},
        },
        identity::NodeIdentity,
        replica::ReplicaNode,
        wire::{PeerEnvelope, PeerMessage, PeerSender},
    },
    hemlockspool_model::names::{DomainName, RegionName, TargetName},
    rand_pcg::{Pcg32, rand_core::SeedableRng},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Instances and targets of the size to build towards.
const ENTRIES: u16 = 420;
const TARGETS: u16 = 3_000;

/// What control may take of a second at that size, 4.1% of a core, ten times over for a build without
/// optimisation.
const SECOND_OF_PULSES: Duration = Duration::from_millis(410);

fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

fn address(number: u16) -> SocketAddr {
    ([10, 0, (number >> 8) as u8, number as u8], 7_000).into()
}

fn place(number: u16) -> InstancePlace {
    let region = number % 3;
    let domain = format!("d{region}{}", number / 3 % 2);
    InstancePlace { region: format!("r{region}").as_str().into(), domain: domain.as_str().into() }
}

fn target(number: u16) -> TargetName {
    TargetName::new(&format!("t{number}"))
}

fn identity(name: &str, peer: SocketAddr) -> NodeIdentity {
    NodeIdentity {
        deployment: "test".to_owned(),
        name: name.into(),
        domain: "d00".into(),
        peer,
        incarnation: 1,
    }
}

/// A replica that knows the targets.
fn replica() -> ReplicaState {
    let random = Pcg32::seed_from_u64(1);
    let (group, me) = (GroupId(0), ReplicaId(1));
    let node = ReplicaNode::restore(group, me, RestoredLog::default(), at(0), random).unwrap();
    let domains: BTreeMap<DomainName, RegionName> =
        (0..6).map(|number| (place(number).domain, place(number).region)).collect();
    let parts = ReplicaParts {
        identity: identity("replica", address(60_000)),
        place: place(0),
        seeds: vec![address(60_000)],
        replica: node,
        list_calls_per_s: 40.0,
        domains,
    };
    let mut state = ReplicaState::new(parts, at(0));
    let fact = |number: u16| TargetInfo {
        service: "s".into(),
        address: address(number),
        domain: place(number).domain,
        slots: 5,
        draining: false,
        cold_ms: 0,
    };
    let list: TargetList = (0..TARGETS).map(|number| (target(number), fact(number))).collect();
    reduce(&mut state, ReplicaEvent::ListRead { list: Some(list), calls: 1 }, at(0));
    state
}

fn reduce(state: &mut ReplicaState, event: ReplicaEvent, now: Moment) -> Vec<NodeEffect> {
    state.reduce(event, ClockReading { now, wall_ms: now.0 / 1_000 })
}

fn pulse(number: u16, now: Moment) -> EntryHeartbeat {
    EntryHeartbeat {
        front: address(number),
        place: place(number),
        ready: true,
        follows: true,
        change: 0,
        roster: RosterVersion::default(),
        roster_age_ms: Some(0),
        census: 0,
        demand: BTreeMap::from([("s".into(), 3.0)]),
        link_percent: 40,
        loads: vec![LoadSample { target: target_hash(&target(number)), requests: 5, age_ms: 0 }],
        outages: Vec::new(),
        sent_at: now,
    }
}

/// Hands a pulse to the replica; returns its reply.
fn ask(
    state: &mut ReplicaState,
    number: u16,
    pulse: EntryHeartbeat,
    now: Moment,
) -> HeartbeatReply {
    let from = identity("entry", address(number));
    let message = PeerMessage::Fleet(Box::new(FleetMessage::EntryPulse(pulse)));
    let sender = PeerSender { name: "entry".into(), incarnation: 1, peer: address(number) };
    let envelope = PeerEnvelope { sender, ..from.envelope(message) };
    let effects = reduce(state, ReplicaEvent::Peer(Box::new(envelope)), now);
    let reply = effects.into_iter().find_map(|effect| match effect {
        NodeEffect::Send { message, .. } => match *message {
            PeerMessage::Fleet(message) => match *message {
                FleetMessage::PulseReply(reply) => Some(reply),
                _ => None,
            },
            _ => None,
        },
        _ => None,
    });
    reply.expect("a follower gets a reply")
}

#[test]
fn followers_at_the_size() {
    let mut state = replica();
    let mut roster = RosterVersion::default();
    for number in 0..ENTRIES {
        roster = ask(&mut state, number, pulse(number, at(100)), at(100)).roster;
    }
    // A replica of five has a fifth of the entries as followers, which pulse four times a second.
    let began = Instant::now();
    for round in 0..4 {
        for number in 0..ENTRIES / 5 {
            let now = at(1_000 + round * 250 + u64::from(number));
            let pulse = EntryHeartbeat { roster, ..pulse(number, now) };
            ask(&mut state, number, pulse, now);
        }
    }
    let took = began.elapsed();
    assert!(took < SECOND_OF_PULSES, "a second's pulses took {took:?}");
}

#[test]
fn followers_hear_of_changes_soon() {
    let mut state = replica();
    let first = ask(&mut state, 0, pulse(0, at(100)), at(100));
    assert_eq!(first.census.map(|census| census.entries.len()), Some(1));
    // Another entry of another region is heard, and two domains miss a target.
    ask(&mut state, 1, pulse(1, at(110)), at(110));
    let line = OutageReport { target: target_hash(&target(9)), age_ms: 0 };
    for number in [0, 3] {
        let found = EntryHeartbeat { outages: vec![line], ..pulse(number, at(120)) };
        ask(&mut state, number, found, at(120));
    }
    let later = ask(&mut state, 0, pulse(0, at(230)), at(230));
    assert_eq!(later.census.map(|census| census.entries.len()), Some(3));
    assert_eq!(later.outages, [OutageReport { age_ms: 110, ..line }]);
    let again = ask(&mut state, 0, pulse(0, at(260)), at(260));
    assert_eq!(again.outages, [OutageReport { age_ms: 140, ..line }], "ages go on");
    assert!(again.busy.iter().all(|line| line.age_ms >= 30), "{:?}", again.busy);
}
