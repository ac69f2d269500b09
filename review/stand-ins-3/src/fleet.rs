//! A small deployment on loopback: replicas and entries as separate processes, started with the
//! commands of the deploy file and with settings filled in from its template's fields.

use {
    crate::http,
    serde_json::json,
    std::{
        fs::{self, File},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        os::unix::process::CommandExt,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread::sleep,
        time::{Duration, Instant},
    },
};

const CALLERS_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;
const OPERATORS_PORT: u16 = 8166;
const LOOKUPS_PORT: u16 = 8164;
const PEERS_PORT: u16 = 7720;
const METRICS_PORT: u16 = 7721;

/// The failure domains and their regions.
pub const DOMAINS: [(&str, &str); 3] = [("a1", "a"), ("a2", "a"), ("b1", "b")];
/// The failure domain of each replica; the first three are the founders.
const REPLICAS: [&str; 5] = ["a1", "a2", "b1", "a1", "b1"];
/// The failure domain of each entry, if a case doesn't say.
const ENTRIES: &[&str] = &["a1", "a1", "a2", "b1"];

/// A process of the deployment.
pub struct Node {
    pub name: String,
    role: &'static str,
    domain: &'static str,
    address: Ipv4Addr,
    child: Option<Child>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    list: SocketAddr,
    root: PathBuf,
    folder: PathBuf,
    founding: bool,
    /// Addresses to which the first entry connects in place of targets' own.
    tunnels: Vec<(SocketAddr, SocketAddr)>,
}

fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    for attempt in 0..200u32 {
        let base = (std::process::id() + attempt * 7_919) % 60_000;
        let (high, low) = ((10 + base / 250) as u8, (base % 250) as u8);
        let addresses: Vec<Ipv4Addr> =
            (0..count).map(|n| Ipv4Addr::new(127, high, low, n as u8 + 1)).collect();
        let ports = [CALLERS_PORT, READINESS_PORT, OPERATORS_PORT, LOOKUPS_PORT, PEERS_PORT];
        let is_free = |address: &Ipv4Addr| {
            ports.iter().all(|port| TcpListener::bind((*address, *port)).is_ok())
        };
        if addresses.iter().all(is_free) {
            return addresses;
        }
    }
    panic!("no free loopback addresses");
}

impl Fleet {
    /// Starts all processes.
    pub fn start(root: &Path, list: SocketAddr) -> Self {
        Self::start_with(root, list, ENTRIES, Vec::new())
    }

    /// Does the same with proxies between the first entry and targets.
    pub fn start_tunnelled(
        root: &Path,
        list: SocketAddr,
        tunnels: Vec<(SocketAddr, SocketAddr)>,
    ) -> Self {
        Self::start_with(root, list, ENTRIES, tunnels)
    }

