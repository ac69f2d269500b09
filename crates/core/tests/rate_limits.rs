//! A target in need that takes only a stated number of requests per second from all entries
//! together, which hear of it in the responses to their own requests.

#[path = "common/routing.rs"]
mod routing;

use {
    hemlockspool_core::{
        clock::Moment,
        fleet::{
            messages::{InstancePlace, LiveEntries, RateLimitView},
            rate_limits::RateLimitTracker,
        },
        traffic::{
            request::{AdmittedRequest, AttemptResult, DispatchDecision, RequestHead},
            router::RequestRouter,
            target_notice::TargetNotice,
        },
    },
    hemlockspool_model::names::TargetName,
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg32,
    routing::{at, router_of},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

const TABLE: &str = r#"{"version":1,"routes":[
    {"name":"look","host":"h","prefix":"/","repeat":"safe","timeout":"2s","goal":"600ms",
     "priority":1,"service":"s","attempts":2,"sticky":true}],
    "services":[{"name":"s"}],"limits":{}}"#;
/// The target that states a limit.
const LIMITED: &str = "t0";
/// The time within which the limit must hold, by the platform's bounds.
const CONTACT_MS: u64 = 4_000;
/// The sliding window in which the platform counts requests.
const WINDOW_MS: u64 = 4_000;
/// The time after an entry's first response with the limit from which its requests count.
const TOLD_MS: u64 = 500;
/// The time from a request to its response.
const RESPONSE_MS: u64 = 150;
/// The time between two heartbeats of an entry.
const HEARTBEAT_INTERVAL_MS: u64 = 250;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 30_000;

/// Returns the number of requests that the platform allows in one window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

fn peer(number: usize) -> SocketAddr {
    ([10, 0, (number / 250) as u8, (number % 250) as u8], 1).into()
}

/// An entry of the simulated fleet.
struct Entry {
    router: RequestRouter,
    /// The time of its first response with the limit.
    told_at: Option<u64>,
    /// Whether it stands still.
    stalled: bool,
    in_flight: Vec<(u64, AdmittedRequest, TargetName)>,
}

/// A fleet of entries of one region with eight targets, of which one states a limit from the start.
struct Fleet {
    entries: BTreeMap<SocketAddr, Entry>,
    /// The limit that the target states; none when it takes every request.
    limit: Option<f64>,
    requests_per_s: f64,
    rng: Pcg32,
    /// The limits known to the replica that all entries follow.
    tracker: RateLimitTracker,
    /// The requests at the limited target: when, and whether the sender had been told.
    arrivals: Vec<(u64, bool)>,
}

impl Fleet {
    fn new(entries: usize, limit: f64, requests_per_s: f64, seed: u64) -> Self {
        let mut fleet = Self {
            entries: BTreeMap::new(),
            limit: Some(limit),
            requests_per_s,
            rng: Pcg32::seed_from_u64(seed),
            tracker: RateLimitTracker::default(),
            arrivals: Vec::new(),
        };
        (0..entries).for_each(|number| fleet.start_entry(number));
        fleet.announce_entries();
        fleet
    }

    fn start_entry(&mut self, number: usize) {
        let router = router_of(peer(number), TABLE, 40, 1e9);
        let entry = Entry { router, told_at: None, stalled: false, in_flight: Vec::new() };
        self.entries.insert(peer(number), entry);
    }

    /// Tells every entry that runs which entries there are.
    fn announce_entries(&mut self) {
        let place = InstancePlace { region: "r".into(), domain: "d".into() };
        let entries: BTreeMap<SocketAddr, InstancePlace> =
            self.entries.keys().map(|peer| (*peer, place.clone())).collect();
        let live = LiveEntries { mark: entries.len() as u64, entries };
        let running = self.entries.values_mut().filter(|entry| !entry.stalled);
        running.for_each(|entry| entry.router.set_entries(&live));
    }

