//! A request ends each backend that begins to run it. Its caller sends it several times at once, and again
//! some seconds later.

use {
    review_stand_ins::{
        DEADLINE, DOMAINS, ENTRIES, Fleet, HOST, INSTANCE, INTENDED, KEY, LOAD, Message, NOT_RUN,
        REPLICAS, REQUEST_ID, Reader, Record, STAMP, call, cannot_run, list_record, response,
        route, run_case, serve_list, table, target_address, trouble,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        io::{self, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
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
const TARGETS: usize = 24;
const DEADLY: &str = "/pay/deadly";
/// The time from the arrival of the request to the end of its backend, which differs by up to 20 ms
/// between backends, and until that is back.
const RUNS_FOR: Duration = Duration::from_millis(80);
const DOWN: Duration = Duration::from_secs(3);
/// The number of times that the caller sends it at once, beside the first (`retry_abuse`, x = 3).
const REPEATS: usize = 3;
/// The pause between two rounds of the caller, their number, and that of the rounds with repeats, which
/// take less than the 5.5 s of the site file's `retry_abuse`.
const PAUSE: Duration = Duration::from_secs(4);
const ROUNDS: usize = 4;
const ROUNDS_AT_ONCE: usize = 2;
/// The bound `contact` of the site.
const CONTACT: Duration = Duration::from_secs(3);

/// What all targets record.
#[derive(Default)]
struct Seen {
    /// The arrivals of the deadly request.
    arrivals: Mutex<Vec<Instant>>,
    ends: Mutex<Vec<Instant>>,
    /// The other requests that may run at most once and that a target began to run.
    payments: Mutex<Vec<String>>,
}

struct Target {
    name: String,
    address: SocketAddr,
    /// What its runs of the deadly request take in addition, in milliseconds.
    extra_ms: u64,
    running: AtomicU32,
    up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    seen: Arc<Seen>,
    record: Record,
}

impl Target {
    fn start(self: &Arc<Self>) {
        self.up.store(true, Ordering::SeqCst);
        let listener = TcpListener::bind(self.address).expect("the port of the target");
        listener.set_nonblocking(true).unwrap();
        let target = Arc::clone(self);
        thread::spawn(move || {
            while target.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                target.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let target = Arc::clone(&target);
                thread::spawn(move || {
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(message)) = reader.head() {
                        if target.respond(&message, &mut reader).is_err() {
                            break;
                        }
                    }
                });
            }
        });
    }

    /// Ends the target; it is back after [`DOWN`].
    fn crash(self: &Arc<Self>) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.seen.ends.lock().unwrap().push(Instant::now());
        self.record.line(&format!("{} has ended", self.name));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let target = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(DOWN);
            target.start();
        });
    }

    fn respond(self: &Arc<Self>, message: &Message, reader: &mut Reader) -> io::Result<()> {
        let mut request = message.clone();
        reader.body(&mut request, false)?;
        if request.path() == "/health" {
            let headers = [(INSTANCE, self.name.clone())];
            return reader.stream().write_all(&response(200, &headers, b""));
        }
        let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
        if request.header(INTENDED).is_some_and(|intended| intended != self.name) {
            let headers = [(REQUEST_ID, id), (NOT_RUN, "1".to_owned())];
            return reader.stream().write_all(&response(421, &headers, b""));
        }
        let load = self.running.fetch_add(1, Ordering::SeqCst);
        if request.path() == DEADLY {
            self.seen.arrivals.lock().unwrap().push(Instant::now());
            self.record.line(&format!("{} begins to run {id} for {DEADLY}", self.name));
            thread::sleep(RUNS_FOR + Duration::from_millis(self.extra_ms));
            if trouble() {
                self.crash();
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        } else {
            if request.method() == "POST" {
                self.seen.payments.lock().unwrap().push(id.clone());
            }
            thread::sleep(Duration::from_millis(40));
            if !self.up.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let headers = [
            (REQUEST_ID, id.clone()),
            (STAMP, "3e1b.07".to_owned()),
            (LOAD, format!("{load},0,{SLOTS}")),
        ];
        reader.stream().write_all(&response(200, &headers, format!("answer to {id}").as_bytes()))
    }
}

fn case(record: &Record) -> bool {
    let seen: Arc<Seen> = Arc::default();
    let mut targets = Vec::new();
    let mut records = Vec::new();
    for index in 0..TARGETS {
        let address = target_address(index);
        let name = format!("i-{index:02}41{:05}", 17 * index);
        let domain = DOMAINS[index % DOMAINS.len()].0;
        records.push((name.clone(), list_record(SERVICE, address, domain, SLOTS, 0)));
        targets.push(Arc::new(Target {
            name,
            address,
            extra_ms: index as u64 * 5 % 21,
            running: AtomicU32::new(0),
            up: AtomicBool::new(false),
            streams: Mutex::default(),
            seen: Arc::clone(&seen),
            record: record.clone(),
        }));
    }
    targets.iter().for_each(Target::start);
    let list = serve_list(move || records.clone());
    let fleet = Fleet::start(list, BTreeMap::new());
    fleet.publish(0, &table(2, &[route("pay", "/pay/", "never", SERVICE)], SERVICE, 19.0));
    fleet.wait_ready();
    record.line(&format!("{} entries and {REPLICAS} replicas are ready", ENTRIES.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let served: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let callers: Vec<_> = (0..2 * ENTRIES.len())
        .map(|caller| {
            let address = fleet.callers(caller % ENTRIES.len());
            let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{caller:04x}{number:012x}");
                    let headers = [
                        ("host", HOST.to_owned()),
                        (REQUEST_ID, id.clone()),
                        (KEY, format!("{}", caller * 10_000 + number)),
                        (DEADLINE, "2000".to_owned()),
                    ];
                    let limit = Duration::from_secs(2);
                    let result = call(address, "POST", "/pay/x", &headers, b"a payment", limit);
                    if result.is_ok_and(|message| message.status() == 200) {
                        served.lock().unwrap().insert(id);
                    }
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    for round in 0..ROUNDS {
        let repeats = if round < ROUNDS_AT_ONCE { REPEATS } else { 0 };
        record.line(&format!("the caller sends {DEADLY} {} times at once", 1 + repeats));
        let sends: Vec<_> = (0..=repeats)
            .map(|repeat| {
                let address = fleet.callers((round + 2 * repeat) % ENTRIES.len());
                let record = record.clone();
                thread::spawn(move || {
                    let id = format!("dead{round:04x}{repeat:08x}");
                    let headers = [
                        ("host", HOST.to_owned()),
                        (REQUEST_ID, id.clone()),
                        (KEY, "17".to_owned()),
                        (DEADLINE, "2000".to_owned()),
                    ];
                    let limit = Duration::from_secs(2);
                    let result = call(address, "POST", DEADLY, &headers, b"the same body", limit);
                    let status = result.map_or(0, |message| message.status());
                    record.line(&format!("the caller got {status} for {id}"));
                })
            })
            .collect();
        sends.into_iter().for_each(|send| send.join().unwrap());
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let served = served.lock().unwrap();
    let payments = seen.payments.lock().unwrap();
    let lost = payments.iter().filter(|id| !served.contains(*id)).count();
    let (arrivals, ends) = (seen.arrivals.lock().unwrap(), seen.ends.lock().unwrap());
    record.line(&format!("{} payments ran; {lost} of them were not answered", payments.len()));
    if served.len() < 500 {
        cannot_run("hardly any request was served");
    }
    let Some(third) = ends.get(2).copied() else {
        record.line(&format!("{} backends have ended", ends.len()));
        return false;
    };
    let late = arrivals.iter().filter(|at| **at > third + CONTACT).count();
    record.line(&format!(
        "{} backends have ended; {late} arrivals later than contact after the third end; the bound is 3",
        ends.len()
    ));
    late > 3
}

fn main() {
    std::process::exit(run_case(case));
}
