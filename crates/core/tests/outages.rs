//! Many targets that go silent at once, and what entries of a region tell each other of it.

use {
    hemlockspool_core::{
        clock::Moment,
        fleet::{
            messages::{InstancePlace, OutageReport, target_hash},
            outages::OutageTracker,
            roster::{TargetInfo, TargetList},
        },
        traffic::{
            request::{AttemptResult, DispatchDecision, RequestHead},
            retry_budget::RetryLimit,
            router::{RequestRouter, RouterSettings},
        },
    },
    hemlockspool_model::{
        names::{DomainName, RegionName, TargetName},
        table::RouteTable,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg32,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const TABLE: &str = r#"{"version":1,"routes":[
    {"name":"look","host":"h","prefix":"/","repeat":"safe","timeout":"2s","goal":"600ms",
     "priority":1,"service":"s","attempts":2,"sticky":true}],
    "services":[{"name":"s"}],"limits":{}}"#;
/// Entries of the region, over three failure domains.
const ENTRIES: usize = 18;
/// Targets of the region.
const TARGETS: usize = 60;
/// Requests a second at each entry.
const PER_S: u64 = 40;
/// The time between pulses to a replica, in milliseconds.
const PULSE_MS: u64 = 250;

fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

fn domain(number: usize) -> DomainName {
    format!("d{}", number % 3).as_str().into()
}

fn place(number: usize) -> InstancePlace {
    InstancePlace { region: "r".into(), domain: domain(number) }
}

fn target(number: usize) -> TargetName {
    TargetName::new(&format!("t{number}"))
}

fn router(number: usize) -> RequestRouter {
    let region = |number| (domain(number), RegionName::from("r"));
    let settings = RouterSettings {
        me: ([10, 0, 0, number as u8], 1).into(),
        region: "r".into(),
        domains: (0..3).map(region).collect(),
        retry_limit: RetryLimit { ratio: 0.2, slack: 400.0, window: Duration::from_secs(10) },
        link_bytes_per_s: 1e9,
    };
    let mut router = RequestRouter::new(settings, at(0));
    router.set_table(&RouteTable::parse(TABLE).unwrap());
    let fact = |number: usize| TargetInfo {
        service: "s".into(),
        address: ([10, 0, 1, number as u8], 80).into(),
        domain: domain(number),
        slots: 5,
        draining: false,
        cold_ms: 0,
    };
    let list: TargetList = (0..TARGETS).map(|number| (target(number), fact(number))).collect();
    router.set_targets(&list, at(0));
    router
}

/// A desk that has made quick connections.
fn calm_router(number: usize) -> RequestRouter {
    let mut router = router(number);
    for number in 0..20 {
        router.record_connect_time(&target(number), QUICK);
    }
    router
}

/// How long a connection takes on an idle link.
const QUICK: Duration = Duration::from_millis(3);
/// The same on a full one.
const SLOW: Duration = Duration::from_millis(120);

/// Has a desk send a request, whose connections take a time, and at silent targets as long as they may;
/// returns how many did.
fn request(
    router: &mut RequestRouter,
    silent: &BTreeSet<TargetName>,
    key: u32,
    (connects, now): (Duration, Moment),
) -> usize {
    let key = key.to_string();
    let head = RequestHead { id: "1", host: "h", path: "/", key: Some(&key), timeout: None };
    let mut request = router.admit(&head, now).unwrap();
    let mut waits = 0;
    while let DispatchDecision::Send(attempt) = router.dispatch(&mut request, now) {
        if silent.contains(&attempt.target) {
            waits += 1;
            let timeout = attempt.connect_timeout;
            let after = now.after(timeout);
            router.finish_attempt(
                &mut request,
                &attempt.target,
                AttemptResult::NotSent,
                timeout,
                after,
            );
        } else {
            router.record_connect_time(&attempt.target, connects);
            let end = AttemptResult::Answered { status: 200, load: None };
            router.finish_attempt(
                &mut request,
                &attempt.target,
                end,
                Duration::from_millis(200),
                now,
            );
            break;
        }
    }
    waits
}

/// Runs the region for some seconds with silent targets; returns the requests that waited in vain.
fn waits(silent: usize, talks: bool) -> usize {
    let mut random = Pcg32::seed_from_u64(7);
    let mut routers: Vec<RequestRouter> = (0..ENTRIES).map(calm_router).collect();
    let silent: BTreeSet<TargetName> = (0..silent).map(target).collect();
    let mut book = OutageTracker::default();
    let mut waits = 0;
    for millis in (0..4_000).step_by(5) {
        let now = at(millis);
        for (number, router) in routers.iter_mut().enumerate() {
            if random.random_ratio((PER_S * 5) as u32, 1_000) {
                waits += request(router, &silent, random.random_range(0..300), (QUICK, now));
            }
            // Pulses of the entries are spread over time.
            if talks && (millis + 13 * number as u64) % PULSE_MS < 5 {
                book.record(&place(number), &router.recent_outages(now), now);
                router.apply_outages(&book.corroborated(&"r".into(), now), now);
            }
        }
        book.tick(now);
    }
    waits
}

