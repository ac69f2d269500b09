/*!
The shell around the reducer: applies events under one lock and performs the resulting effects.

No effect waits for the disk or the network while the lock is held, except that lines of the event
log are written synchronously. Writes to the replicated log are queued under the lock, so that they
happen in the order in which the reducer asked for them.
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
    hemlockspool_model::names::{OperatorName, RegionName},
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

/// The reading of the monotonic clock at the start of the process. It is above zero, so that the
/// reducer can represent times before the start, which it computes from the ages that peers report.
const START_READING: Duration = Duration::from_secs(3_600);

/// The state and resources that the tasks of an instance share.
pub(crate) struct NodeShell {
    /// The settings of the instance.
    pub settings: DaemonSettings,
    /// The metrics.
    pub metrics: NodeMetrics,
    /// The client for requests that may be retried, for probes and for the platform's list. It
    /// reuses connections.
    pub client: Client,
    /// The client for requests that run at most once. It opens a connection for each request:
    /// on a pooled one that the server has closed meanwhile, a request that was never read can't be
    /// told from one that ran.
    pub unpooled_client: Client,
    locked: Mutex<LockedState>,
    links: PeerLinks,
    writer: Option<LogWriter>,
    loopback: UnboundedSender<PeerEnvelope>,
    started: Instant,
    /// The last id that was assigned to a request or an operator's call.
    last_id: AtomicU64,
}

/// The state that is protected by the lock.
struct LockedState {
    state: NodeState,
    /// The senders of the reducer's actions, by the request that they concern.
    action_senders: BTreeMap<RequestId, UnboundedSender<RequestAction>>,
    /// The senders of the replies that operators' calls wait for.
    reply_senders: BTreeMap<ReplyTicket, oneshot::Sender<OperatorReply>>,
}

/// The components of a [`NodeShell`].
pub(crate) struct ShellParts {
    /// The settings of the instance.
    pub settings: DaemonSettings,
    /// The reducer's state.
    pub state: NodeState,
    /// The connections to other instances.
    pub links: PeerLinks,
    /// The queue of writes to the disk, if the instance has one.
    pub writer: Option<LogWriter>,
    /// The sender of messages from this instance to itself.
    pub loopback: UnboundedSender<PeerEnvelope>,
    /// The time when the process started.
    pub started: Instant,
    /// The client for requests that may be retried, for probes and for the platform's list.
    pub client: Client,
    /// The client for requests that run at most once.
    pub unpooled_client: Client,
}

/// Returns the current reading of the monotonic clock of a process that started at `started`.
pub(crate) fn moment_since(started: Instant) -> Moment {
    moment_at(started, Instant::now())
}

/// Returns the reading of the monotonic clock of a process that started at `started`, at an instant.
pub(crate) fn moment_at(started: Instant, instant: Instant) -> Moment {
    let elapsed = instant.saturating_duration_since(started) + START_READING;
    Moment(elapsed.as_micros() as u64)
}

impl NodeShell {
    /// Creates a shell.
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
        let locked =
            LockedState { state, action_senders: BTreeMap::new(), reply_senders: BTreeMap::new() };
        Arc::new(Self {
            settings,
            metrics: NodeMetrics::new(),
            client,
            unpooled_client,
            locked: Mutex::new(locked),
            links,
            writer,
            loopback,
            started,
            last_id: AtomicU64::new(0),
        })
    }

    /// Returns the current reading of the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        moment_since(self.started)
    }

    /// Calls a function with the state and the current reading of the monotonic clock.
    pub(crate) fn read<T, F>(&self, inspect: F) -> T
    where
        F: FnOnce(&NodeState, Moment) -> T,
    {
        let locked = self.lock();
        inspect(&locked.state, self.now())
    }

    /// Reserves bytes on the link to a region; see [`NodeState::reserve_link`].
    pub(crate) fn reserve_link(&self, to: &RegionName, bytes: u64) -> Option<Duration> {
        let now = self.now();
        self.lock().state.reserve_link(to, bytes, now)
    }

    /// Begins to send reserved bytes on the link to a region; see [`NodeState::begin_on_link`].
    pub(crate) fn begin_on_link(&self, to: &RegionName, bytes: u64) -> Option<Duration> {
        let now = self.now();
        self.lock().state.begin_on_link(to, bytes, now)
    }

    /// Applies an event to the state and performs the resulting effects.
    pub(crate) fn apply(self: &Arc<Self>, event: NodeEvent) {
        let mut locked = self.lock();
        let clock = ClockReading { now: self.now(), wall_ms: wall_ms() };
        let effects = locked.state.reduce(event, clock);
        for effect in effects {
            self.perform(&mut locked, effect);
        }
    }

    /// Makes an operator's call and waits for the reply. Returns `None` if the call ends without a
    /// reply.
    pub(crate) async fn call(self: &Arc<Self>, call: OperatorCall) -> Option<OperatorReply> {
        let ticket = ReplyTicket(self.next_id());
        let (sender, receiver) = oneshot::channel();
        self.lock().reply_senders.insert(ticket, sender);
        self.apply(NodeEvent::Operator { ticket, call });
        receiver.await.ok()
    }

    /// Assigns an id to a caller's request and returns the channel of the reducer's actions for it.
    pub(crate) fn open_request(&self) -> (RequestId, UnboundedReceiver<RequestAction>) {
        let id = RequestId(self.next_id());
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().action_senders.insert(id, sender);
        (id, receiver)
    }

    /// Removes the channel of a caller's request and reports the request to the reducer as closed.
    pub(crate) fn close_request(self: &Arc<Self>, id: RequestId) {
        self.lock().action_senders.remove(&id);
        self.apply(NodeEvent::Request(RequestEvent::Closed { id }));
    }

    /// Returns the operator to whom a token belongs, if there is one.
    pub(crate) fn authenticate(&self, token: &str) -> Option<OperatorName> {
        let digest = Sha256::digest(token.as_bytes());
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let operators = self.settings.operators.iter();
        let mut operators =
            operators.filter(|operator| operator.token_sha256.eq_ignore_ascii_case(&hex));
        operators.next().map(|operator| operator.name.clone())
    }

    fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.locked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Performs an effect or starts a task that does.
    fn perform(self: &Arc<Self>, locked: &mut LockedState, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => {
                let envelope = locked.state.identity().envelope(*message);
                if to == self.settings.peer {
                    let _ = self.loopback.send(envelope);
                } else {
                    self.links.send(to, &envelope);
                }
            }
            NodeEffect::Disk(write) => {
                if let Some(writer) = &self.writer {
                    writer.write(write);
                }
            }
            NodeEffect::Reply { ticket, reply } => {
                if let Some(sender) = locked.reply_senders.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
            NodeEffect::Request { id, action } => {
                if let Some(sender) = locked.action_senders.get(&id) {
                    let _ = sender.send(action);
                }
            }
            NodeEffect::Probe { target, address } => {
                tokio::spawn(probes::probe(Arc::clone(self), target, address));
            }
            NodeEffect::Log(event) => event_log::write(&event),
            NodeEffect::ConfigChanged => {}
            // Only fleets, whose targets are discovered at run time, use these effects.
            NodeEffect::ProbePath { .. }
            | NodeEffect::CheckTarget(_)
            | NodeEffect::CheckLink(_)
            | NodeEffect::StoreCrashes(_)
            | NodeEffect::ReadInstanceList
            | NodeEffect::ReplaceLink(_)
            | NodeEffect::LogDecision(_) => {}
        }
    }
}
