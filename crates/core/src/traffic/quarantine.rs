/*!
Requests that end the targets that run them: an entry finds out whether a target has ended, reports
the requests that ran there, and refuses those that several targets have ended under.

A connection that breaks doesn't show that its target has ended: targets also break connections, and
so do links. Whether another connection is refused right afterwards does. Until then the requests
wait as those of a broken target.

A quarantine ends with an answer of a target. When it is over, entries make single attempts, one
entry after the other, so that a request that still ends targets is seen at most a few times before
all entries have heard of it.
*/

use {
    crate::{
        clock::Moment,
        fleet::{
            crash_tracker::{CrashTracker, RequestQuarantine},
            decision_events::DecisionEvent,
            messages::{CrashReport, CrashView, target_hash},
        },
        traffic::{
            fingerprint::RequestFingerprint,
            request::{AdmittedRequest, AttemptResult, RefusalReason},
            router::RequestRouter,
        },
        util::stable_hash,
    },
    hemlockspool_model::names::TargetName,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time within which a target must be found to have ended after it broke a connection, and the
/// shortest time from a check that found it listening to the next one.
const BROKEN_TTL: Duration = Duration::from_millis(1_500);
/// The age up to which this entry's own reports are repeated: several heartbeats to each replica.
const REPORT_AGE_MAX: Duration = Duration::from_millis(4_000);
/// The maximum number of own reports that are repeated: at most 2 KB in each heartbeat.
const REPORTS_MAX: usize = 64;
/// The time from one entry's attempt after a quarantine to the next entry's: longer than a report
/// takes through a replica.
const TRIAL_STAGGER: Duration = Duration::from_millis(2_000);
/// The shortest delay before a caller may send a quarantined request again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1_000);

/// A target that broke connections and may have ended.
#[derive(Clone, Debug, Default)]
struct BrokenTarget {
    /// The requests that it was running.
    requests: Vec<BrokenRun>,
    /// The time of the last check that was requested.
    checked_at: Option<Moment>,
}

/// A run of a request whose connection broke.
#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    request: RequestFingerprint,
    /// The time from sending the request to `broken_at`.
    duration: Duration,
    broken_at: Moment,
}

/// A check whether a target still listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCheck {
    /// The target.
    pub target: TargetName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The peer address of the replica through which to connect, if this entry is cut off.
    pub bridge: Option<SocketAddr>,
}

/// The requests under which targets ended, as this entry knows them.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    crashes: CrashTracker,
    /// What this entry saw itself, the oldest first.
    own_reports: VecDeque<(CrashReport, Moment)>,
    broken: BTreeMap<TargetName, BrokenTarget>,
    /// The time of this entry's last attempt after a quarantine, for each request.
    trials: BTreeMap<RequestFingerprint, Moment>,
    /// Whether the followed replica lacks a part of what this entry knows.
    replica_lacks: bool,
    /// Whether there are new reports to send.
    has_news: bool,
    /// The number of crashes for which the quarantine of each request was last logged.
    logged: BTreeMap<RequestFingerprint, usize>,
}

impl QuarantineState {
    /// Records a report of this entry, whose age is 0 at `at`.
    fn report(&mut self, report: CrashReport, at: Moment) {
        self.crashes.merge([report], at);
        self.own_reports.push_back((report, at));
        if self.own_reports.len() > REPORTS_MAX {
            self.own_reports.pop_front();
        }
        self.has_news = true;
    }
}

impl RequestRouter {
    /// Returns whether targets ended under any remembered request.
    pub fn has_suspects(&self) -> bool {
        !self.quarantine.crashes.is_empty()
    }

    /// Returns whether targets ended under a request with this hash of its head. If so, the
    /// beginning of its body is needed before it may be sent.
    pub fn is_suspect_head(&self, head: u64) -> bool {
        self.quarantine.crashes.contains_head(head)
    }

    /// Returns the number of requests under which targets ended, and how many of them are refused.
    pub fn suspect_counts(&self) -> (usize, usize) {
        (self.quarantine.crashes.len(), self.quarantine.logged.len())
    }

