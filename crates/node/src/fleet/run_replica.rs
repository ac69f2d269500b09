/*!
From settings to a serving replica, and its graceful stop.
*/

use {
    super::{
        decision_log::DecisionLog,
        fleet_metrics::FleetMetrics,
        operator_api,
        replica_shell::{ReplicaShell, SharedParts},
        settings::{FleetRole, FleetSettings},
        settings_watch,
    },
    crate::{
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
        },
        identity::NodeIdentity,
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
            oneshot,
        },
        time::{Instant, MissedTickBehavior, interval, sleep},
    },
};

/// The time between ticks.
const TICK_EVERY: Duration = Duration::from_millis(25);
/// How long a stopping replica goes on, so that the lead is handed over and answers leave.
const STOP_PAUSE: Duration = Duration::from_millis(1_500);
/// How long a stopping replica waits for answers under way.
const STOP_GRACE: Duration = Duration::from_millis(1_000);

/// Why an instance of a fleet can't run.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum FleetRunError {
    /// The data folder can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Disk(#[from] DiskError),
    /// The address for peers can't be listened on.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Link(#[from] LinkListenError),
    /// An address can't be listened on.
    #[error("{address}: can't listen")]
    #[diagnostic(code(hemlockspool::fleet::listen))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The settings name no address.
    #[error("the settings name no address to listen on")]
    #[diagnostic(code(hemlockspool::fleet::no_address))]
    NoAddress,
    /// The HTTP client can't be made.
    #[error("the HTTP client can't be made")]
    #[diagnostic(code(hemlockspool::fleet::client))]
    Client(#[from] reqwest::Error),
    /// Signals can't be listened for.
    #[error("signals can't be listened for")]
    #[diagnostic(code(hemlockspool::fleet::signal))]
    Signal(#[source] io::Error),
}

/// Listens on an address of the settings.
///
/// # Errors
///
/// [`FleetRunError::Listen`] when the address can't be listened on.
pub(crate) async fn listen(address: Option<SocketAddr>) -> Result<EndpointServer, FleetRunError> {
    let address = address.ok_or(FleetRunError::NoAddress)?;
    let server = EndpointServer::bind(address).await;
    server.map_err(|source| FleetRunError::Listen { address, source })
}

/// Serves metrics, when the settings say where.
///
/// # Errors
///
/// [`FleetRunError::Listen`] when the address can't be listened on.
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

/// Returns who an instance is.
pub(crate) fn identity_of(settings: &FleetSettings) -> NodeIdentity {
    NodeIdentity {
        deployment: settings.deployment.clone(),
        name: settings.name.clone(),
        domain: settings.failure_domain.clone(),
        peer: settings.listen.peers,
        incarnation: (wall_ms() << 16) | u64::from(rand::rng().random::<u16>()),
    }
}

/// A replica that isn't running yet, with the way to its disk.
struct OpenedReplica {
    replica: ReplicaNode,
    store: LogStore,
    folder: DataFolder,
    founds: bool,
}

/// Opens the data folder. Founders have a life that all founders know beforehand.
fn open_replica(
    settings: &FleetSettings,
    started: Instant,
) -> Result<OpenedReplica, FleetRunError> {
    let path = settings.data_folder.as_ref().ok_or(FleetRunError::NoAddress)?;
    let peer = settings.listen.peers;
    let founds = settings.founding && settings.seed_peers().contains(&peer);
    let new_replica = if founds { founder_id(peer) } else { ReplicaId(rand::random()) };
    let owner = FolderOwner { deployment: &settings.deployment, name: &settings.name, new_replica };
    let folder = DataFolder::open_as(path, owner)?;
    let (store, restored) = LogStore::open(&folder.group_path(FLEET_GROUP.0))?;
    let random = rand_pcg::Pcg32::seed_from_u64(rand::random());
    let now = moment_since(started);
    let replica = ReplicaNode::restore(FLEET_GROUP, folder.replica(), restored, now, random);
    let replica = replica.map_err(DiskError::from)?;
    let founds = founds && replica.group().is_blank() && replica.group().me() == new_replica;
    Ok(OpenedReplica { replica, store, folder, founds })
}

/// Runs a replica until a signal asks for a stop.
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
    let OpenedReplica { replica, store, folder, founds } = open_replica(&settings, started)?;
    let listen_at = settings.listen.clone();
    let operators = listen(listen_at.operators).await?;
    let lookups = listen(listen_at.lookups).await?;
    let (sender, inbox) = unbounded_channel();
    let tunnels = settings.tunnels.clone().unwrap_or_default();
    let links = PeerLinks::listen(listen_at.peers, tunnels, sender.clone()).await?;
    let identity = identity_of(&settings);
    let note =
        DecisionEvent::Started { name: settings.name.clone(), incarnation: identity.incarnation };
    let parts = ReplicaParts {
        identity,
        place: settings.place(),
        seeds: settings.seed_peers(),
        replica,
        list_calls_per_s: settings.target_list.calls_per_s,
        domains: settings.domains.clone(),
    };
    let state = ReplicaState::new(parts, moment_since(started));
    let (done_sender, done) = unbounded_channel();
    let (failed_sender, failed) = oneshot::channel();
    // When the receivers are gone, the process is ending.
    let finish = move |ticket| {
        let _ = done_sender.send(ticket);
    };
    let fail = move |error| {
        let _ = failed_sender.send(error);
    };
    let writer = LogWriter::start(store, finish, fail);
    let client = Client::builder().no_proxy().build()?;
    let shared = SharedParts { log, client, links, writer, loopback: sender, started };
    let shell = ReplicaShell::new(settings, state, shared);
    shell.note(&note);
    if founds {
        shell.run(|state, clock| state.bootstrap(clock.now));
    }
    let hangup = signal(SignalKind::hangup()).map_err(FleetRunError::Signal)?;
    let reloading = Arc::clone(&shell);
    let reload = move |seeds| {
        reloading.note(&DecisionEvent::Reloaded);
        reloading.apply(ReplicaEvent::Seeds(seeds));
    };
    tokio::spawn(settings_watch::follow(path, FleetRole::Replica, hangup, reload));
    tokio::spawn(take_in(Arc::clone(&shell), inbox));
    tokio::spawn(hand_back(Arc::clone(&shell), done));
    tokio::spawn(tick(Arc::clone(&shell)));
    serve_metrics(listen_at.metrics, &shell.metrics).await?;
    let (pending, zero) = (std::future::pending(), Duration::ZERO);
    tokio::spawn(lookups.serve(operator_api::routes(&shell), pending, zero));
    let result = tokio::select! {
        result = serve(Arc::clone(&shell), operators) => result,
        error = disk_failed(failed) => Err(error.into()),
    };
    shell.note(&DecisionEvent::Stopped);
    drop(folder);
    result
}

