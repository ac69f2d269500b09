/*!
Start and graceful shutdown of a replica, and the parts that it shares with an entry.
*/

use {
    super::{
        crash_file,
        decision_log::DecisionLog,
        fleet_metrics::FleetMetrics,
        operator_api,
        replica_shell::{ReplicaShell, ReplicaShellParts},
        settings::{FleetRole, FleetSettings},
        settings_watch,
    },
    crate::{
        boot_clock::machine_clock,
        disk::{DataFolder, DiskError, FolderOwner, LogStore, LogWriter},
        peer_link::{LinkListenError, PeerLinks},
        shell::moment_since,
        wall_clock::wall_ms,
    },
    hemlockspool_core::{
        consensus::ReplicaId,
        fleet::{
            decision_events::DecisionEvent,
            replica::{FLEET_GROUP, ReplicaEvent, ReplicaParts, ReplicaState, founder_id},
            stored_crashes::StoredCrashes,
        },
        identity::NodeIdentity,
        log_events::LogEvent,
        replica::ReplicaNode,
        wire::PeerEnvelope,
    },
    hemlockspool_serve::EndpointServer,
    miette::Diagnostic,
    poem::{Route, get},
    rand::{Rng, SeedableRng},
    reqwest::Client,
    std::{io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::{
            mpsc::{UnboundedReceiver, unbounded_channel},
            oneshot, watch,
        },
        time::{Instant, MissedTickBehavior, interval, sleep, timeout},
    },
};

/// The interval of the reducer's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The interval at which the targets that entries may connect to through a replica are updated.
const BRIDGE_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// The time that a stopping replica keeps running to transfer leadership and send responses.
const STOP_DELAY: Duration = Duration::from_millis(1_500);
/// The longest time that a stopping replica then waits for requests in flight.
const STOP_GRACE: Duration = Duration::from_millis(1_000);

