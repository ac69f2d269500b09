//! An order about an evacuation that a partition holds up, while later ones are acknowledged.

use {
    crate::{
        Verdict,
        fleet::Fleet,
        http::{self, Connection},
        platform::{HOST, Platform, Route, table},
        proxy::HoldingProxy,
        record::Record,
    },
    std::{
        io::Write,
        path::Path,
        thread::sleep,
        time::{Duration, Instant},
    },
};

const ZONE: &str = "a1";
/// The time for which the partition holds bytes up: less than `ack`, for which an order may be sent.
const HELD: Duration = Duration::from_millis(3_000);
/// The time for which operators wait for a response, by the pages.
const RESPONSE_WAIT: Duration = Duration::from_secs(1);
/// The bound of the pages for evacuations.
const EVACUATE: Duration = Duration::from_secs(5);
const REQUESTS: usize = 200;

/// Sends an order to one replica after another, without the first one, until it is acknowledged.
fn order(fleet: &Fleet, method: &str, record: &mut Record) {
    let path = format!("/v1/evacuations/{ZONE}");
    let until = Instant::now() + Duration::from_secs(10);
    for index in fleet.replicas().skip(1).cycle() {
        assert!(Instant::now() < until, "the order is acknowledged");
        let response = http::call(fleet.operators(index), method, &path, &[], b"", 1_000);
        let status = response.map(|response| response.status);
        record
            .line(format!("operator: {method} {path} at {}: {status:?}", fleet.nodes[index].name));
        if status == Some(200) {
            return;
        }
        sleep(Duration::from_millis(50));
    }
}

/// Sends requests to all entries in turn, and returns how many ran in the zone and how many in all.
fn send(platform: &Platform, fleet: &Fleet) -> (usize, usize) {
    let before = platform.runs.lock().unwrap().len();
    for number in 0..REQUESTS {
        let entry = fleet.entries().nth(number % fleet.entries().len()).expect("an entry");
        let id = format!("n-{before}-{number:03}");
        let headers = [
            ("Host", HOST),
            ("X-Hemlockspool-Attempt-Id", id.as_str()),
            ("X-Hemlockspool-Affinity-Key", id.as_str()),
            ("X-Hemlockspool-Deadline-Ms", "2500"),
        ];
        http::call(fleet.callers(entry), "GET", "/lohu930/2f", &headers, b"", 2_500);
        sleep(Duration::from_millis(10));
    }
    let runs = platform.runs.lock().unwrap();
    let targets = platform.targets.iter().filter(|target| target.domain == ZONE);
    let names: Vec<&str> = targets.map(|target| target.name.as_str()).collect();
    let in_zone = runs[before..].iter().filter(|run| names.contains(&run.target.as_str()));
    (in_zone.count(), runs.len() - before)
}

pub fn play(root: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let platform = Platform::start(&["a1", "a1", "a2", "a2", "b1", "b1"]);
    let fleet = Fleet::start(root, platform.list);
    let route =
        Route { prefix: "/lohu930/", repeat: "safe", sticky: true, homes: &[], cold_per_s: 7.5 };
    assert_eq!(fleet.publish(0, &table(5, &route)), Some(200), "the table is accepted");
    assert!(fleet.wait_ready(Duration::from_secs(15)), "the entries are ready");
    let (in_zone, all) = send(&platform, &fleet);
    record.line(format!("before: {in_zone} of {all} requests ran in {ZONE}"));
    assert!(in_zone > 0, "the zone is used");
    order(&fleet, "POST", record);
    // The operator takes the evacuation back, first at a replica behind a partition.
    let way = HoldingProxy::start(fleet.operators(0));
    let mut connection = Connection::open(way.address).expect("the operator's connection is made");
    if trouble {
        way.hold();
        record.line(format!("a partition between the operator and {}", fleet.nodes[0].name));
    }
    let held_at = Instant::now();
    let text =
        format!("DELETE /v1/evacuations/{ZONE} HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n");
    connection.stream.write_all(text.as_bytes()).expect("the order is sent");
    connection.stream.set_read_timeout(Some(RESPONSE_WAIT)).expect("a time limit");
    let status = connection.read_response().map(|response| response.status);
    record.line(format!("operator: DELETE at {}: {status:?}", fleet.nodes[0].name));
    if status != Some(200) {
        order(&fleet, "DELETE", record);
    }
    // It evacuates the zone once more. This is the last order.
    order(&fleet, "POST", record);
    let acknowledged_at = Instant::now();
    sleep(HELD.saturating_sub(held_at.elapsed()));
    way.release();
    record.line("the partition ends".to_owned());
    let status = connection.read_response().map(|response| response.status);
    record.line(format!("{} answers the held up order: {status:?}", fleet.nodes[0].name));
    sleep((EVACUATE + Duration::from_millis(200)).saturating_sub(acknowledged_at.elapsed()));
    let (in_zone, all) = send(&platform, &fleet);
    record.line(format!(
        "from {:?} after the last acknowledged order, to evacuate {ZONE}: {in_zone} of {all} requests \
         ran in {ZONE}",
        EVACUATE + Duration::from_millis(200)
    ));
    if in_zone > 0 { Verdict::Broken } else { Verdict::Held }
}
