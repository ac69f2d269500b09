/*!
A target of a fleet that works on each request for the time that the request's path says, and
records when it began and whether its work was cut.
*/

use {
    hemlockspool_serve::EndpointServer,
    poem::{Request, Response, endpoint, http::StatusCode},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

const REQUEST_ID: &str = "x-hemlockspool-attempt-id";
/// More than a test sends at once.
const TARGET_SLOTS: usize = 500;

/// A request that a target began to run.
#[derive(Clone, Debug)]
pub struct TimedRun {
    pub id: String,
    pub started_at: Instant,
    /// The time that the entry gave it.
    pub deadline: Option<Duration>,
    pub end: Option<RunEnd>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug)]
pub enum RunEnd {
    Answered(Instant),
    /// Its connection closed before.
    Cut(Instant),
}

/// A running target.
#[derive(Clone, Debug)]
pub struct TimedTarget {
    pub name: String,
    pub address: SocketAddr,
    pub domain: &'static str,
    runs: Arc<Mutex<Vec<TimedRun>>>,
}

/// Ends the record of a run when its handler ends or is dropped.
struct RunGuard {
    runs: Arc<Mutex<Vec<TimedRun>>>,
    index: usize,
    answered: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let end = if self.answered { RunEnd::Answered(now) } else { RunEnd::Cut(now) };
        self.runs.lock().unwrap()[self.index].end = Some(end);
    }
}

impl TimedTarget {
    /// Starts a target, which runs until the test's runtime ends.
    pub async fn start(domain: &'static str) -> Self {
        let server = EndpointServer::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = server.address();
        let target =
            Self { name: format!("i-{}", address.port()), address, domain, runs: Arc::default() };
        let served = target.clone();
        let handler = endpoint::make(move |request| {
            let target = served.clone();
            async move { Ok::<_, poem::Error>(target.respond(request).await) }
        });
        tokio::spawn(server.serve(handler, std::future::pending(), Duration::ZERO));
        target
    }

    /// Returns the target's record on the platform's list.
    pub fn list_record(&self) -> Value {
        json!({
            "service": "s", "addr": self.address, "failure_domain": self.domain, "version": "v1",
            "slots": TARGET_SLOTS, "state": "ready", "cold_left": "0ms",
        })
    }

    pub fn runs(&self) -> Vec<TimedRun> {
        self.runs.lock().unwrap().clone()
    }

    /// Runs a request for the milliseconds that the last part of its path says.
    async fn respond(&self, request: Request) -> Response {
        let started_at = Instant::now();
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let path = request.uri().path();
        if path == "/health" {
            return Response::builder().header("x-hemlockspool-instance-id", &self.name).finish();
        }
        let Some(Ok(run_ms)) = path.rsplit('/').next().map(str::parse) else {
            return StatusCode::NOT_FOUND.into();
        };
        let id = header(REQUEST_ID);
        let deadline = header("x-hemlockspool-deadline-ms").parse().ok().map(Duration::from_millis);
        let mut guard = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(TimedRun { id: id.clone(), started_at, deadline, end: None });
            RunGuard { runs: Arc::clone(&self.runs), index: runs.len() - 1, answered: false }
        };
        sleep(Duration::from_millis(run_ms)).await;
        guard.answered = true;
        Response::builder()
            .header(REQUEST_ID, id)
            .header("x-hemlockspool-response-stamp", "signed")
            .header("x-hemlockspool-server-load", format!("1,0,{TARGET_SLOTS}"))
            .body("ran")
    }
}
