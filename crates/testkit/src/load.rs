/*!
Open-loop load: sends requests by a seeded schedule that doesn't wait for responses, and measures
their outcomes and latencies.
*/

use {
    hdrhistogram::Histogram,
    hemlockspool_model::api::OUTCOME_HEADER,
    rand::Rng,
    rand_pcg::{Pcg32, rand_core::SeedableRng},
    reqwest::Client,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// A stream of requests with random arrival times.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// URLs to choose from at random for each request.
    pub urls: Vec<String>,
    pub per_second: f64,
    pub duration: Duration,
    pub seed: u64,
    /// Whether each request gets its own idempotency key. Runs with the same seed use the same
    /// keys.
    pub keyed: bool,
    /// Size of the body of each request, which is a POST; 0 for a GET without a body.
    pub body_bytes: usize,
}

/// Outcomes of a stream of requests, and their latencies from the time at which each was due.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    pub sent: u64,
    pub outcomes: BTreeMap<String, u64>,
    pub ran_per_second: f64,
    pub ran_ms: LatencyReport,
    /// Latency of requests with any other outcome than `ran`.
    pub refused_ms: LatencyReport,
}

/// Percentiles of the latency in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyReport {
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

impl LatencyReport {
    fn new(histogram: &Histogram<u64>) -> Self {
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        let max = histogram.max() as f64 / 1_000.0;
        Self { p50: quantile_ms(0.5), p99: quantile_ms(0.99), p999: quantile_ms(0.999), max }
    }
}

/// Outcomes so far, and latencies in microseconds of requests that ran and of all others.
struct LoadRecorder {
    outcomes: BTreeMap<String, u64>,
    ran: Histogram<u64>,
    not_ran: Histogram<u64>,
}

/// Returns a client that keeps enough idle connections for open-loop load.
pub fn load_client() -> Client {
    Client::builder().no_proxy().pool_max_idle_per_host(512).tcp_nodelay(true).build().unwrap()
}

/// Sends a stream of requests and waits for the last response.
pub async fn run_load(client: &Client, plan: LoadPlan) -> LoadReport {
    let mut random = Pcg32::seed_from_u64(plan.seed);
    let new_histogram = || Histogram::new_with_bounds(1, 120_000_000, 3).unwrap();
    let recorder =
        LoadRecorder { outcomes: BTreeMap::new(), ran: new_histogram(), not_ran: new_histogram() };
    let recorder = Arc::new(Mutex::new(recorder));
    let started = Instant::now();
    let mut due_at = started;
    let (mut sent, mut tasks) = (0u64, Vec::new());
    loop {
        // Exponential gaps make the arrivals independent of each other.
        let gap = -(1.0 - random.random::<f64>()).ln() / plan.per_second;
        due_at += Duration::from_secs_f64(gap);
        if due_at.duration_since(started) > plan.duration {
            break;
        }
        sleep_until(due_at).await;
        let url = plan.urls[random.random_range(0..plan.urls.len())].clone();
        let mut request = if plan.body_bytes > 0 { client.post(url) } else { client.get(url) };
        if plan.keyed {
            request = request.header("idempotency-key", format!("{}-{sent}", plan.seed));
        }
        if plan.body_bytes > 0 {
            request = request.body(vec![7; plan.body_bytes]);
        }
        sent += 1;
        let recorder = Arc::clone(&recorder);
        tasks.push(tokio::spawn(async move {
            let outcome = send_request(request).await;
            let latency = due_at.elapsed().as_micros() as u64;
            let mut recorder = recorder.lock().unwrap();
            let histogram =
                if outcome == "ran" { &mut recorder.ran } else { &mut recorder.not_ran };
            histogram.saturating_record(latency.max(1));
            *recorder.outcomes.entry(outcome).or_default() += 1;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let recorder = recorder.lock().unwrap();
    let ran = recorder.outcomes.get("ran").copied().unwrap_or(0);
    LoadReport {
        sent,
        outcomes: recorder.outcomes.clone(),
        ran_per_second: ran as f64 / plan.duration.as_secs_f64(),
        ran_ms: LatencyReport::new(&recorder.ran),
        refused_ms: LatencyReport::new(&recorder.not_ran),
    }
}

/// Sends a request and returns its outcome: `broken` without a complete response, otherwise the
/// outcome header, or `ran` without one. A target that is called directly sends the header only if
/// it didn't run the request.
async fn send_request(request: reqwest::RequestBuilder) -> String {
    let Ok(response) = request.timeout(Duration::from_secs(30)).send().await else {
        return "broken".to_owned();
    };
    let outcome = response.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    let outcome = outcome.unwrap_or("ran").to_owned();
    if response.bytes().await.is_ok() { outcome } else { "broken".to_owned() }
}
