//! Load patterns of uploads at an entry with a small link: large bodies in both directions, beside
//! small requests.

#[path = "common/routing.rs"]
mod routing;

use {
    hemlockspool_core::{
        clock::Moment,
        traffic::{
            body_budget::KEPT_BODY_BYTES_MAX,
            request::{
                AdmittedRequest, AttemptResult, DispatchDecision, RefusalReason, RequestHead,
                TargetAttempt, TransferredBytes,
            },
            router::RequestRouter,
        },
    },
    routing::{BODY_MEMORY_BYTES, at, router_with},
    std::time::Duration,
};

const TABLE: &str = r#"{"version":3,"routes":[
    {"name":"look","host":"h","prefix":"/look/","repeat":"safe","timeout":"2s","goal":"600ms",
     "priority":2,"service":"s","attempts":2,"sticky":true},
    {"name":"urgent","host":"h","prefix":"/urgent/","repeat":"upload","timeout":"5s",
     "goal":"800ms","priority":0,"service":"s","attempts":2,"sticky":true},
    {"name":"load","host":"h","prefix":"/load/","repeat":"upload","timeout":"5s","goal":"800ms",
     "priority":1,"service":"s","attempts":2,"sticky":true}],
    "services":[{"name":"s"}],"limits":{"max_body_bytes":1000000}}"#;
/// A link of 7.2 Mbit/s.
const LINK_BYTES_PER_S: f64 = 900_000.0;

/// Returns the router of an entry with eight targets of six slots each.
fn router(link_bytes_per_s: f64) -> RequestRouter {
    router_with(TABLE, 6, link_bytes_per_s)
}

fn admit(
    router: &mut RequestRouter,
    path: &str,
    body_bytes: Option<u64>,
    now: Moment,
) -> Result<AdmittedRequest, RefusalReason> {
    let head = RequestHead {
        id: "1",
        host: "h",
        path,
        key: Some("k"),
        timeout: None,
        body_bytes,
        is_forwarded: false,
    };
    router.admit(&head, now).map_err(|refusal| refusal.reason)
}

fn dispatch(
    router: &mut RequestRouter,
    request: &mut AdmittedRequest,
    now: Moment,
) -> Result<TargetAttempt, RefusalReason> {
    match router.dispatch(request, now) {
        DispatchDecision::Send(attempt) => Ok(attempt),
        DispatchDecision::Refuse(refusal) => Err(refusal.reason),
        DispatchDecision::Forward(attempt) => panic!("forwarded: {attempt:?}"),
    }
}

/// Lets a new connection of a small request time out, and returns whether the target is still in
/// use a little later.
fn survives_timeout(router: &mut RequestRouter, started: Moment) -> bool {
    let mut request = admit(router, "/look/x", Some(0), started).unwrap();
    let attempt = dispatch(router, &mut request, started).unwrap();
    let (elapsed, result) = (attempt.connect_timeout, AttemptResult::NotSent);
    let ended = started.after(elapsed);
    router.finish_attempt(&mut request, &attempt.target, result, elapsed, ended);
    let mut next = admit(router, "/look/x", Some(0), ended.after(elapsed)).unwrap();
    dispatch(router, &mut next, ended.after(elapsed)).unwrap().target == attempt.target
}

/// Guards against targets that are ejected because a body on the entry's own link delayed the
/// connection to them.
#[test]
fn upload_delays_connections() {
    let mut idle = router(LINK_BYTES_PER_S);
    assert!(!survives_timeout(&mut idle, at(0)), "a dead target isn't ejected");
    let mut busy = router(LINK_BYTES_PER_S);
    // 70 ms of the link.
    admit(&mut busy, "/load/x", Some(60_000), at(0)).unwrap();
    assert!(survives_timeout(&mut busy, at(1)));
}

/// Guards against a link that is promised to more bodies than it can carry in time: the size of a
/// body counts from its head on, not from its end.
#[test]
fn upload_reserves_link() {
    let mut router = router(LINK_BYTES_PER_S);
    admit(&mut router, "/load/x", Some(300_000), at(0)).unwrap();
    assert_eq!(
        admit(&mut router, "/load/x", Some(60_000), at(10)).err(),
        Some(RefusalReason::LinkSaturated)
    );
    // The bodies of a route without stated lengths count as those before them.
    for second in 1..200 {
        let now = at(second * 1_000);
        let mut request = admit(&mut router, "/load/x", None, now).unwrap();
        let attempt = dispatch(&mut router, &mut request, now).unwrap();
        let result = AttemptResult::Answered { status: 200, load: None };
        router.finish_attempt(&mut request, &attempt.target, result, Duration::ZERO, now);
        let bytes = TransferredBytes { body: 300_000, response: 1_000 };
        router.finish_request(&request, &attempt.target, 200, bytes, now);
        router.release_body_memory(request.body_memory);
    }
    admit(&mut router, "/load/x", None, at(300_000)).unwrap();
    assert_eq!(
        admit(&mut router, "/load/x", None, at(300_010)).err(),
        Some(RefusalReason::LinkSaturated)
    );
}

