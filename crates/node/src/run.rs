/*!
From settings to a serving process, and its graceful stop.
*/

use {
    crate::{
        disk::{DataFolder, DiskError, LogStore, LogWriter},
        event_log,
        event_log::LogOpenError,
        http::{HttpListenError, HttpServer},
        peer_link::{LinkListenError, PeerLinks},
        probes,
        settings::DaemonSettings,
        shell::{NodeShell, ShellParts, moment_since},
        wall_clock::wall_ms,
    },
    hemlockspool_core::{
        consensus::GroupId,
        identity::NodeIdentity,
        log_events::LogEvent,
        reducer::{NodeEvent, NodeState},
        replica::ReplicaNode,
        wire::PeerEnvelope,
    },
    miette::Diagnostic,
    rand::{Rng, SeedableRng},
    reqwest::{Client, redirect::Policy, retry},
    std::{io, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::{
            mpsc::{UnboundedReceiver, unbounded_channel},
            oneshot,
        },
        time::{Instant, MissedTickBehavior, interval, sleep},
    },
};

/// The time between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// How long a connection to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept to each target or entry.
const IDLE_CONNECTIONS: usize = 64;
/// How long a stopping process waits for outcomes and tallies to be recorded.
const RECORDS_GRACE: Duration = Duration::from_secs(3);
/// How often a stopping process looks whether they are.
const RECORDS_CHECK: Duration = Duration::from_millis(50);

/// Why the daemon can't run.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum RunError {
    /// The log can't be opened.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Log(#[from] LogOpenError),
    /// The data folder can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Disk(#[from] DiskError),
    /// The peer address can't be listened on.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Peer(#[from] LinkListenError),
    /// The HTTP address can't be listened on.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Http(#[from] HttpListenError),
    /// The HTTP client can't be made.
    #[error("the HTTP client can't be made")]
    #[diagnostic(code(hemlockspool::run::client))]
    Client(#[from] reqwest::Error),
    /// Signals can't be listened for.
    #[error("signals can't be listened for")]
    #[diagnostic(code(hemlockspool::run::signal))]
    Signal(#[source] io::Error),
}

/// A replica with the way to its disk.
struct ReplicaParts {
    replica: ReplicaNode,
    store: LogStore,
    folder: DataFolder,
}

/// Runs until a signal asks for a stop.
///
/// # Errors
///
/// See [`RunError`].
pub(crate) async fn run(settings: DaemonSettings) -> Result<(), RunError> {
    event_log::open(&settings)?;
    let started = Instant::now();
    let mut random = rand::rngs::StdRng::from_os_rng();
    let opened = open_replica(&settings, started, random.random())?;
    let server = HttpServer::listen(settings.http).await?;
    let (sender, inbox) = unbounded_channel();
    let links = PeerLinks::listen(settings.peer, settings.routes.clone(), sender.clone()).await?;
    let identity = NodeIdentity {
        deployment: settings.deployment.clone(),
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peer: settings.peer,
        incarnation: (wall_ms() << 16) | u64::from(random.random::<u16>()),
    };
    let (replica, disk) = match opened {
        Some(ReplicaParts { replica, store, folder }) => (Some(replica), Some((store, folder))),
        None => (None, None),
    };
    let seeds = settings.replicas.clone();
    let now = moment_since(started);
    let state = NodeState::new(identity, seeds, replica, now, seeded(random.random()));
    let (failed_sender, failed) = oneshot::channel();
    let (done_sender, done) = unbounded_channel();
    let (writer, folder) = disk
        .map(|(store, folder)| {
            let done = move |ticket| {
                let _ = done_sender.send(ticket);
            };
            let failed = move |error| {
                let _ = failed_sender.send(error);
            };
            (LogWriter::start(store, done, failed), folder)
        })
        .unzip();
    let (client, unpooled_client) = (client(IDLE_CONNECTIONS)?, client(0)?);
    let loopback = sender;
    let parts =
        ShellParts { settings, state, links, writer, loopback, started, client, unpooled_client };
    let shell = NodeShell::new(parts);
    tokio::spawn(forward_messages(Arc::clone(&shell), inbox));
    tokio::spawn(forward_completions(Arc::clone(&shell), done));
    tokio::spawn(tick(Arc::clone(&shell)));
    if let Some(url) = shell.settings.instance_list.clone() {
        tokio::spawn(probes::follow_list(Arc::clone(&shell), url));
    }
    let disk_failed = async {
        // Without a disk the sender is gone, and nothing ever fails.
        match failed.await {
            Ok(error) => error,
            Err(_) => std::future::pending().await,
        }
    };
    event_log::write(&LogEvent::Started { name: shell.settings.name.clone() });
    let result = tokio::select! {
        result = serve(Arc::clone(&shell), server) => result,
        error = disk_failed => {
            event_log::write(&LogEvent::DiskFailed);
            Err(error.into())
        }
    };
    drop(folder);
    result
}

fn seeded(seed: u64) -> rand_pcg::Pcg32 {
    rand_pcg::Pcg32::seed_from_u64(seed)
}

fn open_replica(
    settings: &DaemonSettings,
    started: Instant,
    seed: u64,
) -> Result<Option<ReplicaParts>, DiskError> {
    let Some(path) = &settings.data_folder else {
        return Ok(None);
    };
    let folder = DataFolder::open(path, settings)?;
    let group = GroupId::default();
    let (store, restored) = LogStore::open(&folder.group_path(group.0))?;
    let now = moment_since(started);
    let replica = ReplicaNode::restore(group, folder.replica(), restored, now, seeded(seed))?;
    Ok(Some(ReplicaParts { replica, store, folder }))
}

fn client(idle: usize) -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(retry::never())
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .build()
}

async fn forward_messages(shell: Arc<NodeShell>, mut inbox: UnboundedReceiver<PeerEnvelope>) {
    while let Some(envelope) = inbox.recv().await {
        shell.apply(NodeEvent::Peer(Box::new(envelope)));
    }
}

async fn forward_completions(shell: Arc<NodeShell>, mut done: UnboundedReceiver<u64>) {
    while let Some(ticket) = done.recv().await {
        shell.apply(NodeEvent::Persisted { group: GroupId::default(), ticket });
    }
}

async fn tick(shell: Arc<NodeShell>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shell.apply(NodeEvent::Tick);
    }
}

async fn serve(shell: Arc<NodeShell>, server: HttpServer) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signal)?;
    let stopping = Arc::clone(&shell);
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stopping.apply(NodeEvent::Stop);
        // Callers that hold an answer which names this entry are served until it has run out.
        sleep(stopping.settings.drain).await;
    };
    let grace = shell.settings.grace;
    server.serve(Arc::clone(&shell), stop, grace).await;
    let deadline = Instant::now() + RECORDS_GRACE;
    while shell.read(|state, _| state.submits_pending()) > 0 && Instant::now() < deadline {
        sleep(RECORDS_CHECK).await;
    }
    event_log::write(&LogEvent::Stopped);
    Ok(())
}
