/*!
Letting requests in: their route, their service, and what is refused before any target is looked at.
*/

use {
    crate::{
        clock::Moment,
        fleet::{decision_events::DecisionEvent, routes::ResolvedRoute},
        traffic::{
            connect_meter::ConnectTimeout,
            request::{AdmittedRequest, RefusalReason, RequestHead, RequestRefusal},
            route_stats::{ANSWER_BYTES, RouteStats},
            router::RequestRouter,
        },
        util::stable_hash,
    },
    hemlockspool_model::names::ServiceName,
    std::{sync::Arc, time::Duration},
};

/// How long the link may be busy with answers already for one more to be asked for, by rank.
const LINK_BACKLOG: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(200), Duration::from_millis(100)];
/// The bounds of when a caller may come back to an entry that has no configuration yet: one that starts
/// alone has it within 0.3 s, and one that starts with all others within about 1.5 s.
const RETRY_NO_TABLE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_500));
/// When a caller may come back to another entry than one that stops.
const RETRY_STOPPING: Duration = Duration::from_millis(10);
/// When a caller may come back to targets that refuse in spite of room: at once, but for the time that
/// a target's answer about its load stays true.
pub(super) const RETRY_ROOM: Duration = Duration::from_millis(20);
/// The bounds of when a caller may come back to targets without room.
pub(super) const RETRY_FULL: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));

impl RequestRouter {
    /// Lets a request in, or refuses it.
    ///
    /// # Errors
    ///
    /// The refusal, which is final.
    pub fn admit(
        &mut self,
        head: &RequestHead<'_>,
        now: Moment,
    ) -> Result<AdmittedRequest, RequestRefusal> {
        let refused = self.refusal_at_door(head);
        let plan = match (refused, self.index.find(head.host, head.path)) {
            (None, Some(plan)) => Arc::clone(plan),
            (refused, _) => {
                let reason = refused.unwrap_or(RefusalReason::NoRoute);
                return Err(self.refuse_head(head, reason, now));
            }
        };
        let service = self.draw_part(&plan);
        self.count_arrival(&plan, &service);
        let booked_bytes = match self.book_link(&plan, now) {
            Ok(bytes) => bytes,
            Err(backlog) => return Err(self.refuse_for_link(head, backlog, now)),
        };
        self.budgets.entry(service.clone()).or_default().record_request(now);
        self.draws = self.draws.wrapping_add(1);
        let key = match head.key.filter(|_| plan.sticky) {
            Some(key) => stable_hash(key.as_bytes()),
            None => stable_hash(&self.draws.to_le_bytes()),
        };
        let utilization = self.utilization(&service, key, now);
        let region = self.spills.get_mut(&service);
        let region = region.and_then(|plan| plan.choose_region(key, utilization, now));
        let patience = head.timeout.unwrap_or(plan.timeout).min(plan.timeout);
        Ok(AdmittedRequest {
            id: head.id.to_owned(),
            service,
            key,
            region,
            arrived: now,
            deadline: now.after(patience),
            goal_at: now.after(plan.goal.min(patience)),
            tried: Vec::new(),
            arrivals: 0,
            misses: 0,
            booked_bytes,
            connect_timeout: ConnectTimeout::default(),
            refused_with_room: false,
            runs: 0,
            may_have_run: false,
            route: plan,
        })
    }

    /// Books the answer of a request on the link, and returns its bytes.
    ///
    /// # Errors
    ///
    /// For how long the link is busy, when that is too long for the request's rank.
    fn book_link(&mut self, plan: &ResolvedRoute, now: Moment) -> Result<f64, Duration> {
        let backlog = self.link.backlog(now);
        let rank = (plan.priority as usize).min(LINK_BACKLOG.len() - 1);
        if backlog > LINK_BACKLOG[rank] {
            return Err(backlog);
        }
        let bytes = self.work.get(&plan.name).map_or(ANSWER_BYTES, |(_, work)| work.bytes);
        self.link.expect(bytes);
        Ok(bytes)
    }

    fn refuse_for_link(
        &mut self,
        head: &RequestHead<'_>,
        backlog: Duration,
        now: Moment,
    ) -> RequestRefusal {
        let reason = RefusalReason::LinkSaturated;
        let soonest = backlog.clamp(RETRY_FULL.0, RETRY_FULL.1);
        let retry_after = Some(self.returns.turn(now, soonest, RETRY_FULL.1));
        self.note_refusal(head.id, reason, retry_after, 0);
        RequestRefusal { reason, retry_after }
    }

    fn refusal_at_door(&self, head: &RequestHead<'_>) -> Option<RefusalReason> {
        if self.version.is_none() || !self.has_targets() {
            return Some(RefusalReason::NoTable);
        }
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        (head.id.is_empty()).then_some(RefusalReason::NoRoute)
    }

    fn refuse_head(
        &mut self,
        head: &RequestHead<'_>,
        reason: RefusalReason,
        now: Moment,
    ) -> RequestRefusal {
        let retry_after = match reason {
            RefusalReason::NoTable => {
                Some(self.returns.turn(now, RETRY_NO_TABLE.0, RETRY_NO_TABLE.1))
            }
            RefusalReason::Stopping => Some(RETRY_STOPPING),
            _ => None,
        };
        self.note_refusal(head.id, reason, retry_after, 0);
        RequestRefusal { reason, retry_after }
    }

    pub(super) fn note_refusal(
        &mut self,
        id: &str,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        attempts: u32,
    ) {
        self.notes.push(DecisionEvent::RequestRefused {
            request: id.to_owned(),
            reason: reason.as_str(),
            retry_after_ms: retry_after.unwrap_or_default().as_millis() as u64,
            attempts,
            version: self.version.unwrap_or(0),
        });
    }

    /// Draws the service of a request so that each part of a split gets its share in every row of
    /// requests, not just on average.
    fn draw_part(&mut self, plan: &ResolvedRoute) -> ServiceName {
        if plan.weighted_services.len() == 1 {
            return plan.weighted_services[0].0.clone();
        }
        let credits = self.splits.entry(plan.name.clone()).or_default();
        if credits.len() != plan.weighted_services.len() {
            // Entries start at different points, so that their rows don't run in step.
            let start = |(i, (_, weight)): (usize, &(ServiceName, u32))| {
                let text = format!("{} {} {i}", self.settings.me, plan.name);
                (stable_hash(text.as_bytes()) % (u64::from(*weight) + 1)) as i64
            };
            *credits = plan.weighted_services.iter().enumerate().map(start).collect();
        }
        let total: i64 = plan.weighted_services.iter().map(|(_, weight)| i64::from(*weight)).sum();
        for (credit, (_, weight)) in credits.iter_mut().zip(&plan.weighted_services) {
            *credit += i64::from(*weight);
        }
        let best = (0..credits.len()).max_by_key(|i| (credits[*i], std::cmp::Reverse(*i)));
        let best = best.unwrap_or(0);
        credits[best] -= total;
        plan.weighted_services[best].0.clone()
    }

    fn count_arrival(&mut self, plan: &ResolvedRoute, service: &ServiceName) {
        let fresh = || (service.clone(), RouteStats::new(plan.goal));
        let line = self.work.entry(plan.name.clone()).or_insert_with(fresh);
        line.0 = service.clone();
        line.1.arrived();
    }
}
