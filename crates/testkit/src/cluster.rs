/*!
A cluster of real daemons on loopback.

Every daemon dials every other through a fault proxy of its own, so that any pair can be delayed or
cut, one way or both.
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
        net::{Ipv4Addr, SocketAddr, TcpListener},
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
/// How long conditions are waited for; far above any stated bound.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// One failure domain of a plan.
#[derive(Clone, Debug)]
pub struct DomainPlan {
    pub name: &'static str,
    pub region: &'static str,
    pub entries: usize,
    pub targets: usize,
}

/// What a cluster looks like.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    pub domains: Vec<DomainPlan>,
    /// How many of the first entries have a disk.
    pub replicas: usize,
    pub target: TargetPlan,
    pub ttl_ms: u64,
    pub drain_ms: u64,
    pub link_bytes_per_second: u64,
    /// One-way delays within and between regions; no proxies without them or `proxied`.
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

/// A running cluster.
pub struct TestCluster {
    pub nodes: Vec<NodeProcess>,
    pub targets: Vec<TargetServer>,
    /// What runs in each region.
    pub regions: BTreeMap<String, Arc<ConcurrencyGauge>>,
    pub client: Client,
    pub plan: ClusterPlan,
    /// Proxies by who dials and whose address is dialed.
    proxies: BTreeMap<(usize, usize), Vec<FaultProxy>>,
    _folder: TempDir,
}

/// Returns a free port on loopback, below those that the system gives to outgoing connections: one
/// of those could be taken again before the daemon listens.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = (std::process::id() as u16 % 50) * 400 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + offset % 20_000));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn hex_digest(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Waits until a condition holds.
pub async fn wait_until<F, Fut>(what: &str, mut holds: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < deadline, "not in time: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

impl TestCluster {
    /// Starts targets and daemons, makes the first replica and adds the others.
    pub async fn start(plan: ClusterPlan) -> Self {
        let cluster = Self::prepare(plan).await;
        for node in &cluster.nodes {
            node.start();
        }
        cluster.form().await;
        cluster
    }

    /// Makes everything but starts no daemon.
    pub async fn prepare(plan: ClusterPlan) -> Self {
        let folder = TempDir::new().unwrap();
        let mut nodes = Vec::new();
        let mut targets = Vec::new();
        let mut regions: BTreeMap<String, Arc<ConcurrencyGauge>> = BTreeMap::new();
        for domain in &plan.domains {
            for place in 0..domain.entries {
                let name = format!("{}-e{place}", domain.name);
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
            for place in 0..domain.targets {
                let name = format!("{}-t{place}", domain.name);
                let plan = TargetPlan { name, ..plan.target.clone() };
                let any = (Ipv4Addr::LOCALHOST, 0).into();
                let group = regions.entry(domain.region.to_owned()).or_default();
                let server = TargetServer::start_in(any, plan, Arc::clone(group)).await;
                targets.push(server.unwrap());
            }
        }
        let client = Client::builder().no_proxy().timeout(WAIT_TIMEOUT).build().unwrap();
        let proxies = BTreeMap::new();
        let mut cluster = Self { nodes, targets, regions, client, plan, proxies, _folder: folder };
        cluster.write_settings().await;
        cluster
    }

    /// Makes the log's first voter and adds the other replicas.
    pub async fn form(&self) {
        wait_until("the first voter", || async {
            self.change_replicas(0, &ReplicaRequest::Init).await == Some(ReplicaResponse::Done)
        })
        .await;
        for index in 1..self.plan.replicas {
            let body = ReplicaRequest::Add(self.nodes[index].name.as_str().into());
            wait_until("a replica is taken in", || async {
                self.change_replicas(0, &body).await == Some(ReplicaResponse::Done)
            })
            .await;
            let name = &self.nodes[index].name;
            wait_until("a replica votes", || async { self.votes(0, name).await }).await;
        }
    }

    /// Whether an entry knows that an instance votes.
    pub async fn votes(&self, at: usize, name: &str) -> bool {
        let Some(status) = self.status(at).await else {
            return false;
        };
        let members = status.replica.map(|replica| replica.members).unwrap_or_default();
        members.iter().any(|one| one.name.as_str() == name && one.voter)
    }

    async fn write_settings(&mut self) {
        let replicas: Vec<SocketAddr> =
            self.nodes.iter().filter(|n| n.data.is_some()).map(|n| n.peer).collect();
        for from in 0..self.nodes.len() {
            let routes = self.routes(from).await;
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

    async fn routes(&mut self, from: usize) -> BTreeMap<SocketAddr, SocketAddr> {
        let mut routes = BTreeMap::new();
        if !self.plan.proxied && self.plan.delays.is_none() {
            return routes;
        }
        for to in 0..self.nodes.len() {
            if to == from {
                continue;
            }
            let near = self.nodes[to].region == self.nodes[from].region;
            let own = self.nodes[to].domain == self.nodes[from].domain;
            let mut pair = Vec::new();
            for address in [self.nodes[to].peer, self.nodes[to].http] {
                let proxy = FaultProxy::start(address).await.unwrap();
                if let (Some((within, between)), false) = (self.plan.delays, own) {
                    proxy.delay(if near { within } else { between });
                }
                routes.insert(address, proxy.address);
                pair.push(proxy);
            }
            self.proxies.insert((from, to), pair);
        }
        routes
    }

    /// The most bytes that one daemon sent to another's HTTP address within any second.
    pub fn peak_http_bytes(&self, from: usize, to: usize) -> usize {
        self.proxies[&(from, to)][1].peak_bytes_per_second()
    }

    /// The bytes that one daemon has sent to all others' peer addresses.
    pub fn peer_bytes(&self, from: usize) -> u64 {
        let own = self.proxies.iter().filter(|((dialing, _), _)| *dialing == from);
        own.map(|(_, pair)| pair[0].total_bytes()).sum()
    }

    /// Cuts what one daemon dials at another, or mends it.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        for proxy in &self.proxies[&(from, to)] {
            if cut { proxy.cut() } else { proxy.clear_faults() }
        }
    }

    /// Cuts one daemon off from all others both ways, or mends it.
    pub fn isolate(&self, node: usize, cut: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            self.cut(node, other, cut);
            self.cut(other, node, cut);
        }
    }

    /// The objects of the plan.
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

    pub fn url(&self, at: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[at].http)
    }

    pub async fn status(&self, at: usize) -> Option<StatusResponse> {
        let asking = self.client.get(self.url(at, "/v1/status")).timeout(Duration::from_secs(2));
        asking.send().await.ok()?.json().await.ok()
    }

    pub async fn config(&self, at: usize) -> Option<ConfigResponse> {
        let asking = self.client.get(self.url(at, "/v1/config")).timeout(Duration::from_secs(2));
        asking.send().await.ok()?.json().await.ok()
    }

    /// Sends one publication, once.
    pub async fn publish(
        &self,
        at: usize,
        tag: &str,
        base: u64,
        objects: Vec<DeclaredObject>,
    ) -> Option<PublishOutcome> {
        let base = ConfigVersion(base);
        self.publish_change(at, tag, base, PublishChange::Objects(objects)).await
    }

    /// Sends one publication of any form, once.
    pub async fn publish_change(
        &self,
        at: usize,
        tag: &str,
        base: ConfigVersion,
        change: PublishChange,
    ) -> Option<PublishOutcome> {
        let body = PublishRequest { request: RequestTag::new(tag), base, change };
        let posting = self.client.post(self.url(at, "/v1/publish")).bearer_auth(TOKEN).json(&body);
        posting.timeout(Duration::from_secs(10)).send().await.ok()?.json().await.ok()
    }

    /// Publishes until accepted, and waits until the version is in force at every daemon that runs.
    pub async fn publish_in_force(&self, tag: &str, objects: Vec<DeclaredObject>) -> u64 {
        let version = Cell::new(0);
        wait_until("a publication is accepted", || async {
            let Some(config) = self.config(0).await else {
                return false;
            };
            let answer = self.publish(0, tag, config.version.0, objects.clone()).await;
            let Some(PublishOutcome::Accepted { version: got }) = answer else {
                return false;
            };
            version.set(got.0);
            true
        })
        .await;
        let version = version.get();
        self.in_force(version).await;
        self.ready().await;
        version
    }

    /// Waits until every daemon that runs is ready for callers.
    pub async fn ready(&self) {
        for at in (0..self.nodes.len()).filter(|at| self.nodes[*at].is_running()) {
            wait_until("a daemon is ready", || async {
                let asking = self.client.get(self.url(at, "/readyz")).send().await;
                asking.is_ok_and(|answer| answer.status() == 200)
            })
            .await;
        }
    }

    /// Waits until a version is in force at every daemon that runs.
    pub async fn in_force(&self, version: u64) {
        for at in (0..self.nodes.len()).filter(|at| self.nodes[*at].is_running()) {
            wait_until("a version is in force", || async {
                let status = self.status(at).await;
                status.and_then(|s| s.version).is_some_and(|v| v.0 >= version)
            })
            .await;
        }
    }

    pub async fn change_replicas(
        &self,
        at: usize,
        body: &ReplicaRequest,
    ) -> Option<ReplicaResponse> {
        let posting = self.client.post(self.url(at, "/v1/replicas")).bearer_auth(TOKEN).json(body);
        posting.timeout(Duration::from_secs(3)).send().await.ok()?.json().await.ok()
    }

    /// The daemon that leads now.
    pub async fn leader(&self) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            for at in (0..self.plan.replicas).filter(|at| self.nodes[*at].is_running()) {
                let role = self.status(at).await.and_then(|s| s.replica).map(|r| r.role);
                if role.as_deref() == Some("leader") {
                    return at;
                }
            }
            assert!(Instant::now() < deadline, "nobody leads");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
