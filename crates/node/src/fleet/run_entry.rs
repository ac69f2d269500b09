/*!
Start and graceful shutdown of an entry.
*/

use {
    super::{
        decision_log::DecisionLog,
        entry_shell::{EntryShell, EntryShellParts},
        forwarding,
        run_replica::{FleetRunError, listen, new_identity, serve_metrics},
        settings::{FleetRole, FleetSettings},
        settings_watch,
    },
    crate::{boot_clock::machine_clock, peer_link::PeerLinks, shell::moment_since},
    hemlockspool_core::{
        fleet::{
            decision_events::DecisionEvent,
            entry::{EntryEvent, EntryParts, EntryState},
        },
        traffic::router::RouterSettings,
        wire::PeerEnvelope,
    },
    hemlockspool_model::table::RequestLimits,
    hemlockspool_serve::HeadLimits,
    poem::{Request, Route, endpoint, get, http::StatusCode},
    reqwest::Client,
    std::{path::PathBuf, sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::{
            mpsc::{UnboundedReceiver, unbounded_channel},
            watch,
        },
        time::{Instant, MissedTickBehavior, interval, sleep},
    },
};

/// The interval of the reducer's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which expired connections are closed and gauges are set.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time for which an idle connection of a caller is kept, in seconds: a few times the duration
/// of a request, so that callers with steady traffic keep their connections, while the memory of
/// connections that were opened during a load peak is freed.
const CALLER_IDLE_TIMEOUT_S: u64 = 3;
/// The longest time for which a stopping entry still accepts requests: callers may use an older lookup
/// response for 3 s. What is accepted later may not be answered before the grace period ends.
const ADMISSION_MAX: Duration = Duration::from_millis(2_900);
/// The fraction of the grace period for which a stopping entry accepts requests at most.
const ADMISSION_FRACTION: f64 = 0.55;
/// The margin before the end of the grace period at which a stopping entry exits by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Runs an entry until a signal asks it to stop.
///
/// # Errors
///
/// See [`FleetRunError`].
pub(crate) async fn run_entry(settings: FleetSettings, path: PathBuf) -> Result<(), FleetRunError> {
    let started = Instant::now();
    let log = DecisionLog::open(settings.name.as_str());
    let listen_at = settings.listen.clone();
    let (head_limits, current_head_limits) = watch::channel(HeadLimits::default());
    let callers = listen(listen_at.callers).await?;
    let callers = callers.keep_alive(CALLER_IDLE_TIMEOUT_S).head_limits(current_head_limits);
    let readiness = listen(listen_at.readiness).await?;
    let (sender, inbox) = unbounded_channel();
    let tunnels = settings.tunnels.clone().unwrap_or_default();
    let deliver = move |envelope, absent_at| sender.send((envelope, absent_at)).is_ok();
    let links = PeerLinks::listen(listen_at.peers, tunnels, deliver).await?;
    let identity = new_identity(&settings);
    let router = RouterSettings {
        me: listen_at.peers,
        callers_port: callers.address().port(),
        bridges_allowed: settings.bridges.unwrap_or(true),
        region: settings.region.clone(),
        domains: settings.domains.clone(),
        retry_limit: settings.retry_limit(),
        link_bytes_per_s: settings.link_bytes_per_s(),
        body_memory_bytes: settings.body_memory_bytes(),
    };
    let parts = EntryParts {
        identity,
        place: settings.place(),
        callers_address: callers.address(),
        seeds: settings.seed_peers(),
        router,
        list_calls_per_s: settings.target_list.calls_per_s,
        machine_clock: machine_clock(started),
    };
    let started_event = DecisionEvent::Started {
        name: settings.name.clone(),
        incarnation: parts.identity.incarnation,
    };
    let state = EntryState::new(parts, moment_since(started));
    let client = Client::builder().no_proxy().build()?;
    let shell = EntryShell::new(EntryShellParts { settings, state, log, client, links, started });
    shell.log_decision(&started_event);
    let hangup = signal(SignalKind::hangup()).map_err(FleetRunError::Signal)?;
    let reload_shell = Arc::clone(&shell);
    let on_change = move |seeds| {
        reload_shell.log_decision(&DecisionEvent::Reloaded);
        reload_shell.apply(EntryEvent::Seeds(seeds));
    };
    tokio::spawn(settings_watch::watch_seeds(path, FleetRole::Entry, hangup, on_change));
    tokio::spawn(receive_messages(Arc::clone(&shell), inbox));
    tokio::spawn(tick(Arc::clone(&shell)));
    tokio::spawn(run_maintenance(Arc::clone(&shell), head_limits));
    serve_metrics(listen_at.metrics, &shell.metrics).await?;
    let ready_shell = Arc::clone(&shell);
    let ready = endpoint::make_sync(move |_: Request| {
        let ready = ready_shell.with_state(|state, _| state.is_ready());
        if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    });
    let routes = Route::new().at("/v1/ready", get(ready));
    tokio::spawn(readiness.serve(routes, std::future::pending(), Duration::ZERO));
    let forward_shell = Arc::clone(&shell);
    let service = endpoint::make(move |request| {
        let shell = Arc::clone(&forward_shell);
        async move { Ok::<_, poem::Error>(forwarding::serve(shell, request).await) }
    });
    let mut terminate = signal(SignalKind::terminate()).map_err(FleetRunError::Signal)?;
    let grace = shell.settings.grace.0;
    let admission_period = grace.mul_f64(ADMISSION_FRACTION).min(ADMISSION_MAX);
    let stop_shell = Arc::clone(&shell);
    let stop = async move {
        terminate.recv().await;
        stop_shell.log_decision(&DecisionEvent::Stopping);
        stop_shell.apply(EntryEvent::Stop);
        sleep(admission_period).await;
        stop_shell.with_state(|state, _| state.stop_admission());
    };
    callers.serve(service, stop, grace.saturating_sub(admission_period + GRACE_MARGIN)).await;
    shell.log_decision(&DecisionEvent::Stopped);
    Ok(())
}

