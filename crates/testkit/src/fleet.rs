/*!
A fleet of real processes on loopback: entries and replicas whose targets come from a list.

Each instance has its own loopback address. All use the same peer port, as the fleet's settings
require, and the same ports for other uses. Connections to peer addresses can go through fault
proxies.
*/

use {
    crate::{
        cluster::wait_until,
        fault_proxy::FaultProxy,
        node_process::NodeProcess,
        shared_link::{LinkProxy, LinkedSide, SharedLink},
    },
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

const PEER_PORT: u16 = 7_000;
const OPERATOR_PORT: u16 = 7_001;
const LOOKUP_PORT: u16 = 7_002;
const CALLER_PORT: u16 = 7_003;
const READINESS_PORT: u16 = 7_004;
const METRICS_PORT: u16 = 7_005;

/// Topology of a [`FleetCluster`].
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The failure domain of each replica.
    pub replicas: Vec<&'static str>,
    /// The failure domain of each entry.
    pub entries: Vec<&'static str>,
    /// The region of each failure domain.
    pub domains: BTreeMap<&'static str, &'static str>,
    /// Address at which the list of targets is served.
    pub list_address: SocketAddr,
    /// Whether connections to peer addresses go through fault proxies.
    pub proxied: bool,
    /// Whether entries may connect to targets through replicas.
    pub bridges: bool,
    /// Addresses of targets that entries connect to through fault proxies.
    pub proxied_targets: Vec<SocketAddr>,
}

/// The proxies between the first entry and everything else, which share its link.
#[derive(Debug)]
pub struct LinkedEntry {
    pub callers: LinkProxy,
    /// Proxies by the process that connects and the address that it connects to.
    pub proxies: BTreeMap<(usize, SocketAddr), LinkProxy>,
}

/// A running fleet; methods name a process by its index in `nodes`, where replicas come first.
pub struct FleetCluster {
    pub nodes: Vec<NodeProcess>,
    pub plan: FleetPlan,
    /// Proxies by the process that connects and the one that it connects to.
    pub proxies: BTreeMap<(usize, usize), FaultProxy>,
    /// Proxies by the entry that connects and the address of the target.
    pub target_proxies: BTreeMap<(usize, SocketAddr), FaultProxy>,
    pub linked_entry: Option<LinkedEntry>,
    addresses: Vec<Ipv4Addr>,
    bootstrapping: Mutex<bool>,
    folder: TempDir,
}

/// Returns loopback addresses that no other cluster uses, in this or another test process.
///
/// Addresses repeat after 256 in one process, and in processes whose ids differ by a multiple of
/// 60,000.
fn allocate_addresses(count: usize) -> Vec<Ipv4Addr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    let (high, low) = ((10 + pid / 250 % 240) as u8, (pid % 250) as u8);
    (0..count).map(|_| Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::SeqCst))).collect()
}

/// Starts the proxies between one process and all others and some targets.
async fn link_entry(
    addresses: &[Ipv4Addr],
    entry: usize,
    targets: &[SocketAddr],
    link: &SharedLink,
) -> LinkedEntry {
    let mut proxies = BTreeMap::new();
    let peers: Vec<SocketAddr> =
        addresses.iter().map(|address| (*address, PEER_PORT).into()).collect();
    for (other, peer) in peers.iter().enumerate().filter(|(other, _)| *other != entry) {
        let from_entry = LinkProxy::start(*peer, LinkedSide::Connecting, link).await.unwrap();
        proxies.insert((entry, *peer), from_entry);
        let to_entry = LinkProxy::start(peers[entry], LinkedSide::Accepting, link).await.unwrap();
        proxies.insert((other, peers[entry]), to_entry);
    }
    for target in targets {
        let proxy = LinkProxy::start(*target, LinkedSide::Connecting, link).await.unwrap();
        proxies.insert((entry, *target), proxy);
    }
    let caller_address = (addresses[entry], CALLER_PORT).into();
    let callers = LinkProxy::start(caller_address, LinkedSide::Accepting, link).await.unwrap();
    LinkedEntry { callers, proxies }
}

impl FleetCluster {
    /// Writes the settings, starts all processes and lets the replicas bootstrap the deployment.
    pub async fn start(plan: FleetPlan) -> Self {
        Self::start_linked(plan, None).await
    }

