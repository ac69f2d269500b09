/*!
Stand-ins for a target and for the platform's list of instances.

The target misbehaves as a test tells it to, and keeps a ledger of the requests that it began to
run.
*/

use {
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    hemlockspool_model::api::{IDEMPOTENCY_KEY_HEADER, ListedInstance, OUTCOME_HEADER, TargetLoad},
    hemlockspool_serve::EndpointServer,
    poem::{Body, Request, Response, endpoint, http::StatusCode},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Capacity and speed of a [`StandInTarget`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct TargetPlan {
    pub name: String,
    pub slots: usize,
    /// Number of requests that may wait for a slot; more are shed.
    pub queue: usize,
    pub service_ms: u64,
    /// Service time of the requests that arrive before `cold_requests` others have begun to run, in
    /// place of `service_ms`.
    pub cold_ms: u64,
    pub cold_requests: u64,
}

impl Default for TargetPlan {
    fn default() -> Self {
        Self {
            name: "target".to_owned(),
            slots: 4,
            queue: 16,
            service_ms: 5,
            cold_ms: 0,
            cold_requests: 0,
        }
    }
}

/// Header by which a test identifies each send of a request.
pub const SEND_ID_HEADER: &str = "x-mark";

/// Faults of a [`StandInTarget`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TargetFaults {
    pub draining: bool,
    pub shed: bool,
    /// Load that the target reports in place of its actual load.
    pub reported_load: Option<u32>,
    /// The target runs the request and then cuts the connection without a response.
    pub cut_before_answer: bool,
    /// The target cuts the connection after this many bytes of a response whose size the request
    /// sets. Bytes that it hasn't flushed by then are lost.
    pub cut_after_bytes: Option<usize>,
    /// Load requests fail with status 500.
    pub silent: bool,
}

/// Number of requests that run on several targets together, and its maximum so far.
#[derive(Debug, Default)]
pub struct ConcurrencyGauge {
    running: AtomicU32,
    pub peak: AtomicU32,
}

/// Requests that a target began to run.
#[derive(Default)]
pub struct RunLedger {
    /// Number of runs of each idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Ids of the sends that began to run.
    pub send_ids: BTreeSet<String>,
    /// Time at which each send with an id began to run.
    pub starts: Vec<(Instant, String)>,
}

/// State of a target.
pub struct StandInTarget {
    pub address: SocketAddr,
    pub plan: TargetPlan,
    pub faults: Mutex<TargetFaults>,
    pub ledger: Mutex<RunLedger>,
    /// Number of requests that run at present, and its maximum so far.
    pub running: AtomicU32,
    pub peak: AtomicU32,
    /// Number of requests that began to run.
    pub ran: AtomicU64,
    /// Number of requests that the target refused.
    pub shed: AtomicU64,
    /// Number of running requests whose handler was dropped before it finished.
    pub cancelled: AtomicU64,
    waiting: AtomicU32,
    slots: Semaphore,
    shared_gauge: Arc<ConcurrencyGauge>,
}

/// Serves a stand-in target; when this is dropped, the server stops and closes its connections.
pub struct TargetServer {
    pub target: Arc<StandInTarget>,
    task: JoinHandle<()>,
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a request as ended when dropped, and as cancelled unless it is done.
struct RunningGuard<'a> {
    target: &'a StandInTarget,
    done: bool,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.target.running.fetch_sub(1, Ordering::SeqCst);
        self.target.shared_gauge.running.fetch_sub(1, Ordering::SeqCst);
        if !self.done {
            self.target.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl TargetServer {
    pub async fn start(address: SocketAddr, plan: TargetPlan) -> io::Result<Self> {
        Self::start_with_gauge(address, plan, Arc::default()).await
    }

    /// Starts a target that also counts its running requests in a gauge shared with others.
    pub async fn start_with_gauge(
        address: SocketAddr,
        plan: TargetPlan,
        shared_gauge: Arc<ConcurrencyGauge>,
    ) -> io::Result<Self> {
        let server = EndpointServer::bind(address).await?;
        let target = Arc::new(StandInTarget {
            address: server.address(),
            faults: Mutex::default(),
            ledger: Mutex::default(),
            running: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            ran: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
            slots: Semaphore::new(plan.slots),
            shared_gauge,
            plan,
        });
        let shared = Arc::clone(&target);
        let route = endpoint::make(move |request| {
            let target = Arc::clone(&shared);
            async move { target.handle(request).await }
        });
        let task = tokio::spawn(server.serve(route, std::future::pending(), Duration::ZERO));
        Ok(Self { target, task })
    }
}

impl StandInTarget {
    pub fn set(&self, faults: TargetFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    pub fn key_runs(&self) -> BTreeMap<String, u64> {
        self.ledger.lock().unwrap().keys.clone()
    }

    async fn handle(&self, request: Request) -> Response {
        match request.uri().path() {
            "/load" => self.load(),
            "/control" => self.control(request).await,
            "/ledger" => {
                let keys = self.key_runs();
                Response::builder().body(serde_json::to_vec(&keys).unwrap())
            }
            _ => self.run(request).await,
        }
    }

    /// Reports the load and whether the target is draining.
    fn load(&self) -> Response {
        let faults = self.faults.lock().unwrap().clone();
        if faults.silent {
            return StatusCode::INTERNAL_SERVER_ERROR.into();
        }
        let busy = self.running.load(Ordering::SeqCst) + self.waiting.load(Ordering::SeqCst);
        let load = faults.reported_load.unwrap_or(busy);
        let report = TargetLoad { load, draining: faults.draining };
        Response::builder().body(serde_json::to_vec(&report).unwrap())
    }

    /// Replaces the target's faults by those in the request body.
    async fn control(&self, request: Request) -> Response {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.set(faults);
                StatusCode::OK.into()
            }
            Err(_) => StatusCode::BAD_REQUEST.into(),
        }
    }

    fn shed_response(&self) -> Response {
        self.shed.fetch_add(1, Ordering::SeqCst);
        let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
        response.header(OUTCOME_HEADER, "not-run").header("retry-after", "1").finish()
    }

    /// Runs a request; the query parameters `service_ms` and `bytes` set its service time and the
    /// size of its response.
    async fn run(&self, request: Request) -> Response {
        let faults = self.faults.lock().unwrap().clone();
        let queue_full = self.slots.available_permits() == 0
            && self.waiting.load(Ordering::SeqCst) as usize >= self.plan.queue;
        if faults.shed || queue_full {
            return self.shed_response();
        }
        let uri = request.uri().to_string();
        let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
        let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
        let send_id = request.headers().get(SEND_ID_HEADER);
        let send_id = send_id.and_then(|send_id| send_id.to_str().ok()).map(str::to_owned);
        let query_value = |name: &str| query_number(&uri, name);
        let service_ms = query_value("service_ms").unwrap_or_else(|| self.service_ms());
        let size = query_value("bytes").unwrap_or(0) as usize;
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let slot = self.slots.acquire().await.unwrap();
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
        let total_running = self.shared_gauge.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.shared_gauge.peak.fetch_max(total_running, Ordering::SeqCst);
        let mut guard = RunningGuard { target: self, done: false };
        self.ran.fetch_add(1, Ordering::SeqCst);
        if let Some(key) = key {
            *self.ledger.lock().unwrap().keys.entry(key).or_default() += 1;
        }
        if let Some(send_id) = send_id {
            let mut ledger = self.ledger.lock().unwrap();
            ledger.starts.push((Instant::now(), send_id.clone()));
            ledger.send_ids.insert(send_id);
        }
        let mut hasher = Sha256::new();
        let mut stream = request.into_body().into_bytes_stream();
        let mut received = 0;
        while let Some(Ok(chunk)) = stream.next().await {
            received += chunk.len();
            hasher.update(&chunk);
        }
        sleep(Duration::from_millis(service_ms)).await;
        guard.done = true;
        drop(guard);
        drop(slot);
        if faults.cut_before_answer {
            let truncated =
                stream::iter([Err::<Bytes, _>(io::Error::other("cut off by the test"))]);
            return Response::builder()
                .header("content-length", "5")
                .body(Body::from_bytes_stream(truncated));
        }
        let digest: String = hasher.finalize().iter().map(|b| format!("{b:02x}")).collect();
        if size == 0 {
            let text = format!("{} ran {uri} {received} {digest}\n", self.plan.name);
            return Response::builder().content_type("text/plain").body(text);
        }
        large_response(size, faults.cut_after_bytes)
    }

    fn service_ms(&self) -> u64 {
        let cold = self.ran.load(Ordering::SeqCst) < self.plan.cold_requests;
        if cold { self.plan.cold_ms } else { self.plan.service_ms }
    }
}

fn query_number(uri: &str, name: &str) -> Option<u64> {
    let query = uri.split_once('?')?.1;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Returns the byte at an offset of a response whose size the request sets.
pub fn response_byte(offset: usize) -> u8 {
    (offset % 251) as u8
}

fn large_response(size: usize, cut_after: Option<usize>) -> Response {
    const CHUNK_BYTES: usize = 8 << 10;
    let sent_bytes = cut_after.unwrap_or(size).min(size);
    let chunks = (0..sent_bytes.div_ceil(CHUNK_BYTES)).map(move |chunk| {
        let start = chunk * CHUNK_BYTES;
        let end = (start + CHUNK_BYTES).min(sent_bytes);
        Ok((start..end).map(response_byte).collect::<Bytes>())
    });
    let error = cut_after.is_some().then(|| Err(io::Error::other("cut off by the test")));
    let body = Body::from_bytes_stream(stream::iter(chunks.chain(error)));
    Response::builder().header("content-length", size.to_string()).body(body)
}

/// Serves the platform's list of instances; when this is dropped, the server stops and closes its
/// connections.
pub struct ListServer {
    pub address: SocketAddr,
    pub instances: Arc<Mutex<Vec<ListedInstance>>>,
    task: JoinHandle<()>,
}

impl Drop for ListServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ListServer {
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let server = EndpointServer::bind(address).await?;
        let address = server.address();
        let instances: Arc<Mutex<Vec<ListedInstance>>> = Arc::default();
        let served = Arc::clone(&instances);
        let route = endpoint::make_sync(move |_| {
            let instances = served.lock().unwrap().clone();
            Response::builder().body(serde_json::to_vec(&instances).unwrap())
        });
        let task = tokio::spawn(server.serve(route, std::future::pending(), Duration::ZERO));
        Ok(Self { address, instances, task })
    }
}
