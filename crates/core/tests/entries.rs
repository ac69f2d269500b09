//! An entry: what it takes from replicas, what it never goes back on, and when it is ready.

use {
    hemlockspool_core::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            compressed_table::CompressedTable,
            entry::{EntryEvent, EntryParts, EntryState},
            messages::{FleetMessage, HeartbeatReply, InstancePlace, LiveEntries, PublishedState},
            roster::{RosterUpdate, RosterVersion, TargetInfo, TargetList},
        },
        identity::NodeIdentity,
        traffic::{
            request::{RefusalReason, RequestHead},
            retry_budget::RetryLimit,
            router::RouterSettings,
        },
        wire::{PeerEnvelope, PeerMessage, PeerSender, WIRE_FORMAT},
    },
    hemlockspool_model::names::TargetName,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

const REPLICA: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

fn entry() -> EntryState {
    entry_named("entry")
}

fn entry_named(name: &str) -> EntryState {
    let peer: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let identity = NodeIdentity {
        deployment: "test".to_owned(),
        name: name.into(),
        domain: "d".into(),
        peer,
        incarnation: 5,
    };
    let router = RouterSettings {
        me: peer,
        region: "r".into(),
        domains: BTreeMap::from([("d".into(), "r".into())]),
        retry_limit: RetryLimit { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) },
        link_bytes_per_s: 1e8,
    };
    let place = InstancePlace { region: "r".into(), domain: "d".into() };
    let parts = EntryParts {
        identity,
        place,
        front: peer,
        seeds: vec![REPLICA],
        router,
        list_calls_per_s: 50.0,
    };
    EntryState::new(parts, at(0))
}

fn hear(entry: &mut EntryState, message: FleetMessage, now: Moment) -> Vec<NodeEffect> {
    let sender = PeerSender { name: "replica".into(), incarnation: 1, peer: REPLICA };
    let message = PeerMessage::Fleet(Box::new(message));
    let deployment = "test".to_owned();
    let envelope = PeerEnvelope { format: WIRE_FORMAT, deployment, sender, message };
    entry.reduce(EntryEvent::Peer(Box::new(envelope)), now)
}

fn published(change: u64, version: u64) -> FleetMessage {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"n","host":"h","prefix":"/v{version}/",
        "repeat":"safe","timeout":"1s","service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    );
    let table = Some(CompressedTable::compress(0, "", &text).unwrap());
    FleetMessage::Published(PublishedState { change, version, table, evacuated: BTreeSet::new() })
}

fn whole_list(number: u64, age_ms: u64) -> FleetMessage {
    let fact = TargetInfo {
        service: "s".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        domain: "d".into(),
        slots: 4,
        draining: false,
        cold_ms: 0,
    };
    let put = TargetList::from([(TargetName::new("t"), fact)]);
    let to = RosterVersion { reader: 3, number };
    FleetMessage::Roster(RosterUpdate { from: None, to, put, gone: Vec::new(), age_ms })
}

fn reply(current: bool, echo: Moment) -> FleetMessage {
    reply_about(RosterVersion::default(), current, echo)
}

fn reply_about(roster: RosterVersion, current: bool, echo: Moment) -> FleetMessage {
    FleetMessage::PulseReply(HeartbeatReply {
        echo,
        current,
        roster,
        roster_age_ms: 10,
        replicas: vec![REPLICA],
        census: None,
        demand: BTreeMap::new(),
        busy: Vec::new(),
        outages: Vec::new(),
    })
}

/// Tells an entry how many serve.
fn census(count: u16, echo: Moment) -> FleetMessage {
    let FleetMessage::PulseReply(mut reply) = reply(false, echo) else { unreachable!() };
    let place = InstancePlace { region: "r".into(), domain: "d".into() };
    let entries =
        (0..count).map(|number| (SocketAddr::from(([10, 0, 0, 1], number)), place.clone()));
    reply.census = Some(LiveEntries { mark: 1, entries: entries.collect() });
    FleetMessage::PulseReply(reply)
}

