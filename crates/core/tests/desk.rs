//! Requests at a desk: who runs them, who is refused, and what all entries together may do.

use {
    hemlockspool_core::{
        clock::Moment,
        fleet::{
            decision_events::DecisionEvent,
            messages::{InstancePlace, LiveEntries},
            roster::{TargetInfo, TargetList},
        },
        traffic::{
            request::{
                AdmittedRequest, AttemptResult, DispatchDecision, RefusalReason, RequestHead,
                TargetLoad,
            },
            retry_budget::{RetryBudget, RetryLimit},
            router::{RequestRouter, RouterSettings},
        },
    },
    hemlockspool_model::{
        names::{DomainName, TargetName},
        table::RouteTable,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

const TABLE: &str = r#"{"version":3,"routes":[
    {"name":"look","host":"h","prefix":"/look/","repeat":"safe","timeout":"2s","goal":"400ms",
     "priority":2,"service":"s","attempts":2,"sticky":true},
    {"name":"pay","host":"h","prefix":"/pay/","repeat":"never","timeout":"2s","goal":"400ms",
     "priority":0,"service":"s","attempts":2,"sticky":true},
    {"name":"deep","host":"h","prefix":"/look/deep/","repeat":"safe","timeout":"2s",
     "split":[{"service":"s","weight":3},{"service":"t","weight":1}]},
    {"name":"home","host":"h","prefix":"/home/","repeat":"safe","timeout":"2s","service":"s",
     "homes":["north"]}],
    "services":[{"name":"s","cold_per_s":10},{"name":"t"}],"limits":{}}"#;

/// The platform's bound on requests to a cold target in a second, over all entries: the rate of the
/// table by 1.5, and 5.
const COLD_BOUND: usize = 20;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 80))
}

fn at(millis: u64) -> Moment {
    Moment(1_000_000 + millis * 1_000)
}

fn domains() -> BTreeMap<DomainName, hemlockspool_model::names::RegionName> {
    let pairs = [("n1", "north"), ("n2", "north"), ("s1", "south")];
    pairs.into_iter().map(|(domain, region)| (domain.into(), region.into())).collect()
}

fn fact(service: &str, domain: &str, last: u8) -> TargetInfo {
    TargetInfo {
        service: service.into(),
        address: address(last),
        domain: domain.into(),
        slots: 4,
        draining: false,
        cold_ms: 0,
    }
}

fn targets() -> TargetList {
    let lines = [("a", "s", "n1"), ("b", "s", "n1"), ("c", "s", "n2"), ("d", "s", "n2")];
    let more = [("e", "s", "s1"), ("f", "s", "s1"), ("g", "t", "n1"), ("h", "t", "s1")];
    let lines = lines.into_iter().chain(more).enumerate();
    let line = |(i, (name, service, domain)): (usize, (&str, &str, &str))| {
        (TargetName::new(name), fact(service, domain, 100 + i as u8))
    };
    lines.map(line).collect()
}

fn census(count: u8) -> LiveEntries {
    let place = || InstancePlace { region: "north".into(), domain: "n1".into() };
    let entries = (1..=count).map(|i| (address(i), place())).collect();
    LiveEntries { mark: u64::from(count), entries }
}

fn router(me: u8) -> RequestRouter {
    let retry_limit = RetryLimit { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) };
    let settings = RouterSettings {
        me: address(me),
        region: "north".into(),
        domains: domains(),
        retry_limit,
        link_bytes_per_s: 1e8,
    };
    let mut router = RequestRouter::new(settings, at(0));
    router.set_table(&RouteTable::parse(TABLE).unwrap());
    router.set_targets(&targets(), at(0));
    router.set_entries(&census(4));
    router
}

fn admit(router: &mut RequestRouter, path: &str, key: &str, now: Moment) -> AdmittedRequest {
    let head = RequestHead { id: "1", host: "h", path, key: Some(key), timeout: None };
    router.admit(&head, now).unwrap()
}

fn dispatch(
    router: &mut RequestRouter,
    request: &mut AdmittedRequest,
    now: Moment,
) -> Result<TargetName, RefusalReason> {
    match router.dispatch(request, now) {
        DispatchDecision::Send(attempt) => Ok(attempt.target),
        DispatchDecision::Refuse(refusal) => Err(refusal.reason),
    }
}

