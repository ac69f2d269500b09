//! Route tables: what is read, what is refused, and durations.

use {
    hemlockspool_model::{
        duration::TextDuration,
        table::{RouteTable, TableError},
    },
    std::time::Duration,
};

const WHOLE: &str = r#"{"version":7,"routes":[
    {"name":"a","host":"one.example","prefix":"/a/","repeat":"never","timeout":"3000ms",
     "goal":"500ms","priority":1,"service":"s","attempts":2,"sticky":true,"homes":[]},
    {"name":"b","host":"one.example","prefix":"/b/","repeat":"safe","timeout":"2.5s",
     "split":[{"service":"s","weight":90},{"service":"t","weight":10}],"later":true}],
    "services":[{"name":"s","health_path":"/health","cold_per_s":7.5},{"name":"t"}],
    "limits":{"max_body_bytes":1000}}"#;

fn faults_after(from: &str, to: &str) -> Vec<TableError> {
    assert!(WHOLE.contains(from), "{from}");
    RouteTable::parse(&WHOLE.replace(from, to)).unwrap().validate()
}

#[test]
fn table_whole() {
    let table = RouteTable::parse(WHOLE).unwrap();
    assert_eq!(table.validate(), Vec::new());
    assert_eq!(table.routes[1].timeout, TextDuration::from_millis(2_500));
    assert_eq!(table.routes[1].weighted_services().len(), 2);
}

#[test]
fn table_cut_short() {
    for length in [0, 10, WHOLE.len() / 2, WHOLE.len() - 1] {
        let cut = RouteTable::parse(&WHOLE[..length]);
        assert!(matches!(cut, Err(TableError::Malformed { .. })), "{length}");
    }
}

#[test]
fn table_unknown_repeat() {
    let text = WHOLE.replace(r#""repeat":"safe""#, r#""repeat":"sometimes""#);
    assert!(matches!(RouteTable::parse(&text), Err(TableError::Malformed { .. })));
}

#[test]
fn table_unknown_service() {
    let faults = faults_after(r#"{"service":"t","weight":10}"#, r#"{"service":"u","weight":10}"#);
    assert!(matches!(faults[..], [TableError::UnknownService { .. }]));
}

#[test]
fn table_no_weight() {
    let text = WHOLE.replace(r#""weight":90"#, r#""weight":0"#);
    let text = text.replace(r#""weight":10"#, r#""weight":0"#);
    let faults = RouteTable::parse(&text).unwrap().validate();
    assert!(matches!(faults[..], [TableError::NoService { .. }]));
}

#[test]
fn table_long_timeout() {
    assert_eq!(faults_after("2.5s", "600s"), Vec::new());
    let faults = faults_after("2.5s", "600001ms");
    assert!(matches!(faults[..], [TableError::TimeoutTooLong { .. }]));
}

#[test]
fn table_late_goal() {
    assert_eq!(faults_after("500ms", "62999ms"), Vec::new());
    let faults = faults_after("500ms", "63000ms");
    assert!(matches!(faults[..], [TableError::GoalTooLong { .. }]));
}

#[test]
fn table_bare_prefix() {
    let faults = faults_after(r#""prefix":"/b/""#, r#""prefix":"b/""#);
    assert!(matches!(faults[..], [TableError::PrefixWithoutSlash { .. }]));
}

#[test]
fn span_units() {
    let spans = [("1500ms", 1_500), ("2.5s", 2_500), ("0ms", 0), ("3s", 3_000)];
    for (text, millis) in spans {
        assert_eq!(TextDuration::parse(text).unwrap().0, Duration::from_millis(millis), "{text}");
    }
    for text in ["", "5", "ms", "-1s", "1m", "nans"] {
        assert!(TextDuration::parse(text).is_err(), "{text}");
    }
}
