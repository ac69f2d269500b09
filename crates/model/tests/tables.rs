//! Tests of parsing and validation of route tables, and of parsing durations.

use {
    hemlockspool_model::{
        duration::TextDuration,
        table::{RouteTable, TableError},
    },
    std::time::Duration,
};

const VALID_TABLE: &str = r#"{"version":7,"routes":[
    {"name":"a","host":"one.example","prefix":"/a/","repeat":"never","timeout":"3000ms",
     "goal":"500ms","priority":1,"service":"s","attempts":2,"sticky":true,"homes":[]},
    {"name":"b","host":"one.example","prefix":"/b/","repeat":"safe","timeout":"2.5s",
     "split":[{"service":"s","weight":90},{"service":"t","weight":10}],"later":true}],
    "services":[{"name":"s","health_path":"/health","cold_per_s":7.5},{"name":"t"}],
    "limits":{"max_body_bytes":1000}}"#;

fn errors_after_replacing(from: &str, to: &str) -> Vec<TableError> {
    assert!(VALID_TABLE.contains(from), "{from}");
    RouteTable::parse(&VALID_TABLE.replace(from, to)).unwrap().validate()
}

#[test]
fn table_valid() {
    let table = RouteTable::parse(VALID_TABLE).unwrap();
    assert_eq!(table.validate(), Vec::new());
    assert_eq!(table.routes[1].timeout, TextDuration::from_millis(2_500));
    assert_eq!(table.routes[1].weighted_services().len(), 2);
}

#[test]
fn table_truncated() {
    for length in [0, 10, VALID_TABLE.len() / 2, VALID_TABLE.len() - 1] {
        let truncated = RouteTable::parse(&VALID_TABLE[..length]);
        assert!(matches!(truncated, Err(TableError::Malformed { .. })), "{length}");
    }
}

#[test]
fn table_unknown_repeat() {
    let text = VALID_TABLE.replace(r#""repeat":"safe""#, r#""repeat":"sometimes""#);
    let Err(TableError::Malformed { reason }) = RouteTable::parse(&text) else {
        panic!("accepted");
    };
    for name in ["safe", "never", "upload"] {
        assert!(reason.contains(&format!("`{name}`")), "{reason}");
    }
}

#[test]
fn table_repeat_kinds() {
    for (name, at_most_once) in [("safe", false), ("never", true), ("upload", true)] {
        let text = VALID_TABLE.replace(r#""repeat":"safe""#, &format!(r#""repeat":"{name}""#));
        let table = RouteTable::parse(&text).unwrap();
        assert_eq!(table.routes[1].repeat.is_at_most_once(), at_most_once);
        let read_back = serde_json::to_string(&table).unwrap();
        assert_eq!(RouteTable::parse(&read_back).unwrap(), table);
    }
}

#[test]
fn table_unknown_service() {
    let errors =
        errors_after_replacing(r#"{"service":"t","weight":10}"#, r#"{"service":"u","weight":10}"#);
    assert!(matches!(errors[..], [TableError::UnknownService { .. }]));
}

#[test]
fn table_all_weights_zero() {
    let text = VALID_TABLE.replace(r#""weight":90"#, r#""weight":0"#);
    let text = text.replace(r#""weight":10"#, r#""weight":0"#);
    let errors = RouteTable::parse(&text).unwrap().validate();
    assert!(matches!(errors[..], [TableError::NoService { .. }]));
}

#[test]
fn table_timeout_too_long() {
    assert_eq!(errors_after_replacing("2.5s", "600s"), Vec::new());
    let errors = errors_after_replacing("2.5s", "600001ms");
    assert!(matches!(errors[..], [TableError::TimeoutTooLong { .. }]));
}

#[test]
fn table_goal_too_long() {
    assert_eq!(errors_after_replacing("500ms", "62999ms"), Vec::new());
    let errors = errors_after_replacing("500ms", "63000ms");
    assert!(matches!(errors[..], [TableError::GoalTooLong { .. }]));
}

#[test]
fn table_prefix_without_slash() {
    let errors = errors_after_replacing(r#""prefix":"/b/""#, r#""prefix":"b/""#);
    assert!(matches!(errors[..], [TableError::PrefixWithoutSlash { .. }]));
}

#[test]
fn duration_units() {
    let durations = [("1500ms", 1_500), ("2.5s", 2_500), ("0ms", 0), ("3s", 3_000)];
    for (text, millis) in durations {
        assert_eq!(TextDuration::parse(text).unwrap().0, Duration::from_millis(millis), "{text}");
    }
    for text in ["", "5", "ms", "-1s", "1m", "nans"] {
        assert!(TextDuration::parse(text).is_err(), "{text}");
    }
}