    fn run_until(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(STEP_MS as usize) {
            self.step(now_ms);
        }
    }

    /// Exchanges heartbeats between the replica and the entries that run.
    fn exchange_heartbeats(&mut self, now: Moment) {
        self.tracker.tick(now);
        for entry in self.entries.values_mut().filter(|entry| !entry.stalled) {
            self.tracker.record(&entry.router.recent_rate_limits(now), now);
            if let Some(view) = self.tracker.limits(now) {
                let known = entry.router.rate_limits_mark() == view.mark;
                let limits = view.limits.filter(|_| !known);
                entry.router.apply_rate_limits(RateLimitView { mark: view.mark, limits }, now);
            }
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = at(now_ms);
        if now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            self.exchange_heartbeats(now);
        }
        let rate = self.requests_per_s / self.entries.len() as f64 * STEP_MS as f64 / 1_000.0;
        for entry in self.entries.values_mut().filter(|entry| !entry.stalled) {
            let due: Vec<_> = entry.in_flight.extract_if(.., |(end, ..)| *end <= now_ms).collect();
            for (_, mut request, target) in due {
                let is_limited = target.as_str() == LIMITED;
                let rate_limit = self.limit.filter(|_| is_limited);
                let notice = TargetNotice { rate_limit, ..TargetNotice::default() };
                entry.router.record_notice(&target, notice, now);
                if rate_limit.is_some() {
                    entry.told_at.get_or_insert(now_ms);
                }
                let result = AttemptResult::Answered { status: 200, load: None };
                let elapsed = Duration::from_millis(RESPONSE_MS);
                entry.router.finish_attempt(&mut request, &target, result, elapsed, now);
            }
            if now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                entry.router.tick(now);
            }
            if self.rng.random_bool(rate.min(1.0)) {
                let key = self.rng.random_range(0..400_u32).to_string();
                if let Some((request, target)) = send(&mut entry.router, &key, now) {
                    if target.as_str() == LIMITED {
                        let told = entry.told_at.is_some_and(|told| now_ms >= told + TOLD_MS);
                        self.arrivals.push((now_ms, told));
                    }
                    entry.in_flight.push((now_ms + RESPONSE_MS, request, target));
                }
            }
        }
    }

    /// Returns the largest number of requests that the limited target got in one window from
    /// entries that it had told.
    fn most_in_window(&self) -> usize {
        let counted: Vec<u64> = (self.arrivals.iter())
            .filter(|(at_ms, told)| *told && *at_ms >= CONTACT_MS)
            .map(|(at_ms, _)| *at_ms)
            .collect();
        let within = |start: &u64| {
            counted.iter().filter(|at_ms| (*start..start + WINDOW_MS).contains(at_ms)).count()
        };
        counted.iter().map(within).max().unwrap_or(0)
    }

    /// Returns the mean number of requests per second at the limited target in a time.
    fn mean_rate(&self, from_ms: u64, until_ms: u64) -> f64 {
        let count = self.arrivals.iter().filter(|(at, _)| (from_ms..until_ms).contains(at)).count();
        count as f64 * 1_000.0 / (until_ms - from_ms) as f64
    }
}

/// Sends a request and returns its target, or none if it is refused.
fn send(
    router: &mut RequestRouter,
    key: &str,
    now: Moment,
) -> Option<(AdmittedRequest, TargetName)> {
    let (id, host, path) = ("1", "h", "/");
    let head = RequestHead {
        id,
        host,
        path,
        key: Some(key),
        timeout: None,
        body_bytes: Some(0),
        is_forwarded: false,
    };
    let mut request = router.admit(&head, now).ok()?;
    match router.dispatch(&mut request, now) {
        DispatchDecision::Send(attempt) => Some((request, attempt.target)),
        DispatchDecision::Refuse(_) => None,
        DispatchDecision::Forward(attempt) => panic!("forwarded: {attempt:?}"),
    }
}