/// Guards against an entry that runs out of memory when many uploads arrive at once, and against
/// urgent ones that are refused because of the others.
#[test]
fn upload_burst_within_memory() {
    let mut router = router(1e9);
    let mut admitted = Vec::new();
    let refusal = loop {
        match admit(&mut router, "/load/x", None, at(0)) {
            Ok(request) => admitted.push(request.body_memory),
            Err(reason) => break reason,
        }
    };
    assert_eq!(refusal, RefusalReason::BodyMemory);
    assert!(admitted.iter().sum::<u64>() <= BODY_MEMORY_BYTES);
    assert!(admit(&mut router, "/urgent/x", Some(KEPT_BODY_BYTES_MAX), at(0)).is_ok());
    // Requests without a body need no memory.
    assert!(admit(&mut router, "/look/x", Some(0), at(0)).is_ok());
    admitted.into_iter().for_each(|bytes| router.release_body_memory(bytes));
    assert!(admit(&mut router, "/load/x", None, at(0)).is_ok());
    assert_eq!(
        admit(&mut router, "/load/x", Some(1_000_001), at(0)).err(),
        Some(RefusalReason::BodyTooLarge)
    );
}

/// Guards against an upload of which a second target gets a part only, and against one that is
/// said not to have run although a target may run it.
#[test]
fn upload_not_kept_is_refused() {
    let mut router = router(1e9);
    for (result, expected) in [
        (AttemptResult::NotRun { load: None, replaced: false }, RefusalReason::NoCapacity),
        (AttemptResult::Interrupted, RefusalReason::OutcomeUnknown),
    ] {
        let mut request = admit(&mut router, "/load/x", None, at(0)).unwrap();
        let attempt = dispatch(&mut router, &mut request, at(0)).unwrap();
        router.finish_attempt(&mut request, &attempt.target, result, Duration::ZERO, at(1));
        request.body_consumed = true;
        assert_eq!(dispatch(&mut router, &mut request, at(1)), Err(expected));
    }
}

/// Guards against a target that is ejected because callers' bodies break.
#[test]
fn upload_broken_bodies_eject_no_target() {
    let mut router = router(1e9);
    let mut first = None;
    for step in 0..20 {
        let mut request = admit(&mut router, "/load/x", Some(60_000), at(step)).unwrap();
        let attempt = dispatch(&mut router, &mut request, at(step)).unwrap();
        let result = AttemptResult::BodyFailed;
        router.finish_attempt(&mut request, &attempt.target, result, Duration::ZERO, at(step));
        let reasons = [RefusalReason::BodyStalled, RefusalReason::BodyTooLarge];
        let refusal = router.refuse_body(&request, reasons[step as usize % 2], at(step));
        assert!(!refusal.reason.is_known_not_run() && refusal.retry_after.is_none());
        router.release_body_memory(request.body_memory);
        assert_eq!(*first.get_or_insert(attempt.target.clone()), attempt.target);
    }
}

/// Guards against demand that seems larger than it is while responses wait on the entry's link, so
/// that requests spill over to other regions for nothing.
#[test]
fn upload_delays_no_demand() {
    let mut router = router(LINK_BYTES_PER_S);
    let mut demand = Vec::new();
    for congested in [false, true] {
        let started = if congested { 20_000 } else { 0 };
        for step in 0..200 {
            let now = at(started + step * 100);
            let mut request = admit(&mut router, "/look/x", Some(0), now).unwrap();
            let attempt = dispatch(&mut router, &mut request, now).unwrap();
            let elapsed = Duration::from_millis(if congested { 450 } else { 250 });
            if congested {
                // An upload is on the link while the response arrives.
                let _ = router.tick(now);
                let upload = admit(&mut router, "/load/x", Some(60_000), now).unwrap();
                router.release_body_memory(upload.body_memory);
            }
            let result = AttemptResult::Answered { status: 200, load: None };
            router.finish_attempt(&mut request, &attempt.target, result, elapsed, now);
            let _ = router.tick(now);
        }
        demand.push(router.local_demand().values().sum::<f32>());
    }
    let (before, after) = (demand[0], demand[1]);
    // The uploads of the second part count as demand of their own.
    let uploads = 10.0 * 0.32;
    assert!((before - 2.5).abs() < 0.3, "{before} busy slots");
    assert!(after - uploads <= 1.1 * before, "{after} busy slots, {uploads} of uploads");
}
