//! A whole session, as operators and callers see it, against a golden file.

use {
    hemlockspool_model::api::{ENTRY_HEADER, OUTCOME_HEADER, TARGET_HEADER, VERSION_HEADER},
    hemlockspool_testkit::{
        cluster::{ClusterPlan, DomainPlan, TOKEN, TestCluster, wait_until},
        node_process::program,
    },
    std::{fs, process::Command},
    tempfile::TempDir,
};

struct GoldenSession {
    cluster: TestCluster,
    folder: TempDir,
    shown: String,
}

impl GoldenSession {
    /// Replaces what differs from run to run.
    fn masked(&self, text: &str) -> String {
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

    fn operate(&mut self, arguments: &[&str]) {
        let servers: Vec<String> =
            self.cluster.nodes.iter().map(|node| node.http.to_string()).collect();
        let mut command = Command::new(program("hemlockspool"));
        command.args(arguments).current_dir(self.folder.path()).env("NO_COLOR", "1");
        command.env("HEMLOCKSPOOL_SERVERS", servers.join(","));
        command.env("HEMLOCKSPOOL_TOKEN", TOKEN);
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        let (code, text) = (output.status.code(), self.masked(&text));
        self.shown += &format!("$ hemlockspool {}\n{text}exit {code:?}\n\n", arguments.join(" "));
    }

    async fn request(&mut self, at: usize, path: &str, key: Option<&str>, body: &'static str) {
        let url = self.cluster.url(at, path);
        let client = &self.cluster.client;
        let mut request = if key.is_some() { client.post(url).body(body) } else { client.get(url) };
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let answer = request.send().await.unwrap();
        self.shown += &format!("{path} {key:?} at {}\n", self.cluster.nodes[at].name);
        self.shown += &format!("{}\n", answer.status());
        for name in [OUTCOME_HEADER, VERSION_HEADER, ENTRY_HEADER, TARGET_HEADER, "retry-after"] {
            if let Some(value) = answer.headers().get(name) {
                self.shown += &format!("{name}: {}\n", value.to_str().unwrap());
            }
        }
        let text = answer.text().await.unwrap();
        self.shown += &format!("{}\n\n", self.masked(text.trim_end()));
    }

    fn write_objects(&self) {
        let text = serde_json::to_string(&self.cluster.objects()).unwrap();
        fs::write(self.folder.path().join("objects/all.json"), text).unwrap();
    }
}

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
    session.operate(&["check", "objects"]);
    session.operate(&["publish", "objects", "--request", "first", "--wait"]);
    session.cluster.ready().await;
    session.operate(&["publish", "objects", "--request", "first", "--base", "0"]);
    session.operate(&["publish", "objects", "--request", "late", "--base", "0"]);
    session.operate(&["lookup"]);
    session.request(1, "/s/desk/read/item?service_ms=1", None, "").await;
    session.request(0, "/s/desk/book/seat", Some("k1"), "two seats").await;
    // The outcome is recorded right after the answer.
    wait_until("the outcome is recorded", || async {
        let posting = session.cluster.client.post(session.cluster.url(1, "/s/desk/book/seat"));
        let posting = posting.header("idempotency-key", "k1").body("two seats");
        posting.send().await.unwrap().headers()[OUTCOME_HEADER] == "ran"
    })
    .await;
    session.request(1, "/s/desk/book/seat", Some("k1"), "two seats").await;
    session.request(1, "/s/desk/book/seat", Some("k1"), "three seats").await;
    session.request(1, "/s/desk/paint/seat", None, "").await;
    session.operate(&["drain", "target", "b1-t0", "--request", "drain", "--wait"]);
    session.request(1, "/s/desk/read/item", None, "").await;
    session.operate(&["drain", "target", "a1-t0", "--request", "too-far"]);
    session.operate(&["undrain", "target", "b1-t0", "--request", "undrain", "--wait"]);
    insta::assert_snapshot!(session.shown);
}