fn finish(
    router: &mut RequestRouter,
    request: &mut AdmittedRequest,
    target: &TargetName,
    end: AttemptResult,
    now: Moment,
) {
    router.finish_attempt(request, target, end, Duration::from_millis(50), now);
}

const ANSWERED: AttemptResult = AttemptResult::Answered { status: 200, load: None };

#[test]
fn affinity_same_at_all_entries() {
    let mut homes: BTreeMap<String, TargetName> = BTreeMap::new();
    for me in 1..=4 {
        let mut router = router(me);
        for key in 0..50 {
            let key = key.to_string();
            let mut request = admit(&mut router, "/look/x", &key, at(1));
            let target = dispatch(&mut router, &mut request, at(1)).unwrap();
            finish(&mut router, &mut request, &target, ANSWERED, at(1));
            assert_eq!(homes.entry(key).or_insert(target.clone()), &target);
        }
    }
    assert_eq!(homes.values().collect::<BTreeSet<_>>().len(), 4, "all targets of the region");
}

#[test]
fn affinity_moves_only_what_must() {
    let (mut before, mut after) = (router(1), router(1));
    let mut fewer = targets();
    fewer.remove(&TargetName::new("a"));
    after.set_targets(&fewer, at(1));
    for key in 0..50 {
        let key = key.to_string();
        let mut request = admit(&mut before, "/look/x", &key, at(1));
        let old = dispatch(&mut before, &mut request, at(1)).unwrap();
        finish(&mut before, &mut request, &old, ANSWERED, at(1));
        let mut request = admit(&mut after, "/look/x", &key, at(1));
        let new = dispatch(&mut after, &mut request, at(1)).unwrap();
        finish(&mut after, &mut request, &new, ANSWERED, at(1));
        assert!(old == new || old == TargetName::new("a"), "{key}: {old} to {new}");
    }
}

#[test]
fn affinity_full_targets_refuse() {
    let mut router = router(1);
    let mut taken = BTreeMap::new();
    let refused = (0..100).find_map(|_| {
        let mut request = admit(&mut router, "/look/x", "one", at(1));
        match dispatch(&mut router, &mut request, at(1)) {
            Ok(target) => {
                *taken.entry(target).or_insert(0) += 1;
                None
            }
            Err(reason) => Some(reason),
        }
    });
    assert_eq!(refused, Some(RefusalReason::NoCapacity));
    assert!(taken.len() <= 2, "an object stays with its targets: {taken:?}");
    assert!(taken.values().all(|count| *count <= 8), "twice the slots at most: {taken:?}");
}

#[test]
fn refusal_before_configuration() {
    let retry_limit = RetryLimit { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) };
    let settings = RouterSettings {
        me: address(1),
        region: "north".into(),
        domains: domains(),
        retry_limit,
        link_bytes_per_s: 1e8,
    };
    let mut router = RequestRouter::new(settings, at(0));
    let head = RequestHead { id: "1", host: "h", path: "/none/", key: None, timeout: None };
    let refusal = router.admit(&head, at(1)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoTable, "never that there is no route");
    assert!(refusal.retry_after.is_some());
}

/// Has an entry without a table refuse requests at one moment; returns when each may come back.
fn refused_returns(link_bytes_per_s: f64, requests: usize) -> Vec<Duration> {
    let retry_limit = RetryLimit { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) };
    let me = address(1);
    let settings = RouterSettings {
        me,
        region: "r".into(),
        domains: domains(),
        retry_limit,
        link_bytes_per_s,
    };
    let mut router = RequestRouter::new(settings, at(0));
    let head = RequestHead { id: "1", host: "shop", path: "/read/x", key: None, timeout: None };
    let refusals = (0..requests).map(|_| router.admit(&head, at(5)).unwrap_err());
    refusals.map(|refusal| refusal.retry_after.unwrap()).collect()
}

