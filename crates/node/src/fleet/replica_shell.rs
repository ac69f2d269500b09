/*!
The shell around a replica's reducer: applies events under one lock and performs the resulting
effects.

Disk writes are queued under the lock, so that they happen in the order in which the reducer asked
for them.
*/

use {
    super::{
        decision_log::DecisionLog, fleet_metrics::FleetMetrics, list_reader,
        settings::FleetSettings,
    },
    crate::{
        boot_clock::since_boot, disk::LogWriter, peer_link::PeerLinks, shell::moment_since,
        wall_clock::wall_ms,
    },
    hemlockspool_core::{
        clock::{ClockReading, Moment},
        effect::{NodeEffect, OperatorReply, ReplyTicket},
        fleet::{
            decision_events::DecisionEvent,
            link_watch::SilentLink,
            replica::{ReplicaEvent, ReplicaState},
            stall_meter::StallMeter,
            stored_crashes::StoredCrashes,
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
        sync::{mpsc::UnboundedSender, oneshot, watch},
        time::Instant,
    },
};

/// The state that is protected by the lock.
struct LockedState {
    state: ReplicaState,
    /// The channels of the outcomes that operators wait for.
    replies: BTreeMap<ReplyTicket, oneshot::Sender<OperatorReply>>,
    stall_meter: StallMeter,
}

/// The state and resources that the tasks of a replica share.
pub(crate) struct ReplicaShell {
    /// The settings of the instance.
    pub settings: FleetSettings,
    /// The metrics.
    pub metrics: Arc<FleetMetrics>,
    pub parts: ReplicaShellParts,
    locked: Mutex<LockedState>,
    last_ticket: AtomicU64,
}

/// The resources that a replica's shell uses.
pub(crate) struct ReplicaShellParts {
    /// The decision log.
    pub log: DecisionLog,
    /// The client for the platform's list.
    pub client: Client,
    /// The connections to other instances.
    pub links: PeerLinks,
    /// The queue of writes to the disk.
    pub writer: LogWriter,
    /// The sender of messages from this instance to itself.
    pub loopback: UnboundedSender<PeerEnvelope>,
    /// The sender of crashes to store.
    pub crashes: watch::Sender<StoredCrashes>,
    /// The time when the process started.
    pub started: Instant,
}

impl ReplicaShell {
    /// Creates a shell.
    pub(crate) fn new(
        settings: FleetSettings,
        state: ReplicaState,
        parts: ReplicaShellParts,
    ) -> Arc<Self> {
        let stall_meter = StallMeter::new(since_boot());
        let locked = LockedState { state, replies: BTreeMap::new(), stall_meter };
        let metrics = Arc::new(FleetMetrics::new());
        metrics.add_counter(&parts.links.opened);
        Arc::new(Self {
            settings,
            metrics,
            parts,
            locked: Mutex::new(locked),
            last_ticket: AtomicU64::new(0),
        })
    }

    /// Returns the current reading of the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        moment_since(self.parts.started)
    }

    /// Calls a function with the state and the current reading of the monotonic clock.
    pub(crate) fn read<T, F>(&self, inspect: F) -> T
    where
        F: FnOnce(&ReplicaState, Moment) -> T,
    {
        inspect(&self.lock().state, self.now())
    }

    /// Applies an event to the state and performs the resulting effects.
    pub(crate) fn apply(self: &Arc<Self>, event: ReplicaEvent) {
        self.apply_with(|state, clock| state.reduce(event, clock));
    }

    /// Calls a function that changes the state and performs the effects that it returns.
    pub(crate) fn apply_with<F>(self: &Arc<Self>, change: F)
    where
        F: FnOnce(&mut ReplicaState, ClockReading) -> Vec<NodeEffect>,
    {
        let mut locked = self.lock();
        let clock = ClockReading { now: self.now(), wall_ms: wall_ms() };
        let effects = change(&mut locked.state, clock);
        for effect in effects {
            self.perform(&mut locked, effect);
        }
    }

    /// Applies the regular tick.
    pub(crate) fn tick(self: &Arc<Self>) {
        self.lock().stall_meter.record_tick(since_boot());
        self.apply(ReplicaEvent::Tick);
    }

    /// Returns whether what the process reads now may have arrived before or during a stall.
    pub(crate) fn has_backlog(&self) -> bool {
        self.lock().stall_meter.has_backlog(since_boot())
    }

    /// Submits an operator's command and waits for its outcome.
    pub(crate) async fn submit_command(self: &Arc<Self>, command: TableCommand) -> OperatorReply {
        self.call(|ticket| ReplicaEvent::Command { ticket, command }).await
    }

    /// Reads the table, as confirmed by a quorum.
    pub(crate) async fn read_table(self: &Arc<Self>) -> OperatorReply {
        self.call(|ticket| ReplicaEvent::ReadTable { ticket }).await
    }

    /// Applies an operator's event and waits for the reply to its ticket.
    async fn call<F>(self: &Arc<Self>, event: F) -> OperatorReply
    where
        F: FnOnce(ReplyTicket) -> ReplicaEvent,
    {
        let ticket = ReplyTicket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, receiver) = oneshot::channel();
        self.lock().replies.insert(ticket, sender);
        self.apply(event(ticket));
        receiver.await.unwrap_or(OperatorReply::OutcomeUnknown)
    }

    /// Counts a decision and writes its log line.
    pub(crate) fn log_decision(&self, decision: &DecisionEvent) {
        self.metrics.count_event(decision);
        self.parts.log.write_decision(decision);
    }

    fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.locked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(self: &Arc<Self>, locked: &mut LockedState, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => {
                let envelope = locked.state.identity().envelope(*message);
                if to == self.settings.listen.peers {
                    // Never fails: the receiver lives as long as the process.
                    let _ = self.parts.loopback.send(envelope);
                } else {
                    self.parts.links.send(to, &envelope);
                }
            }
            NodeEffect::Disk(write) => self.parts.writer.write(write),
            NodeEffect::Reply { ticket, reply } => {
                if let Some(sender) = locked.replies.remove(&ticket) {
                    // Sending fails if the operator is no longer waiting.
                    let _ = sender.send(reply);
                }
            }
            NodeEffect::ReadInstanceList => {
                tokio::spawn(read_list(Arc::clone(self)));
            }
            NodeEffect::StoreCrashes(crashes) => {
                // Sending fails only once the process is ending.
                let _ = self.parts.crashes.send(crashes);
            }
            NodeEffect::Log(log_event) => self.parts.log.write_log_event(&log_event),
            NodeEffect::LogDecision(decision) => self.log_decision(&decision),
            NodeEffect::ReplaceLink(link) => {
                tokio::spawn(replace_link(Arc::clone(self), link));
            }
            // A replica forwards no requests and has no declared objects.
            _ => {}
        }
    }
}

async fn replace_link(shell: Arc<ReplicaShell>, link: SilentLink) {
    let SilentLink { peer, silence } = link;
    if shell.parts.links.replace(peer).await {
        let millis = silence.as_millis() as u64;
        shell.log_decision(&DecisionEvent::LinkReplaced { peer, millis });
    }
}

async fn read_list(shell: Arc<ReplicaShell>) {
    let address = shell.settings.target_list.address;
    let result = list_reader::read_list(&shell.parts.client, address).await;
    result.decisions.iter().for_each(|decision| shell.log_decision(decision));
    shell.apply(ReplicaEvent::ListRead { list: result.list, calls: result.calls });
}
