/*!
A cluster of real daemons on loopback.

Each daemon can connect to each other daemon through separate fault proxies: a plan can set a delay
between failure domains, and a test can cut the connections that one daemon makes to another.
*/

use {
    crate::{
        fault_proxy::FaultProxy,
        node_process::NodeProcess,
        stand_in::{ConcurrencyGauge, TargetPlan, TargetServer},
    },
    hemlockspool_model::{
        api::{
            ConfigResponse, PublishChange, PublishOutcome, PublishRequest, ReplicaRequest,
            ReplicaResponse, StatusResponse,
        },
        names::{ConfigVersion, RequestTag},
        objects::{
            DeclaredObject, DomainObject, EntryObject, KindPolicy, LinkObject, RegionObject,
            RepeatPolicy, ServiceObject, TargetObject,
        },
    },
    reqwest::Client,
    serde_json::json,
    sha2::{Digest, Sha256},
    std::{
        cell::Cell,
        collections::BTreeMap,
        fs,
        io::ErrorKind,
        net::{Ipv4Addr, SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU16, Ordering},
        },
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::{Instant, sleep},
};

pub const TOKEN: &str = "operator-token";
pub const PEER_TOKEN: &str = "peer-secret";
/// Timeout of [`wait_until`], and of requests that set no timeout of their own. At least twice the
/// time limits that the tests check.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A failure domain of a [`ClusterPlan`] and the number of its entries and targets.
#[derive(Clone, Debug)]
pub struct DomainPlan {
    pub name: &'static str,
    pub region: &'static str,
    pub entries: usize,
    pub targets: usize,
}

/// Topology and settings of a [`TestCluster`].
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    pub domains: Vec<DomainPlan>,
    /// Number of entries with a data folder, counted from the first.
    pub replicas: usize,
    pub target: TargetPlan,
    /// Time to live of lookup responses.
    pub ttl_ms: u64,
    pub drain_ms: u64,
    pub link_bytes_per_second: u64,
    /// One-way delays between the failure domains of a region and between regions. Proxies are
    /// started only if this or `proxied` is set.
    pub delays: Option<(Duration, Duration)>,
    pub proxied: bool,
    pub instance_list: Option<SocketAddr>,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        let domain = |name, region| DomainPlan { name, region, entries: 1, targets: 2 };
        Self {
            domains: vec![domain("a1", "a"), domain("a2", "a"), domain("b1", "b")],
            replicas: 3,
            target: TargetPlan::default(),
            ttl_ms: 1_000,
            drain_ms: 300,
            link_bytes_per_second: 500_000_000,
            delays: None,
            proxied: false,
            instance_list: None,
        }
    }
}

/// A running cluster; methods name a daemon by its index in `nodes`.
pub struct TestCluster {
    pub nodes: Vec<NodeProcess>,
    pub targets: Vec<TargetServer>,
    /// Requests that run on the targets of each region.
    pub region_gauges: BTreeMap<String, Arc<ConcurrencyGauge>>,
    pub client: Client,
    pub plan: ClusterPlan,
    /// Proxies by the daemon that connects and the one that it connects to: one for the peer
    /// address, one for the HTTP address.
    proxies: BTreeMap<(usize, usize), Vec<FaultProxy>>,
    _folder: TempDir,
}

/// Returns a loopback address with a free port below Linux's default ephemeral range: an outgoing
/// connection could take an ephemeral port before the daemon listens on it.
///
/// A port is free if it refuses a connection. Listening on it as a check would keep it in use for a
/// moment if another thread starts a process: between fork and exec, the child holds a copy of the
/// listener.
pub fn free_address() -> SocketAddr {
    /// A listener with a full backlog doesn't respond, whereas a free port refuses at once.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = (std::process::id() as u16 % 50) * 400 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + offset % 20_000));
        let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
        if connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused) {
            return address;
        }
    }
}

/// Returns the SHA-256 digest of a text in hexadecimal digits.
pub fn hex_digest(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Polls a condition until it holds; panics with its description after [`WAIT_TIMEOUT`].
pub async fn wait_until<F, Fut>(description: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {description}");
        sleep(Duration::from_millis(20)).await;
    }
}

