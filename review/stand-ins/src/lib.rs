//! Stand-ins for the review's cases: a fleet of the project's processes on loopback addresses, the
//! platform's list, targets, and a proxy whose connections can be cut. Uses only the standard
//! library, and a thread for each connection.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "one.example";
pub const REQUEST_ID: &str = "x-hemlockspool-attempt-id";
pub const STAMP: &str = "x-hemlockspool-response-stamp";
pub const NOT_RUN: &str = "x-hemlockspool-not-executed";
pub const INSTANCE: &str = "x-hemlockspool-instance-id";
pub const INTENDED: &str = "x-hemlockspool-target-instance";
pub const LOAD: &str = "x-hemlockspool-server-load";
pub const COLD: &str = "x-hemlockspool-cold-ms";
pub const DEADLINE: &str = "x-hemlockspool-deadline-ms";
pub const KEY: &str = "x-hemlockspool-affinity-key";

/// Signals, with their numbers on Linux.
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    /// The system's C function.
    fn kill(pid: i32, signal: i32) -> i32;
}

const PEER_PORT: u16 = 7_720;
const METRICS_PORT: u16 = 7_735;
const OPERATOR_PORT: u16 = 8_166;
const LOOKUP_PORT: u16 = 8_164;
const CALLER_PORT: u16 = 8_161;
const READINESS_PORT: u16 = 8_167;

/// Whether the script runs with the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process with status 2: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    panic!("cannot run: {reason}");
}

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file that the first argument of the program names.
    pub fn create() -> Self {
        let path = std::env::args().nth(1).expect("the path of the record");
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// Runs a case and returns the exit status: 1 if it returns true (the rule was broken), 0 if it
/// returns false, 2 if it panics. Ends the whole run after 110 seconds.
pub fn run_case<F>(case: F) -> i32
where
    F: FnOnce(&Record) -> bool + Send + 'static,
{
    let record = Record::create();
    let shared = record.clone();
    let worker = thread::spawn(move || case(&shared));
    let deadline = Instant::now() + Duration::from_secs(110);
    while !worker.is_finished() && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(50));
    }
    if !worker.is_finished() {
        record.line("not finished after 110 s");
        kill_all();
        return 2;
    }
    let status = match worker.join() {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    kill_all();
    record.line(&format!("exit status {status}"));
    status
}

static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

fn kill_all() {
    for (_, child) in CHILDREN.lock().unwrap_or_else(|error| error.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A parsed HTTP message head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads HTTP messages from a stream.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// The time at which reading fails.
    deadline: Option<Instant>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), deadline: None }
    }

    fn fill(&mut self) -> io::Result<usize> {
        if let Some(deadline) = self.deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads the head of a message; none at the end of the stream.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { line, headers, ..Message::default() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body of a message. `until_end`: without a length it lasts until the stream ends.
    pub fn body(&mut self, message: &mut Message, until_end: bool) -> io::Result<()> {
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            while self.buffer.len() < length {
                if self.fill()? == 0 {
                    message.body.append(&mut self.buffer);
                    return Ok(());
                }
            }
            message.body = self.buffer.drain(..length).collect();
            message.complete = true;
            return Ok(());
        }
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let end = loop {
                    if let Some(end) = find(&self.buffer, b"\r\n") {
                        break end;
                    }
                    if self.fill()? == 0 {
                        return Ok(());
                    }
                };
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let size = text.split(';').next().unwrap_or("").trim().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else { return Ok(()) };
                self.buffer.drain(..end + 2);
                while self.buffer.len() < size + 2 {
                    if self.fill()? == 0 {
                        return Ok(());
                    }
                }
                message.body.extend(self.buffer.drain(..size));
                self.buffer.drain(..2);
                if size == 0 {
                    message.complete = true;
                    return Ok(());
                }
            }
        }
        if until_end {
            while self.fill()? > 0 {}
            message.body.append(&mut self.buffer);
        }
        message.complete = true;
        Ok(())
    }

    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Makes one HTTP call on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let deadline = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        let _ = write!(text, "host: {address}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if !body.is_empty() {
        let _ = write!(text, "content-length: {}\r\n", body.len());
    }
    text.push_str("connection: close\r\n\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    let mut reader = Reader::new(stream);
    reader.deadline = Some(deadline);
    reader.stream().write_all(&bytes)?;
    let Some(mut message) = reader.head()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    // A failure leaves the body incomplete.
    let _ = reader.body(&mut message, true);
    Ok(message)
}