async fn receive_messages(
    shell: Arc<EntryShell>,
    mut inbox: UnboundedReceiver<(PeerEnvelope, Option<Instant>)>,
) {
    while let Some((envelope, absent_at)) = inbox.recv().await {
        let absent_at = absent_at.map(|at| shell.moment_of(at));
        shell.apply(EntryEvent::Peer { envelope: Box::new(envelope), absent_at });
    }
}

async fn tick(shell: Arc<EntryShell>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shell.links.sockets.look();
        shell.apply(EntryEvent::Tick);
    }
}

async fn run_maintenance(shell: Arc<EntryShell>, head_limits: watch::Sender<HeadLimits>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let idle_connections = shell.pool.close_expired();
        shell.metrics.set_state("kept_connections", idle_connections as i64);
        let state = shell.with_state(|state, now| {
            let router = &state.router;
            let limits = to_head_limits(router.limits());
            let link_delay = router.link_delay(now);
            let counts = (router.suspect_counts(), router.link_check_count());
            (state.change(), router.version(), limits, counts, link_delay)
        });
        let (change, version, limits, (suspects, link_checks), link_delay) = state;
        shell.metrics.set_state("suspect_requests", suspects.0 as i64);
        shell.metrics.set_state("quarantined_requests", suspects.1 as i64);
        shell.metrics.set_state("link_checks", link_checks as i64);
        shell.metrics.set_state("link_delay_ms", link_delay.as_millis() as i64);
        head_limits.send_replace(limits);
        shell.metrics.set_state("change", change as i64);
        shell.metrics.set_state("table_version", version.unwrap_or(0) as i64);
    }
}

/// Returns the limits on heads of a route table.
fn to_head_limits(limits: &RequestLimits) -> HeadLimits {
    let defaults = HeadLimits::default();
    let bytes_max = limits.max_header_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    HeadLimits {
        timeout: limits.header_timeout.map_or(defaults.timeout, |timeout| timeout.0),
        bytes_max: bytes_max.unwrap_or(defaults.bytes_max),
    }
}
