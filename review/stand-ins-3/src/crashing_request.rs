//! A request that crashes each backend that begins to run it, and is sent several times at once.

use {
    crate::{
        Verdict,
        fleet::Fleet,
        http::{self, Connection},
        platform::{
            HOST, Platform, Route, SERVICE, Slots, Work, answer_body, full_response, table,
        },
        record::Record,
    },
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet},
        io::{ErrorKind, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// The values of the site.
const CONTACT: Duration = Duration::from_secs(3);
const COLD_START: Duration = Duration::from_secs(3);
const BACKENDS: usize = 24;
const ENTRIES: &[&str] = &["a1", "a1", "a1", "a2", "a2", "a2", "b1", "b1", "b1"];
const WORK: Work = Work { slots: 9, queue: 27, time: Duration::from_millis(40) };
const CRASHING: &str = "/consent/crashing";
/// The arrivals later than `contact` after the third crash that are allowed.
const ALLOWED: usize = 3;
/// The time from an arrival of the request to the crash, which is up to 20 ms longer at some
/// backends, and the time until the backend is back.
const RUN_TIME: Duration = Duration::from_millis(80);
const DOWN: Duration = Duration::from_secs(3);
/// The times that the request is sent at once, and the time from one round to the next.
const ROUNDS: [usize; 4] = [4, 4, 1, 1];
const PAUSE: Duration = Duration::from_secs(4);

/// What all backends record, with the time since the start.
#[derive(Default)]
struct Seen {
    arrivals: Mutex<Vec<(Instant, String)>>,
    crashes: Mutex<Vec<(Instant, String)>>,
    /// The requests of other callers that a backend began to run.
    others: Mutex<Vec<String>>,
}

struct Backend {
    id: String,
    domain: &'static str,
    address: SocketAddr,
    run_time: Duration,
    slots: Slots,
    is_up: AtomicBool,
    /// The time of its last start during traffic.
    started: Mutex<Option<Instant>>,
    connections: Mutex<Vec<TcpStream>>,
    seen: Arc<Seen>,
    /// Whether the request crashes it.
    trouble: bool,
}

impl Backend {
    fn create(index: usize, seen: &Arc<Seen>, trouble: bool) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        Arc::new(Self {
            id: format!("i-{:08x}", u32::from(address.port())),
            domain: ["a1", "a2", "b1"][index % 3],
            address,
            run_time: RUN_TIME + Duration::from_millis(index as u64 * 5 % 21),
            slots: Slots::new(WORK),
            is_up: AtomicBool::new(false),
            started: Mutex::default(),
            connections: Mutex::default(),
            seen: Arc::clone(seen),
            trouble,
        })
    }

    fn start(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("its address is free");
        listener.set_nonblocking(true).expect("a socket that doesn't block");
        self.is_up.store(true, Ordering::SeqCst);
        let backend = Arc::clone(self);
        thread::spawn(move || {
            while backend.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let handle = stream.try_clone().expect("a handle");
                        backend.connections.lock().unwrap().push(handle);
                        let backend = Arc::clone(&backend);
                        thread::spawn(move || {
                            let mut connection = Connection::new(stream);
                            while backend.serve(&mut connection).is_some() {}
                        });
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
    }

    fn cold_left(&self) -> Duration {
        let started = *self.started.lock().unwrap();
        started.map_or(Duration::ZERO, |at| COLD_START.saturating_sub(at.elapsed()))
    }

    /// Ends with all connections and what runs on them, and starts again later.
    fn crash(self: &Arc<Self>) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.seen.crashes.lock().unwrap().push((Instant::now(), self.id.clone()));
        for connection in self.connections.lock().unwrap().drain(..) {
            http::reset(&connection);
            let _ = connection.shutdown(Shutdown::Both);
        }
        let backend = Arc::clone(self);
        thread::spawn(move || {
            sleep(DOWN);
            *backend.started.lock().unwrap() = Some(Instant::now());
            backend.start();
        });
    }

    /// Serves one request; returns none if the connection is to be closed.
    fn serve(self: &Arc<Self>, connection: &mut Connection) -> Option<()> {
        let head = connection.read_head().ok()??;
        let path = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
        if path == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Hemlockspool-Instance-Id: {}\r\n\
                 X-Hemlockspool-Cold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.cold_left().as_millis()
            );
            return connection.stream.write_all(text.as_bytes()).ok();
        }
        let id = head.get("x-hemlockspool-attempt-id").unwrap_or_default().to_owned();
        let length = head.get("content-length").and_then(|text| text.parse().ok());
        connection.read_exact(length.unwrap_or(0)).ok()?;
        if path == CRASHING {
            self.seen.arrivals.lock().unwrap().push((Instant::now(), id.clone()));
        }
        if !self.slots.take() {
            return connection.stream.write_all(full_response(&id).as_bytes()).ok();
        }
        if path == CRASHING {
            sleep(self.run_time);
            if self.trouble {
                self.crash();
                self.slots.give_back();
                return None;
            }
        } else {
            self.seen.others.lock().unwrap().push(id.clone());
            sleep(WORK.time * if self.cold_left().is_zero() { 1 } else { 2 });
        }
        self.slots.give_back();
        let text = answer_body(&id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Hemlockspool-Attempt-Id: {id}\r\n\
             X-Hemlockspool-Response-Stamp: 3e1b.{}\r\nX-Hemlockspool-Server-Load: {}\r\n\
             Content-Length: {}\r\n\r\n{text}",
            self.id,
            self.slots.load(),
            text.len()
        );
        connection.stream.write_all(text.as_bytes()).ok()
    }
}

