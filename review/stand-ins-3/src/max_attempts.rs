//! Requests through other entries, whose targets lose some answers: on how many targets each runs.

use {
    crate::{
        Verdict,
        fleet::Fleet,
        http,
        platform::{HOST, Manner, Platform, Route, table},
        proxy::Proxy,
        record::Record,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        path::Path,
        sync::{Arc, Mutex},
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

const INTERVAL: Duration = Duration::from_micros(16_600);
const CUT_AT: Duration = Duration::from_secs(1);
/// The answers are lost for 4 s, after `contact`.
const LOSSES: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(9));
const END: Duration = Duration::from_secs(11);
/// The number of targets whose answers get lost, of ten.
const LOSING_TARGETS: usize = 6;
/// The `max_attempts` of the route.
const ATTEMPTS: usize = 2;
/// More such requests than this break the rule.
const EXCUSED: usize = 3;

pub fn play(root: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let platform = Platform::start(&["a1", "a1", "a1", "a1", "a1", "a2", "a2", "a2", "a2", "a2"]);
    let proxies: Vec<Proxy> =
        platform.targets.iter().map(|target| Proxy::start(target.address)).collect();
    let ways = platform.targets.iter().zip(&proxies);
    let tunnels = ways.map(|(target, proxy)| (target.address, proxy.address)).collect();
    let fleet = Fleet::start_tunnelled(root, platform.list, tunnels);
    let route = Route {
        prefix: "/lohu930/",
        repeat: "safe",
        sticky: false,
        homes: &["a"],
        cold_per_s: 7.5,
    };
    assert_eq!(fleet.publish(0, &table(5, &route)), Some(200), "the table is accepted");
    assert!(fleet.wait_ready(Duration::from_secs(15)), "the entries are ready");
    let entry = fleet.callers(fleet.entries().start);
    let statuses: Arc<Mutex<BTreeMap<String, Option<u16>>>> = Arc::default();
    let mut callers = Vec::new();
    let (mut is_cut, mut is_losing) = (false, false);
    let started = Instant::now();
    for number in 0.. {
        let now = started.elapsed();
        if now >= END {
            break;
        }
        if trouble && !is_cut && now >= CUT_AT {
            is_cut = true;
            proxies.iter().for_each(Proxy::cut);
            record.line("the first entry is cut off from all targets".to_owned());
        }
        let loses = trouble && (LOSSES.0..LOSSES.1).contains(&now);
        if loses != is_losing {
            is_losing = loses;
            let manner = if loses { Manner::LosesAnswers } else { Manner::Sound };
            platform.targets.iter().take(LOSING_TARGETS).for_each(|t| t.set_manner(manner));
            record.line(format!("{LOSING_TARGETS} of 10 targets: {manner:?}"));
        }
        let statuses = Arc::clone(&statuses);
        callers.push(thread::spawn(move || {
            let id = format!("n-{number:04}");
            let headers = [
                ("Host", HOST),
                ("X-Hemlockspool-Attempt-Id", id.as_str()),
                ("X-Hemlockspool-Deadline-Ms", "2500"),
            ];
            let response = http::call(entry, "GET", "/lohu930/2f", &headers, b"", 2_600);
            statuses.lock().unwrap().insert(id, response.map(|response| response.status));
        }));
        sleep(INTERVAL);
    }
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    let mut ran_on: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for run in platform.runs.lock().unwrap().iter() {
        ran_on.entry(run.id.clone()).or_default().insert(run.target.clone());
    }
    let statuses = statuses.lock().unwrap();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for status in statuses.values() {
        let end = status.map_or("no answer".to_owned(), |status| status.to_string());
        *ends.entry(end).or_default() += 1;
    }
    let mut sizes: BTreeMap<usize, usize> = BTreeMap::new();
    ran_on.values().for_each(|targets| *sizes.entry(targets.len()).or_default() += 1);
    record.line(format!("{} requests sent, answers {ends:?}", statuses.len()));
    record.line(format!("requests by the number of targets that ran them: {sizes:?}"));
    for (id, targets) in ran_on.iter().filter(|(_, targets)| targets.len() > ATTEMPTS) {
        let status = statuses.get(id).copied().flatten();
        record.line(format!("{id}: answer {status:?}, ran on {targets:?}"));
    }
    let served = statuses.values().filter(|status| **status == Some(200)).count();
    assert!(served * 2 > statuses.len(), "most requests are served");
    let excess = ran_on.values().filter(|targets| targets.len() > ATTEMPTS).count();
    record.line(format!("{excess} requests ran on more than {ATTEMPTS} targets"));
    if excess > EXCUSED { Verdict::Broken } else { Verdict::Held }
}