fn admits(entry: &mut EntryState, path: &str) -> Result<(), RefusalReason> {
    let head = RequestHead { id: "1", host: "h", path, key: None, timeout: None };
    let admitted = entry.router.admit(&head, at(100));
    admitted.map(|_| ()).map_err(|refusal| refusal.reason)
}

#[test]
fn entry_first_list_is_whole() {
    let mut entry = entry();
    hear(&mut entry, whole_list(100, 10), at(1));
    assert!(entry.router.has_targets());
}

#[test]
fn entry_ready_once_confirmed() {
    let mut entry = entry();
    entry.reduce(EntryEvent::Tick, at(0));
    hear(&mut entry, whole_list(1, 10), at(1));
    hear(&mut entry, published(1, 4), at(2));
    assert!(!entry.is_ready(), "nobody has said that this is the newest");
    hear(&mut entry, reply(false, at(1)), at(3));
    assert!(!entry.is_ready(), "a replica without a leader can't know");
    hear(&mut entry, reply(true, at(1)), at(4));
    assert!(entry.is_ready());
    entry.reduce(EntryEvent::Stop, at(5));
    assert!(!entry.is_ready());
}

#[test]
fn entry_never_goes_back() {
    let mut entry = entry();
    entry.reduce(EntryEvent::Tick, at(0));
    hear(&mut entry, whole_list(1, 10), at(1));
    hear(&mut entry, published(7, 9), at(2));
    for (change, version) in [(6, 8), (7, 8), (1, 2)] {
        hear(&mut entry, published(change, version), at(3));
        assert_eq!(admits(&mut entry, "/v9/x"), Ok(()));
    }
    hear(&mut entry, published(8, 12), at(4));
    assert_eq!(admits(&mut entry, "/v9/x"), Err(RefusalReason::NoRoute));
    assert_eq!(admits(&mut entry, "/v12/x"), Ok(()));
}

#[test]
fn entry_table_against_one_that_it_lacks() {
    let mut entry = entry();
    entry.reduce(EntryEvent::Tick, at(0));
    hear(&mut entry, whole_list(1, 10), at(1));
    let text = |message: FleetMessage| match message {
        FleetMessage::Published(PublishedState { table: Some(table), .. }) => {
            table.decompress("").unwrap()
        }
        other => panic!("{other:?}"),
    };
    let (first, next) = (text(published(7, 9)), text(published(8, 10)));
    let against = |base| {
        let table = Some(CompressedTable::compress(base, &first, &next).unwrap());
        let state = PublishedState { change: 8, version: 10, table, evacuated: BTreeSet::new() };
        FleetMessage::Published(state)
    };
    hear(&mut entry, against(7), at(2));
    assert_eq!(admits(&mut entry, "/v10/x"), Err(RefusalReason::NoTable));
    hear(&mut entry, published(7, 9), at(3));
    hear(&mut entry, against(6), at(4));
    assert_eq!(admits(&mut entry, "/v9/x"), Ok(()));
    hear(&mut entry, against(7), at(5));
    assert_eq!(admits(&mut entry, "/v10/x"), Ok(()));
}

#[test]
fn entry_fresh_denies_nothing() {
    let mut entry = entry();
    assert_eq!(admits(&mut entry, "/v9/x"), Err(RefusalReason::NoTable));
}

#[test]
fn entry_leaves_silent_replica() {
    let other: SocketAddr = "127.0.0.1:2".parse().unwrap();
    let mut entry = entry();
    entry.reduce(EntryEvent::Seeds(vec![REPLICA, other]), at(0));
    let mut asked = BTreeSet::new();
    for step in 0..100 {
        for effect in entry.reduce(EntryEvent::Tick, at(step * 50)) {
            if let NodeEffect::Send { to, message } = effect
                && let PeerMessage::Fleet(message) = *message
                && let FleetMessage::EntryPulse(pulse) = *message
                && pulse.follows
            {
                asked.insert(to);
            }
        }
    }
    assert_eq!(asked, BTreeSet::from([REPLICA, other]));
}

/// What entries without replicas do, each with its part of the fleet, over a minute.
struct LoneRun {
    calls: u32,
    readings: u32,
    /// The highest age of a list after the first reading, in milliseconds.
    oldest_ms: u64,
}

