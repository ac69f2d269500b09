/*!
Start and graceful shutdown of an instance whose targets are declared.
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

/// The interval of the reducer's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The timeout of connecting to a target, an entry or the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of idle connections to each address.
const IDLE_CONNECTIONS_MAX: usize = 64;
/// The longest time that a stopping process waits for outcomes and tallies to be recorded.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval at which a stopping process checks whether requests have ended and whether outcomes
/// are recorded.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An error that prevents the daemon from starting, or ends it.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum RunError {
    /// The log can't be opened.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Log(#[from] LogOpenError),
    /// The data folder can't be opened or written.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Disk(#[from] DiskError),
    /// The instance can't listen on its address for peers.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Link(#[from] LinkListenError),
    /// The instance can't listen on its HTTP address.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Http(#[from] HttpListenError),
    /// The HTTP client can't be created.
    #[error("can't create the HTTP client")]
    #[diagnostic(code(hemlockspool::run::client))]
    Client(#[from] reqwest::Error),
    /// A signal handler can't be installed.
    #[error("can't install a signal handler")]
    #[diagnostic(code(hemlockspool::run::signal))]
    Signal(#[source] io::Error),
}

/// A replica that isn't running yet, with its log store and data folder.
struct OpenedReplica {
    replica: ReplicaNode,
    store: LogStore,
    folder: DataFolder,
}

/// Runs an instance until a signal asks it to stop.
///
/// # Errors
///
/// See [`RunError`].
pub(crate) async fn run(settings: DaemonSettings) -> Result<(), RunError> {
    event_log::open(&settings)?;
    let started = Instant::now();
    let mut rng = rand::rngs::StdRng::from_os_rng();
    let opened_replica = open_replica(&settings, started, rng.random())?;
    let server = HttpServer::listen(settings.http).await?;
    let (sender, inbox) = unbounded_channel();
    let received = sender.clone();
    let deliver = move |envelope, _| received.send(envelope).is_ok();
    let links = PeerLinks::listen(settings.peer, settings.routes.clone(), deliver).await?;
    let identity = NodeIdentity {
        deployment: settings.deployment.clone(),
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peer: settings.peer,
        incarnation: (wall_ms() << 16) | u64::from(rng.random::<u16>()),
    };
    let (replica, disk) = match opened_replica {
        Some(OpenedReplica { replica, store, folder }) => (Some(replica), Some((store, folder))),
        None => (None, None),
    };
    let torn_bytes = disk.as_ref().and_then(|(store, _)| store.torn_bytes());
    let seeds = settings.replicas.clone();
    let now = moment_since(started);
    let state = NodeState::new(identity, seeds, replica, now, seeded_rng(rng.random()));
    let (failure_sender, failure) = oneshot::channel();
    let (synced_sender, synced) = unbounded_channel();
    let (writer, folder) = disk
        .map(|(store, folder)| {
            let on_synced = move |ticket| {
                let _ = synced_sender.send(ticket);
            };
            let on_failure = move |error| {
                let _ = failure_sender.send(error);
            };
            (LogWriter::start(store, on_synced, on_failure), folder)
        })
        .unzip();
    let (client, unpooled_client) = (build_client(IDLE_CONNECTIONS_MAX)?, build_client(0)?);
    let loopback = sender;
    let parts =
        ShellParts { settings, state, links, writer, loopback, started, client, unpooled_client };
    let shell = NodeShell::new(parts);
    tokio::spawn(receive_messages(Arc::clone(&shell), inbox));
    tokio::spawn(report_persisted(Arc::clone(&shell), synced));
    tokio::spawn(tick(Arc::clone(&shell)));
    if let Some(url) = shell.settings.instance_list.clone() {
        tokio::spawn(probes::poll_instance_list(Arc::clone(&shell), url));
    }
    let disk_failed = async {
        // Without a disk, the sender was dropped and no failure is ever reported.
        match failure.await {
            Ok(error) => error,
            Err(_) => std::future::pending().await,
        }
    };
    event_log::write(&LogEvent::Started { name: shell.settings.name.clone() });
    if let Some(bytes) = torn_bytes {
        event_log::write(&LogEvent::TornWriteCut { bytes });
    }
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

fn seeded_rng(seed: u64) -> rand_pcg::Pcg32 {
    rand_pcg::Pcg32::seed_from_u64(seed)
}

/// Opens the data folder and restores the replica in it, if the instance has one.
fn open_replica(
    settings: &DaemonSettings,
    started: Instant,
    seed: u64,
) -> Result<Option<OpenedReplica>, DiskError> {
    let Some(path) = &settings.data_folder else {
        return Ok(None);
    };
    let folder = DataFolder::open(path, settings)?;
    let group = GroupId::default();
    let (store, restored) = LogStore::open(&folder.group_path(group.0))?;
    let now = moment_since(started);
    let replica = ReplicaNode::restore(group, folder.replica(), restored, now, seeded_rng(seed))?;
    Ok(Some(OpenedReplica { replica, store, folder }))
}

/// Builds an HTTP client that neither follows redirects nor retries. A request has a time limit of
/// its own; until that, a target may take its time to read a body, so that unsent bytes are no sign of
/// a failure.
fn build_client(idle_max: usize) -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(retry::never())
        .tcp_nodelay(true)
        .tcp_user_timeout(None)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(idle_max)
        .build()
}

/// Passes received messages to the reducer.
async fn receive_messages(shell: Arc<NodeShell>, mut inbox: UnboundedReceiver<PeerEnvelope>) {
    while let Some(envelope) = inbox.recv().await {
        shell.apply(NodeEvent::Peer(Box::new(envelope)));
    }
}

/// Reports synced writes to the reducer.
async fn report_persisted(shell: Arc<NodeShell>, mut synced: UnboundedReceiver<u64>) {
    while let Some(ticket) = synced.recv().await {
        shell.apply(NodeEvent::Persisted { group: GroupId::default(), ticket });
    }
}

/// Sends ticks to the reducer.
async fn tick(shell: Arc<NodeShell>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shell.apply(NodeEvent::Tick);
    }
}

/// Serves until a signal asks for a stop, drains, and waits for requests in flight to end and for
/// outcomes and tallies to be recorded.
async fn serve(shell: Arc<NodeShell>, server: HttpServer) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signal)?;
    // Installing a handler keeps the signal from ending the process. The settings aren't read again.
    let _hangup = signal(SignalKind::hangup()).map_err(RunError::Signal)?;
    let (stop_shell, grace) = (Arc::clone(&shell), shell.settings.grace);
    let mut grace_end = Instant::now() + grace;
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop_shell.apply(NodeEvent::Stop);
        // Callers may use a cached lookup response that names this entry until it expires.
        sleep(stop_shell.settings.drain).await;
        grace_end = Instant::now() + grace;
    };
    server.serve(Arc::clone(&shell), stop, grace).await;
    // Requests that run at most once go on without their caller's connection.
    wait_until_none(&shell, grace_end, |state| state.requests().open_requests()).await;
    let records_end = Instant::now() + RECORDS_TIMEOUT;
    wait_until_none(&shell, records_end, |state| state.pending_commands() as u64).await;
    event_log::write(&LogEvent::Stopped);
    Ok(())
}

/// Waits until a count is zero, or a time limit is over.
async fn wait_until_none<F>(shell: &NodeShell, end: Instant, count: F)
where
    F: Fn(&NodeState) -> u64,
{
    while shell.read(|state, _| count(state)) > 0 && Instant::now() < end {
        sleep(STOP_CHECK_INTERVAL).await;
    }
}
