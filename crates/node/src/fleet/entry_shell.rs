/*!
The shell around an entry's state: one lock, events in, effects out.
*/

use {
    super::{
        decision_log::DecisionLog, fleet_metrics::FleetMetrics, list_reader,
        settings::FleetSettings, target_pool::TargetPool,
    },
    crate::{peer_link::PeerLinks, shell::moment_since},
    hemlockspool_core::{
        clock::Moment,
        effect::NodeEffect,
        fleet::{
            decision_events::DecisionEvent,
            entry::{EntryEvent, EntryState},
        },
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
    tokio::time::Instant,
};

/// How long a target may take to answer a probe.
const PROBE_PATIENCE: Duration = Duration::from_millis(800);

/// Everything that handlers of an entry share.
pub(crate) struct EntryShell {
    /// The settings.
    pub settings: FleetSettings,
    /// The connections to targets.
    pub pool: TargetPool,
    /// The log.
    pub log: DecisionLog,
    /// The metrics.
    pub metrics: Arc<FleetMetrics>,
    /// The client for probes and the platform's list.
    pub client: Client,
    /// The connections to replicas.
    pub links: PeerLinks,
    /// The start of the process.
    pub started: Instant,
    state: Mutex<EntryState>,
}

/// What an entry's shell is made of.
pub(crate) struct EntryShellParts {
    /// The settings.
    pub settings: FleetSettings,
    /// The reducer's state.
    pub state: EntryState,
    /// The log.
    pub log: DecisionLog,
    /// The client for probes and the platform's list.
    pub client: Client,
    /// The connections to replicas.
    pub links: PeerLinks,
    /// The start of the process.
    pub started: Instant,
}

impl EntryShell {
    /// Makes a shell.
    pub(crate) fn new(parts: EntryShellParts) -> Arc<Self> {
        let EntryShellParts { settings, state, log, client, links, started } = parts;
        Arc::new(Self {
            settings,
            pool: TargetPool::default(),
            log,
            metrics: Arc::new(FleetMetrics::new()),
            client,
            links,
            started,
            state: Mutex::new(state),
        })
    }

    /// Returns the reading of the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        moment_since(self.started)
    }

    /// Looks at the state or has the desk decide something, and logs what it notes.
    pub(crate) fn decide<T, F>(&self, decide: F) -> T
    where
        F: FnOnce(&mut EntryState, Moment) -> T,
    {
        let mut state = self.lock();
        let result = decide(&mut state, self.now());
        let notes = state.router.take_log_events();
        drop(state);
        notes.iter().for_each(|note| self.note(note));
        result
    }

    /// Hands an event to the reducer and performs what it wants done.
    pub(crate) fn apply(self: &Arc<Self>, event: EntryEvent) {
        let now = self.now();
        let effects = self.lock().reduce(event, now);
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Counts a decision and writes its line.
    pub(crate) fn note(&self, note: &DecisionEvent) {
        self.metrics.count(note);
        self.log.write(note);
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
            NodeEffect::LogDecision(note) => self.note(&note),
            NodeEffect::ReadInstanceList => {
                tokio::spawn(read_list(Arc::clone(self)));
            }
            NodeEffect::ProbePath { target, address, path } => {
                tokio::spawn(probe(Arc::clone(self), target, address, path));
            }
            // An entry has no disk, no operators and no declared objects.
            _ => {}
        }
    }
}

async fn read_list(shell: Arc<EntryShell>) {
    let reading = list_reader::read_list(&shell.client, shell.settings.target_list.address).await;
    reading.notes.iter().for_each(|note| shell.note(note));
    shell.apply(EntryEvent::ListRead { list: reading.list, calls: reading.calls });
}

async fn probe(shell: Arc<EntryShell>, target: TargetName, address: SocketAddr, path: String) {
    let url = format!("http://{address}{path}");
    // Probes of a target are rare: a kept connection would be of no use.
    let asking = shell.client.get(url).header(header::CONNECTION, "close");
    let answer = asking.timeout(PROBE_PATIENCE).send().await;
    let healthy = answer.ok().filter(|answer| answer.status().is_success());
    let cold = healthy.and_then(|answer| headers::cold_time_left(answer.headers(), &target));
    shell.apply(EntryEvent::Probed { target, cold });
}
