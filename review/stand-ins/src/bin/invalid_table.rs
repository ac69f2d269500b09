//! An operator sends a table in which a route names an unknown service beside a split of known ones.

use {
    review_stand_ins::{
        Fleet, Record, call, cannot_run, route, run_case, serve_list, table, trouble,
    },
    std::{collections::BTreeMap, time::Duration},
};

const SERVICE: &str = "route-registry";

fn case(record: &Record) -> bool {
    let list = serve_list(Vec::new);
    let fleet = Fleet::start(list, BTreeMap::new());
    let route = route("look", "/look/", "safe", SERVICE);
    fleet.publish(0, &table(2, std::slice::from_ref(&route), SERVICE, 19.0));
    let named = if trouble() { "unknown" } else { SERVICE };
    let both = format!(
        "\"service\":\"{named}\",\"split\":[{{\"service\":\"{SERVICE}\",\"weight\":1}}],"
    );
    let route = route.replace(&format!("\"service\":\"{SERVICE}\","), &both);
    let body = table(4, &[route], SERVICE, 19.0);
    let headers = [("if-match", "2".to_owned())];
    let limit = Duration::from_secs(2);
    let result = call(fleet.operators(1), "PUT", "/v1/table", &headers, body.as_bytes(), limit);
    let Ok(message) = result else { cannot_run("no response") };
    record.line(&format!("operator: a table whose route names {named}: {}", message.status()));
    trouble() && message.status() == 200
}

fn main() {
    std::process::exit(run_case(case));
}