    /// Refuses a request that ends its targets, unless it is time for a single attempt; returns
    /// whether the next attempt is one.
    pub(super) fn check_quarantine(
        &self,
        request: &AdmittedRequest,
        now: Moment,
    ) -> Result<bool, RefusalReason> {
        let fingerprint = request.fingerprint;
        let Some((fingerprint, quarantine)) = fingerprint
            .and_then(|fingerprint| Some((fingerprint, self.quarantine_of(&fingerprint)?)))
        else {
            return Ok(false);
        };
        if self.is_trial_due(&fingerprint, quarantine, now) {
            return Ok(true);
        }
        Err(if request.may_have_run {
            RefusalReason::OutcomeUnknown
        } else {
            RefusalReason::Quarantined
        })
    }

    fn quarantine_of(&self, request: &RequestFingerprint) -> Option<RequestQuarantine> {
        self.quarantine.crashes.quarantine(request)
    }

    fn is_trial_due(
        &self,
        request: &RequestFingerprint,
        quarantine: RequestQuarantine,
        now: Moment,
    ) -> bool {
        // An attempt without a clear result is repeated after as long a time.
        let last_trial = self.quarantine.trials.get(request);
        let next_trial = last_trial.map(|at| at.after(quarantine.duration));
        let due_at = next_trial.unwrap_or_default().max(quarantine.trial_at);
        if now < due_at {
            return false;
        }
        let score = |peer: &SocketAddr| {
            stable_hash(format!("{} {} {peer}", request.head, request.body).as_bytes())
        };
        let own_score = score(&self.settings.me);
        let rank = self.entries.keys().filter(|peer| score(peer) > own_score).count();
        now.since(due_at) >= TRIAL_STAGGER * rank as u32
    }

    /// Records that a request is sent for a single attempt after its quarantine.
    pub(super) fn start_trial(&mut self, request: &mut AdmittedRequest, now: Moment) {
        request.is_trial = true;
        if let Some(fingerprint) = request.fingerprint {
            self.quarantine.trials.insert(fingerprint, now);
        }
    }

    /// Returns the time after which a caller may send a quarantined request again.
    pub(super) fn quarantine_left(&self, request: &AdmittedRequest, now: Moment) -> Duration {
        let quarantine = request.fingerprint.and_then(|request| self.quarantine_of(&request));
        let left = quarantine.map_or(Duration::ZERO, |quarantine| quarantine.trial_at.since(now));
        left.max(RETRY_AFTER_MIN)
    }

    /// Records what the result of an attempt says about whether the request ends its targets.
    pub(super) fn record_survival(
        &mut self,
        request: &AdmittedRequest,
        target: &TargetName,
        result: AttemptResult,
        (elapsed, timed_out): (Duration, bool),
        now: Moment,
    ) {
        if result == AttemptResult::NotSent && !timed_out {
            self.confirm_end(target, now);
        }
        let Some(fingerprint) = request.fingerprint else { return };
        if result.is_broken() {
            let broken = self.quarantine.broken.entry(target.clone()).or_default();
            broken.requests.push(BrokenRun {
                request: fingerprint,
                duration: elapsed,
                broken_at: now,
            });
        } else if matches!(result, AttemptResult::Answered { .. })
            && self.quarantine.crashes.is_suspect(&fingerprint)
        {
            let answer =
                CrashReport { request: fingerprint, target: None, age_ms: 0, run_ms: None };
            self.quarantine.report(answer, now);
        }
    }

    /// Returns the checks of targets that broke connections, once for each.
    pub fn take_target_checks(&mut self, now: Moment) -> Vec<TargetCheck> {
        self.quarantine.broken.retain(|_, broken| {
            broken.requests.retain(|run| now.since(run.broken_at) < BROKEN_TTL);
            let is_recent = broken.checked_at.is_some_and(|at| now.since(at) < BROKEN_TTL);
            is_recent || !broken.requests.is_empty()
        });
        let is_bridged = self.is_cut_off() && !self.is_forwarding();
        let bridge = self.bridges.first().copied().filter(|_| is_bridged);
        let mut checks = Vec::new();
        for (target, broken) in &mut self.quarantine.broken {
            let is_due = broken.checked_at.is_none_or(|at| now.since(at) >= BROKEN_TTL);
            let Some(state) = self.targets.get(target).filter(|_| is_due) else { continue };
            broken.checked_at = Some(now);
            let address = state.info.address;
            checks.push(TargetCheck { target: target.clone(), address, bridge });
        }
        checks
    }

