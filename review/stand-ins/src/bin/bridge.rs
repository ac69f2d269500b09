//! An entry is cut off from the targets and connects to them through the replicas of its region. One
//! of these is stopped as planned while responses without a length pass through it.

use {
    review_stand_ins::{
        CutProxy, DEADLINE, DOMAINS, ENTRIES, Fleet, HOST, INSTANCE, INTENDED, KEY, LOAD, Message,
        NOT_RUN, REQUEST_ID, Reader, Record, SIGTERM, STAMP, call, list_record, response, route,
        run_case, serve, serve_list, table, trouble,
    },
    std::{
        collections::BTreeMap,
        io::{self, Write},
        net::{Shutdown, SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::Duration,
    },
};

const SERVICE: &str = "route-registry";
const SLOTS: u32 = 9;
/// The number of pieces of a response, and the time between two.
const PIECES: usize = 10;
const PIECE_TIME: Duration = Duration::from_millis(80);
/// The entry that is cut off, and the replicas of its region.
const ENTRY: usize = 0;
const BRIDGES: [usize; 2] = [0, 3];
/// The length of the cut: that of the site file's longest `node_cut`.
const CUT: Duration = Duration::from_secs(10);
/// The rounds of stops, and the callers of the entry.
const ROUNDS: usize = 2;
const CALLERS: u32 = 80;
/// Of the answers of a share of 0.58 of the backends, one in so many has no length: within the site's
/// `garble`, 0.05 of the answers of 0.6 of the backends.
const ONE_IN: u32 = 20;

fn body_of(id: &str) -> String {
    (0..PIECES).map(|piece| format!("piece {piece} of the answer to {id}\n")).collect()
}

struct Target {
    name: String,
    domain: &'static str,
    address: SocketAddr,
}

fn respond(
    name: &str,
    (running, answers): (&AtomicU32, Option<&AtomicU32>),
    record: &Record,
    message: &Message,
    reader: &mut Reader,
) -> io::Result<bool> {
    let mut request = message.clone();
    reader.body(&mut request, false)?;
    if request.path() == "/health" {
        let headers = [(INSTANCE, name.to_owned())];
        reader.stream().write_all(&response(200, &headers, b""))?;
        return Ok(true);
    }
    let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
    if request.header(INTENDED).is_some_and(|intended| intended != name) {
        let headers = [(REQUEST_ID, id), (NOT_RUN, "1".to_owned())];
        reader.stream().write_all(&response(421, &headers, b""))?;
        return Ok(true);
    }
    let load = running.fetch_add(1, Ordering::SeqCst);
    record.line(&format!("{name} runs {id}"));
    let body = body_of(&id);
    let is_unframed =
        answers.is_some_and(|answers| answers.fetch_add(1, Ordering::SeqCst) % ONE_IN == 0);
    let length = match is_unframed {
        true => String::new(),
        false => format!("content-length: {}\r\n", body.len()),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{STAMP}: 3e1b.07\r\n{LOAD}: {load},0,{SLOTS}\r\n\
         connection: close\r\n{length}\r\n"
    );
    let mut sent = reader.stream().write_all(head.as_bytes());
    for piece in body.split_inclusive('\n') {
        thread::sleep(PIECE_TIME);
        sent = sent.and_then(|()| reader.stream().write_all(piece.as_bytes()));
    }
    running.fetch_sub(1, Ordering::SeqCst);
    let end = if sent.is_ok() { "whole" } else { "its connection was closed" };
    let kind = if is_unframed { " without a length" } else { "" };
    record.line(&format!("{name} has answered {id}{kind}: {end}"));
    let _ = reader.stream().shutdown(Shutdown::Write);
    Ok(false)
}

fn case(record: &Record) -> bool {
    let mut targets = Vec::new();
    for index in 0..24 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let name = format!("i-{index:02}{:05}", address.port());
        let (served, running, log) = (name.clone(), AtomicU32::new(0), record.clone());
        let answers = (index * 5 % 12 < 7).then(|| AtomicU32::new(0));
        serve(listener, move |message, reader| {
            respond(&served, (&running, answers.as_ref()), &log, message, reader)
        });
        targets.push(Target { name, domain: DOMAINS[index % DOMAINS.len()].0, address });
    }
    let proxies: Vec<CutProxy> =
        targets.iter().map(|target| CutProxy::start(target.address)).collect();
    let tunnels: BTreeMap<SocketAddr, SocketAddr> = targets
        .iter()
        .zip(&proxies)
        .map(|(target, proxy)| (target.address, proxy.address))
        .collect();
    let records: Vec<(String, String)> = targets
        .iter()
        .map(|target| {
            let record = list_record(SERVICE, target.address, target.domain, SLOTS, 0);
            (target.name.clone(), record)
        })
        .collect();
    let list = serve_list(move || records.clone());
    let fleet = Fleet::start(list, BTreeMap::from([(ENTRY, tunnels)]));
    fleet.publish(0, &table(2, &[route("look", "/look/", "safe", SERVICE)], SERVICE, 19.0));
    fleet.wait_ready();
    record.line(&format!("{} entries are ready", ENTRIES.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let broken = Arc::new(Mutex::new(Vec::<String>::new()));
    let (whole, failed) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (address, record) = (fleet.callers(ENTRY), record.clone());
            let (stop, broken) = (Arc::clone(&stop), Arc::clone(&broken));
            let (whole, failed) = (Arc::clone(&whole), Arc::clone(&failed));
            thread::spawn(move || {
                // The callers are spread over the time that one answer takes.
                thread::sleep(PIECE_TIME * (caller % PIECES as u32));
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{caller:04x}{number:012x}");
                    let headers = [
                        ("host", HOST.to_owned()),
                        (REQUEST_ID, id.clone()),
                        (KEY, format!("{}", caller * 1_000 + number)),
                        (DEADLINE, "2500".to_owned()),
                    ];
                    let limit = Duration::from_millis(2_500);
                    let result = call(address, "GET", "/look/x", &headers, b"", limit);
                    let outcome = match &result {
                        Ok(message) => format!(
                            "{} with {} bytes, {}",
                            message.status(),
                            message.body.len(),
                            if message.complete { "complete" } else { "incomplete" }
                        ),
                        Err(error) => format!("no answer: {error}"),
                    };
                    record.line(&format!("caller {caller} got for {id}: {outcome}"));
                    let success = result.ok().filter(|message| {
                        (200..300).contains(&message.status()) && message.complete
                    });
                    match success {
                        Some(message) if message.body == body_of(&id).as_bytes() => {
                            whole.fetch_add(1, Ordering::SeqCst);
                        }
                        Some(message) => {
                            let text = format!(
                                "{id}: {} of {} bytes, stamp {:?}",
                                message.body.len(),
                                body_of(&id).len(),
                                message.header(STAMP)
                            );
                            record.line(&format!("BROKEN a success with another body: {text}"));
                            broken.lock().unwrap().push(text);
                        }
                        None => {
                            failed.fetch_add(1, Ordering::SeqCst);
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                    thread::sleep(Duration::from_millis(20 + 7 * u64::from(caller % 10)));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(3));
    if trouble() {
        record.line("entry 0 is cut off from the targets");
        proxies.iter().for_each(CutProxy::cut);
    }
    let cut_at = std::time::Instant::now();
    thread::sleep(Duration::from_millis(1_000));
    for replica in [BRIDGES; ROUNDS].concat() {
        if trouble() {
            record.line(&format!("SIGTERM to replica {replica}"));
            fleet.signal(replica, SIGTERM);
            while !fleet.has_ended(replica) && cut_at.elapsed() < CUT {
                thread::sleep(Duration::from_millis(10));
            }
            record.line(&format!("replica {replica} has ended: {}", fleet.has_ended(replica)));
            if fleet.has_ended(replica) {
                fleet.start_node(replica, false);
            }
            thread::sleep(Duration::from_millis(500));
        }
    }
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    proxies.iter().for_each(CutProxy::restore);
    record.line("the cut has ended");
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let broken = broken.lock().unwrap();
    record.line(&format!(
        "{} whole answers, {} without a success, {} successes with another body",
        whole.load(Ordering::SeqCst),
        failed.load(Ordering::SeqCst),
        broken.len()
    ));
    if whole.load(Ordering::SeqCst) < 50 {
        review_stand_ins::cannot_run("hardly any request was served");
    }
    !broken.is_empty()
}

fn main() {
    std::process::exit(run_case(case));
}