#[test]
fn refusal_returns_fit_the_link() {
    // 2 Mbit/s: what comes back within any 100 ms leaves the link three quarters of them.
    let link_bytes_per_s = 250_000.0;
    let returns = refused_returns(link_bytes_per_s, 30);
    assert_eq!(returns[0], Duration::from_millis(300));
    assert!(returns.iter().all(|span| *span <= Duration::from_millis(1_500)), "{returns:?}");
    let window = Duration::from_millis(100);
    for start in returns.iter().filter(|span| **span < Duration::from_millis(1_400)) {
        let within = returns.iter().filter(|span| *span >= start && **span < *start + window);
        let most = 1 + (0.25 * 0.1 * link_bytes_per_s / 3_000.0) as usize;
        assert!(within.count() <= most, "{returns:?}");
    }
    // A link that carries them all keeps nobody waiting.
    let returns = refused_returns(125e6, 100);
    assert!(returns.iter().all(|span| *span < Duration::from_millis(320)), "{returns:?}");
}

#[test]
fn route_longest_prefix() {
    let mut router = router(1);
    assert_eq!(admit(&mut router, "/look/x", "k", at(1)).route.name.as_str(), "look");
    assert_eq!(admit(&mut router, "/look/deep/x", "k", at(1)).route.name.as_str(), "deep");
    let head = RequestHead { id: "1", host: "h", path: "/other/", key: None, timeout: None };
    assert_eq!(router.admit(&head, at(1)).unwrap_err().reason, RefusalReason::NoRoute);
}

#[test]
fn split_keeps_weights_in_every_row() {
    let mut router = router(1);
    let draws: Vec<bool> = (0..400)
        .map(|_| admit(&mut router, "/look/deep/x", "k", at(1)).service.as_str() == "t")
        .collect();
    for row in draws.windows(40) {
        let share = row.iter().filter(|t| **t).count();
        assert!((9..=11).contains(&share), "{share} of 40");
    }
}

#[test]
fn never_repeated_after_it_may_have_run() {
    let ends = [
        AttemptResult::Interrupted,
        AttemptResult::TimedOut,
        AttemptResult::ConnectionClosed,
        ANSWERED,
    ];
    for end in ends {
        let mut router = router(1);
        let mut request = admit(&mut router, "/pay/x", "k", at(1));
        let target = dispatch(&mut router, &mut request, at(1)).unwrap();
        finish(&mut router, &mut request, &target, end, at(2));
        let next = dispatch(&mut router, &mut request, at(2));
        assert_eq!(next, Err(RefusalReason::OutcomeUnknown), "{end:?}");
        assert!(!RefusalReason::OutcomeUnknown.is_known_not_run());
    }
}

#[test]
fn never_repeated_unless_it_did_not_run() {
    let load = Some(TargetLoad { running: 4, waiting: 1, slots: 4 });
    let ends = [AttemptResult::NotSent, AttemptResult::NotRun { load, replaced: false }];
    for end in ends {
        let mut router = router(1);
        // Requests that go well leave room for repeats.
        for _ in 0..50 {
            let mut request = admit(&mut router, "/look/x", "other", at(1));
            let target = dispatch(&mut router, &mut request, at(1)).unwrap();
            finish(&mut router, &mut request, &target, ANSWERED, at(1));
        }
        let mut request = admit(&mut router, "/pay/x", "k", at(1));
        let first = dispatch(&mut router, &mut request, at(1)).unwrap();
        finish(&mut router, &mut request, &first, end, at(2));
        let second = dispatch(&mut router, &mut request, at(2)).unwrap();
        assert_ne!(first, second, "{end:?}");
    }
}

#[test]
fn homes_bind_also_without_targets_there() {
    let mut router = router(1);
    let south: TargetList =
        targets().into_iter().filter(|(_, fact)| fact.domain.as_str() == "s1").collect();
    router.set_targets(&south, at(1));
    let mut request = admit(&mut router, "/home/x", "k", at(1));
    assert_eq!(dispatch(&mut router, &mut request, at(1)), Err(RefusalReason::NoTarget));
    let mut request = admit(&mut router, "/look/x", "k", at(1));
    assert!(
        dispatch(&mut router, &mut request, at(1)).is_ok(),
        "other routes go where there are targets"
    );
}

