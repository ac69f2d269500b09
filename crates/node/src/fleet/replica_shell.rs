/*!
The shell around a replica's state: one lock, events in, effects out.

Writes to disk leave in the order in which the reducer asked for them, since they are queued under
the lock.
*/

use {
    super::{
        decision_log::DecisionLog, fleet_metrics::FleetMetrics, list_reader,
        settings::FleetSettings,
    },
    crate::{disk::LogWriter, peer_link::PeerLinks, shell::moment_since, wall_clock::wall_ms},
    hemlockspool_core::{
        clock::{ClockReading, Moment},
        effect::{NodeEffect, OperatorReply, ReplyTicket},
        fleet::{
            decision_events::DecisionEvent,
            replica::{ReplicaEvent, ReplicaState},
        },
        ledger::TableCommand,
        wire::PeerEnvelope,
    },
    reqwest::Client,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        sync::{mpsc::UnboundedSender, oneshot},
        time::Instant,
    },
};

struct ReplicaCore {
    state: ReplicaState,
    replies: BTreeMap<ReplyTicket, oneshot::Sender<OperatorReply>>,
}

/// Everything that handlers of a replica share.
pub(crate) struct ReplicaShell {
    /// The settings.
    pub settings: FleetSettings,
    /// The metrics.
    pub metrics: Arc<FleetMetrics>,
    parts: SharedParts,
    core: Mutex<ReplicaCore>,
    last_ticket: AtomicU64,
}

/// What a replica's shell uses.
pub(crate) struct SharedParts {
    /// The log.
    pub log: DecisionLog,
    /// The client for the platform's list.
    pub client: Client,
    /// The connections to other instances.
    pub links: PeerLinks,
    /// The way to the disk.
    pub writer: LogWriter,
    /// Where messages to this instance itself go.
    pub loopback: UnboundedSender<PeerEnvelope>,
    /// The start of the process.
    pub started: Instant,
}

impl ReplicaShell {
    /// Makes a shell.
    pub(crate) fn new(
        settings: FleetSettings,
        state: ReplicaState,
        parts: SharedParts,
    ) -> Arc<Self> {
        let core = ReplicaCore { state, replies: BTreeMap::new() };
        Arc::new(Self {
            settings,
            metrics: Arc::new(FleetMetrics::new()),
            parts,
            core: Mutex::new(core),
            last_ticket: AtomicU64::new(0),
        })
    }

    /// Returns the reading of the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        moment_since(self.parts.started)
    }

    /// Looks at the state.
    pub(crate) fn read<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&ReplicaState, Moment) -> T,
    {
        look(&self.lock().state, self.now())
    }

    /// Hands an event to the reducer and performs what it wants done.
    pub(crate) fn apply(self: &Arc<Self>, event: ReplicaEvent) {
        self.run(|state, clock| state.reduce(event, clock));
    }

    /// Has the state decide something and performs what it wants done.
    pub(crate) fn run<F>(self: &Arc<Self>, decide: F)
    where
        F: FnOnce(&mut ReplicaState, ClockReading) -> Vec<NodeEffect>,
    {
        let mut core = self.lock();
        let clock = ClockReading { now: self.now(), wall_ms: wall_ms() };
        let effects = decide(&mut core.state, clock);
        for effect in effects {
            self.perform(&mut core, effect);
        }
    }

    /// Gives an order and waits for what it came to.
    pub(crate) async fn order(self: &Arc<Self>, order: TableCommand) -> OperatorReply {
        let ticket = ReplyTicket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, receiver) = oneshot::channel();
        self.lock().replies.insert(ticket, sender);
        self.apply(ReplicaEvent::Order { ticket, order });
        receiver.await.unwrap_or(OperatorReply::OutcomeUnknown)
    }

    /// Counts a decision and writes its line.
    pub(crate) fn note(&self, note: &DecisionEvent) {
        self.metrics.count(note);
        self.parts.log.write(note);
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(self: &Arc<Self>, core: &mut ReplicaCore, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => {
                let envelope = core.state.identity().envelope(*message);
                if to == self.settings.listen.peers {
                    // The receiver lives as long as the process.
                    let _ = self.parts.loopback.send(envelope);
                } else {
                    self.parts.links.send(to, &envelope);
                }
            }
            NodeEffect::Disk(effect) => self.parts.writer.write(effect),
            NodeEffect::Reply { ticket, reply } => {
                if let Some(sender) = core.replies.remove(&ticket) {
                    // An operator that has gone needs no answer.
                    let _ = sender.send(reply);
                }
            }
            NodeEffect::ReadInstanceList => {
                tokio::spawn(read_list(Arc::clone(self)));
            }
            NodeEffect::Log(note) => self.parts.log.write_node(&note),
            NodeEffect::LogDecision(note) => self.note(&note),
            // A replica carries no requests and has no declared objects.
            _ => {}
        }
    }
}

async fn read_list(shell: Arc<ReplicaShell>) {
    let address = shell.settings.target_list.address;
    let reading = list_reader::read_list(&shell.parts.client, address).await;
    reading.notes.iter().for_each(|note| shell.note(note));
    shell.apply(ReplicaEvent::ListRead { list: reading.list, calls: reading.calls });
}
