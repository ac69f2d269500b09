/*!
Requests under which targets ended, collected from all entries.

A target may end for many reasons, and other requests run there at that moment. Two things tell a
request that ends its targets: several targets have ended under it, and none has answered it in
between. Each end alone says nothing. A request that a target answers, with whatever status, is
cleared.

The crashes of one caller's request count for this caller only, so that a caller that makes targets
end can't have the requests of others refused. If the same request of several callers met them, they
count for all callers.

Entries and replicas have the same record: a set of crashes and answers that is merged in any order.
Entries report their own to all replicas, take over what the followed replica has, and send it what
it lacks. Replicas also store what is quarantined, for the case that all instances lose their memory
at once.
*/

use {
    crate::{
        clock::Moment,
        fleet::messages::{CrashReport, CrashView},
        traffic::fingerprint::RequestFingerprint,
        util::stable_hash,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The number of ends, one after the other, after which a request is quarantined. With fewer,
/// requests that ran beside the cause would be, too.
const CRASHES_MIN: usize = 3;
/// The shortest time between two ends of targets that count if the request was sent to the second
/// before the first ended. Many targets may end at the same moment for one reason, under the same
/// read of many callers, and reports differ by their way.
const CRASH_SEPARATION: Duration = Duration::from_millis(250);
/// The shortest time from an end of a target to sending the request to another one whose end counts
/// as well: about the difference between the ways of reports.
const SEND_SEPARATION: Duration = Duration::from_millis(50);
/// The number of crashes of a request that are remembered.
const CRASHES_MAX: usize = 8;
/// The duration of the first quarantine; it doubles with each further crash.
const QUARANTINE_INITIAL: Duration = Duration::from_secs(30);
/// The time after the last crash, and after the quarantine if there is one, for which a request is
/// remembered.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// The time for which an answer overrides reports of earlier crashes, which may still arrive.
const ANSWER_TTL: Duration = Duration::from_secs(60);
/// Crashes of the same name within this time are reports of one: a target takes longer to restart.
const SAME_CRASH_TIME: Duration = Duration::from_millis(2_000);
/// The maximum number of requests that are remembered: about 200 KB. Beyond that, those with the
/// fewest crashes are forgotten.
const REQUESTS_MAX: usize = 1_024;
/// The maximum number of crashes and answers in a message: at most 2 KB.
const REPORTS_MAX: usize = 64;

/// The end of a target under a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TargetEnd {
    at: Moment,
    /// The hash of the target's name.
    target: u32,
    /// The time from sending the request to the end, in milliseconds, if it is known.
    run_ms: Option<u32>,
}

impl TargetEnd {
    /// Returns whether this end counts beside an earlier one that does.
    fn is_separate(&self, last: Moment) -> bool {
        let is_sent_later = self.run_ms.is_some_and(|run_ms| {
            let since_last = self.at.since(last);
            since_last >= SEND_SEPARATION + Duration::from_millis(u64::from(run_ms))
        });
        is_sent_later || self.at.since(last) >= CRASH_SEPARATION
    }
}

/// What is known of one caller's request.
#[derive(Clone, Debug, Default)]
struct RequestRecord {
    /// The ends of targets, in the order of their times.
    crashes: Vec<TargetEnd>,
    /// The last time that a target answered.
    answered_at: Option<Moment>,
}

impl RequestRecord {
    fn last_crash(&self) -> Option<Moment> {
        self.crashes.last().map(|end| end.at)
    }

    fn is_expired(&self, now: Moment) -> bool {
        let is_past = |at: Option<Moment>, ttl| at.is_none_or(|at| now.since(at) >= ttl);
        let ttl = CRASH_TTL + quarantine_duration(self.crashes.len());
        is_past(self.last_crash(), ttl) && is_past(self.answered_at, ANSWER_TTL)
    }
}

/// A request that isn't sent to targets, because it ends them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestQuarantine {
    /// The number of ends of targets, one after the other.
    pub crashes: usize,
    /// The duration of the quarantine.
    pub duration: Duration,
    /// The time from which a single attempt may find out whether the request still ends targets.
    pub trial_at: Moment,
}

