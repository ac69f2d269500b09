//! A start of all processes while the platform's list has one entry that can't be read.

use {
    crate::{
        Verdict,
        fleet::Fleet,
        http,
        platform::{HOST, Platform, Route, answer_body, table},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        path::Path,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// The bound of the pages: what is sent later after the machines are back must be served again.
const RECOVERY: Duration = Duration::from_secs(15);
const REQUESTS: usize = 200;
/// An entry from another writer. Its service is four bytes that aren't text.
const ODD_ENTRY: &[u8] = b"\"i-0d11ba5e\":{\"service\":\"\x00\x1f\x93\xfe\",\"addr\":\"127.0.0.1:9\",\
    \"failure_domain\":\"a1\",\"version\":\"v1\",\"slots\":5,\"state\":\"ready\",\"cold_left\":\"0ms\"}";

/// Sends requests to all entries in turn, and returns how many were served.
fn send(fleet: &Fleet, label: &str, record: &mut Record) -> usize {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let mut served = 0;
    for number in 0..REQUESTS {
        let entry = fleet.entries().nth(number % fleet.entries().len()).expect("an entry");
        let id = format!("{label}-{number:03}");
        let headers = [
            ("Host", HOST),
            ("X-Hemlockspool-Attempt-Id", id.as_str()),
            ("X-Hemlockspool-Affinity-Key", id.as_str()),
            ("X-Hemlockspool-Deadline-Ms", "2500"),
        ];
        let response = http::call(fleet.callers(entry), "GET", "/lohu930/2f", &headers, b"", 2_500);
        let is_served = response.as_ref().is_some_and(|response| {
            response.status == 200
                && response.complete
                && response.body == answer_body(&id).into_bytes()
        });
        served += usize::from(is_served);
        let end = response.map_or("no answer".to_owned(), |response| response.status.to_string());
        *ends.entry(end).or_default() += 1;
        sleep(Duration::from_millis(20));
    }
    record.line(format!("{label}: {REQUESTS} requests sent, {served} served; answers {ends:?}"));
    served
}

pub fn play(root: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let platform = Platform::start(&["a1", "a1", "a2", "a2", "b1", "b1"]);
    let mut fleet = Fleet::start(root, platform.list);
    let route = Route { prefix: "/lohu930/", repeat: "safe", sticky: true, homes: &[] };
    assert_eq!(fleet.publish(0, &table(5, &route)), Some(200), "the table is accepted");
    assert!(fleet.wait_ready(Duration::from_secs(15)), "the entries are ready");
    let before = send(&fleet, "before", record);
    assert!(before * 4 >= REQUESTS, "a quarter or more is served before the final fault");
    if trouble {
        platform.other_entries.lock().unwrap().push(ODD_ENTRY.to_vec());
        record.line("the list has one entry more, which can't be read".to_owned());
    }
    // The final fault, with and without the trouble.
    for index in 0..fleet.nodes.len() {
        fleet.kill(index);
    }
    record.line("all processes are killed".to_owned());
    sleep(Duration::from_millis(600));
    for index in 0..fleet.nodes.len() {
        fleet.start_node(index);
    }
    let back_at = Instant::now();
    record.line("all processes are back, with their disks".to_owned());
    sleep(RECOVERY.saturating_sub(back_at.elapsed()) + Duration::from_millis(200));
    let ready = fleet.entries().filter(|index| fleet.is_ready(*index)).count();
    record.line(format!("{ready} of {} entries say that they are ready", fleet.entries().len()));
    let after = send(&fleet, "after", record);
    record.line(format!("served before {before} of {REQUESTS}, after {after} of {REQUESTS}"));
    if after * 4 < REQUESTS { Verdict::Broken } else { Verdict::Held }
}
