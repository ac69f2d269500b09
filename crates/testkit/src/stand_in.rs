/*!
A target that does as it is told, and keeps a ledger of what it truly ran.
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

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct TargetPlan {
    pub name: String,
    pub slots: usize,
    /// Requests that may wait for a slot before others are shed.
    pub queue: usize,
    pub service_ms: u64,
    /// Of the first requests, in place of `service_ms`.
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

/// The header by which a test marks each sending.
pub const SEND_ID_HEADER: &str = "x-mark";

/// How the target misbehaves.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TargetFaults {
    pub draining: bool,
    pub shed: bool,
    /// Load that it reports in place of the true one.
    pub reported_load: Option<u32>,
    /// Runs the request and then cuts the connection without an answer.
    pub cut_before_answer: bool,
    /// Cuts the answer after this many bytes.
    pub cut_after_bytes: Option<usize>,
    /// Does not answer load requests.
    pub silent: bool,
}

/// What runs on several targets together.
#[derive(Debug, Default)]
pub struct ConcurrencyGauge {
    running: AtomicU32,
    pub peak: AtomicU32,
}

#[derive(Default)]
pub struct RunLedger {
    /// How often each key ran.
    pub keys: BTreeMap<String, u64>,
    /// The sendings that ran, by the mark that the sender put on each.
    pub marks: BTreeSet<String>,
    /// When each sending with a mark began to run.
    pub started: Vec<(Instant, String)>,
}

pub struct StandInTarget {
    pub address: SocketAddr,
    pub plan: TargetPlan,
    pub faults: Mutex<TargetFaults>,
    pub ledger: Mutex<RunLedger>,
    /// Requests that run now, and the most that ever ran at once.
    pub running: AtomicU32,
    pub peak: AtomicU32,
    pub ran: AtomicU64,
    pub shed: AtomicU64,
    pub cancelled: AtomicU64,
    waiting: AtomicU32,
    slots: Semaphore,
    group: Arc<ConcurrencyGauge>,
}

/// Ends the accept loop of a stand-in when dropped.
pub struct TargetServer {
    pub target: Arc<StandInTarget>,
    task: JoinHandle<()>,
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct RunningGuard<'a> {
    target: &'a StandInTarget,
    done: bool,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.target.running.fetch_sub(1, Ordering::SeqCst);
        self.target.group.running.fetch_sub(1, Ordering::SeqCst);
        if !self.done {
            self.target.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl TargetServer {
    pub async fn start(address: SocketAddr, plan: TargetPlan) -> io::Result<Self> {
        Self::start_in(address, plan, Arc::default()).await
    }

    /// Starts a target that counts what it runs with others.
    pub async fn start_in(
        address: SocketAddr,
        plan: TargetPlan,
        group: Arc<ConcurrencyGauge>,
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
            group,
            plan,
        });
        let serving = Arc::clone(&target);
        let route = endpoint::make(move |request| {
            let target = Arc::clone(&serving);
            async move { target.answer(request).await }
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

    async fn answer(&self, request: Request) -> Response {
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

    fn load(&self) -> Response {
        let faults = self.faults.lock().unwrap().clone();
        if faults.silent {
            return StatusCode::INTERNAL_SERVER_ERROR.into();
        }
        let busy = self.running.load(Ordering::SeqCst) + self.waiting.load(Ordering::SeqCst);
        let load = faults.reported_load.unwrap_or(busy);
        let said = TargetLoad { load, draining: faults.draining };
        Response::builder().body(serde_json::to_vec(&said).unwrap())
    }

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

    fn shed_answer(&self) -> Response {
        self.shed.fetch_add(1, Ordering::SeqCst);
        let answer = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
        answer.header(OUTCOME_HEADER, "not-run").header("retry-after", "1").finish()
    }

    async fn run(&self, request: Request) -> Response {
        let faults = self.faults.lock().unwrap().clone();
        let full = self.slots.available_permits() == 0
            && self.waiting.load(Ordering::SeqCst) as usize >= self.plan.queue;
        if faults.shed || full {
            return self.shed_answer();
        }
        let path = request.uri().to_string();
        let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
        let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
        let mark = request.headers().get(SEND_ID_HEADER);
        let mark = mark.and_then(|mark| mark.to_str().ok()).map(str::to_owned);
        let asked = |name: &str| query_number(&path, name);
        let service_ms = asked("service_ms").unwrap_or_else(|| self.service_ms());
        let size = asked("bytes").unwrap_or(0) as usize;
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let slot = self.slots.acquire().await.unwrap();
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
        let together = self.group.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.group.peak.fetch_max(together, Ordering::SeqCst);
        let mut guard = RunningGuard { target: self, done: false };
        self.ran.fetch_add(1, Ordering::SeqCst);
        if let Some(key) = key {
            *self.ledger.lock().unwrap().keys.entry(key).or_default() += 1;
        }
        if let Some(mark) = mark {
            let mut ledger = self.ledger.lock().unwrap();
            ledger.started.push((Instant::now(), mark.clone()));
            ledger.marks.insert(mark);
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
            let broken = stream::iter([Err::<Bytes, _>(io::Error::other("cut"))]);
            return Response::builder()
                .header("content-length", "5")
                .body(Body::from_bytes_stream(broken));
        }
        let digest: String = hasher.finalize().iter().map(|b| format!("{b:02x}")).collect();
        if size == 0 {
            let text = format!("{} ran {path} {received} {digest}\n", self.plan.name);
            return Response::builder().content_type("text/plain").body(text);
        }
        large_answer(size, faults.cut_after_bytes)
    }

    fn service_ms(&self) -> u64 {
        let cold = self.ran.load(Ordering::SeqCst) < self.plan.cold_requests;
        if cold { self.plan.cold_ms } else { self.plan.service_ms }
    }
}

fn query_number(path: &str, name: &str) -> Option<u64> {
    let query = path.split_once('?')?.1;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// The byte at a place of a large answer.
pub fn answer_byte(at: usize) -> u8 {
    (at % 251) as u8
}

fn large_answer(size: usize, cut_after: Option<usize>) -> Response {
    const PIECE: usize = 8 << 10;
    let upto = cut_after.unwrap_or(size).min(size);
    let pieces = (0..upto.div_ceil(PIECE)).map(move |piece| {
        let start = piece * PIECE;
        let end = (start + PIECE).min(upto);
        Ok((start..end).map(answer_byte).collect::<Bytes>())
    });
    let cut = cut_after.is_some().then(|| Err(io::Error::other("cut")));
    let body = Body::from_bytes_stream(stream::iter(pieces.chain(cut)));
    Response::builder().header("content-length", size.to_string()).body(body)
}

/// The platform's list of instances.
pub struct ListServer {
    pub address: SocketAddr,
    pub lines: Arc<Mutex<Vec<ListedInstance>>>,
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
        let lines: Arc<Mutex<Vec<ListedInstance>>> = Arc::default();
        let shown = Arc::clone(&lines);
        let route = endpoint::make_sync(move |_| {
            let lines = shown.lock().unwrap().clone();
            Response::builder().body(serde_json::to_vec(&lines).unwrap())
        });
        let task = tokio::spawn(server.serve(route, std::future::pending(), Duration::ZERO));
        Ok(Self { address, lines, task })
    }
}
