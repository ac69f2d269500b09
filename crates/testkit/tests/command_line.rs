//! The command line and the daemon's settings: golden answers and exit codes.

use {
    hemlockspool_testkit::node_process::program,
    std::{
        fs,
        path::Path,
        process::{Command, Output},
    },
    tempfile::TempDir,
};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().parent().unwrap()
}

fn run(name: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(program(name));
    command.args(arguments).current_dir(root()).env("NO_COLOR", "1");
    command.output().unwrap()
}

fn shown(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!("exit {:?}\n{}{}", output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn command_line_checks_both_deployments() {
    for name in ["authority", "cantabrico", "demo/objects"] {
        let output = run("hemlockspool", &["check", &format!("examples/{name}")]);
        assert_eq!(output.status.code(), Some(0), "{}", shown(&output));
    }
}

#[test]
fn command_line_refuses_broken_sets() {
    let names = ["capacity", "dangling", "drained", "overlap", "twice", "unknown-field"];
    let mut all = String::new();
    for name in names {
        let output = run("hemlockspool", &["check", &format!("examples/broken/{name}")]);
        all += &format!("== {name}\n{}\n", shown(&output));
    }
    insta::assert_snapshot!(all);
}

#[test]
fn command_line_without_servers() {
    let output = run("hemlockspool", &["status"]);
    assert_eq!(output.status.code(), Some(2));
    let output = run("hemlockspool", &["--server", "127.0.0.1:1", "status"]);
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn settings_every_error_reported() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("settings.json");
    let text = r#"{
        "deployment": "", "name": "e1", "http": "localhost:1", "peer": "127.0.0.1:2",
        "replicas": ["127.0.0.1:3"], "data_folder": "x", "peer_token": "short",
        "operators": [{"name": "o", "token_sha256": "zz"}], "instance_list": "ftp://x",
        "colour": "red"
    }"#;
    fs::write(&path, text).unwrap();
    let output = run("hemlockspoold", &["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let shown = shown(&output);
    let fields = [
        "deployment",
        "domain",
        "http",
        "peer =",
        "peer_token",
        "token_sha256",
        "instance_list",
        "colour",
    ];
    for field in fields {
        assert!(shown.contains(field), "{field} is named in {shown}");
    }
}

#[test]
fn settings_check_only() {
    let path = "examples/demo/settings/gp-a-1.json";
    let output = run("hemlockspoold", &["--settings", path, "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", shown(&output));
}

#[test]
fn settings_address_taken() {
    let folder = TempDir::new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = listener.local_addr().unwrap();
    let settings = serde_json::json!({
        "deployment": "d", "name": "n", "domain": "x", "http": taken, "peer": "127.0.0.1:9999",
        "replicas": ["127.0.0.1:9998"], "peer_token": "long-enough",
    });
    let path = folder.path().join("settings.json");
    fs::write(&path, settings.to_string()).unwrap();
    let output = run("hemlockspoold", &["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(shown(&output).contains(&taken.to_string()), "{}", shown(&output));
}

#[test]
fn events_page_equals_catalogue() {
    let page = fs::read_to_string(root().join("docs/EVENTS.md")).unwrap();
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| E")).collect();
    let catalogue = hemlockspool_core::log_events::LogEvent::CATALOGUE.iter();
    let fleet = hemlockspool_core::fleet::decision_events::DecisionEvent::CATALOGUE.iter();
    let wanted: Vec<String> = (catalogue.chain(fleet))
        .map(|(code, level, text)| {
            format!("| E{code} | {} | {text} |", format!("{level:?}").to_lowercase())
        })
        .collect();
    assert_eq!(rows, wanted);
}
