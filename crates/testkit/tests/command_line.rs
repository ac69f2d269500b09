//! Output and exit codes of the command line, the checks of the daemon's settings, and the page of
//! log events.

use {
    hemlockspool_testkit::node_process::program,
    std::{
        fs,
        path::Path,
        process::{Command, Output},
    },
    tempfile::TempDir,
};

fn workspace_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().parent().unwrap()
}

fn run_program(name: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(program(name));
    command.args(arguments).current_dir(workspace_root()).env("NO_COLOR", "1");
    command.output().unwrap()
}

fn format_output(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!("exit {:?}\n{}{}", output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// Guards against example deployments that no longer pass the check.
#[test]
fn command_line_checks_both_deployments() {
    for name in ["authority", "cantabrico", "demo/objects"] {
        let output = run_program("hemlockspool", &["check", &format!("examples/{name}")]);
        assert_eq!(output.status.code(), Some(0), "{}", format_output(&output));
    }
}

/// Guards against broken sets of objects that pass the check, and against changed messages.
#[test]
fn command_line_refuses_broken_sets() {
    let names = ["capacity", "dangling", "drained", "overlap", "twice", "unknown-field"];
    let mut all = String::new();
    for name in names {
        let output = run_program("hemlockspool", &["check", &format!("examples/broken/{name}")]);
        all += &format!("== {name}\n{}\n", format_output(&output));
    }
    insta::assert_snapshot!(all);
}

/// Guards against wrong exit codes if no server is given (2) and if none can be reached (4).
#[test]
fn command_line_without_servers() {
    let output = run_program("hemlockspool", &["status"]);
    assert_eq!(output.status.code(), Some(2));
    let output = run_program("hemlockspool", &["--server", "127.0.0.1:1", "status"]);
    assert_eq!(output.status.code(), Some(4));
}

/// Guards against a check of the settings that stops at the first error.
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
    let output = run_program("hemlockspoold", &["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let shown = format_output(&output);
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
        assert!(shown.contains(field), "{field} is missing from {shown}");
    }
}

/// Guards against a settings file of the demo that no longer passes the check.
#[test]
fn settings_check_only() {
    let path = "examples/demo/settings/gp-a-1.json";
    let output = run_program("hemlockspoold", &["--settings", path, "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", format_output(&output));
}

/// Guards against a daemon that doesn't report the address when another process listens on it.
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
    let output = run_program("hemlockspoold", &["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(format_output(&output).contains(&taken.to_string()), "{}", format_output(&output));
}

/// Guards against log events that are missing from the documentation or differ from it.
#[test]
fn events_page_equals_catalogue() {
    let page = fs::read_to_string(workspace_root().join("docs/EVENTS.md")).unwrap();
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