/// The crashes and answers of requests, as known to an instance.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    records: BTreeMap<RequestFingerprint, RequestRecord>,
}

impl CrashTracker {
    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the remembered requests.
    pub fn requests(&self) -> impl Iterator<Item = &RequestFingerprint> {
        self.records.keys()
    }

    /// Returns whether a request with this hash of its head is remembered.
    pub fn contains_head(&self, head: u64) -> bool {
        let first = RequestFingerprint { head, body: 0, caller: 0 };
        self.records.range(first..).next().is_some_and(|(request, _)| request.head == head)
    }

    /// Returns whether an answer to a request would clear it, or the same request of all callers.
    pub fn is_suspect(&self, request: &RequestFingerprint) -> bool {
        let is_own = self.records.get(request).is_some_and(|record| !record.crashes.is_empty());
        let last_crash = self.same_content(request).filter_map(|(_, record)| record.last_crash());
        is_own || last_crash.max() > self.last_answer(request)
    }

    /// Returns the last time that a target answered this request of any caller.
    fn last_answer(&self, request: &RequestFingerprint) -> Option<Moment> {
        self.same_content(request).filter_map(|(_, record)| record.answered_at).max()
    }

    /// Records that a target ended while it ran a request, and for how long it had, if that is known.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        target: u32,
        at: Moment,
        run_ms: Option<u32>,
    ) {
        let record = self.records.entry(request).or_default();
        let known = record.crashes.iter_mut().find(|end| {
            end.target == target && at.since(end.at).max(end.at.since(at)) < SAME_CRASH_TIME
        });
        if let Some(end) = known {
            end.run_ms = end.run_ms.max(run_ms);
            return;
        }
        if record.answered_at.is_some_and(|answered_at| at < answered_at) {
            return;
        }
        record.crashes.push(TargetEnd { at, target, run_ms });
        record.crashes.sort_unstable();
        if record.crashes.len() > CRASHES_MAX {
            remove_closest(&mut record.crashes);
        }
        self.limit_size(&request);
    }

    /// Records that a target answered a request.
    pub fn record_answer(&mut self, request: RequestFingerprint, at: Moment) {
        let record = self.records.entry(request).or_default();
        record.answered_at = record.answered_at.max(Some(at));
        record.crashes.retain(|end| end.at > at);
        self.limit_size(&request);
    }

    /// Applies the reports of another instance.
    pub fn merge<I>(&mut self, reports: I, now: Moment)
    where
        I: IntoIterator<Item = CrashReport>,
    {
        for report in reports {
            let at = Moment(now.0.saturating_sub(u64::from(report.age_ms) * 1_000));
            match report.target {
                Some(target) => self.record_crash(report.request, target, at, report.run_ms),
                None => self.record_answer(report.request, at),
            }
        }
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: Moment) {
        self.records.retain(|_, record| !record.is_expired(now));
    }

    /// Returns the quarantine of a request, if it ends its targets.
    pub fn quarantine(&self, request: &RequestFingerprint) -> Option<RequestQuarantine> {
        if self.records.is_empty() {
            return None;
        }
        let own = self.records.get(request).map_or(&[][..], |record| &record.crashes);
        let own = quarantine_of(own.iter().copied());
        let records = || self.same_content(request).map(|(_, record)| record);
        let answered_at = self.last_answer(request);
        let is_later = |end: &&TargetEnd| answered_at.is_none_or(|answer| end.at > answer);
        let callers = records().filter(|record| record.crashes.iter().any(|end| is_later(&end)));
        let callers = callers.count();
        let mut ends: Vec<TargetEnd> = (records())
            .flat_map(|record| record.crashes.iter().filter(is_later))
            .copied()
            .collect();
        ends.sort_unstable();
        let shared = quarantine_of(ends).filter(|_| callers > 1);
        own.into_iter().chain(shared).max_by_key(|quarantine| quarantine.trial_at)
    }

    /// Returns a number that is equal for trackers with the same view; 0 for an empty one.
    pub fn mark(&self) -> u64 {
        if self.records.is_empty() {
            return 0;
        }
        let items: Vec<_> =
            self.selected(Moment::default()).map(|item| (item.request, item.target)).collect();
        stable_hash(format!("{items:?}").as_bytes())
    }

    /// Returns the crashes and answers to send to other instances: those of the requests with the
    /// most crashes.
    pub fn view(&self, now: Moment) -> CrashView {
        CrashView { mark: self.mark(), reports: self.selected(now).collect() }
    }

    /// Returns the crashes of the requests that are quarantined, for storage.
    pub fn quarantined(&self, now: Moment) -> Vec<CrashReport> {
        let quarantined =
            self.records.iter().filter(|(request, _)| self.quarantine(request).is_some());
        let crashes = quarantined.flat_map(|(request, record)| {
            record.crashes.iter().map(|end| crash_report(*request, end, now))
        });
        crashes.collect()
    }

    /// Returns the reports of the requests with the most crashes. Which they are, and their order,
    /// doesn't depend on times, which differ between instances.
    fn selected(&self, now: Moment) -> impl Iterator<Item = CrashReport> {
        let mut requests: Vec<(&RequestFingerprint, &RequestRecord)> =
            self.records.iter().collect();
        requests
            .sort_by_key(|(request, record)| (std::cmp::Reverse(record.crashes.len()), **request));
        let items = requests.into_iter().flat_map(move |(request, record)| {
            let mut crashes = record.crashes.clone();
            crashes.sort_unstable_by_key(|end| (end.target, end.at));
            let crashes = crashes.into_iter().map(move |end| crash_report(*request, &end, now));
            let answer = record.answered_at.map(|at| CrashReport {
                request: *request,
                target: None,
                age_ms: now.since(at).as_millis() as u32,
                run_ms: None,
            });
            answer.into_iter().chain(crashes)
        });
        items.take(REPORTS_MAX)
    }

    fn same_content(
        &self,
        request: &RequestFingerprint,
    ) -> impl Iterator<Item = (&RequestFingerprint, &RequestRecord)> {
        let first = RequestFingerprint { caller: 0, ..*request };
        let last = RequestFingerprint { caller: u32::MAX, ..*request };
        self.records.range(first..=last)
    }

    /// Forgets a request if there are too many: one with the fewest crashes, the last of which is
    /// the longest ago, but not `latest`.
    fn limit_size(&mut self, latest: &RequestFingerprint) {
        if self.records.len() <= REQUESTS_MAX {
            return;
        }
        let others = self.records.iter().filter(|(request, _)| *request != latest);
        let least = others.min_by_key(|(_, record)| (record.crashes.len(), record.last_crash()));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }
}