impl TestCluster {
    /// Starts targets and daemons, and bootstraps the replicas.
    pub async fn start(plan: ClusterPlan) -> Self {
        let cluster = Self::prepare(plan).await;
        for node in &cluster.nodes {
            node.start();
        }
        cluster.bootstrap().await;
        cluster
    }

    /// Starts targets and proxies and writes the settings, but starts no daemon.
    pub async fn prepare(plan: ClusterPlan) -> Self {
        let folder = TempDir::new().unwrap();
        let mut nodes = Vec::new();
        let mut targets = Vec::new();
        let mut region_gauges: BTreeMap<String, Arc<ConcurrencyGauge>> = BTreeMap::new();
        for domain in &plan.domains {
            for index in 0..domain.entries {
                let name = format!("{}-e{index}", domain.name);
                nodes.push(NodeProcess {
                    domain: domain.name.to_owned(),
                    region: domain.region.to_owned(),
                    http: free_address(),
                    peer: free_address(),
                    role: None,
                    settings: folder.path().join(format!("{name}.json")),
                    data: (nodes.len() < plan.replicas).then(|| folder.path().join(&name)),
                    log: folder.path().join(format!("{name}.log")),
                    name,
                    child: Mutex::default(),
                });
            }
            for index in 0..domain.targets {
                let name = format!("{}-t{index}", domain.name);
                let plan = TargetPlan { name, ..plan.target.clone() };
                let any = (Ipv4Addr::LOCALHOST, 0).into();
                let gauge = region_gauges.entry(domain.region.to_owned()).or_default();
                let server = TargetServer::start_with_gauge(any, plan, Arc::clone(gauge)).await;
                targets.push(server.unwrap());
            }
        }
        let client = Client::builder().no_proxy().timeout(WAIT_TIMEOUT).build().unwrap();
        let proxies = BTreeMap::new();
        let mut cluster =
            Self { nodes, targets, region_gauges, client, plan, proxies, _folder: folder };
        cluster.write_settings().await;
        cluster
    }

    /// Initializes the log on the first replica and adds the others as voters.
    pub async fn bootstrap(&self) {
        wait_until("the first replica is initialized", || async {
            self.change_replicas(0, &ReplicaRequest::Init).await == Some(ReplicaResponse::Done)
        })
        .await;
        for index in 1..self.plan.replicas {
            let body = ReplicaRequest::Add(self.nodes[index].name.as_str().into());
            wait_until("a replica is added", || async {
                self.change_replicas(0, &body).await == Some(ReplicaResponse::Done)
            })
            .await;
            let name = &self.nodes[index].name;
            wait_until("a replica is a voter", || async { self.is_voter(0, name).await }).await;
        }
    }

    /// Returns whether the status of a daemon lists an instance as a voter.
    pub async fn is_voter(&self, index: usize, name: &str) -> bool {
        let Some(status) = self.status(index).await else {
            return false;
        };
        let members = status.replica.map(|replica| replica.members).unwrap_or_default();
        members.iter().any(|member| member.name.as_str() == name && member.voter)
    }

    async fn write_settings(&mut self) {
        let replicas: Vec<SocketAddr> =
            self.nodes.iter().filter(|n| n.data.is_some()).map(|n| n.peer).collect();
        for from in 0..self.nodes.len() {
            let routes = self.start_proxies(from).await;
            let node = &self.nodes[from];
            let settings = json!({
                "deployment": "test",
                "name": node.name,
                "domain": node.domain,
                "http": node.http,
                "peer": node.peer,
                "replicas": replicas,
                "data_folder": node.data,
                "peer_token": PEER_TOKEN,
                "operators": [{"name": "ops", "token_sha256": hex_digest(TOKEN)}],
                "instance_list": self.plan.instance_list.map(|a| format!("http://{a}/")),
                "routes": routes,
                "drain_ms": self.plan.drain_ms,
            });
            fs::write(&node.settings, serde_json::to_vec_pretty(&settings).unwrap()).unwrap();
        }
    }