#[test]
fn outages_many_silent_targets() {
    let (alone, together) = (waits(15, false), waits(15, true));
    assert!(alone > 100, "entries find out one by one: {alone}");
    assert!(together < alone / 2, "{together} of {alone} requests waited in vain");
}

#[test]
fn outages_full_link_says_nothing() {
    // Connections that are made take as long as a full link has them wait, and some too long.
    let mut router = router(0);
    let silent: BTreeSet<TargetName> = (0..TARGETS).step_by(5).map(target).collect();
    let waits: usize = (0..60).map(|key| request(&mut router, &silent, key, (SLOW, at(500)))).sum();
    assert!(waits > 0, "some connections fail");
    assert!(router.recent_outages(at(950)).is_empty());
}

/// Returns how long a connection to the first target of a key may take.
fn connect_timeout(router: &mut RequestRouter) -> Duration {
    let head = RequestHead { id: "1", host: "h", path: "/", key: Some("1"), timeout: None };
    let mut request = router.admit(&head, at(100)).unwrap();
    let DispatchDecision::Send(attempt) = router.dispatch(&mut request, at(100)) else {
        panic!("it is sent")
    };
    attempt.connect_timeout
}

#[test]
fn outages_leave_time_for_another_target() {
    // Connections within the region take milliseconds; one in vain leaves most of the goal.
    assert!(connect_timeout(&mut calm_router(0)) <= Duration::from_millis(150));
}

#[test]
fn outages_patience_on_busy_links() {
    // An entry that has just started doesn't know its link, and one with a busy link gives it time.
    assert_eq!(connect_timeout(&mut router(0)), Duration::from_millis(400));
    let mut busy = calm_router(0);
    for number in 0..20 {
        busy.record_connect_time(&target(number), SLOW);
    }
    assert_eq!(connect_timeout(&mut busy), Duration::from_millis(400));
}

#[test]
fn outages_none() {
    assert_eq!(waits(0, true), 0);
}

#[test]
fn outages_one_failure_domain_alone() {
    let mut book = OutageTracker::default();
    let line = OutageReport { target: target_hash(&target(1)), age_ms: 0 };
    // Many entries of one domain, whose links lose packets, and one of another region.
    for number in [0, 3, 6, 9] {
        book.record(&place(number), &[line], at(0));
    }
    let far = InstancePlace { region: "far".into(), domain: "f0".into() };
    book.record(&far, &[line], at(0));
    assert!(book.corroborated(&"r".into(), at(100)).is_empty());
    book.record(&place(1), &[line], at(100));
    assert_eq!(book.corroborated(&"r".into(), at(100)), [OutageReport { age_ms: 100, ..line }]);
    assert!(book.corroborated(&"far".into(), at(100)).is_empty());
    book.tick(at(2_050));
    assert!(book.corroborated(&"r".into(), at(2_050)).is_empty(), "reports run out");
}

#[test]
fn outages_target_that_answered_since() {
    let mut router = router(0);
    let all: BTreeMap<u32, TargetName> =
        (0..TARGETS).map(|number| (target_hash(&target(number)), target(number))).collect();
    let lines: Vec<OutageReport> =
        all.keys().map(|target| OutageReport { target: *target, age_ms: 200 }).collect();
    // Only the target that has answered after the reports gets requests.
    assert_eq!(request(&mut router, &BTreeSet::new(), 1, (QUICK, at(1_000))), 0);
    router.apply_outages(&lines, at(1_100));
    let head = RequestHead { id: "1", host: "h", path: "/", key: Some("1"), timeout: None };
    let mut request = router.admit(&head, at(1_100)).unwrap();
    let DispatchDecision::Send(first) = router.dispatch(&mut request, at(1_100)) else {
        panic!("it is sent")
    };
    for key in 2..40_u32 {
        let key = key.to_string();
        let head = RequestHead { id: "1", host: "h", path: "/", key: Some(&key), timeout: None };
        let mut request = router.admit(&head, at(1_100)).unwrap();
        if let DispatchDecision::Send(attempt) = router.dispatch(&mut request, at(1_100)) {
            assert_eq!(attempt.target, first.target);
        }
    }
}