/// Serves connections with a handler, each in its own thread. The handler returns whether the
/// connection stays open.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Message, &mut Reader) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
                let mut reader = Reader::new(stream);
                while let Ok(Some(message)) = reader.head() {
                    if !handler(&message, &mut reader).unwrap_or(false) {
                        break;
                    }
                }
            });
        }
    });
}

/// Returns the bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A proxy in front of one address. During a cut, its port refuses connections, and those that were
/// open before are silent: what arrives on them waits until the cut ends.
pub struct CutProxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl CutProxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&is_cut);
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if shared.load(Ordering::SeqCst) {
                    listener = None;
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                let Some(bound) = &listener else {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                };
                let _ = bound.set_nonblocking(true);
                let Ok((client, _)) = bound.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = client.set_nonblocking(false);
                let Ok(server) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let back = (server.try_clone().unwrap(), client.try_clone().unwrap());
                for (from, to) in [(client, server), back] {
                    let is_cut = Arc::clone(&shared);
                    thread::spawn(move || forward(from, to, &is_cut));
                }
            }
        });
        Self { address, is_cut }
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn restore(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

/// Passes bytes on in one direction, and its end; waits during a cut.
fn forward(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut chunk = [0; 16 << 10];
    loop {
        let count = from.read(&mut chunk);
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        match count {
            Ok(count @ 1..) if to.write_all(&chunk[..count]).is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// The failure domains of the fleet and their regions: those of the site `gsdwa-spool`.
pub const DOMAINS: [(&str, &str); 6] = [
    ("jhb-north", "gauteng"),
    ("cpt-bellville", "western-cape"),
    ("dbn-pinetown", "kwazulu-natal"),
    ("pta-centurion", "gauteng"),
    ("cpt-montague", "western-cape"),
    ("dbn-umhlanga", "kwazulu-natal"),
];
/// The failure domain of each entry.
pub const ENTRIES: [&str; 9] = [
    "jhb-north",
    "jhb-north",
    "cpt-bellville",
    "cpt-bellville",
    "dbn-pinetown",
    "dbn-pinetown",
    "pta-centurion",
    "cpt-montague",
    "dbn-umhlanga",
];
pub const REPLICAS: usize = 6;

fn region_of(domain: &str) -> &'static str {
    DOMAINS.iter().find(|(name, _)| *name == domain).unwrap().1
}

/// The port of targets that end and start again at their addresses. Unlike a port that the system
/// chooses, no other socket gets it meanwhile.
const TARGET_PORT: u16 = 8_365;
const TARGETS_MAX: usize = 64;

/// Returns the address of a target that ends and starts again there.
pub fn target_address(index: usize) -> SocketAddr {
    assert!(index < TARGETS_MAX);
    let (high, low) = octets();
    (Ipv4Addr::new(127, high, low, 100 + index as u8), TARGET_PORT).into()
}

/// Returns the two middle octets of this run's loopback addresses, on which nothing else listens.
fn octets() -> (u8, u8) {
    static OCTETS: OnceLock<(u8, u8)> = OnceLock::new();
    *OCTETS.get_or_init(|| {
        for attempt in 0..50 {
            let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
            let seed = std::process::id().wrapping_mul(2_654_435_761) ^ nanos ^ (attempt << 20);
            let (high, low) = ((20 + seed % 200) as u8, (seed / 200 % 250) as u8);
            let is_free = |last: usize, port| {
                TcpListener::bind((Ipv4Addr::new(127, high, low, last as u8), port)).is_ok()
            };
            let ports =
                [PEER_PORT, METRICS_PORT, OPERATOR_PORT, LOOKUP_PORT, CALLER_PORT, READINESS_PORT];
            let nodes = 1..=REPLICAS + ENTRIES.len();
            if nodes.clone().all(|last| ports.iter().all(|port| is_free(last, *port)))
                && (0..TARGETS_MAX).all(|index| is_free(100 + index, TARGET_PORT))
            {
                return (high, low);
            }
        }
        cannot_run("no loopback addresses are free")
    })
}

/// Six replicas and nine entries, as separate processes with their own loopback addresses.
pub struct Fleet {
    folder: PathBuf,
    octets: (u8, u8),
    list: SocketAddr,
    tunnels: BTreeMap<usize, BTreeMap<SocketAddr, SocketAddr>>,
}

impl Fleet {
    /// Starts all processes. `tunnels`: for an entry, the addresses to connect to instead of those
    /// of targets.
    pub fn start(
        list: SocketAddr,
        tunnels: BTreeMap<usize, BTreeMap<SocketAddr, SocketAddr>>,
    ) -> Self {
        let octets = octets();
        let folder = std::env::temp_dir().join(format!(
            "review-{}-{}-{}",
            std::process::id(),
            octets.0,
            octets.1
        ));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let fleet = Self { folder, octets, list, tunnels };
        for index in 0..REPLICAS + ENTRIES.len() {
            fleet.start_node(index, true);
        }
        // Only the first start founds the deployment.
        for index in 0..REPLICAS + ENTRIES.len() {
            let log = fleet.folder.join(format!("{}.log", fleet.name(index)));
            wait("the process has started", 20, || {
                fs::read_to_string(&log).is_ok_and(|text| text.contains("started"))
            });
            fleet.write_settings(index, false);
        }
        fleet
    }

    pub fn ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octets.0, self.octets.1, 1 + index as u8)
    }

    pub fn name(&self, index: usize) -> String {
        match index < REPLICAS {
            true => format!("core-{index}"),
            false => format!("edge-{}", index - REPLICAS),
        }
    }

    /// The address of a replica for operators.
    pub fn operators(&self, replica: usize) -> SocketAddr {
        (self.ip(replica), OPERATOR_PORT).into()
    }

    /// The address of an entry for callers.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        (self.ip(REPLICAS + entry), CALLER_PORT).into()
    }

    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.name(index))))
            .unwrap_or_default()
    }

    fn write_settings(&self, index: usize, founding: bool) -> PathBuf {
        let is_replica = index < REPLICAS;
        let domain = if is_replica { DOMAINS[index].0 } else { ENTRIES[index - REPLICAS] };
        let ip = self.ip(index);
        let address = |when: bool, port: u16| match when {
            true => format!("\"{ip}:{port}\""),
            false => "null".to_owned(),
        };
        let domains: Vec<String> =
            DOMAINS.iter().map(|(name, region)| format!("\"{name}\":\"{region}\"")).collect();
        let seeds: Vec<String> =
            (0..3).map(|seed| format!("\"{}\"", self.operators(seed))).collect();
        let data = match is_replica {
            true => format!("{:?}", self.folder.join(format!("{}.data", self.name(index)))),
            false => "null".to_owned(),
        };
        let entry = index.checked_sub(REPLICAS);
        let tunnels = entry.and_then(|entry| self.tunnels.get(&entry)).map(|tunnels| {
            let pairs: Vec<String> =
                tunnels.iter().map(|(from, to)| format!("\"{from}\":\"{to}\"")).collect();
            format!("\"tunnels\":{{{}}},", pairs.join(","))
        });
        let text = format!(
            "{{\"name\":\"{name}\",\"deployment\":\"hemlockspool\",\"region\":\"{region}\",\
             \"failure_domain\":\"{domain}\",\"domains\":{{{domains}}},\"listen\":{{\
             \"callers\":{callers},\"readiness\":{readiness},\"operators\":{operators},\
             \"lookups\":{lookups},\"peers\":\"{ip}:{PEER_PORT}\",\"metrics\":\"{ip}:{METRICS_PORT}\"}},\
             \"seeds\":[{seeds}],\"founding\":{founding},\"data_folder\":{data},{tunnels}\
             \"target_list\":{{\"address\":\"{list}\",\"calls_per_s\":47.0}},\
             \"repeats\":{{\"ratio\":0.2,\"slack\":58,\"window\":\"10s\"}},\
             \"link_mbps\":1000.0,\"memory_mb\":260,\"grace\":\"6s\"}}",
            name = self.name(index),
            region = region_of(domain),
            domains = domains.join(","),
            callers = address(!is_replica, CALLER_PORT),
            readiness = address(!is_replica, READINESS_PORT),
            operators = address(is_replica, OPERATOR_PORT),
            lookups = address(is_replica, LOOKUP_PORT),
            seeds = seeds.join(","),
            tunnels = tunnels.unwrap_or_default(),
            list = self.list,
        );
        let path = self.folder.join(format!("{}.json", self.name(index)));
        fs::write(&path, text).expect("the settings can be written");
        path
    }

    /// Starts a process with the command of the deploy file.
    pub fn start_node(&self, index: usize, founding: bool) {
        let settings = self.write_settings(index, founding);
        let name = self.name(index);
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let role = if index < REPLICAS { "replica" } else { "entry" };
        let program = std::env::current_dir().unwrap().join("target/release/hemlockspoold");
        let child = Command::new(program)
            .args([role, "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { cannot_run("target/release/hemlockspoold does not start") };
        let mut children = CHILDREN.lock().unwrap();
        children.retain(|(other, _)| *other != name);
        children.push((name, child));
    }

    /// Sends a signal to a process.
    pub fn signal(&self, index: usize, signal: i32) {
        let name = self.name(index);
        let children = CHILDREN.lock().unwrap();
        let (_, child) = children.iter().find(|(other, _)| *other == name).expect("it was started");
        // The process is a child that hasn't been waited for, so its id isn't reused.
        let result = unsafe { kill(child.id() as i32, signal) };
        assert_eq!(result, 0, "the signal was not sent");
    }

    /// Returns whether a process has ended.
    pub fn has_ended(&self, index: usize) -> bool {
        let name = self.name(index);
        let mut children = CHILDREN.lock().unwrap();
        let child = children.iter_mut().find(|(other, _)| *other == name);
        child.is_none_or(|(_, child)| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Publishes a table at any replica until it is acknowledged.
    pub fn publish(&self, base: u64, table: &str) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for replica in (0..REPLICAS).cycle() {
            let headers =
                [("if-match", base.to_string()), ("content-type", "application/json".to_owned())];
            let second = Duration::from_secs(1);
            let result = call(
                self.operators(replica),
                "PUT",
                "/v1/table",
                &headers,
                table.as_bytes(),
                second,
            );
            if result.is_ok_and(|message| message.status() == 200) {
                return;
            }
            if Instant::now() > deadline {
                cannot_run("the table was not acknowledged");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Begins or ends an evacuation at one replica; returns the status.
    pub fn evacuate(&self, replica: usize, domain: &str, begins: bool) -> Option<u16> {
        let method = if begins { "POST" } else { "DELETE" };
        let path = format!("/v1/evacuations/{domain}");
        let second = Duration::from_secs(1);
        let message = call(self.operators(replica), method, &path, &[], b"", second).ok()?;
        Some(message.status())
    }

    /// Asks an entry whether it is ready, as the platform does.
    pub fn is_ready(&self, entry: usize) -> bool {
        let address = (self.ip(REPLICAS + entry), READINESS_PORT).into();
        let second = Duration::from_secs(1);
        let result = call(address, "GET", "/v1/ready", &[], b"", second);
        result.is_ok_and(|message| message.status() == 200)
    }

    /// Waits until every entry is ready, and five replicas vote.
    pub fn wait_ready(&self) {
        for entry in 0..ENTRIES.len() {
            wait("the entry is ready", 20, || self.is_ready(entry));
        }
        wait("five replicas vote", 20, || {
            let logs: String = (0..REPLICAS).map(|index| self.log(index)).collect();
            logs.matches("E124").count() >= 2
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a condition holds.
pub fn wait<F>(what: &str, seconds: u64, condition: F)
where
    F: Fn() -> bool,
{
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while !condition() {
        if Instant::now() > deadline {
            cannot_run(&format!("{what}: not in time"));
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the JSON of a route.
pub fn route(name: &str, prefix: &str, repeat: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"repeat\":\"{repeat}\",\
         \"timeout\":\"2500ms\",\"goal\":\"400ms\",\"priority\":1,\"service\":\"{service}\",\
         \"attempts\":2,\"sticky\":true,\"homes\":[]}}"
    )
}

/// Returns the JSON of a table with these routes and one service.
pub fn table(version: u64, routes: &[String], service: &str, cold_per_s: f64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/health\",\"connections\":330,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start\":\"3s\",\"cold_per_s\":{cold_per_s}}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\
         \"idle_timeout\":\"15000ms\"}}}}",
        routes.join(",")
    )
}

/// Returns the platform's record of a target.
pub fn list_record(
    service: &str,
    address: SocketAddr,
    domain: &str,
    slots: u32,
    cold_ms: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"failure_domain\":\"{domain}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left\":\"{cold_ms}ms\"}}"
    )
}

/// Serves the platform's list; `records` returns the names and records at this moment.
pub fn serve_list<F>(records: F) -> SocketAddr
where
    F: Fn() -> Vec<(String, String)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    serve(listener, move |_, reader| {
        let records: Vec<String> =
            records().iter().map(|(name, record)| format!("\"{name}\":{record}")).collect();
        let body = format!("{{\"instances\":{{{}}},\"next_token\":null}}", records.join(","));
        let headers = [("content-type", "application/json".to_owned())];
        reader.stream().write_all(&response(200, &headers, body.as_bytes()))?;
        Ok(true)
    });
    address
}
