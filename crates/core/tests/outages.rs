//! Outages of many targets at once, and what the entries of a region report to each other about
//! them.

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
/// Number of entries of the region, in three failure domains.
const ENTRIES: usize = 18;
/// Number of targets of the region.
const TARGETS: usize = 60;
/// Request rate of each entry.
const REQUESTS_PER_S: u64 = 40;
/// Time between two heartbeats of an entry to the replica that it follows, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// Returns the moment `millis` milliseconds after the start of a test.
fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

fn domain(number: usize) -> DomainName {
    format!("d{}", number % 3).as_str().into()
}

fn location(number: usize) -> InstancePlace {
    InstancePlace { region: "r".into(), domain: domain(number) }
}

fn target(number: usize) -> TargetName {
    TargetName::new(&format!("t{number}"))
}

/// Returns the router of an entry that hasn't connected to any target yet.
fn router(number: usize) -> RequestRouter {
    let region = |number| (domain(number), RegionName::from("r"));
    let settings = RouterSettings {
        me: ([10, 0, 0, number as u8], 1).into(),
        callers_port: 80,
        bridges_allowed: true,
        region: "r".into(),
        domains: (0..3).map(region).collect(),
        retry_limit: RetryLimit { ratio: 0.2, slack: 400.0, window: Duration::from_secs(10) },
        link_bytes_per_s: 1e9,
        body_memory_bytes: 16 << 20,
    };
    let mut router = RequestRouter::new(settings, at(0));
    router.set_table(&RouteTable::parse(TABLE).unwrap());
    let target_info = |number: usize| TargetInfo {
        service: "s".into(),
        address: ([10, 0, 1, number as u8], 80).into(),
        domain: domain(number),
        slots: 5,
        draining: false,
        cold_ms: 0,
    };
    let list: TargetList =
        (0..TARGETS).map(|number| (target(number), target_info(number))).collect();
    router.set_targets(&list, at(0));
    router
}

/// Returns the router of an entry whose recent connections were fast.
fn router_on_idle_link(number: usize) -> RequestRouter {
    let mut router = router(number);
    for number in 0..20 {
        router.record_connect_time(&target(number), CONNECT_TIME_IDLE, at(0));
    }
    router
}

/// Connect time on an idle link.
const CONNECT_TIME_IDLE: Duration = Duration::from_millis(3);
/// Connect time on a saturated link.
const CONNECT_TIME_SATURATED: Duration = Duration::from_millis(120);

/// Sends a request through a router until an attempt succeeds or the router refuses the request.
/// Connections take `connect_time`; those to unreachable targets time out. Returns the number of
/// connections that timed out.
fn request(
    router: &mut RequestRouter,
    unreachable: &BTreeSet<TargetName>,
    key: u32,
    (connect_time, now): (Duration, Moment),
) -> usize {
    let key = key.to_string();
    let head = RequestHead {
        id: "1",
        host: "h",
        path: "/",
        key: Some(&key),
        timeout: None,
        body_bytes: Some(0),
        is_forwarded: false,
    };
    let mut request = router.admit(&head, now).unwrap();
    let mut timeouts = 0;
    while let DispatchDecision::Send(attempt) = router.dispatch(&mut request, now) {
        if unreachable.contains(&attempt.target) {
            timeouts += 1;
            let timeout = attempt.connect_timeout;
            let timed_out_at = now.after(timeout);
            router.finish_attempt(
                &mut request,
                &attempt.target,
                AttemptResult::NotSent,
                timeout,
                timed_out_at,
            );
        } else {
            router.record_connect_time(&attempt.target, connect_time, now);
            let result = AttemptResult::Answered { status: 200, load: None };
            router.finish_attempt(
                &mut request,
                &attempt.target,
                result,
                Duration::from_millis(200),
                now,
            );
            break;
        }
    }
    timeouts
}

/// Runs the region for four seconds while some targets are unreachable, with or without outage
/// reports between the entries. Returns the number of connections that timed out.
fn count_connect_timeouts(unreachable: usize, share_reports: bool) -> usize {
    let mut random = Pcg32::seed_from_u64(7);
    let mut routers: Vec<RequestRouter> = (0..ENTRIES).map(router_on_idle_link).collect();
    let unreachable: BTreeSet<TargetName> = (0..unreachable).map(target).collect();
    let mut tracker = OutageTracker::default();
    let mut timeouts = 0;
    for millis in (0..4_000).step_by(5) {
        let now = at(millis);
        for (number, router) in routers.iter_mut().enumerate() {
            if random.random_ratio((REQUESTS_PER_S * 5) as u32, 1_000) {
                timeouts += request(
                    router,
                    &unreachable,
                    random.random_range(0..300),
                    (CONNECT_TIME_IDLE, now),
                );
            }
            // The heartbeats of different entries are spread over time.
            if share_reports && (millis + 13 * number as u64) % HEARTBEAT_INTERVAL_MS < 5 {
                tracker.record(&location(number), &router.recent_outages(now), now);
                router.apply_outages(&tracker.corroborated(&"r".into(), now), now);
            }
        }
        tracker.tick(now);
    }
    timeouts
}

