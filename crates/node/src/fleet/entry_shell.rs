/*!
The shell around an entry's reducer: applies events under one lock and performs the resulting
effects.
*/

use {
    super::{
        body_turns::LinkTurns, connection_pool::ConnectionPool, decision_log::DecisionLog,
        fleet_metrics::FleetMetrics, list_reader, response_body::ResponseMemory,
        settings::FleetSettings,
    },
    crate::{
        peer_link::PeerLinks,
        shell::{moment_at, moment_since},
    },
    hemlockspool_core::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            decision_events::DecisionEvent,
            entry::{EntryEvent, EntryState},
            link_watch::SilentLink,
        },
        traffic::{link_check::LinkCheck, probe::ProbeResult, quarantine::TargetCheck},
    },
    hemlockspool_model::names::TargetName,
    hemlockspool_platform::headers,
    poem::http::header,
    reqwest::Client,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::watch,
        time::{Instant, timeout},
    },
};

/// The timeout of a check whether a target still listens: shorter than that of a replica's connection,
/// which therefore can't pass for a refusal.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);
/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The state and resources that the tasks of an entry share.
pub(crate) struct EntryShell {
    /// The settings of the instance.
    pub settings: FleetSettings,
    /// The connections to targets.
    pub pool: Arc<ConnectionPool>,
    /// The turns of callers' bodies on this entry's link.
    pub link_turns: LinkTurns,
    /// The memory for the buffered bodies of targets' responses.
    pub response_memory: ResponseMemory,
    /// The decision log.
    pub log: DecisionLog,
    /// The metrics.
    pub metrics: Arc<FleetMetrics>,
    /// The client for probes and the platform's list.
    pub client: Client,
    /// The connections to replicas.
    pub links: PeerLinks,
    /// The time when the process started.
    pub started: Instant,
    /// Signals that a message of a replica has been applied.
    pub replies: watch::Sender<()>,
    state: Mutex<EntryState>,
}

/// The parameters of [`EntryShell::new`].
pub(crate) struct EntryShellParts {
    /// The settings of the instance.
    pub settings: FleetSettings,
    /// The reducer's state.
    pub state: EntryState,
    /// The decision log.
    pub log: DecisionLog,
    /// The client for probes and the platform's list.
    pub client: Client,
    /// The connections to replicas.
    pub links: PeerLinks,
    /// The time when the process started.
    pub started: Instant,
}

impl EntryShell {
    /// Creates a shell.
    pub(crate) fn new(parts: EntryShellParts) -> Arc<Self> {
        let EntryShellParts { settings, state, log, client, links, started } = parts;
        let pool = Arc::new(ConnectionPool::new(settings.tunnels.clone().unwrap_or_default()));
        let link_turns = LinkTurns::new(settings.link_bytes_per_s(), started);
        let response_memory = ResponseMemory::new(settings.response_memory_bytes());
        let metrics = Arc::new(FleetMetrics::new());
        metrics.add_counter(&links.opened);
        Arc::new(Self {
            settings,
            pool,
            link_turns,
            response_memory,
            log,
            metrics,
            client,
            links,
            started,
            replies: watch::Sender::new(()),
            state: Mutex::new(state),
        })
    }

