//! A backend that has just started crashes while it is cold, and starts again under its id, cold again.

use {
    review_stand_ins::{
        COLD, DEADLINE, DOMAINS, ENTRIES, Fleet, HOST, INSTANCE, INTENDED, KEY, LOAD, Message,
        NOT_RUN, REPLICAS, REQUEST_ID, Reader, Record, STAMP, call, cannot_run, list_record,
        response, route, run_case, serve_list, table, target_address, trouble, wait,
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
const TARGETS: usize = 7;
/// The service's `cold_start` and `cold_per_s`, as in the table.
const COLD_START: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 7.5;
/// The bounds `cold_over` and `cold_slack` of the site.
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
/// The time by which the platform's list lags.
const LAG: Duration = Duration::from_millis(800);
/// The requests within a second at which a cold backend crashes: well above what it tolerates.
const CRASH_AT: usize = 4 * COLD_PER_S as usize;
/// The time that a cold and a warm backend work on a request.
const COLD_WORK: Duration = Duration::from_millis(80);
const WARM_WORK: Duration = Duration::from_millis(15);
/// The times from the backend's first start to its crash, and for which it is down.
const CRASH_AFTER: Duration = Duration::from_millis(2_000);
const DOWN: Duration = Duration::from_millis(500);

/// A backend with the times of its starts and crashes.
struct Target {
    name: String,
    domain: &'static str,
    address: SocketAddr,
    running: AtomicU32,
    up: AtomicBool,
    starts: Mutex<Vec<Instant>>,
    arrivals: Mutex<Vec<(Instant, String)>>,
    /// The requests that may run at most once and that it has begun to run.
    payments: Mutex<Vec<String>>,
    streams: Mutex<Vec<TcpStream>>,
    /// Whether it started before traffic and so was never cold.
    old: bool,
}

impl Target {
    /// Returns the time for which it is cold at a moment.
    fn cold_left(&self, at: Instant) -> Duration {
        if self.old {
            return Duration::ZERO;
        }
        let starts = self.starts.lock().unwrap();
        let last = starts.iter().rev().find(|start| **start <= at);
        last.map_or(Duration::ZERO, |start| (*start + COLD_START).saturating_duration_since(at))
    }

    fn is_listed(&self, at: Instant) -> bool {
        self.old || self.starts.lock().unwrap().first().is_some_and(|start| *start <= at)
    }

    fn start(self: &Arc<Self>, record: &Record) {
        self.starts.lock().unwrap().push(Instant::now());
        self.up.store(true, Ordering::SeqCst);
        let listener = TcpListener::bind(self.address).expect("the port of the target");
        listener.set_nonblocking(true).unwrap();
        let (target, record) = (Arc::clone(self), record.clone());
        thread::spawn(move || {
            while target.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                target.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let (target, record) = (Arc::clone(&target), record.clone());
                thread::spawn(move || {
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(message)) = reader.head() {
                        if target.respond(&record, &message, &mut reader).is_err() {
                            break;
                        }
                    }
                });
            }
        });
    }

    fn crash(&self) {
        self.up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn respond(&self, record: &Record, message: &Message, reader: &mut Reader) -> io::Result<()> {
        let mut request = message.clone();
        reader.body(&mut request, false)?;
        if request.path() == "/health" {
            let cold = self.cold_left(Instant::now()).as_millis();
            let headers = [(INSTANCE, self.name.clone()), (COLD, cold.to_string())];
            return reader.stream().write_all(&response(200, &headers, b""));
        }
        let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
        if request.header(INTENDED).is_some_and(|intended| intended != self.name) {
            let headers = [(REQUEST_ID, id), (NOT_RUN, "1".to_owned())];
            return reader.stream().write_all(&response(421, &headers, b""));
        }
        let now = Instant::now();
        let cold = self.cold_left(now);
        if !self.old {
            record.line(&format!("{} runs {id}, cold for {} ms", self.name, cold.as_millis()));
            if request.method() == "POST" {
                self.payments.lock().unwrap().push(id.clone());
            }
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push((now, id.clone()));
            let is_recent = |at: &Instant| now.duration_since(*at) < Duration::from_secs(1);
            let recent = arrivals.iter().filter(|(at, _)| is_recent(at)).count();
            if !cold.is_zero() && recent > CRASH_AT && self.up.load(Ordering::SeqCst) {
                record.line(&format!("{} crashes under {recent} requests in a second", self.name));
                self.crash();
            }
        }
        let load = self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(if cold.is_zero() { WARM_WORK } else { COLD_WORK });
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
    let target = |index: usize, old: bool| {
        let address = target_address(index);
        Arc::new(Target {
            name: format!("i-{index:02}41{:05}", 17 * index),
            domain: DOMAINS[index % TARGETS % DOMAINS.len()].0,
            address,
            running: AtomicU32::new(0),
            up: AtomicBool::new(false),
            starts: Mutex::default(),
            arrivals: Mutex::default(),
            payments: Mutex::default(),
            streams: Mutex::default(),
            old,
        })
    };
    let mut targets: Vec<Arc<Target>> = (0..TARGETS).map(|index| target(index, true)).collect();
    targets.iter().for_each(|target| target.start(record));
    let new = target(TARGETS, false);
    targets.push(Arc::clone(&new));
    let reads: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (listed, read_log, log) = (targets.clone(), Arc::clone(&reads), record.clone());
    let watched = Arc::clone(&new);
    let list = serve_list(move || {
        let now = Instant::now();
        read_log.lock().unwrap().push(now);
        let at = now - LAG;
        if watched.is_listed(at) {
            log.line(&format!("the list shows cold_left {:?}", watched.cold_left(at)));
        }
        let listed = listed.iter().filter(|target| target.is_listed(at));
        listed
            .map(|target| {
                let cold = target.cold_left(at).as_millis() as u64;
                let record = list_record(SERVICE, target.address, target.domain, SLOTS, cold);
                (target.name.clone(), record)
            })
            .collect()
    });
    let fleet = Fleet::start(list, BTreeMap::new());
    let routes =
        [route("look", "/look/", "safe", SERVICE), route("pay", "/pay/", "never", SERVICE)];
    fleet.publish(0, &table(2, &routes, SERVICE, COLD_PER_S));
    fleet.wait_ready();
    record.line(&format!("{} entries and {REPLICAS} replicas are ready", ENTRIES.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<BTreeMap<u16, u32>>> = Arc::default();
    let served: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let sent: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let callers: Vec<_> = (0..3 * ENTRIES.len())
        .map(|caller| {
            let address = fleet.callers(caller % ENTRIES.len());
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            let (served, sent) = (Arc::clone(&served), Arc::clone(&sent));
            let (method, path, body): (_, _, &[u8]) = match caller % 2 {
                0 => ("GET", "/look/x", b""),
                _ => ("POST", "/pay/x", b"a payment"),
            };
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
                    sent.lock().unwrap().insert(id.clone(), Instant::now());
                    let result = call(address, method, path, &headers, body, limit);
                    let status = result.map_or(0, |message| message.status());
                    if status == 200 {
                        served.lock().unwrap().insert(id);
                    }
                    *counts.lock().unwrap().entry(status).or_default() += 1;
                    thread::sleep(Duration::from_millis(45));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    // The backend starts so that a read of the list shows it soon after its start.
    wait("the list is read", 5, || {
        let last = reads.lock().unwrap().last().copied();
        last.is_some_and(|at| at.elapsed() < Duration::from_millis(300))
    });
    let read_at = *reads.lock().unwrap().last().unwrap();
    let start_at = read_at + Duration::from_millis(1_000) - LAG - Duration::from_millis(50)
        + Duration::from_millis(1_000);
    thread::sleep(start_at.saturating_duration_since(Instant::now()));
    record.line(&format!("{} starts, cold for 3 s", new.name));
    new.start(record);
    if trouble() {
        thread::sleep(CRASH_AFTER);
        new.crash();
        record.line(&format!("{} crashes", new.name));
        thread::sleep(DOWN);
        record.line(&format!("{} starts again under its id, cold for 3 s", new.name));
        new.start(record);
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    record.line(&format!("answers by status: {:?}", counts.lock().unwrap()));
    let sent = sent.lock().unwrap();
    let arrivals = new.arrivals.lock().unwrap();
    let cold: Vec<(Instant, Instant)> = (arrivals.iter())
        .filter(|(at, _)| !new.cold_left(*at).is_zero())
        .filter_map(|(at, id)| Some((*sent.get(id)?, *at)))
        .collect();
    // Counted are requests that were sent and arrived inside the second.
    let most = cold.iter().map(|(first, _)| {
        let end = *first + Duration::from_secs(1);
        cold.iter().filter(|(sent_at, at)| sent_at >= first && *at < end).count()
    });
    let most = most.max().unwrap_or(0);
    let served = served.lock().unwrap();
    let payments = new.payments.lock().unwrap();
    let lost = payments.iter().filter(|id| !served.contains(*id)).count();
    record.line(&format!("{lost} payments that it had begun to run were not answered"));
    record.line(&format!(
        "at most {most} requests in a second while it was cold; the bound is {BOUND}"
    ));
    if arrivals.len() < 20 {
        cannot_run("the backend got hardly any request");
    }
    most as f64 > BOUND
}

fn main() {
    std::process::exit(run_case(case));
}
