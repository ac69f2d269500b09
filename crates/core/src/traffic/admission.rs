/*!
Admission of requests: matches a request to a route and a service, or refuses it before a target is
chosen.
*/

use {
    crate::{
        clock::Moment,
        fleet::{decision_events::DecisionEvent, routes::ResolvedRoute},
        traffic::{
            body_budget::KEPT_BODY_BYTES_MAX,
            connect_meter::ConnectTimeout,
            late_cause::AttemptTimes,
            request::{AdmittedRequest, RefusalReason, RequestHead, RequestRefusal},
            request_time::RequestTime,
            route_stats::{RESPONSE_BYTES_DEFAULT, RouteStats},
            router::RequestRouter,
        },
        util::stable_hash,
    },
    hemlockspool_model::names::ServiceName,
    std::{sync::Arc, time::Duration},
};

/// The longest backlog of reserved responses on the link at which a request is still admitted, by
/// priority, where 0 is the highest.
const LINK_BACKLOG_MAX: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(200), Duration::from_millis(100)];
/// The same for requests that another entry forwarded: longer than for callers' own, as those can
/// turn to any other entry.
const LINK_BACKLOG_MAX_FORWARDED: Duration = Duration::from_millis(500);
/// The bounds of the retry delay while this entry has no route table or no targets. An entry that
/// starts alone has a table within 0.3 s, one that starts together with all others within about
/// 1.5 s.
const RETRY_AFTER_NO_TABLE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_500));
/// The retry delay while this entry stops: short, since another entry can serve the retry.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(10);
/// The retry delay after a target refused despite free capacity: short, because such a target may
/// accept the retry before any running request ends, but long enough for its load report to change.
pub(super) const RETRY_AFTER_REFUSED_WITH_CAPACITY: Duration = Duration::from_millis(20);
/// The bounds of the retry delay when no target has capacity or is available, or the link is
/// saturated.
pub(super) const RETRY_AFTER_NO_CAPACITY: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));

impl RequestRouter {
    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// The refusal, which is final.
    pub fn admit(
        &mut self,
        head: &RequestHead<'_>,
        now: Moment,
    ) -> Result<AdmittedRequest, RequestRefusal> {
        let refusal = self.early_refusal(head);
        let route = match (refusal, self.routes.find(head.host, head.path)) {
            (None, Some(route)) => Arc::clone(route),
            (refusal, _) => {
                let reason = refusal.unwrap_or(RefusalReason::NoRoute);
                return Err(self.refuse_head(head, reason, now));
            }
        };
        let service = self.choose_service(&route);
        self.record_arrival(&route, &service);
        let body_memory = self.reserve_body_memory(head, &route)?;
        let reserved_bytes = match self.reserve_link(&route, head, now) {
            Ok(bytes) => bytes,
            Err(backlog) => {
                self.body_budget.release(body_memory);
                return Err(self.refuse_saturated(head, backlog, now));
            }
        };
        self.retry_budgets.entry(service.clone()).or_default().record_request(now);
        self.request_counter = self.request_counter.wrapping_add(1);
        let key = match head.key.filter(|_| route.sticky) {
            Some(key) => stable_hash(key.as_bytes()),
            None => stable_hash(&self.request_counter.to_le_bytes()),
        };
        let plan = self.spillovers.get_mut(&service);
        let region = plan.and_then(|plan| plan.choose_region(key, now));
        let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let time = RequestTime { arrived_at: now, timeout };
        // The caller's time began when it sent the request, and ends when the response has reached it.
        let expected_timeout = timeout.saturating_sub(self.link_delay(now));
        Ok(AdmittedRequest {
            id: head.id.to_owned(),
            service,
            key_hash: key,
            preferred_region: region,
            time,
            limit: self.time_limit(time),
            refused_at: now.after(expected_timeout),
            goal_deadline: now.after(route.goal.min(expected_timeout)),
            tried_targets: Vec::new(),
            delivered_attempts: 0,
            failed_connects: 0,
            reserved_bytes,
            body_memory,
            body_consumed: false,
            last_attempt: AttemptTimes::default(),
            connect_timeout: ConnectTimeout::default(),
            refused_with_capacity: false,
            retried_target: None,
            possible_runs: 0,
            may_have_run: false,
            is_bridged: false,
            is_forwarded: head.is_forwarded,
            fingerprint: None,
            is_trial: false,
            tried_peers: Vec::new(),
            route,
        })
    }

    /// Reserves memory for the body of a request, and returns the reserved bytes.
    ///
    /// # Errors
    ///
    /// The refusal, if the body is larger than the table allows or there is no memory left for it.
    fn reserve_body_memory(
        &mut self,
        head: &RequestHead<'_>,
        route: &ResolvedRoute,
    ) -> Result<u64, RequestRefusal> {
        let refusal = if head.body_bytes.is_some_and(|bytes| bytes > self.body_bytes_max()) {
            RequestRefusal { reason: RefusalReason::BodyTooLarge, retry_after: None }
        } else {
            let bytes = head.body_bytes.unwrap_or(KEPT_BODY_BYTES_MAX).min(KEPT_BODY_BYTES_MAX);
            if self.body_budget.try_reserve(bytes, route.priority) {
                return Ok(bytes);
            }
            let retry_after = Some(RETRY_AFTER_NO_CAPACITY.0);
            RequestRefusal { reason: RefusalReason::BodyMemory, retry_after }
        };
        self.log_refusal(head.id, refusal.reason, refusal.retry_after, 0);
        Err(refusal)
    }