    /// Returns the current reading of the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        moment_since(self.started)
    }

    /// Returns the reading of the monotonic clock at an instant after the start.
    pub(crate) fn moment_of(&self, instant: Instant) -> Moment {
        moment_at(self.started, instant)
    }

    /// Tells the router that an answer has arrived now to what was sent at an instant.
    pub(crate) fn record_exchange(&self, began_at: Instant) {
        let began_at = self.moment_of(began_at);
        self.with_state(|state, now| state.router.record_exchange(began_at, now));
    }

    /// Tells the router of the connections that were made.
    fn record_connects(&self) {
        let connects = self.pool.take_connects();
        if connects.is_empty() {
            return;
        }
        let mut state = self.lock();
        for (began_at, made_at) in connects {
            state.router.record_exchange(self.moment_of(began_at), self.moment_of(made_at));
        }
    }

    /// Calls a function with the state and the current reading of the monotonic clock, and logs the
    /// decisions that the router makes during the call.
    pub(crate) fn with_state<T, F>(&self, function: F) -> T
    where
        F: FnOnce(&mut EntryState, Moment) -> T,
    {
        let mut state = self.lock();
        let result = function(&mut state, self.now());
        let decisions = state.router.take_log_events();
        drop(state);
        decisions.iter().for_each(|decision| self.log_decision(decision));
        result
    }

    /// Applies an event to the state and performs the resulting effects.
    pub(crate) fn apply(self: &Arc<Self>, event: EntryEvent) {
        self.record_connects();
        let now = self.now();
        let is_message = matches!(event, EntryEvent::Peer { .. });
        let effects = self.lock().reduce(event, now);
        if is_message {
            self.replies.send_replace(());
        }
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Counts a decision and writes its log line.
    pub(crate) fn log_decision(&self, decision: &DecisionEvent) {
        self.metrics.count_event(decision);
        self.log.write_decision(decision);
    }

    fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(self: &Arc<Self>, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => {
                let envelope = self.lock().identity().envelope(*message);
                self.links.send(to, &envelope);
            }
            NodeEffect::LogDecision(decision) => self.log_decision(&decision),
            NodeEffect::ReadInstanceList => {
                tokio::spawn(read_list(Arc::clone(self)));
            }
            NodeEffect::ProbePath { target, address, path } => {
                tokio::spawn(probe(Arc::clone(self), target, address, path));
            }
            NodeEffect::CheckTarget(check) => {
                tokio::spawn(check_target(Arc::clone(self), check));
            }
            NodeEffect::CheckLink(check) => {
                tokio::spawn(check_link(Arc::clone(self), check));
            }
            NodeEffect::ReplaceLink(link) => {
                tokio::spawn(replace_link(Arc::clone(self), link));
            }
            // An entry has no replica of the log, no operators and no declared objects.
            _ => {}
        }
    }
}

async fn replace_link(shell: Arc<EntryShell>, link: SilentLink) {
    let SilentLink { peer, silence } = link;
    if shell.links.replace(peer).await {
        let millis = silence.as_millis() as u64;
        shell.log_decision(&DecisionEvent::LinkReplaced { peer, millis });
    }
}

async fn read_list(shell: Arc<EntryShell>) {
    let result = list_reader::read_list(&shell.client, shell.settings.target_list.address).await;
    result.decisions.iter().for_each(|decision| shell.log_decision(decision));
    shell.apply(EntryEvent::ListRead { list: result.list, calls: result.calls });
}

async fn check_target(shell: Arc<EntryShell>, check: TargetCheck) {
    let TargetCheck { target, address, bridge } = check;
    let is_refused = shell.pool.is_refused(address, bridge, CHECK_TIMEOUT).await;
    shell.apply(EntryEvent::TargetChecked { target, is_refused });
}

async fn check_link(shell: Arc<EntryShell>, check: LinkCheck) {
    let LinkCheck { address, target, path, limit } = check;
    let began_at = Instant::now();
    let answering = async {
        if !shell.pool.has_tunnel(address) {
            return TcpStream::connect(address).await.is_ok();
        }
        // The near end of a tunnel accepts connections by itself; only the target knows its name.
        let Some(path) = path else { return false };
        let url = format!("http://{}{path}", shell.pool.route_to(address));
        let request = shell.client.get(url).header(header::CONNECTION, "close");
        let response = request.send().await;
        response.is_ok_and(|response| headers::names_target(response.headers(), &target))
    };
    if timeout(limit, answering).await == Ok(true) {
        shell.record_exchange(began_at);
    }
}

async fn probe(shell: Arc<EntryShell>, target: TargetName, address: SocketAddr, path: String) {
    let url = format!("http://{}{path}", shell.pool.route_to(address));
    // Probes of a target are too rare to reuse a connection.
    let request = shell.client.get(url).header(header::CONNECTION, "close");
    let response = request.timeout(PROBE_TIMEOUT).send().await;
    // The near end of a tunnel accepts connections by itself, and others may have got the address, so
    // only a response of the target shows that it was reached.
    let response =
        response.ok().filter(|response| headers::names_target(response.headers(), &target));
    let is_reached = response.is_some();
    if let Some(response) = &response {
        let notice = headers::target_notice(response.status(), response.headers());
        shell.with_state(|state, now| state.router.record_notice(&target, notice, now));
    }
    let healthy = response.filter(|response| response.status().is_success());
    let cold = healthy.and_then(|response| headers::cold_time_left(response.headers(), &target));
    let result = match cold {
        Some(cold) => ProbeResult::Healthy { cold },
        None if is_reached => ProbeResult::Unhealthy,
        None => ProbeResult::Unreached,
    };
    shell.apply(EntryEvent::Probed { target, result });
}