#[test]
fn evacuated_and_draining_get_nothing() {
    let mut router = router(1);
    let mut list = targets();
    list.get_mut(&TargetName::new("c")).unwrap().draining = true;
    router.set_targets(&list, at(1));
    router.set_evacuated(&BTreeSet::from([DomainName::new("n1")]), at(1));
    // The list may still call the target ready for a moment, at another reader.
    router.set_targets(&targets(), at(2));
    for key in 0..100 {
        let mut request = admit(&mut router, "/look/x", &key.to_string(), at(3));
        if let Ok(target) = dispatch(&mut router, &mut request, at(3)) {
            assert_eq!(target, TargetName::new("d"));
            finish(&mut router, &mut request, &target, ANSWERED, at(3));
        }
    }
}

#[test]
fn replaced_target_gets_nothing_more() {
    let mut router = router(1);
    let mut request = admit(&mut router, "/look/x", "k", at(1));
    let target = dispatch(&mut router, &mut request, at(1)).unwrap();
    let end = AttemptResult::NotRun { load: None, replaced: true };
    finish(&mut router, &mut request, &target, end, at(1));
    for step in 0..100 {
        let mut request = admit(&mut router, "/look/x", "k", at(step * 100));
        if let Ok(other) = dispatch(&mut router, &mut request, at(step * 100)) {
            assert_ne!(other, target);
            finish(&mut router, &mut request, &other, ANSWERED, at(step * 100));
        }
    }
}

#[test]
fn cold_target_within_bound_of_all_entries() {
    // Entries that disagree for a while about who lives: each sees another part of the fleet.
    let mut routers: Vec<RequestRouter> = (1..=12).map(router).collect();
    let mut list = TargetList::from([(TargetName::new("a"), fact("s", "n1", 100))]);
    list.get_mut(&TargetName::new("a")).unwrap().cold_ms = 60_000;
    for (i, router) in routers.iter_mut().enumerate() {
        router.set_targets(&list, at(0));
        router.set_entries(&census(if i % 2 == 0 { 12 } else { 9 }));
    }
    let mut sent: Vec<u64> = Vec::new();
    for step in 0..300_u64 {
        let now = at(step * 10);
        for router in &mut routers {
            let mut request = admit(router, "/look/x", "k", now);
            if let Ok(target) = dispatch(router, &mut request, now) {
                finish(router, &mut request, &target, ANSWERED, now);
                sent.push(step * 10);
            }
        }
    }
    assert!(!sent.is_empty(), "a service with cold targets only is served");
    for start in 0..2_000 {
        let count = sent.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
        assert!(count <= COLD_BOUND, "{count} in the second from {start} ms");
    }
}

#[test]
fn repeats_within_bound_of_all_entries() {
    let bound = RetryLimit { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) };
    let mut budgets = vec![RetryBudget::default(); 9];
    let mut taken = 0;
    for budget in &mut budgets {
        for step in 0..100 {
            budget.record_request(at(step));
        }
        taken += (0..1_000).filter(|_| budget.try_withdraw(bound, 9, at(100))).count();
    }
    assert!(taken <= 200, "{taken} of 0.2 x 900 + 20");
    assert!(taken >= 100, "most of it can be used: {taken}");
}

#[test]
fn repeats_without_known_entries() {
    let bound = RetryLimit { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::default();
    assert!(!budget.try_withdraw(bound, 0, at(0)), "alone, an entry takes no part of the slack");
}

#[test]
fn attempt_has_all_the_time_left() {
    let mut router = router(1);
    let mut request = admit(&mut router, "/look/x", "k", at(1));
    let DispatchDecision::Send(attempt) = router.dispatch(&mut request, at(501)) else {
        panic!("it can be sent")
    };
    assert_eq!(
        attempt.time_left,
        Duration::from_millis(1_500),
        "it isn't given up before its time"
    );
}

#[test]
fn note_of_a_caller_that_left() {
    // What went out for the caller is logged by sample only; its end must say where the request was.
    let mut router = router(1);
    let mut request = admit(&mut router, "/look/x", "one", at(0));
    let DispatchDecision::Send(attempt) = router.dispatch(&mut request, at(0)) else {
        panic!("refused")
    };
    router.take_log_events();
    let gone = AttemptResult::Cancelled;
    router.finish_attempt(&mut request, &attempt.target, gone, Duration::from_millis(40), at(40));
    let expected = DecisionEvent::AttemptFailed {
        request: "1".to_owned(),
        target: attempt.target.clone(),
        reason: "caller gone",
    };
    assert_eq!(router.take_log_events(), vec![expected]);
}