fn crash_report(request: RequestFingerprint, end: &TargetEnd, now: Moment) -> CrashReport {
    let age_ms = now.since(end.at).as_millis() as u32;
    CrashReport { request, target: Some(end.target), age_ms, run_ms: end.run_ms }
}

/// Returns the quarantine that follows from ends, in the order of their times, if enough of them
/// count.
fn quarantine_of<I>(ends: I) -> Option<RequestQuarantine>
where
    I: IntoIterator<Item = TargetEnd>,
{
    let mut counted = 0;
    let mut last: Option<Moment> = None;
    for end in ends {
        if last.is_none_or(|last| end.is_separate(last)) {
            counted += 1;
            last = Some(end.at);
        }
    }
    let last = last.filter(|_| counted >= CRASHES_MIN)?;
    let duration = quarantine_duration(counted);
    Some(RequestQuarantine { crashes: counted, duration, trial_at: last.after(duration) })
}

/// Removes the crash that follows another one the soonest, which makes the least difference to the
/// number of those that count. They are in the order of their times.
fn remove_closest(crashes: &mut Vec<TargetEnd>) {
    let gaps = crashes.windows(2).map(|pair| pair[1].at.since(pair[0].at));
    let closest = gaps.enumerate().min_by_key(|(_, gap)| *gap);
    if let Some((index, _)) = closest {
        crashes.remove(index + 1);
    }
}

/// Returns for how long a request is refused after a number of crashes.
fn quarantine_duration(crashes: usize) -> Duration {
    let Some(doublings) = crashes.checked_sub(CRASHES_MIN) else { return Duration::ZERO };
    QUARANTINE_INITIAL * (1 << doublings.min(CRASHES_MAX - CRASHES_MIN))
}