/// Sends a POST and returns the status of its answer.
fn send(entry: SocketAddr, path: &str, id: &str, caller: &str) -> Option<u16> {
    let headers = [
        ("Host", HOST),
        ("X-Hemlockspool-Attempt-Id", id),
        ("X-Hemlockspool-Affinity-Key", caller),
        ("X-Hemlockspool-Deadline-Ms", "2000"),
    ];
    http::call(entry, "POST", path, &headers, b"the same body", 2_200).map(|answer| answer.status)
}

pub fn play(root: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let platform = Platform::start(&[]);
    let seen: Arc<Seen> = Arc::default();
    let backends: Vec<Arc<Backend>> =
        (0..BACKENDS).map(|index| Backend::create(index, &seen, trouble)).collect();
    backends.iter().for_each(Backend::start);
    // A backend that has crashed remains on the list.
    *platform.other_entries.lock().unwrap() = Some(Box::new(move || {
        let entries = backends.iter().map(|backend| {
            let cold_left = format!("{}ms", backend.cold_left().as_millis());
            let fields = json!({
                "service": SERVICE, "addr": backend.address, "failure_domain": backend.domain,
                "version": "v1", "slots": WORK.slots, "state": "ready", "cold_left": cold_left,
            });
            (backend.id.clone(), fields)
        });
        entries.collect()
    }));
    let fleet = Fleet::start_with(root, platform.list, ENTRIES, Vec::new());
    let route =
        Route { prefix: "/consent/", repeat: "never", sticky: false, homes: &[], cold_per_s: 19.0 };
    assert_eq!(fleet.publish(0, &table(5, &route)), Some(200), "the table is accepted");
    assert!(fleet.wait_ready(Duration::from_secs(15)), "the entries are ready");
    let entries: Vec<SocketAddr> = fleet.entries().map(|index| fleet.callers(index)).collect();

    let stop = Arc::new(AtomicBool::new(false));
    let served: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut callers = Vec::new();
    for caller in 0..2 * entries.len() {
        let entry = entries[caller % entries.len()];
        let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
        callers.push(thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("c{caller:02}-{number:04}");
                if send(entry, "/consent/x", &id, &id) == Some(200) {
                    served.lock().unwrap().insert(id);
                }
                sleep(Duration::from_millis(30));
            }
        }));
    }
    sleep(Duration::from_secs(2));
    let started = Instant::now();
    for (round, count) in ROUNDS.into_iter().enumerate() {
        sleep((PAUSE * round as u32).saturating_sub(started.elapsed()));
        record.line(format!("round {round}: the caller sends {CRASHING} {count} times at once"));
        let mut sends = Vec::new();
        for copy in 0..count {
            let entry = entries[(round + 2 * copy) % entries.len()];
            sends.push(thread::spawn(move || {
                let id = format!("r{round}-{copy}");
                let status = send(entry, CRASHING, &id, "caller-17");
                (id, status)
            }));
        }
        for sent in sends {
            let (id, status) = sent.join().expect("a caller ends");
            record.line(format!("{id}: answer {status:?}"));
        }
    }
    sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    let (arrivals, crashes) = (seen.arrivals.lock().unwrap(), seen.crashes.lock().unwrap());
    let mut events: BTreeMap<Duration, String> = BTreeMap::new();
    for (at, id) in arrivals.iter() {
        events.insert(at.duration_since(started), format!("{id} arrives at a backend"));
    }
    for (at, id) in crashes.iter() {
        events.insert(at.duration_since(started), format!("backend {id} crashes"));
    }
    for (at, event) in events {
        record.line(format!("{:6.3} s after the first round began: {event}", at.as_secs_f64()));
    }
    let served = served.lock().unwrap();
    assert!(served.len() > 500, "most requests are served");
    let others = seen.others.lock().unwrap();
    let lost = others.iter().filter(|id| !served.contains(*id)).count();
    record.line(format!("{} other requests ran, {lost} of them without an answer", others.len()));
    let late = crashes
        .get(2)
        .map_or(0, |(third, _)| arrivals.iter().filter(|(at, _)| *at > *third + CONTACT).count());
    record.line(format!(
        "{} crashes; {late} arrivals later than contact after the third, {ALLOWED} are allowed",
        crashes.len()
    ));
    if late > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
