//! A backend that joins, crashes while it is cold, and starts again under its id.

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
        collections::BTreeMap,
        io::{ErrorKind, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        path::Path,
        sync::{Arc, Mutex},
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// The values of the site.
const COLD_PER_S: f64 = 19.0;
const COLD_START: Duration = Duration::from_secs(3);
const LIST_LAG: Duration = Duration::from_millis(800);
const WORK: Work = Work { slots: 9, queue: 27, time: Duration::from_millis(150) };
/// `cold_per_s` x `cold_over` + `cold_slack`.
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
/// The requests in one second under which the cold backend crashes again: twice `cold_per_s`.
const CRASHING: usize = 38;
/// The time between two requests: 296 a second, 37 for each of eight backends.
const INTERVAL: Duration = Duration::from_micros(3_378);
const JOINS_AT: Duration = Duration::from_secs(2);
const CRASHES_AT: Duration = Duration::from_millis(4_400);
const DOWN: Duration = Duration::from_millis(500);
const END: Duration = Duration::from_secs(10);
/// As many entries as the site has.
const ENTRIES: &[&str] = &["a1", "a1", "a1", "a2", "a2", "a2", "b1", "b1", "b1"];

/// A request that reached the backend.
#[derive(Clone, Debug)]
struct Arrival {
    id: String,
    at: Instant,
    is_cold: bool,
}

#[derive(Default)]
struct BackendState {
    is_up: bool,
    /// The times of its starts.
    starts: Vec<Instant>,
    connections: Vec<TcpStream>,
    arrivals: Vec<Arrival>,
    /// The times at which it crashed under its load.
    overloads: Vec<Instant>,
}

impl BackendState {
    fn cold_left(&self, at: Instant) -> Option<Duration> {
        let start = self.starts.iter().rev().find(|start| **start <= at)?;
        Some(COLD_START.saturating_sub(at.duration_since(*start)))
    }

    /// Ends with all connections and what runs on them.
    fn crash(&mut self) {
        self.is_up = false;
        for connection in self.connections.drain(..) {
            http::reset(&connection);
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// A backend under one id and at one address, however often it starts.
struct Backend {
    id: String,
    address: SocketAddr,
    state: Mutex<BackendState>,
    slots: Slots,
}

impl Backend {
    fn create() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let id = format!("i-{:08x}", u32::from(address.port()));
        Arc::new(Self { id, address, state: Mutex::default(), slots: Slots::new(WORK) })
    }

    fn start(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("its address is free");
        listener.set_nonblocking(true).expect("a socket that doesn't block");
        {
            let mut state = self.state.lock().unwrap();
            state.is_up = true;
            state.starts.push(Instant::now());
        }
        let backend = Arc::clone(self);
        thread::spawn(move || {
            while backend.state.lock().unwrap().is_up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let handle = stream.try_clone().expect("a handle");
                        backend.state.lock().unwrap().connections.push(handle);
                        let backend = Arc::clone(&backend);
                        thread::spawn(move || backend.serve(Connection::new(stream)));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let cold = self.state.lock().unwrap().cold_left(Instant::now()).unwrap_or_default();
            if head.line.contains("/health") {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Hemlockspool-Instance-Id: {}\r\n\
                     X-Hemlockspool-Cold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    cold.as_millis()
                );
                if connection.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = head.get("x-hemlockspool-attempt-id").unwrap_or_default().to_owned();
            if !self.begin(&id, !cold.is_zero()) {
                return;
            }
            let length = head.get("content-length").and_then(|text| text.parse().ok());
            if connection.read_exact(length.unwrap_or(0)).is_err() {
                return;
            }
            if !self.slots.take() {
                if connection.stream.write_all(full_response(&id).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            // A cold backend takes twice as long.
            sleep(WORK.time * if cold.is_zero() { 1 } else { 2 });
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
            if connection.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Records an arrival; returns false if the backend crashes under it.
    fn begin(&self, id: &str, is_cold: bool) -> bool {
        let mut state = self.state.lock().unwrap();
        let at = Instant::now();
        state.arrivals.push(Arrival { id: id.to_owned(), at, is_cold });
        let is_recent = |arrival: &&Arrival| {
            arrival.is_cold && at.duration_since(arrival.at) < Duration::from_secs(1)
        };
        let recent = state.arrivals.iter().rev().take_while(is_recent).count();
        if is_cold && recent > CRASHING && state.is_up {
            state.overloads.push(at);
            state.crash();
            return false;
        }
        true
    }
}

/// Returns the largest number of requests that were sent and arrived inside one second while the
/// backend was cold.
fn most_in_a_second(arrivals: &[Arrival], sent: &BTreeMap<String, Instant>) -> usize {
    let cold: Vec<(Instant, Instant)> = (arrivals.iter())
        .filter(|arrival| arrival.is_cold)
        .filter_map(|arrival| Some((*sent.get(&arrival.id)?, arrival.at)))
        .collect();
    let in_second = |from: Instant| {
        let until = from + Duration::from_secs(1);
        cold.iter().filter(|(sent, at)| *sent >= from && *at < until).count()
    };
    cold.iter().map(|(sent, _)| in_second(*sent)).max().unwrap_or_default()
}

pub fn play(root: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let platform = Platform::start_with(&["a1", "a1", "a1", "a1", "a2", "a2", "a2"], WORK);
    let backend = Backend::create();
    let listed = Arc::clone(&backend);
    *platform.other_entries.lock().unwrap() = Some(Box::new(move || {
        // The list lags, and a backend that has crashed remains on it for some seconds.
        let seen_at = Instant::now() - LIST_LAG;
        let Some(cold_left) = listed.state.lock().unwrap().cold_left(seen_at) else {
            return Vec::new();
        };
        let fields = json!({
            "service": SERVICE, "addr": listed.address, "failure_domain": "a2", "version": "v1",
            "slots": WORK.slots, "state": "ready", "cold_left": format!("{}ms", cold_left.as_millis()),
        });
        vec![(listed.id.clone(), fields)]
    }));
    let fleet = Fleet::start_with(root, platform.list, ENTRIES, Vec::new());
    let route = Route {
        prefix: "/consent/",
        repeat: "never",
        sticky: true,
        homes: &[],
        cold_per_s: COLD_PER_S,
    };
    assert_eq!(fleet.publish(0, &table(5, &route)), Some(200), "the table is accepted");
    assert!(fleet.wait_ready(Duration::from_secs(15)), "the entries are ready");
    let entries: Vec<SocketAddr> = fleet.entries().map(|index| fleet.callers(index)).collect();
    let sent: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let statuses: Arc<Mutex<BTreeMap<String, Option<u16>>>> = Arc::default();
    let (mut has_joined, mut has_crashed, mut is_back) = (false, false, false);
    let mut callers = Vec::new();
    let started = Instant::now();
    for number in 0_u32.. {
        let now = started.elapsed();
        if now >= END {
            break;
        }
        if !has_joined && now >= JOINS_AT {
            has_joined = true;
            backend.start();
            record.line(format!("backend {} joins, cold", backend.id));
        }
        if trouble && !has_crashed && now >= CRASHES_AT {
            has_crashed = true;
            backend.state.lock().unwrap().crash();
            record.line("it crashes".to_owned());
        }
        if has_crashed && !is_back && now >= CRASHES_AT + DOWN {
            is_back = true;
            backend.start();
            record.line("it starts again under its id, cold".to_owned());
        }
        let (sent, statuses) = (Arc::clone(&sent), Arc::clone(&statuses));
        let entry = entries[number as usize % entries.len()];
        callers.push(thread::spawn(move || {
            let id = format!("n-{number:05}");
            let headers = [
                ("Host", HOST),
                ("X-Hemlockspool-Attempt-Id", id.as_str()),
                ("X-Hemlockspool-Affinity-Key", id.as_str()),
                ("X-Hemlockspool-Deadline-Ms", "2500"),
            ];
            sent.lock().unwrap().insert(id.clone(), Instant::now());
            let response = http::call(entry, "POST", "/consent/x", &headers, b"body", 2_600);
            statuses.lock().unwrap().insert(id, response.map(|response| response.status));
        }));
        sleep((INTERVAL * (number + 1)).saturating_sub(started.elapsed()));
    }
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    let statuses = statuses.lock().unwrap();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for status in statuses.values() {
        let end = status.map_or("no answer".to_owned(), |status| status.to_string());
        *ends.entry(end).or_default() += 1;
    }
    record.line(format!("{} requests sent, answers {ends:?}", statuses.len()));
    let state = backend.state.lock().unwrap();
    for overload in &state.overloads {
        record
            .line(format!("the cold backend crashed under its load at {:?}", *overload - started));
    }
    let lost = state.arrivals.iter().filter(|arrival| {
        state.overloads.iter().any(|at| arrival.at <= *at && *at - arrival.at < DOWN)
            && statuses.get(&arrival.id) != Some(&Some(200))
    });
    record.line(format!("{} requests at it were lost in these crashes", lost.count()));
    let cold = state.arrivals.iter().filter(|arrival| arrival.is_cold).count();
    let most = most_in_a_second(&state.arrivals, &sent.lock().unwrap());
    record.line(format!(
        "{} requests reached it, {cold} of them while it was cold, at most {most} of these in one \
         second; the bound is {BOUND}",
        state.arrivals.len()
    ));
    let served = ends.get("200").copied().unwrap_or_default();
    assert!(served * 10 > statuses.len() * 8, "most requests are served");
    if most as f64 > BOUND { Verdict::Broken } else { Verdict::Held }
}