    /// Starts the proxies that a daemon connects through, and returns their addresses by the
    /// address that each forwards to.
    async fn start_proxies(&mut self, from: usize) -> BTreeMap<SocketAddr, SocketAddr> {
        let mut routes = BTreeMap::new();
        if !self.plan.proxied && self.plan.delays.is_none() {
            return routes;
        }
        for to in 0..self.nodes.len() {
            if to == from {
                continue;
            }
            let same_region = self.nodes[to].region == self.nodes[from].region;
            let same_domain = self.nodes[to].domain == self.nodes[from].domain;
            let mut pair = Vec::new();
            for address in [self.nodes[to].peer, self.nodes[to].http] {
                let proxy = FaultProxy::start(address).await.unwrap();
                if let (Some((within, between)), false) = (self.plan.delays, same_domain) {
                    proxy.delay(if same_region { within } else { between });
                }
                routes.insert(address, proxy.address);
                pair.push(proxy);
            }
            self.proxies.insert((from, to), pair);
        }
        routes
    }

    /// Returns the most bytes that a daemon sent to another's HTTP address within any second. The
    /// cluster must have proxies.
    pub fn peak_http_bytes(&self, from: usize, to: usize) -> usize {
        self.proxies[&(from, to)][1].peak_bytes_per_second()
    }

    /// Returns the number of bytes that a daemon has sent to the peer addresses of all others; 0 if
    /// the cluster has no proxies.
    pub fn peer_bytes(&self, from: usize) -> u64 {
        let outgoing = self.proxies.iter().filter(|((connecting, _), _)| *connecting == from);
        outgoing.map(|(_, pair)| pair[0].total_bytes()).sum()
    }

    /// Cuts or restores the connections that a daemon makes to another. Restored ones have no
    /// delay, even if the plan sets one.
    pub fn set_link_cut(&self, from: usize, to: usize, cut: bool) {
        for proxy in &self.proxies[&(from, to)] {
            if cut { proxy.cut() } else { proxy.clear_faults() }
        }
    }

