//! No case (review/2 shows the same fault): one record of another writer, with bytes that can't be read, makes the whole list
//! unreadable, so that a target that leaves goes on getting requests.

use {
    hemlockspool_review_stand_ins_2::{
        common::{self, CallerOutcome, StandInPlatform},
        record::Record,
    },
    hemlockspool_serve::EndpointServer,
    hemlockspool_testkit::fleet::{FleetCluster, FleetPlan},
    poem::{Response, endpoint},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        process::ExitCode,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// `drain` of `gsdwa-spool`.
const DRAIN: Duration = Duration::from_millis(3_000);
/// How long the target goes on after the list has shown it as draining: "for `drain` and a little
/// longer".
const LEAVES_AFTER: Duration = Duration::from_millis(5_000);
/// A record of another writer: the name of its service has bytes that can't be read.
const FOREIGN_RECORD: &[u8] = b",\"w-1\":{\"service\":\"\x00\x1f\",\"addr\":\"\",\"state\":\"?\"}";
/// The interval of the clients' requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// How long a target runs a request.
const RUN_TIME_MS: u64 = 300;

/// Serves the stand-in's list, with the record of another writer while `is_foreign` is set.
async fn serve_list(list: SocketAddr, is_foreign: Arc<AtomicBool>) -> SocketAddr {
    let server = EndpointServer::bind(([127, 0, 0, 1], 0).into()).await.expect("a free port");
    let address = server.address();
    let client = common::client();
    let handler = endpoint::make(move |_| {
        let (client, is_foreign) = (client.clone(), Arc::clone(&is_foreign));
        async move {
            let page = client.get(format!("http://{list}/instances")).send().await;
            let mut page =
                page.expect("the stand-in answers").bytes().await.expect("whole").to_vec();
            if is_foreign.load(Ordering::SeqCst) {
                // The records are a table that ends before the next token: `...},"next_token":null}`.
                let text = String::from_utf8(page.clone()).expect("the stand-in's list is text");
                let end = text.find("},\"next_token\"").expect("a table of records");
                page.splice(end..end, FOREIGN_RECORD.iter().copied());
            }
            Ok::<_, poem::Error>(Response::builder().content_type("application/json").body(page))
        }
    });
    tokio::spawn(server.serve(handler, std::future::pending(), Duration::ZERO));
    address
}

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::open());
    let platform = StandInPlatform::start(&["a1", "a1", "a2", "a2", "b1", "b1"]).await;
    let is_foreign = Arc::new(AtomicBool::new(false));
    let plan = FleetPlan {
        replicas: vec!["a1", "a2", "b1", "a1", "b1"],
        entries: vec!["a1", "a2", "b1"],
        domains: BTreeMap::from([("a1", "a"), ("a2", "a"), ("b1", "b")]),
        list_address: serve_list(platform.list_address, Arc::clone(&is_foreign)).await,
        proxied: false,
        bridges: true,
        proxied_targets: Vec::new(),
    };
    let fleet = Arc::new(FleetCluster::start(plan).await);
    let client = common::client();
    common::publish_table(&client, &fleet, 0, 2).await;
    common::wait_all_ready(&client, &fleet).await;
    let targets = platform.targets.lock().expect("no holder panics").clone();
    for target in &targets {
        target.faults.lock().expect("no holder panics").extra_delay_ms = RUN_TIME_MS;
    }
    sleep(Duration::from_secs(2)).await;
    let leaving = Arc::clone(&targets[0]);
    record.line(&format!(
        "3 entries are ready; trouble: {trouble}; {} is going to leave",
        leaving.name
    ));
    // Clients at all entries, half of whose requests may run at most once.
    let outcomes: Arc<Mutex<BTreeMap<String, (Instant, CallerOutcome)>>> = Arc::default();
    let sending = Arc::new(AtomicBool::new(true));
    let (flag, results, callers_fleet, callers_client) =
        (Arc::clone(&sending), Arc::clone(&outcomes), Arc::clone(&fleet), client.clone());
    let callers = tokio::spawn(async move {
        let mut number = 0_u32;
        while flag.load(Ordering::SeqCst) {
            number += 1;
            let entry = callers_fleet.entries().nth(number as usize % 3).expect("three entries");
            let (address, client, results) =
                (callers_fleet.caller_address(entry), callers_client.clone(), Arc::clone(&results));
            tokio::spawn(async move {
                let id = format!("r-{number}");
                let path = if number / 3 % 2 == 0 { "/pay/x" } else { "/look/x" };
                let sent = Instant::now();
                let key = format!("{}", number % 40);
                let outcome = common::send_request(&client, address, path, &id, &key).await;
                results.lock().expect("no holder panics").insert(id, (sent, outcome));
            });
            sleep(REQUEST_INTERVAL).await;
        }
    });
    sleep(Duration::from_secs(2)).await;
    is_foreign.store(trouble, Ordering::SeqCst);
    record.line(&format!("the list has a record of another writer: {trouble}"));
    sleep(Duration::from_secs(3)).await;
    leaving.faults.lock().expect("no holder panics").draining = true;
    let shown = Instant::now();
    record.line(&format!("the list shows {} as draining", leaving.name));
    sleep_until(shown + LEAVES_AFTER).await;
    // The stand-in ends a target with a request of its own; another one is in its place a second later.
    let end = client.get(format!("http://{}{}", leaving.address, common::CRASH_MARK));
    let end = end.header("x-hemlockspool-target-instance", &leaving.name);
    let _ = end.header("x-hemlockspool-attempt-id", "end").send().await;
    record
        .line(&format!("{} ends; the list shows another one in its place 1 s later", leaving.name));
    sleep(Duration::from_secs(3)).await;
    sending.store(false, Ordering::SeqCst);
    let _ = callers.await;
    sleep(Duration::from_millis(2_500)).await;
    let outcomes = outcomes.lock().expect("no holder panics");
    let runs = platform.run_log.lock().expect("no holder panics");
    let (mut late, mut lost) = (0, 0);
    for run in runs.iter().filter(|run| run.target == leaving.name && run.started_at > shown) {
        let Some((sent, outcome)) = outcomes.get(&run.id) else { continue };
        let is_late = *sent > shown + DRAIN;
        let is_lost = !matches!(outcome, CallerOutcome::Answered { .. });
        late += usize::from(is_late);
        lost += usize::from(is_late && is_lost);
        let answer = format!("{outcome:?}").chars().take(70).collect::<String>();
        record.line(&format!(
            "{} {}: sent {:.2} s and run by {} {:.2} s after the list showed it as draining{}: {answer}",
            run.id,
            run.path,
            (*sent - shown).as_secs_f64(),
            run.target,
            (run.started_at - shown).as_secs_f64(),
            if is_late { " <- DRAIN" } else { "" },
        ));
    }
    let failed =
        outcomes.values().filter(|(_, outcome)| !matches!(outcome, CallerOutcome::Answered { .. }));
    record.line(&format!(
        "{} requests, {} without an answer of a target; {late} reached {} later than {DRAIN:?} after the list showed it as draining, {lost} of them were lost",
        outcomes.len(), failed.count(), leaving.name
    ));
    if late > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