/// The margin before the end of the grace period at which a stopping replica exits by itself, although
/// it still passes requests on.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// An error that prevents an instance of a fleet from starting, or ends it.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum FleetRunError {
    /// The data folder can't be opened or written.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Disk(#[from] DiskError),
    /// The instance can't listen on its address for peers.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Link(#[from] LinkListenError),
    /// The instance can't listen on an address.
    #[error("{address}: can't listen")]
    #[diagnostic(code(hemlockspool::fleet::listen))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The settings lack an address to listen on or a replica's data folder.
    /// [`FleetSettings::load`] has already checked for both.
    #[error("the settings name no address to listen on")]
    #[diagnostic(code(hemlockspool::fleet::no_address))]
    NoAddress,
    /// The HTTP client can't be created.
    #[error("can't create the HTTP client")]
    #[diagnostic(code(hemlockspool::fleet::client))]
    Client(#[from] reqwest::Error),
    /// A signal handler can't be installed.
    #[error("can't install a signal handler")]
    #[diagnostic(code(hemlockspool::fleet::signal))]
    Signal(#[source] io::Error),
}

/// Listens on an address from the settings.
///
/// # Errors
///
/// Returns [`FleetRunError::NoAddress`] without an address, or [`FleetRunError::Listen`] if
/// listening on it fails.
pub(crate) async fn listen(address: Option<SocketAddr>) -> Result<EndpointServer, FleetRunError> {
    let address = address.ok_or(FleetRunError::NoAddress)?;
    let server = EndpointServer::bind(address).await;
    server.map_err(|source| FleetRunError::Listen { address, source })
}

/// Serves metrics if the settings have an address for them.
///
/// # Errors
///
/// Returns [`FleetRunError::Listen`] if listening on the address fails.
pub(crate) async fn serve_metrics(
    address: Option<SocketAddr>,
    metrics: &Arc<FleetMetrics>,
) -> Result<(), FleetRunError> {
    if address.is_none() {
        return Ok(());
    }
    let routes = Route::new().at("/metrics", get(metrics.endpoint()));
    let server = listen(address).await?;
    tokio::spawn(server.serve(routes, std::future::pending(), Duration::ZERO));
    Ok(())
}

/// Returns the identity of an instance, with a new incarnation.
pub(crate) fn new_identity(settings: &FleetSettings) -> NodeIdentity {
    NodeIdentity {
        deployment: settings.deployment.clone(),
        name: settings.name.clone(),
        domain: settings.failure_domain.clone(),
        peer: settings.listen.peers,
        incarnation: (wall_ms() << 16) | u64::from(rand::rng().random::<u16>()),
    }
}

/// A replica that isn't running yet, with its log store and data folder.
struct OpenedReplica {
    replica: ReplicaNode,
    store: LogStore,
    folder: DataFolder,
    /// Whether the replica is to bootstrap the group.
    bootstraps: bool,
}

/// Opens the data folder. A replica that bootstraps the group has an id derived from its address,
/// which the other founding replicas know in advance.
fn open_replica(
    settings: &FleetSettings,
    started: Instant,
) -> Result<OpenedReplica, FleetRunError> {
    let path = settings.data_folder.as_ref().ok_or(FleetRunError::NoAddress)?;
    let peer = settings.listen.peers;
    let bootstraps = settings.founding && settings.seed_peers().contains(&peer);
    let new_replica = if bootstraps { founder_id(peer) } else { ReplicaId(rand::random()) };
    let owner = FolderOwner { deployment: &settings.deployment, name: &settings.name, new_replica };
    let folder = DataFolder::open_as(path, owner)?;
    let (store, restored) = LogStore::open(&folder.group_path(FLEET_GROUP.0))?;
    let rng = rand_pcg::Pcg32::seed_from_u64(rand::random());
    let now = moment_since(started);
    let replica = ReplicaNode::restore(FLEET_GROUP, folder.replica(), restored, now, rng);
    let replica = replica.map_err(DiskError::from)?;
    let bootstraps =
        bootstraps && replica.group().is_blank() && replica.group().me() == new_replica;
    Ok(OpenedReplica { replica, store, folder, bootstraps })
}

/// Runs a replica until a signal asks it to stop.
///
/// # Errors
///
/// See [`FleetRunError`].
pub(crate) async fn run_replica(
    settings: FleetSettings,
    path: PathBuf,
) -> Result<(), FleetRunError> {
    let started = Instant::now();
    let log = DecisionLog::open(settings.name.as_str());
    let OpenedReplica { replica, store, folder, bootstraps } = open_replica(&settings, started)?;
    if let Some(bytes) = store.torn_bytes() {
        log.write_log_event(&LogEvent::TornWriteCut { bytes });
    }
    let listen_at = settings.listen.clone();
    let operators = listen(listen_at.operators).await?;
    let lookups = listen(listen_at.lookups).await?;
    let (sender, inbox) = unbounded_channel();
    let tunnels = settings.tunnels.clone().unwrap_or_default();
    let received = sender.clone();
    let deliver = move |envelope, _| received.send(envelope).is_ok();
    let links = PeerLinks::listen(listen_at.peers, tunnels, deliver).await?;
    let identity = new_identity(&settings);
    let started_event =
        DecisionEvent::Started { name: settings.name.clone(), incarnation: identity.incarnation };
    let parts = ReplicaParts {
        identity,
        place: settings.place(),
        seeds: settings.seed_peers(),
        replica,
        list_calls_per_s: settings.target_list.calls_per_s,
        domains: settings.domains.clone(),
        machine_clock: machine_clock(started),
    };
    let state = ReplicaState::new(parts, moment_since(started));
    let (synced_sender, synced) = unbounded_channel();
    let (failure_sender, failure) = oneshot::channel();
    // Sending only fails once the process is ending and the receivers are gone.
    let on_synced = move |ticket| {
        let _ = synced_sender.send(ticket);
    };
    let on_failure = move |error| {
        let _ = failure_sender.send(error);
    };
    let writer = LogWriter::start(store, on_synced, on_failure);
    let client = Client::builder().no_proxy().build()?;
    let (crashes, crashes_to_store) = watch::channel(StoredCrashes::default());
    let parts =
        ReplicaShellParts { log, client, links, writer, loopback: sender, crashes, started };
    let shell = ReplicaShell::new(settings, state, parts);
    shell.log_decision(&started_event);
    if bootstraps {
        shell.apply_with(|state, clock| state.bootstrap(clock.now));
    }
    crash_file::restore(&shell, &folder.crashes_path());
    tokio::spawn(crash_file::write_changes(
        Arc::clone(&shell),
        folder.crashes_path(),
        crashes_to_store,
    ));
    let hangup = signal(SignalKind::hangup()).map_err(FleetRunError::Signal)?;
    let reload_shell = Arc::clone(&shell);
    let on_change = move |seeds| {
        reload_shell.log_decision(&DecisionEvent::Reloaded);
        reload_shell.apply(ReplicaEvent::Seeds(seeds));
    };
    tokio::spawn(settings_watch::watch_seeds(path, FleetRole::Replica, hangup, on_change));
    tokio::spawn(receive_messages(Arc::clone(&shell), inbox));
    tokio::spawn(report_persisted(Arc::clone(&shell), synced));
    tokio::spawn(tick(Arc::clone(&shell)));
    serve_metrics(listen_at.metrics, &shell.metrics).await?;
    let (pending, zero) = (std::future::pending(), Duration::ZERO);
    tokio::spawn(lookups.serve(operator_api::routes(&shell), pending, zero));
    let result = tokio::select! {
        result = serve(Arc::clone(&shell), operators) => result,
        error = disk_failed(failure) => Err(error.into()),
    };
    shell.log_decision(&DecisionEvent::Stopped);
    drop(folder);
    result
}

async fn disk_failed(failure: oneshot::Receiver<DiskError>) -> DiskError {
    match failure.await {
        Ok(error) => error,
        // The writer ended without an error, so the process is ending.
        Err(_) => std::future::pending().await,
    }
}

async fn serve(shell: Arc<ReplicaShell>, operators: EndpointServer) -> Result<(), FleetRunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(FleetRunError::Signal)?;
    let routes = operator_api::routes(&shell);
    let stop_shell = Arc::clone(&shell);
    let stop = async move {
        terminate.recv().await;
        stop_shell.log_decision(&DecisionEvent::Stopping);
        stop_shell.apply(ReplicaEvent::Stop);
        sleep(STOP_DELAY).await;
    };
    operators.serve(routes, stop, STOP_GRACE).await;
    // Targets work on the requests that entries send through this replica.
    let left = shell.settings.grace.0.saturating_sub(STOP_DELAY + STOP_GRACE + GRACE_MARGIN);
    let _ = timeout(left, shell.parts.links.bridge_targets.finish()).await;
    Ok(())
}

async fn receive_messages(shell: Arc<ReplicaShell>, mut inbox: UnboundedReceiver<PeerEnvelope>) {
    while let Some(envelope) = inbox.recv().await {
        shell.apply(ReplicaEvent::Peer(Box::new(envelope)));
    }
}

async fn report_persisted(shell: Arc<ReplicaShell>, mut synced: UnboundedReceiver<u64>) {
    while let Some(ticket) = synced.recv().await {
        shell.apply(ReplicaEvent::Persisted { ticket });
    }
}

async fn tick(shell: Arc<ReplicaShell>) {
    let mut bridges_due = Instant::now();
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shell.tick();
        if bridges_due <= Instant::now() {
            bridges_due = Instant::now() + BRIDGE_UPDATE_INTERVAL;
            let addresses = shell.read(|state, _| state.target_addresses());
            shell.parts.links.bridge_targets.set(addresses);
        }
    }
}
