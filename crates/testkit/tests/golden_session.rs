//! A session of operators and callers, compared with a snapshot.

use {
    hemlockspool_model::api::{ENTRY_HEADER, OUTCOME_HEADER, TARGET_HEADER, VERSION_HEADER},
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TOKEN, TestCluster, wait_until},
        node_process::program,
    },
    std::{fs, process::Command},
    tempfile::TempDir,
};

/// A cluster, the operator's folder, and a transcript of the commands and requests so far.
struct GoldenSession {
    cluster: TestCluster,
    folder: TempDir,
    shown: String,
}

impl GoldenSession {
    /// Replaces addresses and paths that differ between runs.
    fn mask(&self, text: &str) -> String {
        let mut text = text.to_owned();
        for node in &self.cluster.nodes {
            text = text.replace(&node.http.to_string(), &format!("<http of {}>", node.name));
            text = text.replace(&node.peer.to_string(), &format!("<peer of {}>", node.name));
        }
        for server in &self.cluster.targets {
            let target = &server.target;
            text = text.replace(&target.address.to_string(), &format!("<{}>", target.plan.name));
        }
        text.replace(self.folder.path().to_str().unwrap(), "<folder>")
    }

    /// Runs the command line and appends its output and exit code to the transcript.
    fn run_command(&mut self, arguments: &[&str]) {
        let servers: Vec<String> =
            self.cluster.nodes.iter().map(|node| node.http.to_string()).collect();
        let mut command = Command::new(program("hemlockspool"));
        command.args(arguments).current_dir(self.folder.path()).env("NO_COLOR", "1");
        command.env("HEMLOCKSPOOL_SERVERS", servers.join(","));
        command.env("HEMLOCKSPOOL_TOKEN", TOKEN);
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        let (code, text) = (output.status.code(), self.mask(&text));
        self.shown += &format!("$ hemlockspool {}\n{text}exit {code:?}\n\n", arguments.join(" "));
    }

    /// Sends a request and appends the response to the transcript.
    async fn request(&mut self, index: usize, path: &str, key: Option<&str>, body: &'static str) {
        let url = self.cluster.url(index, path);
        let client = &self.cluster.client;
        let mut request = if key.is_some() { client.post(url).body(body) } else { client.get(url) };
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.unwrap();
        self.shown += &format!("{path} {key:?} at {}\n", self.cluster.nodes[index].name);
        self.shown += &format!("{}\n", response.status());
        for name in [OUTCOME_HEADER, VERSION_HEADER, ENTRY_HEADER, TARGET_HEADER, "retry-after"] {
            if let Some(value) = response.headers().get(name) {
                self.shown += &format!("{name}: {}\n", value.to_str().unwrap());
            }
        }
        let text = response.text().await.unwrap();
        self.shown += &format!("{}\n\n", self.mask(text.trim_end()));
    }

    fn write_objects(&self) {
        let text = serde_json::to_string(&self.cluster.objects()).unwrap();
        fs::write(self.folder.path().join("objects/all.json"), text).unwrap();
    }
}

/// Guards against unintended changes of the output, exit codes, headers and bodies that operators
/// and callers see.
#[tokio::test(flavor = "multi_thread")]
async fn golden_session_whole() {
    let domain = |name, region| DomainPlan { name, region, entries: 1, targets: 1 };
    let domains = vec![domain("a1", "a"), domain("b1", "b")];
    let plan = ClusterPlan { domains, replicas: 1, ..ClusterPlan::default() };
    let cluster = TestCluster::start(plan).await;
    let folder = TempDir::new().unwrap();
    fs::create_dir(folder.path().join("objects")).unwrap();
    let mut session = GoldenSession { cluster, folder, shown: String::new() };
    session.write_objects();
    session.run_command(&["check", "objects"]);
    session.run_command(&["publish", "objects", "--request", "first", "--wait"]);
    session.cluster.wait_ready().await;
    session.run_command(&["publish", "objects", "--request", "first", "--base", "0"]);
    session.run_command(&["publish", "objects", "--request", "late", "--base", "0"]);
    session.run_command(&["lookup"]);
    session.request(1, "/s/desk/read/item?service_ms=1", None, "").await;
    session.request(0, "/s/desk/book/seat", Some("k1"), "two seats").await;
    // The caller may get the response before it is stored.
    wait_until("the response is stored", || async {
        let request = session.cluster.client.post(session.cluster.url(1, "/s/desk/book/seat"));
        let request = request.header("idempotency-key", "k1").body("two seats");
        request.send().await.unwrap().headers()[OUTCOME_HEADER] == "ran"
    })
    .await;
    session.request(1, "/s/desk/book/seat", Some("k1"), "two seats").await;
    session.request(1, "/s/desk/book/seat", Some("k1"), "three seats").await;
    session.request(1, "/s/desk/paint/seat", None, "").await;
    session.run_command(&["drain", "target", "b1-t0", "--request", "drain", "--wait"]);
    session.request(1, "/s/desk/read/item", None, "").await;
    session.run_command(&["drain", "target", "a1-t0", "--request", "too-far"]);
    session.run_command(&["undrain", "target", "b1-t0", "--request", "undrain", "--wait"]);
    insta::assert_snapshot!(session.shown);
}
