//! Some answers of backends in trouble have a body without end.

use {
    review_stand_ins::{
        DEADLINE, DOMAINS, ENTRIES, Fleet, HOST, INSTANCE, INTENDED, KEY, LOAD, NOT_RUN, REPLICAS,
        REQUEST_ID, Record, STAMP, call, cannot_run, list_record, response, route, run_case, serve,
        serve_list, table, trouble,
    },
    std::{
        collections::BTreeMap,
        io::Write,
        net::TcpListener,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "route-registry";
const SLOTS: u32 = 9;
const TARGETS: usize = 12;
/// The `timeout` of the route, and the time that the callers wait.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const CALLER_WAITS: Duration = Duration::from_millis(2_500);
/// Of the answers of every second backend, one in so many has no end: the 0.02 of the site's `garble`.
const ONE_IN: u32 = 50;
/// The time at which backends get into trouble, and for how long: less than the 5.5 s of the site's `garble`.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const TROUBLE_FOR: Duration = Duration::from_secs(5);
/// The time for which callers send.
const SENDS_FOR: Duration = Duration::from_secs(12);
/// The longest time for which a backend writes, if its caller never closes.
const WRITES_FOR: Duration = Duration::from_secs(20);

fn case(record: &Record) -> bool {
    let mut records = Vec::new();
    let in_trouble = Arc::new(AtomicBool::new(false));
    for index in 0..TARGETS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let name = format!("i-{index:02}{:05}", address.port());
        let domain = DOMAINS[index % DOMAINS.len()].0;
        records.push((name.clone(), list_record(SERVICE, address, domain, SLOTS, 0)));
        let (running, answers, log) = (AtomicU32::new(0), AtomicU32::new(0), record.clone());
        let in_trouble = Arc::clone(&in_trouble);
        serve(listener, move |message, reader| {
            let mut request = message.clone();
            reader.body(&mut request, false)?;
            if request.path() == "/health" {
                let headers = [(INSTANCE, name.clone())];
                reader.stream().write_all(&response(200, &headers, b""))?;
                return Ok(true);
            }
            let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
            if request.header(INTENDED).is_some_and(|intended| intended != name) {
                let headers = [(REQUEST_ID, id), (NOT_RUN, "1".to_owned())];
                reader.stream().write_all(&response(421, &headers, b""))?;
                return Ok(true);
            }
            let number = answers.fetch_add(1, Ordering::SeqCst);
            let load = running.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(20));
            let load_text = format!("{load},0,{SLOTS}");
            let is_bad = index < TARGETS / 2 && number % ONE_IN == ONE_IN - 1;
            if is_bad && in_trouble.load(Ordering::SeqCst) {
                log.line(&format!("{name} answers {id} without end"));
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{STAMP}: 3e1b.07\r\n\
                     {LOAD}: {load_text}\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                let mut chunk = b"8000\r\n".to_vec();
                chunk.extend(std::iter::repeat_n(b'#', 0x8000));
                chunk.extend(b"\r\n");
                let began = Instant::now();
                let mut sent = reader.stream().write_all(head.as_bytes());
                while sent.is_ok() && began.elapsed() < WRITES_FOR {
                    sent = reader.stream().write_all(&chunk);
                    thread::sleep(Duration::from_millis(4));
                }
                running.fetch_sub(1, Ordering::SeqCst);
                let took = began.elapsed().as_millis();
                log.line(&format!("{name}: its caller has closed {id} after {took} ms"));
                return Ok(false);
            }
            running.fetch_sub(1, Ordering::SeqCst);
            let body = format!("the answer to {id}");
            let headers = [(REQUEST_ID, id), (STAMP, "3e1b.07".to_owned()), (LOAD, load_text)];
            reader.stream().write_all(&response(200, &headers, body.as_bytes()))?;
            Ok(true)
        });
    }
    let list = serve_list(move || records.clone());
    let fleet = Fleet::start(list, BTreeMap::new());
    let routes = [route("look", "/look/", "safe", SERVICE)
        .replace("2500ms", &format!("{}ms", TIMEOUT.as_millis()))];
    fleet.publish(0, &table(2, &routes, SERVICE, 19.0));
    fleet.wait_ready();
    record.line(&format!("{} entries and {REPLICAS} replicas are ready", ENTRIES.len()));

    /// A request: the time that it took, and whether it got a final answer.
    type Ended = (String, Duration, bool);
    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let begun = Instant::now();
    let callers: Vec<_> = (0..6 * ENTRIES.len())
        .map(|caller| {
            let address = fleet.callers(caller % ENTRIES.len());
            let (ended, log) = (Arc::clone(&ended), record.clone());
            thread::spawn(move || {
                let mut number = 0;
                while begun.elapsed() < SENDS_FOR {
                    number += 1;
                    let id = format!("{caller:04x}{number:012x}");
                    let headers = [
                        ("host", HOST.to_owned()),
                        (REQUEST_ID, id.clone()),
                        (KEY, format!("{}", caller * 10_000 + number)),
                        (DEADLINE, CALLER_WAITS.as_millis().to_string()),
                    ];
                    let sent = Instant::now();
                    let result = call(address, "GET", "/look/x", &headers, b"", CALLER_WAITS);
                    let took = sent.elapsed();
                    let is_final = result.as_ref().is_ok_and(|message| message.complete);
                    if took > TIMEOUT {
                        let answer = result.map_or(0, |message| message.status());
                        log.line(&format!(
                            "caller {caller}: {id} ended after {} ms, status {answer}, {}",
                            took.as_millis(),
                            if is_final { "a final answer" } else { "without a final answer" }
                        ));
                    }
                    ended.lock().unwrap().push((id, took, is_final));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(TROUBLE_AT);
    if trouble() {
        record.line("backends are in trouble");
        in_trouble.store(true, Ordering::SeqCst);
        thread::sleep(TROUBLE_FOR);
        in_trouble.store(false, Ordering::SeqCst);
        record.line("backends are sound again");
    }
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let ended = ended.lock().unwrap();
    let is_late = |took: &Duration, by: Duration| *took > TIMEOUT + by;
    let longer = ended.iter().filter(|(_, took, _)| is_late(took, Duration::ZERO)).count();
    let half = Duration::from_millis(500);
    // A final answer that came later than half a second after the timeout is as good as none.
    let without = ended.iter().filter(|(_, took, _)| is_late(took, half)).count();
    let answered = ended.iter().filter(|(_, _, is_final)| *is_final).count();
    record.line(&format!(
        "{} requests, {answered} with a final answer; {longer} lasted longer than the timeout, \
         {without} of them had none half a second after it",
        ended.len()
    ));
    if answered < 500 {
        cannot_run("hardly any request was served");
    }
    without >= 8 && 4 * without > longer
}

fn main() {
    std::process::exit(run_case(case));
}