    /// Cuts or restores the connections between a daemon and all others, in both directions.
    pub fn set_isolated(&self, index: usize, isolated: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.set_link_cut(index, other, isolated);
            self.set_link_cut(other, index, isolated);
        }
    }

    /// Returns the declared objects of the plan.
    pub fn objects(&self) -> Vec<DeclaredObject> {
        let mut all: Vec<DeclaredObject> = Vec::new();
        let mut regions: Vec<&str> = self.plan.domains.iter().map(|d| d.region).collect();
        regions.sort_unstable();
        regions.dedup();
        for region in &regions {
            all.push(DeclaredObject::Region(RegionObject { name: (*region).into() }));
            for other in regions.iter().filter(|other| *other != region) {
                all.push(DeclaredObject::Link(LinkObject {
                    name: format!("{region}-{other}").as_str().into(),
                    from: (*region).into(),
                    to: (*other).into(),
                    bytes_per_second: self.plan.link_bytes_per_second,
                }));
            }
        }
        for domain in &self.plan.domains {
            let (name, region) = (domain.name.into(), domain.region.into());
            all.push(DeclaredObject::FailureDomain(DomainObject { name, region }));
        }
        all.push(DeclaredObject::Service(self.service()));
        for node in &self.nodes {
            all.push(DeclaredObject::Entry(EntryObject {
                name: node.name.as_str().into(),
                domain: node.domain.as_str().into(),
                http: node.http,
                peer: node.peer,
            }));
        }
        let mut targets = self.targets.iter();
        for domain in &self.plan.domains {
            for server in targets.by_ref().take(domain.targets) {
                all.push(DeclaredObject::Target(TargetObject {
                    name: server.target.plan.name.as_str().into(),
                    service: "desk".into(),
                    domain: domain.name.into(),
                    address: server.target.address,
                    slots: server.target.plan.slots as u32,
                    connections: 330,
                    ramp_ms: None,
                }));
            }
        }
        all
    }

    fn service(&self) -> ServiceObject {
        let safe = KindPolicy { weight: 1, deadline_ms: 10_000, ..KindPolicy::default() };
        let never = KindPolicy {
            weight: 5,
            repeat: RepeatPolicy::Never,
            deadline_ms: 10_000,
            request_bytes: 1 << 20,
            ..KindPolicy::default()
        };
        let kinds =
            [("read".into(), safe.clone()), ("upload".into(), safe), ("book".into(), never)];
        let lookup_ttl_ms = self.plan.ttl_ms;
        ServiceObject { name: "desk".into(), kinds: kinds.into(), lookup_ttl_ms }
    }

    pub fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[index].http)
    }

    pub async fn status(&self, index: usize) -> Option<StatusResponse> {
        let request =
            self.client.get(self.url(index, "/v1/status")).timeout(Duration::from_secs(2));
        request.send().await.ok()?.json().await.ok()
    }

    pub async fn config(&self, index: usize) -> Option<ConfigResponse> {
        let request =
            self.client.get(self.url(index, "/v1/config")).timeout(Duration::from_secs(2));
        request.send().await.ok()?.json().await.ok()
    }

    /// Publishes a whole set of objects, without retries; returns `None` if the publication gets no
    /// response within 10 seconds, or one without an outcome.
    pub async fn publish(
        &self,
        index: usize,
        tag: &str,
        base: u64,
        objects: Vec<DeclaredObject>,
    ) -> Option<PublishOutcome> {
        let base = ConfigVersion(base);
        self.publish_change(index, tag, base, PublishChange::Objects(objects)).await
    }

    /// Publishes a change, without retries; returns `None` in the same cases as
    /// [`publish`](Self::publish).
    pub async fn publish_change(
        &self,
        index: usize,
        tag: &str,
        base: ConfigVersion,
        change: PublishChange,
    ) -> Option<PublishOutcome> {
        let body = PublishRequest { request: RequestTag::new(tag), base, change };
        let request =
            self.client.post(self.url(index, "/v1/publish")).bearer_auth(TOKEN).json(&body);
        request.timeout(Duration::from_secs(10)).send().await.ok()?.json().await.ok()
    }

    /// Publishes until accepted, waits until the version is in force at every running daemon and
    /// all are ready, and returns the version.
    pub async fn publish_and_wait(&self, tag: &str, objects: Vec<DeclaredObject>) -> u64 {
        let version = Cell::new(0);
        wait_until("a publication is accepted", || async {
            let Some(config) = self.config(0).await else {
                return false;
            };
            let outcome = self.publish(0, tag, config.version.0, objects.clone()).await;
            let Some(PublishOutcome::Accepted { version: accepted }) = outcome else {
                return false;
            };
            version.set(accepted.0);
            true
        })
        .await;
        let version = version.get();
        self.wait_in_force(version).await;
        self.wait_ready().await;
        version
    }

    /// Waits until every running daemon is ready for callers.
    pub async fn wait_ready(&self) {
        for index in (0..self.nodes.len()).filter(|index| self.nodes[*index].is_running()) {
            wait_until("a daemon is ready", || async {
                let response = self.client.get(self.url(index, "/readyz")).send().await;
                response.is_ok_and(|response| response.status() == 200)
            })
            .await;
        }
    }

    /// Waits until a version, or a later one, is in force at every running daemon.
    pub async fn wait_in_force(&self, version: u64) {
        for index in (0..self.nodes.len()).filter(|index| self.nodes[*index].is_running()) {
            wait_until("a version is in force", || async {
                let status = self.status(index).await;
                status.and_then(|s| s.version).is_some_and(|v| v.0 >= version)
            })
            .await;
        }
    }

    pub async fn change_replicas(
        &self,
        index: usize,
        body: &ReplicaRequest,
    ) -> Option<ReplicaResponse> {
        let request =
            self.client.post(self.url(index, "/v1/replicas")).bearer_auth(TOKEN).json(body);
        request.timeout(Duration::from_secs(3)).send().await.ok()?.json().await.ok()
    }

    /// Waits until a replica reports that it is the leader, and returns its index.
    pub async fn leader(&self) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            for index in (0..self.plan.replicas).filter(|index| self.nodes[*index].is_running()) {
                let role = self.status(index).await.and_then(|s| s.replica).map(|r| r.role);
                if role.as_deref() == Some("leader") {
                    return index;
                }
            }
            assert!(Instant::now() < deadline, "no replica is the leader after {WAIT_TIMEOUT:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
