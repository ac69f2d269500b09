//! Case 9: a body that a client sends in chunks with a GET doesn't reach the target, which runs
//! another request than the one that was sent.

use {
    hemlockspool_review_stand_ins_2::{
        common::{self, StandInPlatform},
        record::Record,
    },
    hemlockspool_testkit::fleet::{FleetCluster, FleetPlan},
    std::{collections::BTreeMap, net::SocketAddr, process::ExitCode, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// The number of requests of each method.
const REQUESTS: usize = 10;
/// The time that clients wait.
const DEADLINE: Duration = Duration::from_millis(2_000);

/// Sends a request with a body, in two chunks or with its length, and returns the response's status
/// line, or none without a response in time.
async fn send(
    entry: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
    chunked: bool,
) -> Option<String> {
    let framing = match chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {}", body.len()),
    };
    let head = format!(
        "{method} /look/x HTTP/1.1\r\nhost: {}\r\nx-hemlockspool-attempt-id: {id}\r\nx-hemlockspool-affinity-key: {id}\r\nx-hemlockspool-deadline-ms: {}\r\n{framing}\r\n\r\n",
        common::HOST,
        DEADLINE.as_millis()
    );
    let exchange = async {
        let mut stream = TcpStream::connect(entry).await.ok()?;
        stream.write_all(head.as_bytes()).await.ok()?;
        if chunked {
            let (first, second) = body.split_at(body.len() / 2);
            for piece in [first, second] {
                let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
                stream.write_all(chunk.as_bytes()).await.ok()?;
            }
            stream.write_all(b"0\r\n\r\n").await.ok()?;
        } else {
            stream.write_all(body.as_bytes()).await.ok()?;
        }
        let mut bytes = vec![0; 4_096];
        let count = stream.read(&mut bytes).await.ok()?;
        let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
        text.lines().next().map(str::to_owned)
    };
    timeout(DEADLINE, exchange).await.ok()?
}

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::open();
    let platform = StandInPlatform::start(&["a1", "a1", "a2", "a2", "b1", "b1"]).await;
    let plan = FleetPlan {
        replicas: vec!["a1", "a2", "b1", "a1", "b1"],
        entries: vec!["a1", "a2", "b1"],
        domains: BTreeMap::from([("a1", "a"), ("a2", "a"), ("b1", "b")]),
        list_address: platform.list_address,
        proxied: false,
        bridges: true,
        proxied_targets: Vec::new(),
    };
    let fleet = FleetCluster::start(plan).await;
    let client = common::client();
    common::publish_table(&client, &fleet, 0, 2).await;
    common::wait_all_ready(&client, &fleet).await;
    sleep(Duration::from_secs(1)).await;
    record.line(&format!("3 entries are ready; bodies in chunks: {trouble}"));
    let mut changed = 0;
    for method in ["POST", "PUT", "DELETE", "GET"] {
        for number in 0..REQUESTS {
            let id = format!("{}-{number}", method.to_lowercase());
            let body =
                format!("{{\"route\":\"records of duct {number}\",\"from\":\"2026-01-01\"}}");
            let entry = fleet.entries().nth(number % 3).expect("three entries");
            let status = send(fleet.caller_address(entry), method, &id, &body, trouble).await;
            let runs = platform.run_log.lock().expect("no holder panics").clone();
            let mut is_changed = false;
            for run in runs.iter().filter(|run| run.id == id) {
                is_changed |= run.body_bytes != body.len();
                record.line(&format!(
                    "{id}: {method} with {} bytes sent to entry {entry}; {} ran it with {} bytes; the client got {status:?}{}",
                    body.len(), run.target, run.body_bytes,
                    if run.body_bytes == body.len() { "" } else { "  <- UNASKED" },
                ));
            }
            if runs.iter().all(|run| run.id != id) {
                record.line(&format!(
                    "{id}: {method} with {} bytes sent; not run; the client got {status:?}",
                    body.len()
                ));
            }
            changed += usize::from(is_changed);
        }
    }
    record.line(&format!("{changed} of {} requests were run with another body", 4 * REQUESTS));
    if changed > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
