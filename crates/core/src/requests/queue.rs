/*!
Requests that wait for a slot.

Kinds get slots in proportion to their weight: the next request comes from the kind that has had
least for its weight. Within a kind, callers take turns, so that one with many requests waiting
doesn't hold up one with few.
*/

use {
    super::types::RequestId,
    hemlockspool_model::names::{CallerName, KindName, ServiceName},
    std::collections::{BTreeMap, VecDeque},
};

#[derive(Clone, Debug, Default)]
struct KindLine {
    weight: u32,
    /// Slots given, divided by weight.
    served: f64,
    callers: VecDeque<(CallerName, VecDeque<RequestId>)>,
}

/// The requests of one service that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    kinds: BTreeMap<KindName, KindLine>,
    len: usize,
}

/// The queues of all services.
pub(crate) type QueueMap = BTreeMap<ServiceName, WaitQueue>;

impl WaitQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn caller_len(&self, caller: &CallerName) -> usize {
        let lines = self.kinds.values().flat_map(|kind| &kind.callers);
        lines.filter(|(name, _)| name == caller).map(|(_, ids)| ids.len()).sum()
    }

    /// Returns how many callers wait.
    pub fn callers(&self) -> usize {
        let names = self.kinds.values().flat_map(|kind| kind.callers.iter().map(|(name, _)| name));
        names.collect::<std::collections::BTreeSet<_>>().len()
    }

    pub fn push(&mut self, kind: &KindName, weight: u32, caller: &CallerName, id: RequestId) {
        let floor = self.least_served();
        let line = self.kinds.entry(kind.clone()).or_default();
        line.weight = weight.max(1);
        if line.callers.is_empty() {
            // A kind that was idle doesn't get its idle time back.
            line.served = line.served.max(floor);
        }
        match line.callers.iter_mut().find(|(name, _)| name == caller) {
            Some((_, ids)) => ids.push_back(id),
            None => line.callers.push_back((caller.clone(), VecDeque::from([id]))),
        }
        self.len += 1;
    }

    /// Puts a request that was just taken out back, as if it hadn't been.
    pub fn push_front(&mut self, kind: &KindName, caller: &CallerName, id: RequestId) {
        let line = self.kinds.entry(kind.clone()).or_default();
        line.weight = line.weight.max(1);
        line.served -= 1.0 / f64::from(line.weight);
        line.callers.push_front((caller.clone(), VecDeque::from([id])));
        self.len += 1;
    }

    pub fn pop(&mut self) -> Option<RequestId> {
        let waiting = self.kinds.values_mut().filter(|line| !line.callers.is_empty());
        let line = waiting.min_by(|a, b| a.served.total_cmp(&b.served))?;
        let (caller, mut ids) = line.callers.pop_front()?;
        let id = ids.pop_front()?;
        if !ids.is_empty() {
            line.callers.push_back((caller, ids));
        }
        line.served += 1.0 / f64::from(line.weight);
        self.len -= 1;
        Some(id)
    }

    /// Takes out the latest request of the caller that has most waiting.
    pub fn evict(&mut self) -> Option<RequestId> {
        let lines = self.kinds.values_mut().flat_map(|line| &mut line.callers);
        let (_, ids) = lines.max_by_key(|(_, ids)| ids.len())?;
        let id = ids.back().copied()?;
        self.remove(id);
        Some(id)
    }

    pub fn remove(&mut self, id: RequestId) -> bool {
        for line in self.kinds.values_mut() {
            for (_, ids) in &mut line.callers {
                let before = ids.len();
                ids.retain(|other| *other != id);
                if ids.len() < before {
                    self.len -= 1;
                    line.callers.retain(|(_, ids)| !ids.is_empty());
                    return true;
                }
            }
        }
        false
    }

    pub fn ids(&self) -> Vec<RequestId> {
        let lines = self.kinds.values().flat_map(|kind| &kind.callers);
        lines.flat_map(|(_, ids)| ids.iter().copied()).collect()
    }

    fn least_served(&self) -> f64 {
        let busy = self.kinds.values().filter(|line| !line.callers.is_empty());
        let least = busy.map(|line| line.served).min_by(f64::total_cmp);
        least.unwrap_or(0.0)
    }
}
