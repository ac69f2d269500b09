/*!
From settings to a serving entry, and its graceful stop.
*/

use {
    super::{
        decision_log::DecisionLog,
        entry_shell::{EntryShell, EntryShellParts},
        front,
        run_replica::{FleetRunError, identity_of, listen, serve_metrics},
        settings::{FleetRole, FleetSettings},
        settings_watch,
    },
    crate::{peer_link::PeerLinks, shell::moment_since},
    hemlockspool_core::{
        fleet::{
            decision_events::DecisionEvent,
            entry::{EntryEvent, EntryParts, EntryState},
        },
        traffic::router::RouterSettings,
        wire::PeerEnvelope,
    },
    poem::{Request, Route, endpoint, get, http::StatusCode},
    reqwest::Client,
    std::{path::PathBuf, sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::mpsc::{UnboundedReceiver, unbounded_channel},
        time::{Instant, MissedTickBehavior, interval, sleep},
    },
};

/// Bytes a second in a megabit a second.
const BYTES_PER_S_IN_MBPS: f64 = 125_000.0;
/// The time between ticks.
const TICK_EVERY: Duration = Duration::from_millis(50);
/// The time between looks for connections that were kept for long enough.
const SWEEP_EVERY: Duration = Duration::from_millis(1_000);
/// For how many seconds callers may keep a connection idle: a few of their requests' times, so that those
/// with steady work keep theirs and memory doesn't hold what a peak has left.
const KEEP_CALLERS_S: u64 = 3;
/// The part of the grace in which a stopping entry still takes requests of callers that hold an
/// older look-up answer.
const OPEN_SHARE: f64 = 0.55;
/// What a stopping entry leaves of the grace, so that it ends by itself.
const GRACE_LEFT: Duration = Duration::from_millis(300);

/// Runs an entry until a signal asks for a stop.
///
/// # Errors
///
/// See [`FleetRunError`].
pub(crate) async fn run_entry(settings: FleetSettings, path: PathBuf) -> Result<(), FleetRunError> {
    let started = Instant::now();
    let log = DecisionLog::open(settings.name.as_str());
    let listen_at = settings.listen.clone();
    let callers = listen(listen_at.callers).await?.keep_alive(KEEP_CALLERS_S);
    let readiness = listen(listen_at.readiness).await?;
    let (sender, inbox) = unbounded_channel();
    let tunnels = settings.tunnels.clone().unwrap_or_default();
    let links = PeerLinks::listen(listen_at.peers, tunnels, sender).await?;
    let identity = identity_of(&settings);
    let router = RouterSettings {
        me: listen_at.peers,
        region: settings.region.clone(),
        domains: settings.domains.clone(),
        retry_limit: settings.retry_limit(),
        link_bytes_per_s: settings.link_mbps * BYTES_PER_S_IN_MBPS,
    };
    let parts = EntryParts {
        identity,
        place: settings.place(),
        front: callers.address(),
        seeds: settings.seed_peers(),
        router,
        list_calls_per_s: settings.target_list.calls_per_s,
    };
    let note = DecisionEvent::Started {
        name: settings.name.clone(),
        incarnation: parts.identity.incarnation,
    };
    let state = EntryState::new(parts, moment_since(started));
    let client = Client::builder().no_proxy().build()?;
    let shell = EntryShell::new(EntryShellParts { settings, state, log, client, links, started });
    shell.note(&note);
    let hangup = signal(SignalKind::hangup()).map_err(FleetRunError::Signal)?;
    let reloading = Arc::clone(&shell);
    let reload = move |seeds| {
        reloading.note(&DecisionEvent::Reloaded);
        reloading.apply(EntryEvent::Seeds(seeds));
    };
    tokio::spawn(settings_watch::follow(path, FleetRole::Entry, hangup, reload));
    tokio::spawn(take_in(Arc::clone(&shell), inbox));
    tokio::spawn(tick(Arc::clone(&shell)));
    tokio::spawn(sweep(Arc::clone(&shell)));
    serve_metrics(listen_at.metrics, &shell.metrics).await?;
    let asked = Arc::clone(&shell);
    let ready = endpoint::make_sync(move |_: Request| {
        let ready = asked.decide(|state, _| state.is_ready());
        if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    });
    let routes = Route::new().at("/v1/ready", get(ready));
    tokio::spawn(readiness.serve(routes, std::future::pending(), Duration::ZERO));
    let carrying = Arc::clone(&shell);
    let service = endpoint::make(move |request| {
        let shell = Arc::clone(&carrying);
        async move { Ok::<_, poem::Error>(front::serve(shell, request).await) }
    });
    let mut terminate = signal(SignalKind::terminate()).map_err(FleetRunError::Signal)?;
    let grace = shell.settings.grace.0;
    let open = grace.mul_f64(OPEN_SHARE);
    let stopping = Arc::clone(&shell);
    let stop = async move {
        terminate.recv().await;
        stopping.note(&DecisionEvent::Stopping);
        stopping.apply(EntryEvent::Stop);
        sleep(open).await;
        stopping.decide(|state, _| state.stop_admission());
    };
    callers.serve(service, stop, grace.saturating_sub(open + GRACE_LEFT)).await;
    shell.note(&DecisionEvent::Stopped);
    Ok(())
}

async fn take_in(shell: Arc<EntryShell>, mut inbox: UnboundedReceiver<PeerEnvelope>) {
    while let Some(envelope) = inbox.recv().await {
        shell.apply(EntryEvent::Peer(Box::new(envelope)));
    }
}

async fn tick(shell: Arc<EntryShell>) {
    let mut ticks = interval(TICK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shell.apply(EntryEvent::Tick);
    }
}

async fn sweep(shell: Arc<EntryShell>) {
    let mut ticks = interval(SWEEP_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let kept = shell.pool.sweep();
        shell.metrics.set("kept_connections", kept as i64);
        let (change, version) = shell.decide(|state, _| (state.change(), state.router.version()));
        shell.metrics.set("change", change as i64);
        shell.metrics.set("table_version", version.unwrap_or(0) as i64);
    }
}