fn run_alone(fleet: u16, list_calls: u32, fails: fn(u32) -> bool) -> LoneRun {
    const TICK_MS: u64 = 50;
    let mut run = LoneRun { calls: 0, readings: 0, oldest_ms: 0 };
    for number in 0..fleet {
        let mut entry = entry_named(&format!("entry-{number}"));
        entry.reduce(EntryEvent::Tick, at(0));
        hear(&mut entry, census(fleet, at(0)), at(0));
        let (mut tries, mut last) = (0, None);
        for now in (1..60_000 / TICK_MS).map(|step| step * TICK_MS) {
            if let Some(last) = last {
                run.oldest_ms = run.oldest_ms.max(now - last);
            }
            if entry.reduce(EntryEvent::Tick, at(now)).contains(&NodeEffect::ReadInstanceList) {
                tries += 1;
                run.calls += list_calls;
                let failed = fails(tries);
                let list = (!failed).then(TargetList::new);
                entry.reduce(EntryEvent::ListRead { list, calls: list_calls }, at(now));
                if !failed {
                    last = Some(now);
                    run.readings += 1;
                }
            }
        }
    }
    run
}

#[test]
fn entry_list_without_replicas() {
    // A target that leaves must get nothing 3 s after the list says so, and a reading takes its time.
    let never: fn(u32) -> bool = |_| false;
    let half: fn(u32) -> bool = |number| number % 2 == 1;
    for (fails, most_ms) in [(never, 2_500), (half, 2_950)] {
        let run = run_alone(9, 1, fails);
        assert!(run.oldest_ms <= most_ms, "{} ms", run.oldest_ms);
        // Each entry reads rarely: at most 10 times, and at least 3 times, in 20 s.
        let each = run.readings / 9;
        assert!((9..=30).contains(&each), "{each} readings of each in a minute");
    }
}

#[test]
fn entry_readings_leave_room() {
    // Platforms take 50 calls a second from all; half is for replicas. The first readings come before
    // an entry knows how many calls a list takes.
    for (fleet, list_calls) in [(9, 1), (57, 8), (83, 10)] {
        let run = run_alone(fleet, list_calls, |_| false);
        let first = u32::from(fleet) * list_calls;
        let most = 60 * 50 / 2 + first;
        assert!(run.calls <= most, "{fleet} entries made {} calls in a minute", run.calls);
        assert!(run.readings >= u32::from(fleet), "{fleet} entries read {} times", run.readings);
        // The same while the platform refuses every call.
        let run = run_alone(fleet, list_calls, |_| true);
        assert!(run.calls <= most, "{fleet} entries made {} calls for nothing", run.calls);
    }
}

#[test]
fn entry_reply_about_another_list() {
    for (number, expected) in [(1, false), (2, true)] {
        let mut entry = entry();
        entry.reduce(EntryEvent::Tick, at(0));
        hear(&mut entry, whole_list(1, 10), at(1));
        let mut reads = false;
        for step in 1..80 {
            let now = at(step * 50);
            let roster = RosterVersion { reader: 3, number };
            hear(&mut entry, reply_about(roster, true, now), now);
            reads |= entry.reduce(EntryEvent::Tick, now).contains(&NodeEffect::ReadInstanceList);
        }
        assert_eq!(reads, expected, "the replica's list is number {number}, its own number 1");
    }
}

#[test]
fn entry_reply_that_waited() {
    // Replies that take 2.5 s don't make a list fresh that nobody has read for that long.
    let mut entry = entry();
    entry.reduce(EntryEvent::Tick, at(0));
    hear(&mut entry, whole_list(1, 10), at(1));
    let mut reads = false;
    for step in 1..100 {
        let now = at(step * 50);
        let echo = at((step * 50).saturating_sub(2_500));
        let roster = RosterVersion { reader: 3, number: 1 };
        hear(&mut entry, reply_about(roster, true, echo), now);
        reads |= entry.reduce(EntryEvent::Tick, now).contains(&NodeEffect::ReadInstanceList);
    }
    assert!(reads);
}