    /// Applies the result of a check: whether the target refused the connection.
    pub fn finish_target_check(&mut self, target: &TargetName, is_refused: bool, now: Moment) {
        if is_refused {
            self.confirm_end(target, now);
        } else if let Some(broken) = self.quarantine.broken.get_mut(target) {
            broken.requests.clear();
        }
    }

    /// Reports the requests that a target that has ended was running.
    fn confirm_end(&mut self, target: &TargetName, now: Moment) {
        let Some(broken) = self.quarantine.broken.remove(target) else { return };
        let is_recent = |run: &BrokenRun| now.since(run.broken_at) < BROKEN_TTL;
        for run in broken.requests.into_iter().filter(is_recent) {
            let report = CrashReport {
                request: run.request,
                target: Some(target_hash(target)),
                age_ms: 0,
                run_ms: Some(run.duration.as_millis() as u32),
            };
            self.quarantine.report(report, run.broken_at);
            let (target, fingerprint) = (target.clone(), run.request);
            self.log_events.push(DecisionEvent::TargetCrashed { target, fingerprint });
        }
    }

    /// Updates the quarantines and logs those that began, got longer or ended.
    pub(super) fn update_quarantines(&mut self, now: Moment) {
        let state = &mut self.quarantine;
        if state.crashes.is_empty() && state.logged.is_empty() {
            return;
        }
        state.crashes.tick(now);
        state.own_reports.retain(|(_, at)| now.since(*at) < REPORT_AGE_MAX);
        let quarantined: BTreeMap<RequestFingerprint, RequestQuarantine> = (state.crashes)
            .requests()
            .filter_map(|request| Some((*request, state.crashes.quarantine(request)?)))
            .collect();
        state.trials.retain(|request, _| quarantined.contains_key(request));
        for (request, quarantine) in &quarantined {
            if state.logged.get(request) != Some(&quarantine.crashes) {
                self.log_events.push(DecisionEvent::RequestQuarantined {
                    fingerprint: *request,
                    crashes: quarantine.crashes,
                    millis: quarantine.trial_at.since(now).as_millis() as u64,
                });
            }
        }
        for request in state.logged.keys().filter(|request| !quarantined.contains_key(request)) {
            self.log_events.push(DecisionEvent::QuarantineEnded { fingerprint: *request });
        }
        let crashes = |(request, quarantine): (_, RequestQuarantine)| (request, quarantine.crashes);
        state.logged = quarantined.into_iter().map(crashes).collect();
    }

    /// Returns whether this entry has seen something since the last call that replicas should hear
    /// of at once.
    pub fn take_crash_news(&mut self) -> bool {
        std::mem::take(&mut self.quarantine.has_news)
    }

    /// Returns what this entry saw lately. For the followed replica, if that lacks anything, also
    /// what it heard from others.
    pub fn crash_reports(&self, is_followed: bool, now: Moment) -> Vec<CrashReport> {
        let mut reports = match is_followed && self.quarantine.replica_lacks {
            true => self.quarantine.crashes.view(now).reports,
            false => Vec::new(),
        };
        reports.extend(self.quarantine.own_reports.iter().map(|(report, at)| {
            let age_ms = now.since(*at).as_millis() as u32;
            CrashReport { age_ms, ..*report }
        }));
        reports
    }

    /// Returns the mark of the crashes that this entry knows.
    pub fn crash_mark(&self) -> u64 {
        self.quarantine.crashes.mark()
    }

    /// Applies the crashes that the followed replica knows; none if its mark was equal.
    pub fn apply_crashes(&mut self, view: Option<&CrashView>, now: Moment) {
        if let Some(view) = view {
            self.quarantine.crashes.merge(view.reports.iter().copied(), now);
        }
        self.quarantine.replica_lacks =
            view.is_some_and(|view| view.mark != self.quarantine.crashes.mark());
    }
}
