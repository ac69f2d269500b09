/*!
Where an entry's requests ran, beside what the spillover plan says.

The plan names a region for each request. A request runs in another region than the planned one if
no warm target is available there. Counting what ran shows both the actual share of other regions
and the part of it that the plan doesn't explain.
*/

use {
    crate::{
        clock::Moment,
        fleet::decision_events::DecisionEvent,
        traffic::{
            request::{AdmittedRequest, AttemptResult},
            router::RequestRouter,
        },
    },
    hemlockspool_model::names::{RegionName, TargetName},
    std::{collections::BTreeMap, time::Duration},
};

/// The time between two reports: the platform's window for changes of the region.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The requests of one service at one entry since the last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShiftMeter {
    counts: ShiftCounts,
    reported_at: Option<Moment>,
}

/// Numbers of requests by where they ran.
#[derive(Clone, Debug, Default)]
struct ShiftCounts {
    /// The requests that ran, by region.
    ran: BTreeMap<RegionName, u32>,
    /// Those that ran in another region although the plan kept them in the entry's.
    unplanned_away: u32,
    /// Those that ran in the entry's region although the plan sent them to another.
    unplanned_here: u32,
    /// The requests that weren't run, by the region where the plan wanted them to run.
    refused: BTreeMap<RegionName, u32>,
}

impl ShiftMeter {
    /// Takes the counts if a report is due and there is something to report.
    fn take_due(&mut self, now: Moment) -> Option<ShiftCounts> {
        let reported_at = *self.reported_at.get_or_insert(now);
        if now.since(reported_at) < REPORT_INTERVAL {
            return None;
        }
        self.reported_at = Some(now);
        let counts = std::mem::take(&mut self.counts);
        (!counts.ran.is_empty() || !counts.refused.is_empty()).then_some(counts)
    }
}

impl RequestRouter {
    /// Counts an attempt at a target that ran the request, or may have.
    pub(super) fn record_run(
        &mut self,
        request: &AdmittedRequest,
        target: &TargetName,
        result: AttemptResult,
    ) {
        if matches!(result, AttemptResult::NotSent | AttemptResult::NotRun { .. }) {
            return;
        }
        let Some(state) = self.targets.get(target) else { return };
        let is_away = state.region != self.settings.region;
        let is_planned_away = request.preferred_region.is_some();
        let counts = &mut self.shift_meters.entry(request.service.clone()).or_default().counts;
        *counts.ran.entry(state.region.clone()).or_default() += 1;
        counts.unplanned_away += u32::from(is_away && !is_planned_away);
        counts.unplanned_here += u32::from(!is_away && is_planned_away);
    }

    /// Counts a request that no target ran.
    pub(super) fn record_not_run(&mut self, request: &AdmittedRequest) {
        let counts = &mut self.shift_meters.entry(request.service.clone()).or_default().counts;
        let region = request.preferred_region.as_ref().unwrap_or(&self.settings.region);
        *counts.refused.entry(region.clone()).or_default() += 1;
    }

    /// Reports where the requests of the last interval ran.
    pub(super) fn report_shifts(&mut self, now: Moment) {
        for (service, meter) in &mut self.shift_meters {
            let Some(counts) = meter.take_due(now) else { continue };
            let plan = self.spillovers.get(service);
            let percent = |share: f64| (share * 100.0).round() as u32;
            let planned = plan.into_iter().flat_map(|plan| plan.shares());
            self.log_events.push(DecisionEvent::RunsCounted {
                service: service.clone(),
                region: self.settings.region.clone(),
                planned: planned.map(|(name, share)| (name.clone(), percent(*share))).collect(),
                ran: counts.ran,
                unplanned_away: counts.unplanned_away,
                unplanned_here: counts.unplanned_here,
                refused: counts.refused,
                deficit: plan.map_or(0.0, |plan| plan.deficit()),
            });
        }
    }
}
