//! Case 10: an entry breaks off an upload at a target that is at work on it and reads the rest of the
//! body late; the entry is being stopped as planned.

use {
    hemlockspool_review_stand_ins_2::{
        common::{self, StandInPlatform},
        record::Record,
    },
    hemlockspool_testkit::fleet::{FleetCluster, FleetPlan},
    serde_json::json,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        process::ExitCode,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, sleep},
    },
};

/// The size of an upload: below the largest of `scan-upload` on `dbuir-spool`, 360,000 bytes.
const UPLOAD_BYTES: usize = 300_000;
/// The number of uploads that are in progress when the entry is asked to stop.
const UPLOADS: usize = 4;
/// `deadline_ms` of `scan-upload`; the route's timeout is the same.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// What a target reads of a body before it works on it.
const FIRST_BYTES: usize = 16 << 10;
/// How long it works before it reads the rest.
const WORK_TIME: Duration = Duration::from_millis(1_700);

/// What became of a request at its target.
#[derive(Clone, Debug)]
struct Run {
    target: String,
    began: Instant,
    ended: Option<(Instant, Result<usize, String>)>,
}

type Runs = Arc<Mutex<BTreeMap<String, Run>>>;

/// Serves one request at a time on a connection.
async fn serve(
    mut stream: TcpStream,
    name: String,
    reads_late: bool,
    runs: Runs,
) -> io::Result<()> {
    loop {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            // Small reads, so that the body stays in the socket.
            let mut piece = [0; 1_024];
            let count = stream.read(&mut piece).await?;
            if count == 0 {
                return Ok(());
            }
            bytes.extend_from_slice(&piece[..count]);
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
        let field = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(&format!("{name}:")));
            line.map(|value| value.trim().to_owned())
        };
        if head.starts_with("get /health") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-hemlockspool-instance-id: {name}\r\ncontent-length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        let id = field("x-hemlockspool-attempt-id").unwrap_or_default();
        let length: usize = field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        if field("x-hemlockspool-target-instance").as_deref() != Some(&name) {
            stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").await?;
            return Ok(());
        }
        let mut body_bytes = bytes.len() - head_end;
        let run = Run { target: name.clone(), began: Instant::now(), ended: None };
        runs.lock().expect("no holder panics").insert(id.clone(), run);
        let reading = async {
            let mut piece = vec![0; 4_096];
            let mut is_paused = false;
            while body_bytes < length {
                if reads_late && body_bytes >= FIRST_BYTES && !is_paused {
                    is_paused = true;
                    sleep(WORK_TIME).await;
                }
                let count = stream.read(&mut piece).await?;
                if count == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                body_bytes += count;
            }
            if !reads_late {
                sleep(WORK_TIME).await;
            }
            let text = format!("ran {id} {body_bytes}");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-hemlockspool-attempt-id: {id}\r\nx-hemlockspool-response-stamp: signed\r\nx-hemlockspool-server-load: 1,0,16\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            stream.write_all(answer.as_bytes()).await
        };
        let result: io::Result<()> = reading.await;
        let ended = result.as_ref().map(|()| body_bytes).map_err(ToString::to_string);
        if let Some(run) = runs.lock().expect("no holder panics").get_mut(&id) {
            run.ended = Some((Instant::now(), ended));
        }
        result?;
    }
}

/// Starts a target and returns its address.
async fn start_target(name: String, reads_late: bool, runs: Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, name.clone(), reads_late, Arc::clone(&runs)));
        }
    });
    address
}

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::open();
    let runs = Runs::default();
    let platform = StandInPlatform::start(&[]).await;
    for (index, zone) in ["a1", "a1", "a2", "a2", "b1", "b1"].into_iter().enumerate() {
        let name = format!("i-{index}");
        let address = start_target(name.clone(), trouble, Arc::clone(&runs)).await;
        let fields = json!({
            "service": "s", "addr": address, "failure_domain": zone, "version": "v1", "slots": 16,
            "state": "ready", "cold_left": "0ms",
        });
        platform.extra_records.lock().expect("no holder panics").insert(name, fields);
    }
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
    sleep(Duration::from_secs(4)).await;
    record.line(&format!("3 entries are ready; targets read long bodies late: {trouble}"));
    let entry = fleet.entries().start;
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let id = format!("u-{number}");
            let request = client
                .post(format!("http://{}/upload/x", fleet.caller_address(entry)))
                .header("host", common::HOST)
                .header("x-hemlockspool-attempt-id", &id)
                .header("x-hemlockspool-affinity-key", &id)
                .header("x-hemlockspool-deadline-ms", DEADLINE.as_millis().to_string())
                .timeout(DEADLINE)
                .body(vec![b'u'; UPLOAD_BYTES]);
            tokio::spawn(async move {
                let sent = Instant::now();
                let answer = match request.send().await {
                    Ok(response) => {
                        let status = response.status().as_u16();
                        format!(
                            "{status} {}",
                            response
                                .text()
                                .await
                                .unwrap_or_else(|error| format!("broken: {error}"))
                        )
                    }
                    Err(error) => format!("failed: {error}"),
                };
                (id, sent, sent.elapsed(), answer)
            })
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    let stopped = Instant::now();
    record.line(&format!("SIGTERM to {}; grace is 6 s", fleet.nodes[entry].name));
    let exit = fleet.nodes[entry].stop().await;
    record.line(&format!(
        "{} exited with {exit:?} after {:.2} s",
        fleet.nodes[entry].name,
        stopped.elapsed().as_secs_f64()
    ));
    let mut broken = 0;
    for upload in uploads {
        let Ok((id, sent, took, answer)) = upload.await else { return ExitCode::from(2) };
        let run = runs.lock().expect("no holder panics").get(&id).cloned();
        let is_whole = answer.starts_with("200 ran");
        let is_broken = run.is_some() && !is_whole && took < DEADLINE;
        broken += usize::from(is_broken);
        let at_target = run.map(|run| {
            let ended = run
                .ended
                .map(|(at, result)| (format!("{:.2} s", (at - sent).as_secs_f64()), result));
            format!(
                "{} began after {:.2} s, ended {ended:?}",
                run.target,
                (run.began - sent).as_secs_f64()
            )
        });
        record.line(&format!(
            "{id}: {UPLOAD_BYTES} bytes; target: {at_target:?}; the client got {answer:?} after {:.2} s{}",
            took.as_secs_f64(),
            if is_broken { " <- LOST" } else { "" }
        ));
    }
    record.line(&format!(
        "{broken} of {UPLOADS} uploads were broken off while their target was at work"
    ));
    if broken > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
