//! An operator ends an evacuation at a replica that is frozen, gets no response, ends it at another one,
//! and evacuates the zone again. Then the frozen replica wakes.

use {
    review_stand_ins::{
        DEADLINE, DOMAINS, ENTRIES, Fleet, HOST, INSTANCE, INTENDED, KEY, LOAD, NOT_RUN, REPLICAS,
        REQUEST_ID, Record, SIGCONT, SIGSTOP, STAMP, call, cannot_run, list_record, response,
        route, run_case, serve, serve_list, table, trouble,
    },
    std::{
        collections::BTreeMap,
        io::Write,
        net::TcpListener,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "route-registry";
const SLOTS: u32 = 9;
const ZONE: &str = "jhb-north";
/// The replica that freezes, and those that the operator tries after it.
const FROZEN: usize = 5;
const OTHERS: [usize; 2] = [1, 2];
/// The length of the freeze: that of the site file's `node_freeze` on the core.
const FREEZE: Duration = Duration::from_secs(4);
/// The bounds `evacuate`, `skew_max` and `contact` of the site. While the core is unstable, `evacuate` is
/// stretched by `skew_max` at most.
const EVACUATE: Duration = Duration::from_secs(5);
const SKEW_MAX: Duration = Duration::from_secs(5);
const CONTACT: Duration = Duration::from_secs(3);

/// A request that reached a target of the zone.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

/// Sends an order as the operator does: to one replica after another until one answers.
fn order(fleet: &Fleet, record: &Record, begins: bool, replicas: &[usize]) -> Instant {
    let name = if begins { "POST" } else { "DELETE" };
    for replica in replicas {
        let status = fleet.evacuate(*replica, ZONE, begins);
        record.line(&format!(
            "operator: {name} /evacuations/{ZONE} at replica {replica}: {status:?}"
        ));
        if status == Some(200) {
            return Instant::now();
        }
    }
    cannot_run("an order was not acknowledged")
}

fn case(record: &Record) -> bool {
    let arrivals: Arrivals = Arc::default();
    let mut records = Vec::new();
    for index in 0..24 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let domain = DOMAINS[index % DOMAINS.len()].0;
        let name = format!("i-{index:02}{:05}", address.port());
        records.push((name.clone(), list_record(SERVICE, address, domain, SLOTS, 0)));
        let (running, log, arrivals) = (AtomicU32::new(0), record.clone(), Arc::clone(&arrivals));
        serve(listener, move |message, reader| {
            let mut request = message.clone();
            reader.body(&mut request, false)?;
            if request.path() == "/health" {
                let headers = [(INSTANCE, name.clone())];
                reader.stream().write_all(&response(200, &headers, b""))?;
                return Ok(true);
            }
            let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
            if request.header(INTENDED).is_some_and(|intended| intended != name) {
                let headers = [(REQUEST_ID, id), (NOT_RUN, "1".to_owned())];
                reader.stream().write_all(&response(421, &headers, b""))?;
                return Ok(true);
            }
            if domain == ZONE {
                arrivals.lock().unwrap().push((Instant::now(), id.clone()));
                log.line(&format!("target {name} in {ZONE} runs {id}"));
            }
            let load = running.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(20));
            running.fetch_sub(1, Ordering::SeqCst);
            let body = format!("the answer to {id}");
            let headers = [
                (REQUEST_ID, id),
                (STAMP, "3e1b.07".to_owned()),
                (LOAD, format!("{load},0,{SLOTS}")),
            ];
            reader.stream().write_all(&response(200, &headers, body.as_bytes()))?;
            Ok(true)
        });
    }
    let list = serve_list(move || records.clone());
    let fleet = Fleet::start(list, BTreeMap::new());
    fleet.publish(0, &table(2, &[route("look", "/look/", "safe", SERVICE)], SERVICE, 19.0));
    fleet.wait_ready();
    record.line(&format!("{} entries and {REPLICAS} replicas are ready", ENTRIES.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<BTreeMap<u16, u32>>> = Arc::default();
    let callers: Vec<_> = (0..ENTRIES.len())
        .map(|caller| {
            let address = fleet.callers(caller);
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let headers = [
                        ("host", HOST.to_owned()),
                        (REQUEST_ID, format!("{caller:04x}{number:012x}")),
                        (KEY, format!("{}", caller * 10_000 + number)),
                        (DEADLINE, "2000".to_owned()),
                    ];
                    let limit = Duration::from_secs(2);
                    let result = call(address, "GET", "/look/x", &headers, b"", limit);
                    let status = result.map_or(0, |message| message.status());
                    *counts.lock().unwrap().entry(status).or_default() += 1;
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(3));
    if arrivals.lock().unwrap().is_empty() {
        cannot_run("the zone gets no requests before its evacuation");
    }
    let order_of = |first: usize| [first, OTHERS[0], OTHERS[1]];
    order(&fleet, record, true, &OTHERS);
    thread::sleep(EVACUATE);
    let frozen_at = Instant::now();
    if trouble() {
        record.line(&format!("replica {FROZEN} freezes"));
        fleet.signal(FROZEN, SIGSTOP);
        thread::sleep(Duration::from_millis(200));
    }
    order(&fleet, record, false, &order_of(FROZEN));
    thread::sleep(Duration::from_secs(1));
    let acknowledged_at = order(&fleet, record, true, &OTHERS);
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if trouble() {
        fleet.signal(FROZEN, SIGCONT);
        record.line(&format!("replica {FROZEN} wakes"));
    }
    // From here on every machine is in touch again, and the evacuation is in force.
    let judged_from = (acknowledged_at + EVACUATE + SKEW_MAX).max(Instant::now() + CONTACT);
    let ends_at = judged_from + Duration::from_secs(5);
    thread::sleep(judged_from.saturating_duration_since(Instant::now()));
    record.line("from here on, no request may reach the zone");
    thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|(at, _)| *at > judged_from).count();
    record.line(&format!("answers by status: {:?}", counts.lock().unwrap()));
    record
        .line(&format!("{late} requests reached the evacuated zone, of {} in all", arrivals.len()));
    late > 0
}

fn main() {
    std::process::exit(run_case(case));
}
