//! Stand-ins for targets and for the platform's list of them, as the users' pages describe them.

use {
    crate::http::{self, Connection, Head},
    serde_json::json,
    std::{
        io::Write,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The service of all targets.
pub const SERVICE: &str = "huvo11a";
/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The work of targets, if a case doesn't say.
const WORK: Work = Work { slots: 64, queue: 192, time: Duration::from_millis(10) };
/// The bytes of a body after which a target that answers early does so.
const EARLY_BYTES: usize = 16 << 10;
/// The time from an early answer until the target reads on.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// What a target does at once.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The requests that it runs concurrently.
    pub slots: usize,
    /// The requests that wait for a slot; more are refused.
    pub queue: usize,
    /// The time for which it works on a request.
    pub time: Duration,
}

/// The slots of a target.
pub struct Slots {
    pub work: Work,
    /// The numbers of requests that run and that wait.
    taken: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    pub fn new(work: Work) -> Self {
        Self { work, taken: Mutex::default(), freed: Condvar::new() }
    }

    /// Waits for a slot; returns false if the queue is full.
    pub fn take(&self) -> bool {
        let mut taken = self.taken.lock().unwrap();
        if taken.0 == self.work.slots {
            if taken.1 == self.work.queue {
                return false;
            }
            taken.1 += 1;
            taken = self.freed.wait_while(taken, |taken| taken.0 == self.work.slots).unwrap();
            taken.1 -= 1;
        }
        taken.0 += 1;
        true
    }

    pub fn give_back(&self) {
        self.taken.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    /// The value of `X-Hemlockspool-Server-Load`.
    pub fn load(&self) -> String {
        let taken = self.taken.lock().unwrap();
        format!("{},{},{}", taken.0, taken.1, self.work.slots)
    }
}

/// Returns the response to a request that finds the queue full.
pub fn full_response(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Hemlockspool-Attempt-Id: {id}\r\n\
         X-Hemlockspool-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// A request that a target began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub line: String,
    /// The length of the body that its head states, in bytes.
    pub body_bytes: usize,
    /// The bytes of the body that the target has read.
    pub read_bytes: usize,
    /// How the reading of the body ended, if it ended early.
    pub cut: Option<String>,
}

/// How a target treats its requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// Reads a request, works on it and answers it.
    Sound,
    /// Answers a request with a long body before it has read the body, and reads on later.
    AnswersEarly,
    /// Runs a request and loses the answer of two in five, with a reset.
    LosesAnswers,
}

pub struct Target {
    pub name: String,
    pub domain: &'static str,
    pub address: SocketAddr,
    manner: Mutex<Manner>,
    slots: Slots,
    served: AtomicU64,
    runs: Arc<Mutex<Vec<Run>>>,
}

pub struct Platform {
    /// The address of the list.
    pub list: SocketAddr,
    pub targets: Vec<Arc<Target>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Returns the entries of the list besides those of the targets.
    pub other_entries: Mutex<Option<EntrySource>>,
}

/// Returns the ids and the fields of entries of the list.
pub type EntrySource = Box<dyn Fn() -> Vec<(String, serde_json::Value)> + Send>;

impl Platform {
    /// Starts a target in each of the failure domains, and their list.
    pub fn start(domains: &[&'static str]) -> Arc<Self> {
        Self::start_with(domains, WORK)
    }

    pub fn start_with(domains: &[&'static str], work: Work) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let targets = domains.iter().map(|domain| Target::start(domain, work, Arc::clone(&runs)));
        let platform = Arc::new(Self {
            list: listener.local_addr().expect("an address"),
            targets: targets.collect(),
            runs,
            other_entries: Mutex::new(None),
        });
        let served = Arc::clone(&platform);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = Arc::clone(&served);
                thread::spawn(move || served.serve_list(Connection::new(stream)));
            }
        });
        platform
    }

    fn serve_list(&self, mut connection: Connection) {
        while let Ok(Some(_)) = connection.read_head() {
            let page = self.page();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                page.len()
            );
            let bytes = [head.into_bytes(), page].concat();
            if connection.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Returns the only page of the list.
    fn page(&self) -> Vec<u8> {
        let entries = self.targets.iter().map(|target| {
            let fields = json!({
                "service": SERVICE, "addr": target.address, "failure_domain": target.domain,
                "version": "v1", "slots": target.slots.work.slots, "state": "ready", "cold_left": "0ms",
            });
            format!("\"{}\":{fields}", target.name)
        });
        let others = self.other_entries.lock().unwrap().as_ref().map(|source| source());
        let others = others.into_iter().flatten();
        let others = others.map(|(id, fields)| format!("\"{id}\":{fields}"));
        let entries: Vec<String> = entries.chain(others).collect();
        format!("{{\"instances\":{{{}}},\"next_token\":null}}", entries.join(",")).into_bytes()
    }
}

impl Target {
    fn start(domain: &'static str, work: Work, runs: Arc<Mutex<Vec<Run>>>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let target = Arc::new(Self {
            name: format!("i-{:08x}", u32::from(address.port())),
            domain,
            address,
            manner: Mutex::new(Manner::Sound),
            slots: Slots::new(work),
            served: AtomicU64::new(0),
            runs,
        });
        let served = Arc::clone(&target);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = Arc::clone(&served);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(head)) = connection.read_head() {
                        if served.respond(&mut connection, &head).is_none() {
                            return;
                        }
                    }
                });
            }
        });
        target
    }

    pub fn set_manner(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// Serves one request; returns none if the connection is to be closed.
    fn respond(&self, connection: &mut Connection, head: &Head) -> Option<()> {
        if head.line.split(' ').nth(1) == Some("/health") {
            let name = &self.name;
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Hemlockspool-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.stream.write_all(text.as_bytes()).ok();
        }
        let id = head.get("x-hemlockspool-attempt-id").unwrap_or_default().to_owned();
        if head.get("x-hemlockspool-target-instance").is_some_and(|name| name != self.name) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Hemlockspool-Attempt-Id: {id}\r\n\
                 X-Hemlockspool-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            let _ = connection.stream.write_all(text.as_bytes());
            return None;
        }
        let manner = *self.manner.lock().unwrap();
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let answers_early = manner == Manner::AnswersEarly && length > EARLY_BYTES;
        let first = if answers_early { EARLY_BYTES } else { length };
        let begun = connection.read_exact(first).ok()?.len();
        if begun < first {
            // The request hasn't come whole, and isn't run.
            return None;
        }
        if !self.slots.take() {
            return connection.stream.write_all(full_response(&id).as_bytes()).ok();
        }
        let index = self.begin_run(&id, head, length, begun);
        thread::sleep(self.slots.work.time);
        self.slots.give_back();
        if manner == Manner::LosesAnswers && self.served.fetch_add(1, Ordering::SeqCst) % 5 < 2 {
            http::reset(&connection.stream);
            return None;
        }
        let text = answer_body(&id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Hemlockspool-Attempt-Id: {id}\r\n\
             X-Hemlockspool-Response-Stamp: 3e1b.{}\r\nX-Hemlockspool-Server-Load: {}\r\n\
             Content-Length: {}\r\n\r\n",
            self.name,
            self.slots.load(),
            text.len()
        );
        connection.stream.write_all([head, text].concat().as_bytes()).ok()?;
        if !answers_early {
            return Some(());
        }
        thread::sleep(READ_PAUSE);
        let (rest, end) = connection.read_up_to(length - begun);
        let mut runs = self.runs.lock().unwrap();
        runs[index].read_bytes += rest;
        runs[index].cut = end;
        (begun + rest == length).then_some(())
    }

    /// Records a run and returns its index.
    fn begin_run(&self, id: &str, head: &Head, body_bytes: usize, read_bytes: usize) -> usize {
        let run = Run {
            id: id.to_owned(),
            target: self.name.clone(),
            line: head.line.clone(),
            body_bytes,
            read_bytes,
            cut: None,
        };
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }
}

/// The body with which a target answers a request.
pub fn answer_body(id: &str) -> String {
    format!("ran {id}\n").repeat(20)
}

/// The route of a table.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub repeat: &'a str,
    pub sticky: bool,
    pub homes: &'a [&'a str],
    pub cold_per_s: f64,
}

/// Returns a table with one route to the service, on which a request may be sent to two targets.
pub fn table(version: u64, route: &Route<'_>) -> String {
    let Route { prefix, repeat, sticky, homes, cold_per_s } = route;
    json!({
        "version": version,
        "routes": [{
            "name": "r-x73d3zj", "host": HOST, "prefix": prefix, "repeat": repeat,
            "timeout": "3000ms", "goal": "500ms", "priority": 1, "service": SERVICE,
            "attempts": 2, "sticky": sticky, "homes": homes,
        }],
        "services": [{
            "name": SERVICE, "health_path": "/health", "connections": 330, "protocol": "h1",
            "tls": false, "cold_start": "3s", "cold_per_s": cold_per_s,
        }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    })
    .to_string()
}
