/*!
A fleet of real processes on loopback: entries and replicas whose targets come from a list.

Each instance has an address of its own and all use the same ports, as the fleet's settings want it.
Links between instances can go through fault proxies.
*/

use {
    crate::{cluster::wait_until, fault_proxy::FaultProxy, node_process::NodeProcess},
    serde_json::json,
    std::{
        collections::BTreeMap,
        fs,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Mutex,
            atomic::{AtomicU8, Ordering},
        },
    },
    tempfile::TempDir,
};

const PEERS: u16 = 7_000;
const OPERATORS: u16 = 7_001;
const LOOKUPS: u16 = 7_002;
const CALLERS: u16 = 7_003;
const READINESS: u16 = 7_004;
const METRICS: u16 = 7_005;

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The failure domain of each replica.
    pub replicas: Vec<&'static str>,
    /// The failure domain of each entry.
    pub entries: Vec<&'static str>,
    /// The region of each failure domain.
    pub domains: BTreeMap<&'static str, &'static str>,
    /// Where the list of targets is served.
    pub list_address: SocketAddr,
    /// Whether links between instances go through fault proxies.
    pub proxied: bool,
}

/// The processes, replicas first.
pub struct FleetCluster {
    pub nodes: Vec<NodeProcess>,
    pub plan: FleetPlan,
    /// Proxies by who dials and who is dialed.
    pub proxies: BTreeMap<(usize, usize), FaultProxy>,
    addresses: Vec<Ipv4Addr>,
    founding: Mutex<bool>,
    folder: TempDir,
}

/// Returns addresses that no other cluster of this or another test process uses.
fn addresses(count: usize) -> Vec<Ipv4Addr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    let (high, low) = ((10 + pid / 250 % 240) as u8, (pid % 250) as u8);
    (0..count).map(|_| Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::SeqCst))).collect()
}

impl FleetCluster {
    /// Writes settings and starts everything for the first time.
    pub async fn start(plan: FleetPlan) -> Self {
        let count = plan.replicas.len() + plan.entries.len();
        let addresses = addresses(count);
        let mut proxies = BTreeMap::new();
        if plan.proxied {
            for from in 0..count {
                for to in (0..count).filter(|to| *to != from) {
                    let proxy = FaultProxy::start((addresses[to], PEERS).into()).await.unwrap();
                    proxies.insert((from, to), proxy);
                }
            }
        }
        let folder = TempDir::new().unwrap();
        let founding = Mutex::new(true);
        let mut cluster = Self { nodes: Vec::new(), plan, proxies, addresses, founding, folder };
        for at in 0..count {
            let node = cluster.node(at);
            cluster.nodes.push(node);
        }
        cluster.write_settings();
        cluster.nodes.iter().for_each(NodeProcess::start);
        for node in &cluster.nodes {
            wait_until("the process has read its settings", || async {
                node.log_text().contains("started")
            })
            .await;
        }
        // Later starts don't found: a disk that is empty then was lost.
        *cluster.founding.lock().unwrap() = false;
        cluster.write_settings();
        cluster
    }

    pub fn replicas(&self) -> std::ops::Range<usize> {
        0..self.plan.replicas.len()
    }

    pub fn entries(&self) -> std::ops::Range<usize> {
        self.plan.replicas.len()..self.nodes.len()
    }

    pub fn domain_of(&self, at: usize) -> &'static str {
        let replicas = self.plan.replicas.len();
        self.plan.replicas.get(at).or_else(|| self.plan.entries.get(at - replicas)).unwrap()
    }

    pub fn operator_address(&self, at: usize) -> SocketAddr {
        (self.addresses[at], OPERATORS).into()
    }

    pub fn lookup_address(&self, at: usize) -> SocketAddr {
        (self.addresses[at], LOOKUPS).into()
    }

    pub fn caller_address(&self, at: usize) -> SocketAddr {
        (self.addresses[at], CALLERS).into()
    }

    pub fn readiness_address(&self, at: usize) -> SocketAddr {
        (self.addresses[at], READINESS).into()
    }

    pub fn metrics_address(&self, at: usize) -> SocketAddr {
        (self.addresses[at], METRICS).into()
    }

    /// Kills a replica and empties its disk.
    pub fn kill_and_wipe(&self, at: usize) {
        self.nodes[at].kill();
        // A folder that isn't there yet is as empty as one that has been removed.
        let _ = fs::remove_dir_all(self.nodes[at].data.as_ref().unwrap());
    }

    fn node(&self, at: usize) -> NodeProcess {
        let is_replica = at < self.plan.replicas.len();
        let (role, name) = match is_replica {
            true => ("replica", format!("replica-{at}")),
            false => ("entry", format!("entry-{at}")),
        };
        let path = |ending: &str| self.folder.path().join(format!("{name}{ending}"));
        let domain = self.domain_of(at);
        NodeProcess {
            domain: domain.to_owned(),
            region: self.plan.domains[domain].to_owned(),
            http: (self.addresses[at], if is_replica { OPERATORS } else { CALLERS }).into(),
            peer: (self.addresses[at], PEERS).into(),
            role: Some(role),
            settings: path(".json"),
            data: is_replica.then(|| path(".data")),
            log: path(".log"),
            child: Mutex::new(None),
            name,
        }
    }

    fn write_settings(&self) {
        let seeds: Vec<SocketAddr> =
            self.replicas().take(3).map(|at| self.operator_address(at)).collect();
        for (at, node) in self.nodes.iter().enumerate() {
            let is_replica = self.replicas().contains(&at);
            let at_role =
                |wanted: bool, address: SocketAddr| (is_replica == wanted).then_some(address);
            let tunnels: BTreeMap<String, SocketAddr> = (self.proxies.iter())
                .filter(|((from, _), _)| *from == at)
                .map(|((_, to), proxy)| (self.nodes[*to].peer.to_string(), proxy.address))
                .collect();
            let settings = json!({
                "name": node.name, "deployment": "test", "region": node.region,
                "failure_domain": node.domain, "domains": self.plan.domains,
                "listen": {
                    "callers": at_role(false, self.caller_address(at)),
                    "readiness": at_role(false, self.readiness_address(at)),
                    "operators": at_role(true, self.operator_address(at)),
                    "lookups": at_role(true, self.lookup_address(at)),
                    "peers": node.peer, "metrics": self.metrics_address(at),
                },
                "seeds": seeds, "founding": *self.founding.lock().unwrap(),
                "data_folder": node.data,
                "target_list": { "address": self.plan.list_address, "calls_per_s": 40.0 },
                "repeats": { "ratio": 0.2, "slack": 50.0, "window": "10s" },
                "link_mbps": 1000.0, "tunnels": tunnels, "grace": "6s",
            });
            fs::write(&node.settings, settings.to_string()).unwrap();
        }
    }
}