    /// Starts all processes, with an entry in each of these failure domains.
    pub fn start_with(
        root: &Path,
        list: SocketAddr,
        entries: &[&'static str],
        tunnels: Vec<(SocketAddr, SocketAddr)>,
    ) -> Self {
        let addresses = free_addresses(REPLICAS.len() + entries.len());
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let replicas = REPLICAS.iter().enumerate().map(|(n, d)| ("replica", n, *d));
        let entries = entries.iter().enumerate().map(|(n, d)| ("entry", n, *d));
        let nodes = replicas.chain(entries).zip(addresses);
        let nodes = nodes.map(|((role, number, domain), address)| Node {
            name: format!("{role}-{number}"),
            role,
            domain,
            address,
            child: None,
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            list,
            root: root.to_owned(),
            folder,
            founding: true,
            tunnels,
        };
        for index in 0..fleet.nodes.len() {
            fleet.start_node(index);
        }
        // `founding` is true only when the whole system starts for the first time.
        fleet.founding = false;
        fleet
    }

    pub fn replicas(&self) -> std::ops::Range<usize> {
        0..REPLICAS.len()
    }

    pub fn entries(&self) -> std::ops::Range<usize> {
        REPLICAS.len()..self.nodes.len()
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        (self.nodes[index].address, CALLERS_PORT).into()
    }

    pub fn operators(&self, index: usize) -> SocketAddr {
        (self.nodes[index].address, OPERATORS_PORT).into()
    }

    pub fn readiness(&self, index: usize) -> SocketAddr {
        (self.nodes[index].address, READINESS_PORT).into()
    }

    fn path(&self, index: usize, ending: &str) -> PathBuf {
        self.folder.join(format!("{}{ending}", self.nodes[index].name))
    }

    fn write_settings(&self, index: usize) -> PathBuf {
        let node = &self.nodes[index];
        let is_replica = node.role == "replica";
        let at = |port: u16| SocketAddr::from((node.address, port));
        let when = |role: &str, port: u16| (node.role == role).then(|| at(port));
        let seeds: Vec<SocketAddr> = (0..3).map(|n| self.operators(n)).collect();
        let domains: serde_json::Map<String, serde_json::Value> =
            DOMAINS.iter().map(|(d, r)| ((*d).to_owned(), json!(r))).collect();
        let region = DOMAINS.iter().find(|(d, _)| *d == node.domain).expect("a known domain").1;
        let mut settings = json!({
            "name": node.name, "deployment": "hemlockspool", "region": region,
            "failure_domain": node.domain, "domains": domains,
            "listen": {
                "callers": when("entry", CALLERS_PORT),
                "readiness": when("entry", READINESS_PORT),
                "operators": when("replica", OPERATORS_PORT),
                "lookups": when("replica", LOOKUPS_PORT),
                "peers": at(PEERS_PORT), "metrics": at(METRICS_PORT),
            },
            "seeds": seeds, "founding": self.founding,
            "data_folder": is_replica.then(|| self.path(index, ".data")),
            "target_list": { "address": self.list, "calls_per_s": 47.0 },
            "repeats": { "ratio": 0.2, "slack": 58, "window": "10s" },
            "link_mbps": 1000.0, "memory_mb": if is_replica { 256 } else { 260 }, "grace": "6s",
        });
        if index == self.entries().start && !self.tunnels.is_empty() {
            let tunnels = self.tunnels.iter().map(|(from, to)| (from.to_string(), json!(to)));
            settings["tunnels"] = serde_json::Value::Object(tunnels.collect());
        }
        let path = self.path(index, ".json");
        fs::write(&path, settings.to_string()).expect("the settings file is written");
        path
    }

    pub fn start_node(&mut self, index: usize) {
        let settings = self.write_settings(index);
        let log = self.path(index, ".log");
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let mut command = Command::new(self.root.join("target/release/hemlockspoold"));
        command.arg(self.nodes[index].role).arg("--settings").arg(settings);
        command.current_dir(&self.root).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a second handle")).stderr(log);
        // SAFETY: a plain system call between fork and exec. The process ends with this one.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        self.nodes[index].child = Some(command.spawn().expect("hemlockspoold starts"));
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let response = http::call(self.readiness(index), "GET", "/v1/ready", &[], b"", 1_000);
        response.is_some_and(|response| response.status == 200)
    }

    /// Waits until all entries are ready; returns whether they are within the time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.entries().all(|index| self.is_ready(index)) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Publishes a table as an operator does: at one replica after the other until it is clear.
    pub fn publish(&self, base: u64, table: &str) -> Option<u16> {
        let until = Instant::now() + Duration::from_secs(15);
        let base = base.to_string();
        for index in self.replicas().cycle() {
            let headers = [("If-Match", base.as_str()), ("Content-Type", "application/json")];
            let address = self.operators(index);
            let response =
                http::call(address, "PUT", "/v1/table", &headers, table.as_bytes(), 1_000);
            match response.map(|response| response.status) {
                Some(status) if status < 500 && status != 408 && status != 429 => {
                    return Some(status);
                }
                _ if Instant::now() > until => return None,
                _ => sleep(Duration::from_millis(50)),
            }
        }
        None
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
