//! A route is split over two services. A change writes its weights at another scale.

use {
    review_stand_ins::{
        DEADLINE, DOMAINS, ENTRIES, Fleet, HOST, INSTANCE, KEY, LOAD, REQUEST_ID, Record, STAMP,
        call, list_record, response, route, run_case, serve, serve_list, table, trouble,
    },
    std::{
        collections::BTreeMap,
        io::Write,
        net::TcpListener,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const SERVICES: [&str; 2] = ["route-registry", "consent-desk"];
/// The weights before and after the change; without trouble, the latter are in force from the start.
const BEFORE: [u32; 2] = [9_900, 100];
const AFTER: [u32; 2] = [1, 1];
const REQUESTS: usize = 300;
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const SHARE_OFF_MAX: f64 = 0.2;

fn split_table(version: u64, weights: [u32; 2]) -> String {
    let parts: Vec<String> = (SERVICES.iter().zip(weights))
        .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
        .collect();
    let route = route("look", "/look/", "safe", SERVICES[0]).replace(
        &format!("\"service\":\"{}\",", SERVICES[0]),
        &format!("\"split\":[{}],", parts.join(",")),
    );
    let second = format!("\"services\":[{{\"name\":\"{}\",\"health_path\":\"/health\"}},", SERVICES[1]);
    table(version, &[route], SERVICES[0], 19.0).replace("\"services\":[", &second)
}

fn case(record: &Record) -> bool {
    let ran: Arc<Mutex<BTreeMap<&'static str, u32>>> = Arc::default();
    let mut records = Vec::new();
    for index in 0..24 {
        let service = SERVICES[usize::from(index >= 12)];
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let domain = DOMAINS[index % DOMAINS.len()].0;
        let name = format!("i-{index:02}{:05}", address.port());
        records.push((name.clone(), list_record(service, address, domain, 9, 0)));
        let ran = Arc::clone(&ran);
        serve(listener, move |message, reader| {
            let mut request = message.clone();
            reader.body(&mut request, false)?;
            if request.path() == "/health" {
                let headers = [(INSTANCE, name.clone())];
                reader.stream().write_all(&response(200, &headers, b""))?;
                return Ok(true);
            }
            *ran.lock().unwrap().entry(service).or_default() += 1;
            let id = request.header(REQUEST_ID).unwrap_or("").to_owned();
            let headers =
                [(REQUEST_ID, id), (STAMP, "3e1b.07".to_owned()), (LOAD, "0,0,9".to_owned())];
            reader.stream().write_all(&response(200, &headers, b"an answer"))?;
            Ok(true)
        });
    }
    let list = serve_list(move || records.clone());
    let fleet = Fleet::start(list, BTreeMap::new());
    fleet.publish(0, &split_table(2, if trouble() { BEFORE } else { AFTER }));
    fleet.wait_ready();
    let send = |part: &str| {
        let callers: Vec<_> = (0..ENTRIES.len())
            .map(|caller| {
                let (address, part) = (fleet.callers(caller), part.to_owned());
                thread::spawn(move || {
                    for number in 0..REQUESTS {
                        let headers = [
                            ("host", HOST.to_owned()),
                            (REQUEST_ID, format!("{part}{caller:02}{number:05}")),
                            (KEY, format!("{number}")),
                            (DEADLINE, "2000".to_owned()),
                        ];
                        let limit = Duration::from_secs(2);
                        let _ = call(address, "GET", "/look/x", &headers, b"", limit);
                        thread::sleep(Duration::from_millis(5));
                    }
                })
            })
            .collect();
        callers.into_iter().for_each(|caller| caller.join().unwrap());
        let ran = std::mem::take(&mut *ran.lock().unwrap());
        record.line(&format!("{part}: ran {ran:?}"));
        ran
    };
    send("before");
    fleet.publish(2, &split_table(4, AFTER));
    record.line("operator: the weights 1:1 are acknowledged");
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let ran = send("after");
    let all: u32 = ran.values().sum();
    let share = f64::from(ran.get(SERVICES[0]).copied().unwrap_or(0)) / f64::from(all.max(1));
    record.line(&format!("share of {} of {all} requests: {share:.2}", SERVICES[0]));
    all >= 200 && (share - 0.5).abs() > SHARE_OFF_MAX
}

fn main() {
    std::process::exit(run_case(case));
}