    /// Reserves link capacity for the body and the response of a request, and returns the reserved
    /// bytes.
    ///
    /// # Errors
    ///
    /// The link's backlog, if it is too long for the route's priority.
    fn reserve_link(
        &mut self,
        route: &ResolvedRoute,
        head: &RequestHead<'_>,
        now: Moment,
    ) -> Result<f64, Duration> {
        let body_bytes = head.body_bytes;
        let backlog = self.link_meter.backlog(now);
        let priority = (route.priority as usize).min(LINK_BACKLOG_MAX.len() - 1);
        let longest =
            if head.is_forwarded { LINK_BACKLOG_MAX_FORWARDED } else { LINK_BACKLOG_MAX[priority] };
        if backlog > longest {
            return Err(backlog);
        }
        let stats = self.route_stats.get(&route.name).map(|(_, stats)| stats);
        let response_bytes = stats.map_or(RESPONSE_BYTES_DEFAULT, |stats| stats.response_bytes);
        // A body without a stated length is assumed to be like those before it.
        let mean_body_bytes = stats.map_or(0.0, |stats| stats.body_bytes);
        let bytes = response_bytes + body_bytes.map_or(mean_body_bytes, |bytes| bytes as f64);
        self.link_meter.reserve(bytes);
        Ok(bytes)
    }

    /// Refuses a request because the link's backlog is too long.
    fn refuse_saturated(
        &mut self,
        head: &RequestHead<'_>,
        backlog: Duration,
        now: Moment,
    ) -> RequestRefusal {
        let reason = RefusalReason::LinkSaturated;
        let earliest = backlog.clamp(RETRY_AFTER_NO_CAPACITY.0, RETRY_AFTER_NO_CAPACITY.1);
        let retry_after =
            Some(self.retry_pacer.next_delay(now, earliest, RETRY_AFTER_NO_CAPACITY.1));
        self.log_refusal(head.id, reason, retry_after, 0);
        RequestRefusal { reason, retry_after }
    }

    /// Returns the reason to refuse a request before it is matched to a route, if any.
    fn early_refusal(&self, head: &RequestHead<'_>) -> Option<RefusalReason> {
        if self.table_version.is_none() || !self.has_targets() {
            return Some(RefusalReason::NoTable);
        }
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        (head.id.is_empty()).then_some(RefusalReason::NoRoute)
    }

    /// Refuses a request that wasn't matched to a route.
    fn refuse_head(
        &mut self,
        head: &RequestHead<'_>,
        reason: RefusalReason,
        now: Moment,
    ) -> RequestRefusal {
        let retry_after = match reason {
            RefusalReason::NoTable => Some(self.retry_pacer.next_delay(
                now,
                RETRY_AFTER_NO_TABLE.0,
                RETRY_AFTER_NO_TABLE.1,
            )),
            RefusalReason::Stopping => Some(RETRY_AFTER_STOPPING),
            _ => None,
        };
        self.log_refusal(head.id, reason, retry_after, 0);
        RequestRefusal { reason, retry_after }
    }

    pub(super) fn log_refusal(
        &mut self,
        id: &str,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        attempts: u32,
    ) {
        self.log_events.push(DecisionEvent::RequestRefused {
            request: id.to_owned(),
            reason: reason.as_str(),
            retry_after_ms: retry_after.unwrap_or_default().as_millis() as u64,
            attempts,
            version: self.table_version.unwrap_or(0),
        });
    }

    /// Chooses the service of a request by smooth weighted round-robin, so that even short
    /// sequences of requests match the weights of the split, not just the long-term average.
    fn choose_service(&mut self, route: &ResolvedRoute) -> ServiceName {
        if route.weighted_services.len() == 1 {
            return route.weighted_services[0].0.clone();
        }
        let credits = self.split_credits.entry(route.name.clone()).or_default();
        if credits.len() != route.weighted_services.len() {
            // Each entry starts with different credits, so that the entries' sequences differ.
            let initial_credit = |(i, (_, weight)): (usize, &(ServiceName, u32))| {
                let text = format!("{} {} {i}", self.settings.me, route.name);
                (stable_hash(text.as_bytes()) % (u64::from(*weight) + 1)) as i64
            };
            *credits = route.weighted_services.iter().enumerate().map(initial_credit).collect();
        }
        let total: i64 = route.weighted_services.iter().map(|(_, weight)| i64::from(*weight)).sum();
        for (credit, (_, weight)) in credits.iter_mut().zip(&route.weighted_services) {
            *credit += i64::from(*weight);
        }
        let selected = (0..credits.len()).max_by_key(|i| (credits[*i], std::cmp::Reverse(*i)));
        let selected = selected.unwrap_or(0);
        credits[selected] -= total;
        route.weighted_services[selected].0.clone()
    }

    fn record_arrival(&mut self, route: &ResolvedRoute, service: &ServiceName) {
        let new_stats = || (service.clone(), RouteStats::new(route.goal));
        let stats = self.route_stats.entry(route.name.clone()).or_insert_with(new_stats);
        stats.0 = service.clone();
        stats.1.record_arrival();
    }
}
