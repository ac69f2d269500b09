/*!
Open-loop load: arrivals by a seeded schedule that doesn't wait for answers, and what came of them.
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

/// One stream of arrivals.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where requests go; each arrival picks one.
    pub urls: Vec<String>,
    pub per_second: f64,
    pub duration: Duration,
    pub seed: u64,
    /// Whether each request gets a key of its own.
    pub keyed: bool,
    pub body_bytes: usize,
}

/// What came of a stream.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    pub sent: u64,
    pub outcomes: BTreeMap<String, u64>,
    pub ran_per_second: f64,
    pub ran_ms: LatencyReport,
    pub refused_ms: LatencyReport,
}

/// Times in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyReport {
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

impl LatencyReport {
    fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        let max = histogram.max() as f64 / 1_000.0;
        Self { p50: at(0.5), p99: at(0.99), p999: at(0.999), max }
    }
}

struct LoadTally {
    outcomes: BTreeMap<String, u64>,
    ran: Histogram<u64>,
    refused: Histogram<u64>,
}

/// Returns a client that keeps enough connections for a load.
pub fn load_client() -> Client {
    Client::builder().no_proxy().pool_max_idle_per_host(512).tcp_nodelay(true).build().unwrap()
}

/// Sends a stream and waits for its last answer.
pub async fn run_load(client: &Client, plan: LoadPlan) -> LoadReport {
    let mut random = Pcg32::seed_from_u64(plan.seed);
    let histogram = || Histogram::new_with_bounds(1, 120_000_000, 3).unwrap();
    let tally = LoadTally { outcomes: BTreeMap::new(), ran: histogram(), refused: histogram() };
    let tally = Arc::new(Mutex::new(tally));
    let started = Instant::now();
    let mut due = started;
    let (mut sent, mut tasks) = (0u64, Vec::new());
    loop {
        // Exponential gaps: arrivals know nothing of each other.
        let gap = -(1.0 - random.random::<f64>()).ln() / plan.per_second;
        due += Duration::from_secs_f64(gap);
        if due.duration_since(started) > plan.duration {
            break;
        }
        sleep_until(due).await;
        let url = plan.urls[random.random_range(0..plan.urls.len())].clone();
        let mut request = if plan.body_bytes > 0 { client.post(url) } else { client.get(url) };
        if plan.keyed {
            request = request.header("idempotency-key", format!("{}-{sent}", plan.seed));
        }
        if plan.body_bytes > 0 {
            request = request.body(vec![7; plan.body_bytes]);
        }
        sent += 1;
        let tally = Arc::clone(&tally);
        tasks.push(tokio::spawn(async move {
            let outcome = ask(request).await;
            let took = due.elapsed().as_micros() as u64;
            let mut tally = tally.lock().unwrap();
            let times = if outcome == "ran" { &mut tally.ran } else { &mut tally.refused };
            times.saturating_record(took.max(1));
            *tally.outcomes.entry(outcome).or_default() += 1;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let tally = tally.lock().unwrap();
    let ran = tally.outcomes.get("ran").copied().unwrap_or(0);
    LoadReport {
        sent,
        outcomes: tally.outcomes.clone(),
        ran_per_second: ran as f64 / plan.duration.as_secs_f64(),
        ran_ms: LatencyReport::new(&tally.ran),
        refused_ms: LatencyReport::new(&tally.refused),
    }
}

/// Sends one request; a target that is asked directly has no outcome header, and ran it.
async fn ask(request: reqwest::RequestBuilder) -> String {
    let Ok(answer) = request.timeout(Duration::from_secs(30)).send().await else {
        return "broken".to_owned();
    };
    let outcome = answer.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    let outcome = outcome.unwrap_or("ran").to_owned();
    if answer.bytes().await.is_ok() { outcome } else { "broken".to_owned() }
}
