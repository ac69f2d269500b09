//! Connections to targets that an entry keeps for later requests.

#[path = "common/routing.rs"]
mod routing;

use {
    hemlockspool_core::traffic::kept_connections::{
        ConnectionHistory::{self, Reused, Unused},
        KeptConnections, KeptLimits,
    },
    hemlockspool_model::names::TargetName,
    quickcheck::{TestResult, quickcheck},
    routing::at,
    std::time::Duration,
};

const LIMITS: KeptLimits = KeptLimits { reused_per_target: 2, total: 5 };

fn target(number: u32) -> TargetName {
    TargetName::new(&format!("i-{number}"))
}

/// Keeps connections that are numbered in their order, for 3 s, one each 10 ms.
fn keep_all(steps: &[(u32, ConnectionHistory)]) -> KeptConnections<usize> {
    let mut kept = KeptConnections::new(LIMITS);
    for (index, (number, history)) in steps.iter().enumerate() {
        let now = at(index as u64 * 10);
        kept.keep(&target(*number), *history, index, Duration::from_secs(3), now);
    }
    kept
}

/// Guards against unused connections that are counted in no limit, so that an entry which sends many
/// targets requests that run once keeps more connections than its memory is planned for.
#[test]
fn kept_connections_one_limit_for_both_kinds() {
    let steps = [Reused, Unused].map(|history| (0..4).map(move |number| (number, history)));
    let mut kept = keep_all(&steps.into_iter().flatten().collect::<Vec<_>>());
    assert_eq!(kept.count(), LIMITS.total);
    let now = at(100);
    assert_eq!(kept.take(&target(2), Reused, |_| true, now), None, "the first to expire is closed");
    assert_eq!(kept.take(&target(3), Reused, |_| true, now), Some(3));
    assert_eq!(kept.take(&target(0), Unused, |_| true, now), Some(4));
}

quickcheck! {
    /// Guards against any sequence after which more connections are kept than allowed.
    fn kept_connections_within_limits(steps: Vec<(u8, bool)>) -> TestResult {
        let history = |is_unused| if is_unused { Unused } else { Reused };
        let steps: Vec<_> = (steps.iter())
            .map(|(number, is_unused)| (u32::from(number % 4), history(*is_unused)))
            .collect();
        let mut kept = keep_all(&steps);
        let now = at(steps.len() as u64 * 10);
        let within_total = kept.count() <= LIMITS.total;
        let reused = (0..4).all(|number| {
            let taken = std::iter::from_fn(|| kept.take(&target(number), Reused, |_| true, now));
            taken.count() <= LIMITS.reused_per_target
        });
        TestResult::from_bool(within_total && reused)
    }
}

/// Guards against a request on a connection that has expired, that its target has closed, or that
/// has carried another request although it must not.
#[test]
fn kept_connections_taken_while_usable() {
    let mut kept = keep_all(&[(1, Reused), (1, Unused), (1, Unused), (1, Reused)]);
    assert_eq!(kept.unused_count(&target(1)), 2);
    assert_eq!(kept.take(&target(1), Unused, |number| *number != 1, at(100)), Some(2));
    assert_eq!(kept.take(&target(1), Unused, |_| true, at(100)), None);
    assert_eq!(kept.take(&target(1), Reused, |_| true, at(3_010)), Some(3));
    assert_eq!(kept.take(&target(1), Reused, |_| true, at(3_010)), None, "expired at 3 s");
}

/// Guards against unused connections that stay after a request on one of them was lost, and against
/// others that are closed with them.
#[test]
fn kept_connections_unused_closed() {
    let mut kept = keep_all(&[(1, Reused), (1, Unused), (2, Unused)]);
    kept.close_unused(Some(&target(1)));
    assert_eq!((kept.count(), kept.unused_count(&target(2))), (2, 1));
    kept.close_unused(None);
    assert_eq!(kept.count(), 1);
    kept.close_expired(|_| false, at(0));
    assert_eq!(kept.count(), 0);
}
