/*!
A daemon that runs as a child process.
*/

use {
    crate::cluster::WAIT_TIMEOUT,
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::Mutex,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Returns the path of a binary of the workspace, in the build folder of the running test or
/// example.
pub fn program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    if path.ends_with("deps") || path.ends_with("examples") {
        path.pop();
    }
    path.push(name);
    assert!(
        path.exists(),
        "{} is missing: run `cargo build --workspace` with the same profile first",
        path.display()
    );
    path
}

/// A daemon, its settings and its child process while it runs.
pub struct NodeProcess {
    pub name: String,
    pub domain: String,
    pub region: String,
    pub http: SocketAddr,
    pub peer: SocketAddr,
    /// The daemon's subcommand, if any.
    pub role: Option<&'static str>,
    pub settings: PathBuf,
    pub data: Option<PathBuf>,
    pub log: PathBuf,
    pub(crate) child: Mutex<Option<Child>>,
}

impl NodeProcess {
    pub fn start(&self) {
        assert!(!self.is_running(), "{} is already running", self.name);
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(program("hemlockspoold"));
        command.args(self.role).arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        *self.child.lock().unwrap() = Some(command.spawn().unwrap());
    }

    /// Returns whether the process was started and neither killed nor waited for. One that exited
    /// by itself counts as running until [`reap`](Self::reap) is called.
    pub fn is_running(&self) -> bool {
        self.child.lock().unwrap().is_some()
    }

    /// Makes [`is_running`](Self::is_running) return false if the process has exited.
    pub fn reap(&self) {
        let mut child = self.child.lock().unwrap();
        if child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_some()) {
            *child = None;
        }
    }

    pub fn pid(&self) -> i32 {
        self.child
            .lock()
            .unwrap()
            .as_ref()
            .map(|child| child.id() as i32)
            .expect("the process isn't running")
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        #[allow(unsafe_code)]
        // The process is a child that hasn't been waited for, so its id isn't reused.
        let sent = unsafe { libc::kill(self.pid(), signal) };
        assert_eq!(sent, 0);
    }

    /// Stops the process with SIGSTOP until it is resumed.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM, then does as
    /// [`wait_for_exit`](Self::wait_for_exit).
    pub async fn stop(&self) -> Option<i32> {
        self.signal(libc::SIGTERM);
        self.wait_for_exit().await
    }

    /// Waits until the process has exited and returns the exit code, or `None` if a signal ended
    /// it. Panics after [`WAIT_TIMEOUT`].
    pub async fn wait_for_exit(&self) -> Option<i32> {
        let mut child = self.child.lock().unwrap().take().expect("the process isn't running");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            assert!(
                Instant::now() < deadline,
                "{} did not exit within {WAIT_TIMEOUT:?}",
                self.name
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("-- log of {}\n{}", self.name, self.log_text());
        }
    }
}
