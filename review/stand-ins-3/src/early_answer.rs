//! Uploads to targets that answer before they have read a long body, keep the connection and read on.

use {
    crate::{
        Verdict,
        fleet::Fleet,
        http::{self, Connection},
        platform::{HOST, Manner, Platform, Route, answer_body, table},
        record::Record,
    },
    std::{
        io::Write,
        net::SocketAddr,
        path::Path,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// The largest upload of the site.
const UPLOAD_BYTES: usize = 360_000;
const UPLOADS: usize = 24;

/// An upload as its caller sees it.
struct Upload {
    id: String,
    sent_bytes: usize,
    response: Option<http::Response>,
}

impl Upload {
    /// Returns whether the caller has sent everything and has the target's whole answer.
    fn is_accepted(&self) -> bool {
        let is_whole = |response: &http::Response| {
            response.status == 200
                && response.complete
                && response.head.get("x-hemlockspool-response-stamp").is_some()
                && response.body == answer_body(&self.id).into_bytes()
        };
        self.sent_bytes == UPLOAD_BYTES && self.response.as_ref().is_some_and(is_whole)
    }
}

/// Sends an upload at once on a connection of its own, reads the answer, and returns the connection,
/// which stays open. `target` is named if the upload goes straight to it.
fn upload(to: SocketAddr, id: &str, target: Option<&str>) -> (Upload, Connection) {
    let mut connection = Connection::open(to).expect("the upload's connection is made");
    let limit = Some(Duration::from_millis(2_500));
    connection.stream.set_read_timeout(limit).expect("a time limit");
    connection.stream.set_write_timeout(limit).expect("a time limit");
    let target = target.map(|name| format!("X-Hemlockspool-Target-Instance: {name}\r\n"));
    let head = format!(
        "POST /drawings/x HTTP/1.1\r\nHost: {HOST}\r\nX-Hemlockspool-Attempt-Id: {id}\r\n\
         X-Hemlockspool-Affinity-Key: {id}\r\nX-Hemlockspool-Deadline-Ms: 2500\r\n{}\
         Content-Length: {UPLOAD_BYTES}\r\n\r\n",
        target.unwrap_or_default()
    );
    let mut sent_bytes = 0;
    if connection.stream.write_all(head.as_bytes()).is_ok() {
        for piece in vec![b'u'; UPLOAD_BYTES].chunks(4_000) {
            if connection.stream.write_all(piece).is_err() {
                break;
            }
            sent_bytes += piece.len();
        }
    }
    let response = connection.read_response();
    (Upload { id: id.to_owned(), sent_bytes, response }, connection)
}

pub fn play(root: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let platform = Platform::start(&["a1", "a1", "a2", "a2", "b1", "b1"]);
    let fleet = Fleet::start(root, platform.list);
    let route =
        Route { prefix: "/drawings/", repeat: "upload", sticky: true, homes: &[], cold_per_s: 7.5 };
    assert_eq!(fleet.publish(0, &table(5, &route)), Some(200), "the table is accepted");
    assert!(fleet.wait_ready(Duration::from_secs(15)), "the entries are ready");
    if trouble {
        for target in &platform.targets {
            target.set_manner(Manner::AnswersEarly);
        }
    }
    let mut uploads = Vec::new();
    let mut connections = Vec::new();
    // The same straight to a target shows that it reads on, and gets the whole body.
    let target = &platform.targets[0];
    let (straight, connection) = upload(target.address, "straight", Some(&target.name));
    assert!(straight.is_accepted(), "the target answers the straight upload");
    connections.push(connection);
    for number in 0..UPLOADS {
        let entry = fleet.entries().nth(number % fleet.entries().len()).expect("an entry");
        let id = format!("up-{number:02}");
        let started = Instant::now();
        let (upload, connection) = upload(fleet.callers(entry), &id, None);
        let status = upload.response.as_ref().map(|response| response.status);
        record.line(format!(
            "{id}: caller sent {} of {UPLOAD_BYTES} bytes to {}, answer {status:?} after {:?}",
            upload.sent_bytes,
            fleet.nodes[entry].name,
            started.elapsed()
        ));
        uploads.push(upload);
        connections.push(connection);
        sleep(Duration::from_millis(50));
    }
    // The targets read on.
    sleep(Duration::from_millis(1_500));
    let runs = platform.runs.lock().unwrap().clone();
    for run in &runs {
        record.line(format!(
            "{}: target {} ran {:?} with {} of {} bytes of the body, {}",
            run.id,
            run.target,
            run.line,
            run.read_bytes,
            run.body_bytes,
            run.cut.as_deref().unwrap_or("all of it")
        ));
    }
    let straight = runs.iter().find(|run| run.id == "straight").expect("the straight upload ran");
    assert_eq!(straight.read_bytes, UPLOAD_BYTES, "the target reads on");
    let is_cut = |upload: &&Upload| {
        upload.is_accepted()
            && runs.iter().any(|run| run.id == upload.id)
            && !runs.iter().any(|run| run.id == upload.id && run.read_bytes == UPLOAD_BYTES)
    };
    let accepted = uploads.iter().filter(|upload| upload.is_accepted()).count();
    let cut = uploads.iter().filter(is_cut).count();
    record.line(format!(
        "{accepted} of {UPLOADS} uploads were sent whole and answered with success; the body of {cut} \
         of these was cut off at its target"
    ));
    assert!(accepted > UPLOADS / 2, "most uploads are answered");
    if cut > 0 { Verdict::Broken } else { Verdict::Held }
}
