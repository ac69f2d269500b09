//! The platform's list holds a record of another writer with bytes that can't be read. Then all
//! processes of the system are killed and started again.

use {
    review_stand_ins::{
        DEADLINE, DOMAINS, ENTRIES, Fleet, HOST, INSTANCE, INTENDED, KEY, LOAD, NOT_RUN, REPLICAS,
        REQUEST_ID, Record, STAMP, call, list_record, response, route, run_case, serve, table,
        trouble,
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

const SIGKILL: i32 = 9;
const SERVICE: &str = "route-registry";
const SLOTS: u32 = 9;
/// The record of another writer: its version is a hash in raw bytes. All else is as in other records.
const FOREIGN_NAME: &str = "i-foreign";
const FOREIGN_VERSION: [u8; 8] = [0xc3, 0x9f, 0x04, 0x71, 0x1b, 0xe2, 0x00, 0x58];
/// The time for which the processes are down: that of the site file's `kill_all`.
const DOWN: Duration = Duration::from_millis(680);
/// The bound `recovery` of the site.
const RECOVERY: Duration = Duration::from_secs(15);
const JUDGED_FOR: Duration = Duration::from_secs(6);

/// The answers of one part of the run, by status; 0 for none.
type Counts = BTreeMap<u16, u32>;

fn served_share(counts: &Counts) -> f64 {
    let sent: u32 = counts.values().sum();
    f64::from(counts.get(&200).copied().unwrap_or(0)) / f64::from(sent.max(1))
}

fn case(record: &Record) -> bool {
    let mut records: Vec<(String, Vec<u8>)> = Vec::new();
    for index in 0..24 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let domain = DOMAINS[index % DOMAINS.len()].0;
        let name = format!("i-{index:02}{:05}", address.port());
        let item = list_record(SERVICE, address, domain, SLOTS, 0);
        records.push((name.clone(), item.into_bytes()));
        let running = AtomicU32::new(0);
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
    let sound = String::from_utf8(records[0].1.clone()).unwrap();
    let (begin, end) = sound.split_once("v1").unwrap();
    let foreign = [begin.as_bytes(), &FOREIGN_VERSION, end.as_bytes()].concat();
    let has_foreign = Arc::new(AtomicBool::new(false));
    let reads = Arc::new(AtomicU32::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let list = listener.local_addr().unwrap();
    let (shown, counted) = (Arc::clone(&has_foreign), Arc::clone(&reads));
    serve(listener, move |_, reader| {
        counted.fetch_add(1, Ordering::SeqCst);
        let mut items = records.clone();
        if shown.load(Ordering::SeqCst) {
            items.push((FOREIGN_NAME.to_owned(), foreign.clone()));
        }
        let items: Vec<Vec<u8>> = (items.iter())
            .map(|(name, item)| [format!("\"{name}\":").as_bytes(), item].concat())
            .collect();
        let items = items.join(&b","[..]);
        let body = [b"{\"instances\":{", items.as_slice(), b"},\"next_token\":null}"];
        let headers = [("content-type", "application/json".to_owned())];
        reader.stream().write_all(&response(200, &headers, &body.concat()))?;
        Ok(true)
    });

    let fleet = Fleet::start(list, BTreeMap::new());
    let routes = [route("look", "/look/", "safe", SERVICE)];
    fleet.publish(0, &table(2, &routes, SERVICE, 19.0));
    fleet.wait_ready();
    record.line(&format!("{} entries and {REPLICAS} replicas are ready", ENTRIES.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<Counts>> = Arc::default();
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
    let take_counts = |part: &str| {
        let taken = std::mem::take(&mut *counts.lock().unwrap());
        record.line(&format!("{part}: answers by status (0: none): {taken:?}"));
        taken
    };

    thread::sleep(Duration::from_secs(3));
    if trouble() {
        has_foreign.store(true, Ordering::SeqCst);
        record.line(&format!(
            "the list holds {FOREIGN_NAME}, like the first record but with the version {FOREIGN_VERSION:02x?}"
        ));
    }
    thread::sleep(Duration::from_secs(5));
    let before = take_counts("before the final fault");
    // A final fault comes right after a change was acknowledged.
    fleet.publish(2, &table(4, &routes, SERVICE, 19.0));
    record.line("operator: the table 4 is acknowledged");
    for index in 0..REPLICAS + ENTRIES.len() {
        fleet.signal(index, SIGKILL);
    }
    record.line("all processes are killed");
    thread::sleep(DOWN);
    for index in 0..REPLICAS + ENTRIES.len() {
        fleet.start_node(index, false);
    }
    let back = Instant::now();
    record.line("all processes are started");
    thread::sleep(RECOVERY.saturating_sub(back.elapsed()));
    take_counts("until `recovery` is over");
    reads.store(0, Ordering::SeqCst);
    thread::sleep(JUDGED_FOR);
    let after = take_counts("later");
    let ready = (0..ENTRIES.len()).filter(|entry| fleet.is_ready(*entry)).count();
    record.line(&format!("{ready} of {} entries are ready", ENTRIES.len()));
    let reads = reads.load(Ordering::SeqCst);
    record.line(&format!("the list was read {reads} times in this part"));
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let unread: Vec<String> = (0..REPLICAS + ENTRIES.len())
        .filter(|index| fleet.log(*index).contains("list_unread"))
        .map(|index| fleet.name(index))
        .collect();
    record.line(&format!("processes that log that the list can't be read: {}", unread.join(", ")));
    let (before, after) = (served_share(&before), served_share(&after));
    record.line(&format!("served: {before:.2} before the final fault, {after:.2} after `recovery`"));
    before >= 0.25 && after < 0.25
}

fn main() {
    std::process::exit(run_case(case));
}