/// Guards against outages that each entry has to detect by itself, by requests that run into
/// connect timeouts: reports must save more than half of these timeouts.
#[test]
fn outages_many_unreachable_targets() {
    let (without_reports, with_reports) =
        (count_connect_timeouts(15, false), count_connect_timeouts(15, true));
    assert!(
        without_reports > 100,
        "each entry should detect the outages by itself: {without_reports} timeouts"
    );
    assert!(
        with_reports < without_reports / 2,
        "{with_reports} timeouts with reports, {without_reports} without"
    );
}

/// Guards against reachable targets that are reported as unreachable because the entry's own link
/// is saturated.
#[test]
fn outages_not_reported_on_saturated_link() {
    // On a saturated link, successful connections take long, and some time out.
    let mut router = router(0);
    let unreachable: BTreeSet<TargetName> = (0..TARGETS).step_by(5).map(target).collect();
    let timeouts: usize = (0..60)
        .map(|key| request(&mut router, &unreachable, key, (CONNECT_TIME_SATURATED, at(500))))
        .sum();
    assert!(timeouts > 0, "no connection timed out");
    assert!(router.recent_outages(at(950)).is_empty());
}

/// Returns the connect timeout of the first attempt of a request.
fn connect_timeout(router: &mut RequestRouter) -> Duration {
    let head = RequestHead {
        id: "1",
        host: "h",
        path: "/",
        key: Some("1"),
        timeout: None,
        body_bytes: Some(0),
        is_forwarded: false,
    };
    let mut request = router.admit(&head, at(100)).unwrap();
    let DispatchDecision::Send(attempt) = router.dispatch(&mut request, at(100)) else {
        panic!("the request is refused")
    };
    attempt.connect_timeout
}

#[test]
fn connect_timeout_leaves_time_for_another_target() {
    // Connections within the region take milliseconds, and one that times out must leave most of
    // the request's goal of 600 ms.
    assert!(connect_timeout(&mut router_on_idle_link(0)) <= Duration::from_millis(150));
}

#[test]
fn connect_timeout_longer_on_busy_link() {
    // An entry that has just started doesn't know the state of its link, and allows as much time as
    // one whose link is busy.
    assert_eq!(connect_timeout(&mut router(0)), Duration::from_millis(400));
    let mut busy = router_on_idle_link(0);
    for number in 0..20 {
        busy.record_connect_time(&target(number), CONNECT_TIME_SATURATED, at(0));
    }
    assert_eq!(connect_timeout(&mut busy), Duration::from_millis(400));
}

/// Only connections to unreachable targets are counted, so this fails only if the router doesn't
/// admit a request.
#[test]
fn outages_none_without_unreachable_targets() {
    assert_eq!(count_connect_timeouts(0, true), 0);
}

/// Guards against targets that count as unreachable because the links of one failure domain lose
/// packets: entries of two failure domains of the region must report the same target.
#[test]
fn outages_of_single_failure_domain_ignored() {
    let mut tracker = OutageTracker::default();
    let report = OutageReport { target: target_hash(&target(1)), age_ms: 0 };
    // Four entries of one failure domain, whose links may lose packets, and an entry of another
    // region report the same target.
    for number in [0, 3, 6, 9] {
        tracker.record(&location(number), &[report], at(0));
    }
    let far_location = InstancePlace { region: "far".into(), domain: "f0".into() };
    tracker.record(&far_location, &[report], at(0));
    assert!(tracker.corroborated(&"r".into(), at(100)).is_empty());
    tracker.record(&location(1), &[report], at(100));
    assert_eq!(
        tracker.corroborated(&"r".into(), at(100)),
        [OutageReport { age_ms: 100, ..report }]
    );
    assert!(tracker.corroborated(&"far".into(), at(100)).is_empty());
    tracker.tick(at(2_050));
    assert!(
        tracker.corroborated(&"r".into(), at(2_050)).is_empty(),
        "expired reports were still returned"
    );
}

/// Guards against an outage report that ejects a target which has responded since the outage.
#[test]
fn outages_ignored_after_later_response() {
    let mut router = router(0);
    let by_hash: BTreeMap<u32, TargetName> =
        (0..TARGETS).map(|number| (target_hash(&target(number)), target(number))).collect();
    let reports: Vec<OutageReport> =
        by_hash.keys().map(|hash| OutageReport { target: *hash, age_ms: 200 }).collect();
    // Only the target that responded after the reported outages gets requests.
    assert_eq!(request(&mut router, &BTreeSet::new(), 1, (CONNECT_TIME_IDLE, at(1_000))), 0);
    router.apply_outages(&reports, at(1_100));
    let head = RequestHead {
        id: "1",
        host: "h",
        path: "/",
        key: Some("1"),
        timeout: None,
        body_bytes: Some(0),
        is_forwarded: false,
    };
    let mut request = router.admit(&head, at(1_100)).unwrap();
    let DispatchDecision::Send(first) = router.dispatch(&mut request, at(1_100)) else {
        panic!("the request is refused")
    };
    for key in 2..40_u32 {
        let key = key.to_string();
        let head = RequestHead {
            id: "1",
            host: "h",
            path: "/",
            key: Some(&key),
            timeout: None,
            body_bytes: Some(0),
            is_forwarded: false,
        };
        let mut request = router.admit(&head, at(1_100)).unwrap();
        if let DispatchDecision::Send(attempt) = router.dispatch(&mut request, at(1_100)) {
            assert_eq!(attempt.target, first.target);
        }
    }
}