    /// Does the same with the first entry behind a link, if any: its connections from and to all
    /// processes, to these targets, and from callers that use the proxy in front of it.
    pub async fn start_linked(plan: FleetPlan, link: Option<(&SharedLink, &[SocketAddr])>) -> Self {
        let count = plan.replicas.len() + plan.entries.len();
        let addresses = allocate_addresses(count);
        let mut proxies = BTreeMap::new();
        if plan.proxied {
            for from in 0..count {
                for to in (0..count).filter(|to| *to != from) {
                    let proxy = FaultProxy::start((addresses[to], PEER_PORT).into()).await.unwrap();
                    proxies.insert((from, to), proxy);
                }
            }
        }
        let mut target_proxies = BTreeMap::new();
        for target in &plan.proxied_targets {
            for entry in plan.replicas.len()..count {
                let proxy = FaultProxy::start(*target).await.unwrap();
                target_proxies.insert((entry, *target), proxy);
            }
        }
        let linked_entry = match link {
            Some((link, targets)) => {
                let entry = plan.replicas.len();
                Some(link_entry(&addresses, entry, targets, link).await)
            }
            None => None,
        };
        let folder = TempDir::new().unwrap();
        let bootstrapping = Mutex::new(true);
        let mut cluster = Self {
            nodes: Vec::new(),
            plan,
            proxies,
            target_proxies,
            linked_entry,
            addresses,
            bootstrapping,
            folder,
        };
        for index in 0..count {
            let node = cluster.node_process(index);
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
        // Only the first start bootstraps: an empty data folder at a later start means a lost disk.
        *cluster.bootstrapping.lock().unwrap() = false;
        cluster.write_settings();
        cluster
    }

    pub fn replicas(&self) -> std::ops::Range<usize> {
        0..self.plan.replicas.len()
    }

    pub fn entries(&self) -> std::ops::Range<usize> {
        self.plan.replicas.len()..self.nodes.len()
    }

    pub fn domain_of(&self, index: usize) -> &'static str {
        let replicas = self.plan.replicas.len();
        self.plan.replicas.get(index).or_else(|| self.plan.entries.get(index - replicas)).unwrap()
    }

    pub fn peer_address(&self, index: usize) -> SocketAddr {
        (self.addresses[index], PEER_PORT).into()
    }

    pub fn operator_address(&self, index: usize) -> SocketAddr {
        (self.addresses[index], OPERATOR_PORT).into()
    }

    pub fn lookup_address(&self, index: usize) -> SocketAddr {
        (self.addresses[index], LOOKUP_PORT).into()
    }

    pub fn caller_address(&self, index: usize) -> SocketAddr {
        (self.addresses[index], CALLER_PORT).into()
    }

    pub fn readiness_address(&self, index: usize) -> SocketAddr {
        (self.addresses[index], READINESS_PORT).into()
    }

    pub fn metrics_address(&self, index: usize) -> SocketAddr {
        (self.addresses[index], METRICS_PORT).into()
    }

    /// Kills a replica and removes its data folder.
    pub fn kill_and_wipe(&self, index: usize) {
        self.nodes[index].kill();
        // The folder may not exist yet, which has the same effect as removing it.
        let _ = fs::remove_dir_all(self.nodes[index].data.as_ref().unwrap());
    }

    fn node_process(&self, index: usize) -> NodeProcess {
        let is_replica = index < self.plan.replicas.len();
        let (role, name) = match is_replica {
            true => ("replica", format!("replica-{index}")),
            false => ("entry", format!("entry-{index}")),
        };
        let path = |ending: &str| self.folder.path().join(format!("{name}{ending}"));
        let domain = self.domain_of(index);
        NodeProcess {
            domain: domain.to_owned(),
            region: self.plan.domains[domain].to_owned(),
            http: (self.addresses[index], if is_replica { OPERATOR_PORT } else { CALLER_PORT })
                .into(),
            peer: (self.addresses[index], PEER_PORT).into(),
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
            self.replicas().take(3).map(|index| self.operator_address(index)).collect();
        for (index, node) in self.nodes.iter().enumerate() {
            let is_replica = self.replicas().contains(&index);
            let address_if = |for_replica: bool, address: SocketAddr| {
                (is_replica == for_replica).then_some(address)
            };
            let tunnels: BTreeMap<String, SocketAddr> = (self.proxies.iter())
                .filter(|((from, _), _)| *from == index)
                .map(|((_, to), proxy)| (self.nodes[*to].peer.to_string(), proxy.address))
                .chain(
                    (self.target_proxies.iter())
                        .filter(|((entry, _), _)| *entry == index)
                        .map(|((_, target), proxy)| (target.to_string(), proxy.address)),
                )
                .chain(
                    (self.linked_entry.iter().flat_map(|linked| &linked.proxies))
                        .filter(|((from, _), _)| *from == index)
                        .map(|((_, to), proxy)| (to.to_string(), proxy.address)),
                )
                .collect();
            let settings = json!({
                "name": node.name, "deployment": "test", "region": node.region,
                "failure_domain": node.domain, "domains": self.plan.domains,
                "listen": {
                    "callers": address_if(false, self.caller_address(index)),
                    "readiness": address_if(false, self.readiness_address(index)),
                    "operators": address_if(true, self.operator_address(index)),
                    "lookups": address_if(true, self.lookup_address(index)),
                    "peers": node.peer, "metrics": self.metrics_address(index),
                },
                "seeds": seeds, "founding": *self.bootstrapping.lock().unwrap(),
                "data_folder": node.data,
                "target_list": { "address": self.plan.list_address, "calls_per_s": 40.0 },
                "repeats": { "ratio": 0.2, "slack": 50.0, "window": "10s" },
                "link_mbps": 1000.0, "tunnels": tunnels, "bridges": self.plan.bridges,
                "grace": "6s",
            });
            fs::write(&node.settings, settings.to_string()).unwrap();
        }
    }
}
