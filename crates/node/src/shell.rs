/*!
The shell around the reducer: one lock, events in, effects out.

No effect waits while the lock is held. Writes to disk leave in the order in which the reducer asked
for them, since they are queued under the lock.
*/

use {
    crate::{
        disk::LogWriter, event_log, metrics::NodeMetrics, peer_link::PeerLinks, probes,
        settings::DaemonSettings, wall_clock::wall_ms,
    },
    hemlockspool_core::{
        clock::{ClockReading, Moment},
        effect::{NodeEffect, OperatorReply, ReplyTicket},
        operators::OperatorCall,
        reducer::{NodeEvent, NodeState},
        requests::{RequestAction, RequestEvent, RequestId},
        wire::PeerEnvelope,
    },
    hemlockspool_model::names::OperatorName,
    reqwest::Client,
    sha2::{Digest, Sha256},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{
            mpsc::{self, UnboundedReceiver, UnboundedSender},
            oneshot,
        },
        time::Instant,
    },
};

/// The reading of the monotonic clock at the start of the process. It is above zero, so that a
/// peer's age can be taken off it.
const START_READING: Duration = Duration::from_secs(3_600);

/// Everything that handlers share.
pub(crate) struct NodeShell {
    /// The settings.
    pub settings: DaemonSettings,
    /// The counters.
    pub metrics: NodeMetrics,
    /// The client for requests that may be repeated; it keeps connections.
    pub client: Client,
    /// The client for requests that run at most once. It makes a connection for each, so that a
    /// connection that the other side closed meanwhile isn't taken for a request that got lost.
    pub unpooled_client: Client,
    core: Mutex<ShellCore>,
    links: PeerLinks,
    writer: Option<LogWriter>,
    loopback: UnboundedSender<PeerEnvelope>,
    started: Instant,
    last_id: AtomicU64,
}

struct ShellCore {
    state: NodeState,
    actions: BTreeMap<RequestId, UnboundedSender<RequestAction>>,
    replies: BTreeMap<ReplyTicket, oneshot::Sender<OperatorReply>>,
}

/// What a shell is made of.
pub(crate) struct ShellParts {
    /// The settings.
    pub settings: DaemonSettings,
    /// The reducer's state.
    pub state: NodeState,
    /// The connections to peers.
    pub links: PeerLinks,
    /// The way to the disk, when there is one.
    pub writer: Option<LogWriter>,
    /// Where messages to this instance itself go.
    pub loopback: UnboundedSender<PeerEnvelope>,
    /// The start of the process.
    pub started: Instant,
    /// The client for requests that may be repeated.
    pub client: Client,
    /// The client for requests that run at most once.
    pub unpooled_client: Client,
}

/// Returns the reading of the monotonic clock.
pub(crate) fn moment_since(started: Instant) -> Moment {
    let elapsed = started.elapsed() + START_READING;
    Moment(elapsed.as_micros() as u64)
}

impl NodeShell {
    /// Makes a shell.
    pub(crate) fn new(parts: ShellParts) -> Arc<Self> {
        let ShellParts {
            settings,
            state,
            links,
            writer,
            loopback,
            started,
            client,
            unpooled_client,
        } = parts;
        let core = ShellCore { state, actions: BTreeMap::new(), replies: BTreeMap::new() };
        Arc::new(Self {
            settings,
            metrics: NodeMetrics::new(),
            client,
            unpooled_client,
            core: Mutex::new(core),
            links,
            writer,
            loopback,
            started,
            last_id: AtomicU64::new(0),
        })
    }

    /// Returns the reading of the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        moment_since(self.started)
    }

    /// Looks at the state.
    pub(crate) fn read<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&NodeState, Moment) -> T,
    {
        let core = self.lock();
        look(&core.state, self.now())
    }

    /// Books bytes on a link; see [`NodeState::reserve_link`].
    pub(crate) fn reserve_link(
        &self,
        to: &hemlockspool_model::names::RegionName,
        bytes: u64,
    ) -> Option<Duration> {
        let now = self.now();
        self.lock().state.reserve_link(to, bytes, now)
    }

    /// Hands an event to the reducer and performs what it wants done.
    pub(crate) fn apply(self: &Arc<Self>, event: NodeEvent) {
        let mut core = self.lock();
        let clock = ClockReading { now: self.now(), wall_ms: wall_ms() };
        let effects = core.state.reduce(event, clock);
        for effect in effects {
            self.perform(&mut core, effect);
        }
    }

    /// Makes an operator's call and waits for its answer.
    pub(crate) async fn call(self: &Arc<Self>, call: OperatorCall) -> Option<OperatorReply> {
        let ticket = ReplyTicket(self.next_id());
        let (sender, receiver) = oneshot::channel();
        self.lock().replies.insert(ticket, sender);
        self.apply(NodeEvent::Operator { ticket, call });
        receiver.await.ok()
    }

    /// Opens the way back for a request.
    pub(crate) fn open_request(&self) -> (RequestId, UnboundedReceiver<RequestAction>) {
        let id = RequestId(self.next_id());
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().actions.insert(id, sender);
        (id, receiver)
    }

    /// Ends a request.
    pub(crate) fn close_request(self: &Arc<Self>, id: RequestId) {
        self.lock().actions.remove(&id);
        self.apply(NodeEvent::Request(RequestEvent::Closed { id }));
    }

    /// Returns the operator that a token belongs to.
    pub(crate) fn operator_of(&self, token: &str) -> Option<OperatorName> {
        let digest = Sha256::digest(token.as_bytes());
        let text: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let known = self.settings.operators.iter();
        let mut known = known.filter(|one| one.token_sha256.eq_ignore_ascii_case(&text));
        known.next().map(|operator| operator.name.clone())
    }

    fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn lock(&self) -> MutexGuard<'_, ShellCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(self: &Arc<Self>, core: &mut ShellCore, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => {
                let envelope = core.state.identity().envelope(*message);
                if to == self.settings.peer {
                    let _ = self.loopback.send(envelope);
                } else {
                    self.links.send(to, &envelope);
                }
            }
            NodeEffect::Disk(effect) => {
                if let Some(writer) = &self.writer {
                    writer.write(effect);
                }
            }
            NodeEffect::Reply { ticket, reply } => {
                if let Some(sender) = core.replies.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
            NodeEffect::Request { id, action } => {
                if let Some(sender) = core.actions.get(&id) {
                    let _ = sender.send(action);
                }
            }
            NodeEffect::Probe { target, address } => {
                tokio::spawn(probes::probe(Arc::clone(self), target, address));
            }
            NodeEffect::Log(note) => event_log::write(&note),
            NodeEffect::ConfigChanged => {}
            // Asked for only where targets are found at run time.
            NodeEffect::ProbePath { .. }
            | NodeEffect::ReadInstanceList
            | NodeEffect::LogDecision(_) => {}
        }
    }
}
