/*!
Rate limits that targets state, and this entry's shares in them.

An entry hears of a limit in its own responses, and through the followed replica from the entries
that have heard of it. Its own responses count first, since they are the latest. An entry that sends
a target nothing hears of the end of a limit only through a replica, and keeps the limit until then.
*/

use {
    crate::{
        clock::Moment,
        fleet::{
            decision_events::DecisionEvent,
            messages::{RateLimitReport, RateLimitView, target_hash},
        },
        traffic::{
            rate_share::{self, RateShare},
            router::RequestRouter,
        },
    },
    hemlockspool_model::names::TargetName,
    std::{collections::BTreeMap, time::Duration},
};

/// The time for which a target's own response goes before what a replica says: as long as a report
/// takes through a replica and back.
const OWN_RESPONSE_PRECEDENCE: Duration = Duration::from_millis(2_000);
/// The time after the followed replica's last confirmation for which its limits are taken as
/// complete.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2_000);
/// The age up to which a statement is reported to replicas: several heartbeats to each.
const REPORT_AGE_MAX: Duration = Duration::from_millis(4_000);

/// The limits that the followed replica knows of, by the hash of the target's name.
#[derive(Debug, Default)]
pub(crate) struct SharedLimits {
    /// Identifies the limits; 0 before the first ones.
    pub mark: u64,
    limits: BTreeMap<u32, f32>,
    confirmed_at: Option<Moment>,
}

impl SharedLimits {
    /// Returns whether the limits are known to be complete.
    fn is_confirmed(&self, now: Moment) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) <= CONFIRMATION_TTL)
    }

    fn limit_of(&self, target: &TargetName) -> Option<f64> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(&target_hash(target)).map(|per_s| f64::from(*per_s))
    }
}

impl RequestRouter {
    /// Applies the limits that the followed replica knows of, or its confirmation that they haven't
    /// changed.
    pub fn apply_rate_limits(&mut self, view: RateLimitView, now: Moment) {
        if let Some(limits) = view.limits {
            self.shared_limits.mark = view.mark;
            self.shared_limits.limits = limits;
        } else if self.shared_limits.mark != view.mark {
            return;
        }
        self.shared_limits.confirmed_at = Some(now);
    }

    /// Returns the mark of the limits that this entry knows from the followed replica.
    pub fn rate_limits_mark(&self) -> u64 {
        self.shared_limits.mark
    }

    /// Returns the limits that targets stated to this entry lately, and the targets that stated
    /// none although a replica knows of one.
    pub fn recent_rate_limits(&self, now: Moment) -> Vec<RateLimitReport> {
        let mut reports = Vec::new();
        for (name, state) in &self.targets {
            let Some(stated) = state.stated_limit else { continue };
            let age = now.since(stated.heard_at);
            let is_ended = || stated.per_s.is_none() && self.shared_limits.limit_of(name).is_some();
            if age <= REPORT_AGE_MAX && (stated.per_s.is_some() || is_ended()) {
                let (target, age_ms) = (target_hash(name), age.as_millis() as u16);
                let per_s = stated.per_s.map(|per_s| per_s as f32);
                reports.push(RateLimitReport { target, per_s, age_ms });
            }
        }
        reports
    }

    /// Updates the shares after changes of the limits or of the entries.
    pub(super) fn update_shares(&mut self, now: Moment) {
        let names: Vec<TargetName> = (self.targets.iter())
            .filter(|(name, state)| {
                let stated = state.stated_limit.and_then(|stated| stated.per_s);
                state.rate_share.is_some()
                    || stated.is_some()
                    || self.shared_limits.limit_of(name).is_some()
            })
            .map(|(name, _)| name.clone())
            .collect();
        names.iter().for_each(|name| self.update_share(name, now));
        self.entries_changed = false;
    }

    pub(super) fn update_share(&mut self, target: &TargetName, now: Moment) {
        let shared = self.shared_limits.limit_of(target);
        let is_confirmed = self.shared_limits.is_confirmed(now);
        let Some(state) = self.targets.get_mut(target) else { return };
        let own = state.stated_limit;
        let limit = match own {
            Some(own) if now.since(own.heard_at) <= OWN_RESPONSE_PRECEDENCE => own.per_s,
            _ if is_confirmed => shared,
            Some(own) => own.per_s,
            None => shared,
        };
        let old = state.rate_share;
        if old.map(|share| share.per_s) == limit && !self.entries_changed {
            return;
        }
        state.rate_share = limit.map(|per_s| {
            let (me, region) = (self.settings.me, &state.region);
            let senders = rate_share::sender_count(target, region, per_s, me, &self.entries);
            match old {
                Some(share) => share.updated(per_s, senders, now),
                None => RateShare::new(per_s, senders, now),
            }
        });
        match limit {
            Some(per_s) if old.map(|share| share.per_s) != Some(per_s) => {
                let is_own = own.is_some_and(|own| own.per_s == Some(per_s));
                let source = if is_own { "response" } else { "replica" };
                let target = target.clone();
                self.log_events.push(DecisionEvent::LimitStated { target, per_s, source });
            }
            None if old.is_some() => {
                self.log_events.push(DecisionEvent::LimitEnded { target: target.clone() });
            }
            _ => {}
        }
    }
}