async fn disk_failed(failed: oneshot::Receiver<DiskError>) -> DiskError {
    match failed.await {
        Ok(error) => error,
        // The writer has ended without an error, since the process is ending.
        Err(_) => std::future::pending().await,
    }
}

async fn serve(shell: Arc<ReplicaShell>, operators: EndpointServer) -> Result<(), FleetRunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(FleetRunError::Signal)?;
    let routes = operator_api::routes(&shell);
    let stop = async move {
        terminate.recv().await;
        shell.note(&DecisionEvent::Stopping);
        shell.apply(ReplicaEvent::Stop);
        sleep(STOP_PAUSE).await;
    };
    operators.serve(routes, stop, STOP_GRACE).await;
    Ok(())
}

async fn take_in(shell: Arc<ReplicaShell>, mut inbox: UnboundedReceiver<PeerEnvelope>) {
    while let Some(envelope) = inbox.recv().await {
        shell.apply(ReplicaEvent::Peer(Box::new(envelope)));
    }
}

async fn hand_back(shell: Arc<ReplicaShell>, mut done: UnboundedReceiver<u64>) {
    while let Some(ticket) = done.recv().await {
        shell.apply(ReplicaEvent::Persisted { ticket });
    }
}

async fn tick(shell: Arc<ReplicaShell>) {
    let mut ticks = interval(TICK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shell.apply(ReplicaEvent::Tick);
    }
}
