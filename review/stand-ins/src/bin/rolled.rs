//! The backends of a service are drained and restarted in turn, each under its id and at its address.
//! Then a route to that service is added.

use {
    review_stand_ins::{
        COLD, DEADLINE, DOMAINS, ENTRIES, Fleet, HOST, INSTANCE, INTENDED, KEY, LOAD, Message,
        NOT_RUN, REPLICAS, REQUEST_ID, Reader, Record, STAMP, call, cannot_run, list_record,
        response, route, run_case, serve_list, table, target_address, trouble,
    },
    std::{
        collections::BTreeMap,
        io::{self, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SLOTS: u32 = 9;
const COLD_START: Duration = Duration::from_secs(3);
/// The bound `drain` of the site, and for how much longer a backend serves.
const DRAIN: Duration = Duration::from_millis(3_000);
const LONGER: Duration = Duration::from_millis(500);
/// The time for which a backend is down.
const DOWN: Duration = Duration::from_millis(300);
/// The number of the six backends in one release: within the 0.45 of the site file.
const RELEASED: usize = 2;
/// The pause between the restarts of two backends.
const GAP: Duration = Duration::from_secs(1);

struct Target {
    name: String,
    service: &'static str,
    domain: &'static str,
    address: SocketAddr,
    running: AtomicU32,
    up: AtomicBool,
    draining: AtomicBool,
    cold_until: Mutex<Option<Instant>>,
    streams: Mutex<Vec<TcpStream>>,
}

impl Target {
    fn cold_ms(&self) -> u64 {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(0, |at| at.saturating_duration_since(Instant::now()).as_millis() as u64)
    }

    fn start(self: &Arc<Self>) {
        self.up.store(true, Ordering::SeqCst);
        let listener = TcpListener::bind(self.address).expect("the port of the target");
        listener.set_nonblocking(true).unwrap();
        let target = Arc::clone(self);
        thread::spawn(move || {
            while target.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                target.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let target = Arc::clone(&target);
                thread::spawn(move || {
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(message)) = reader.head() {
                        if target.respond(&message, &mut reader).is_err() {
                            break;
                        }
                    }
                });
            }
        });
    }

    /// Drains the backend, ends it, and starts it again under its id and at its address.
    fn restart(self: &Arc<Self>, record: &Record) {
        self.draining.store(true, Ordering::SeqCst);
        record.line(&format!("{} is draining on the list", self.name));
        thread::sleep(DRAIN + LONGER);
        self.end();
        record.line(&format!("{} has ended", self.name));
        thread::sleep(DOWN);
        *self.cold_until.lock().unwrap() = Some(Instant::now() + COLD_START);
        self.draining.store(false, Ordering::SeqCst);
        self.start();
        record.line(&format!("{} has started again, ready on the list", self.name));
    }

    fn end(&self) {
        self.up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn respond(&self, message: &Message, reader: &mut Reader) -> io::Result<()> {
        let mut request = message.clone();
        reader.body(&mut request, false)?;
        let leaving = self.draining.load(Ordering::SeqCst);
        let mut headers = match leaving {
            true => vec![("server-leaving", "1".to_owned())],
            false => Vec::new(),
        };
        if request.path() == "/health" {
            headers.extend([(INSTANCE, self.name.clone()), (COLD, self.cold_ms().to_string())]);
            let status = if leaving { 503 } else { 200 };
            return reader.stream().write_all(&response(status, &headers, b""));
        }
        let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
        headers.push((REQUEST_ID, id.clone()));
        if request.header(INTENDED).is_some_and(|intended| intended != self.name) {
            headers.push((NOT_RUN, "1".to_owned()));
            return reader.stream().write_all(&response(421, &headers, b""));
        }
        let load = self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        self.running.fetch_sub(1, Ordering::SeqCst);
        headers.extend([(STAMP, "3e1b.07".to_owned()), (LOAD, format!("{load},0,{SLOTS}"))]);
        reader.stream().write_all(&response(200, &headers, format!("answer to {id}").as_bytes()))
    }
}

fn case(record: &Record) -> bool {
    let mut targets = Vec::new();
    for index in 0..18 {
        let address = target_address(index);
        targets.push(Arc::new(Target {
            name: format!("i-{index:02}41{:05}", 17 * index),
            service: if index < 12 { "route-registry" } else { "consent-desk" },
            domain: DOMAINS[index % DOMAINS.len()].0,
            address,
            running: AtomicU32::new(0),
            up: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            cold_until: Mutex::default(),
            streams: Mutex::default(),
        }));
    }
    targets.iter().for_each(Target::start);
    let listed = targets.clone();
    let list = serve_list(move || {
        let line = |target: &Arc<Target>| {
            let cold = target.cold_ms();
            let record = list_record(target.service, target.address, target.domain, SLOTS, cold);
            let state = if target.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
            (
                target.name.clone(),
                record.replace("\"state\":\"ready\"", &format!("\"state\":\"{state}\"")),
            )
        };
        listed.iter().map(line).collect()
    });
    let fleet = Fleet::start(list, BTreeMap::new());
    let first = route("look", "/look/", "safe", "route-registry");
    let added = route("desk", "/desk/", "safe", "consent-desk");
    let with_services = |text: String| {
        let desk = "{\"name\":\"consent-desk\",\"health_path\":\"/health\",\"connections\":330,\
                    \"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":19.0},";
        text.replace("\"services\":[", &format!("\"services\":[{desk}"))
    };
    let table_of = |version: u64, routes: &[String]| {
        with_services(table(version, routes, "route-registry", 19.0))
    };
    fleet.publish(0, &table_of(2, std::slice::from_ref(&first)));
    fleet.wait_ready();
    record.line(&format!("{} entries and {REPLICAS} replicas are ready", ENTRIES.len()));
    thread::sleep(Duration::from_secs(1));

    if trouble() {
        let rolled: Vec<&Arc<Target>> =
            targets.iter().filter(|target| target.service == "consent-desk").collect();
        for group in rolled.chunks(RELEASED) {
            record.line(&format!("a release of {} of {} backends", group.len(), rolled.len()));
            let restarts: Vec<_> = (group.iter().enumerate())
                .map(|(index, target)| {
                    let (target, record) = (Arc::clone(target), record.clone());
                    thread::spawn(move || {
                        thread::sleep(GAP * index as u32);
                        target.restart(&record);
                    })
                })
                .collect();
            restarts.into_iter().for_each(|restart| restart.join().unwrap());
        }
        // All are warm again, and the list has been read.
        thread::sleep(COLD_START + Duration::from_secs(2));
    }
    fleet.publish(2, &table_of(4, &[first, added]));
    record.line("the route /desk/ is added");
    // The bounds `config_apply` and `contact` of the site.
    thread::sleep(Duration::from_secs(5));

    /// The numbers of requests and of successes, by path and status.
    type Counts = Arc<Mutex<BTreeMap<(&'static str, u16), u32>>>;
    let counts: Counts = Arc::default();
    let begun = Instant::now();
    let callers: Vec<_> = (0..2 * ENTRIES.len())
        .map(|caller| {
            let address = fleet.callers(caller % ENTRIES.len());
            let (counts, log) = (Arc::clone(&counts), record.clone());
            thread::spawn(move || {
                let mut number = 0;
                while begun.elapsed() < Duration::from_secs(8) {
                    number += 1;
                    let path = if number % 2 == 0 { "/look/" } else { "/desk/" };
                    let id = format!("{caller:04x}{number:012x}");
                    let headers = [
                        ("host", HOST.to_owned()),
                        (REQUEST_ID, id.clone()),
                        (KEY, format!("{}", caller * 10_000 + number)),
                        (DEADLINE, "2000".to_owned()),
                    ];
                    let result = call(address, "GET", path, &headers, b"", Duration::from_secs(2));
                    let status = result.map_or(0, |message| message.status());
                    if number <= 4 {
                        log.line(&format!("caller {caller}: {path} {id}: {status}"));
                    }
                    *counts.lock().unwrap().entry((path, status)).or_default() += 1;
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let counts = counts.lock().unwrap();
    record.line(&format!("answers by path and status: {counts:?}"));
    let share = |path: &str| {
        let of_path = || counts.iter().filter(|((other, _), _)| *other == path);
        let all: u32 = of_path().map(|(_, count)| count).sum();
        let served: u32 = of_path().filter(|((_, status), _)| *status == 200).map(|(_, n)| n).sum();
        (all, f64::from(served) / f64::from(all.max(1)))
    };
    let ((_, first), (requests, later)) = (share("/look/"), share("/desk/"));
    record.line(&format!(
        "served: {first:.3} on the first route, {later:.3} of {requests} on the added one"
    ));
    if first < 0.5 {
        cannot_run("the first route is hardly served");
    }
    requests >= 20 && later < first / 4.0
}

fn main() {
    std::process::exit(run_case(case));
}