/// Guards against entries that send a target more than it says that it takes: each hears of the
/// limit only in its own responses, and the limit is that of all entries together.
#[test]
fn rate_limit_over_all_entries() {
    for (entries, limit, requests_per_s) in [
        (2, 4.1, 60.0),
        (8, 4.1, 120.0),
        (8, 1.3, 120.0),
        (8, 0.0, 120.0),
        (8, 40.0, 800.0),
        (273, 4.7, 2_000.0),
    ] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(entries, limit, requests_per_s, seed);
            fleet.run_until(0, RUN_MS);
            let most = fleet.most_in_window();
            assert!(
                most <= allowed(limit),
                "{entries} entries, seed {seed}: {most} requests in a window; the limit of \
                 {limit} a second allows {}",
                allowed(limit)
            );
        }
    }
}

/// Guards against a limit that breaks when entries start, or stop and go on, while it is in force,
/// or when entries don't agree about which of them there are.
#[test]
fn rate_limit_while_entries_change() {
    let limit = 1.3;
    for seed in 0..5 {
        let mut fleet = Fleet::new(12, limit, 150.0, seed);
        let mut now_ms = 0;
        for round in 0..12 {
            let stalled = peer(round % 12);
            fleet.entries.get_mut(&stalled).unwrap().stalled = true;
            // An entry that has never heard of the limit joins; for two seconds, only some entries
            // know of it.
            fleet.start_entry(12 + round);
            fleet.run_until(now_ms, now_ms + 2_000);
            fleet.announce_entries();
            fleet.entries.get_mut(&stalled).unwrap().stalled = false;
            fleet.run_until(now_ms + 2_000, now_ms + 4_000);
            now_ms += 4_000;
        }
        let most = fleet.most_in_window();
        assert!(most <= allowed(limit), "seed {seed}: {most} requests in a window");
    }
}

/// Guards against entries that send the target requests again, all at once, when they lose contact
/// with the replicas and hear nothing new of the limit.
#[test]
fn rate_limit_without_replicas() {
    let limit = 4.1;
    let mut fleet = Fleet::new(30, limit, 300.0, 1);
    fleet.run_until(0, 10_000);
    for now_ms in (10_000..60_000).step_by(STEP_MS as usize) {
        fleet.tracker = RateLimitTracker::default();
        fleet.step(now_ms);
    }
    assert!(fleet.most_in_window() <= allowed(limit), "{}", fleet.most_in_window());
}

/// Guards against a target that stays without requests after its limit has ended, and against one
/// that gets far less than it takes while the limit is in force.
#[test]
fn rate_limit_used_and_ended() {
    // With 30 entries, most send the target nothing and don't hear of the end themselves.
    for (entries, limit) in [(2, 4.1), (8, 4.1), (30, 4.1), (8, 20.0)] {
        let mut fleet = Fleet::new(entries, limit, 400.0, 1);
        fleet.run_until(0, 20_000);
        let used = fleet.mean_rate(8_000, 20_000);
        assert!(used >= limit / 2.0, "{entries} entries: {used} requests a second of {limit}");
        fleet.limit = None;
        fleet.run_until(20_000, 30_000);
        // An eighth of the requests are for objects of this target.
        let after = fleet.mean_rate(24_000, 30_000);
        assert!(after >= 25.0, "{entries} entries: {after} requests a second without a limit");
    }
}

/// Guards against entries that all send a request at the moment at which they hear of a limit, or
/// take over from another entry.
#[test]
fn rate_limit_first_permit_after_interval() {
    let limit = 1.0;
    let mut fleet = Fleet::new(1, limit, 200.0, 1);
    fleet.run_until(0, 10_000);
    let told_ms = fleet.entries[&peer(0)].told_at.unwrap();
    let next_ms = fleet.arrivals.iter().find(|(at_ms, _)| *at_ms > told_ms).unwrap().0;
    assert!(next_ms >= told_ms + 1_000, "{} ms after it was told", next_ms - told_ms);
}
