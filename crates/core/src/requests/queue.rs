/*!
Weighted fair queue of the requests that wait for a slot.

Kinds get slots in proportion to their weight: the next request comes from the kind with the
smallest virtual time. Within a kind, callers are served round-robin, so that a caller with many
waiting requests doesn't delay one with few.
*/

use {
    super::types::RequestId,
    hemlockspool_model::names::{CallerName, KindName, ServiceName},
    std::collections::{BTreeMap, VecDeque},
};

#[derive(Clone, Debug, Default)]
struct KindQueue {
    weight: u32,
    /// The sum of the inverse weight over the slots granted, raised to the least value of the
    /// waiting kinds when the kind gets its first request after an idle time.
    virtual_time: f64,
    callers: VecDeque<(CallerName, VecDeque<RequestId>)>,
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    kinds: BTreeMap<KindName, KindQueue>,
    len: usize,
}

/// The queue of each service.
pub(crate) type QueueMap = BTreeMap<ServiceName, WaitQueue>;

impl WaitQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn caller_len(&self, caller: &CallerName) -> usize {
        let callers = self.kinds.values().flat_map(|kind| &kind.callers);
        callers.filter(|(name, _)| name == caller).map(|(_, ids)| ids.len()).sum()
    }

    /// Returns the number of callers with waiting requests.
    pub fn caller_count(&self) -> usize {
        let names = self.kinds.values().flat_map(|kind| kind.callers.iter().map(|(name, _)| name));
        names.collect::<std::collections::BTreeSet<_>>().len()
    }

    pub fn push(&mut self, kind: &KindName, weight: u32, caller: &CallerName, id: RequestId) {
        let min_virtual_time = self.min_virtual_time();
        let kind_queue = self.kinds.entry(kind.clone()).or_default();
        kind_queue.weight = weight.max(1);
        if kind_queue.callers.is_empty() {
            // A kind gets no credit for the time in which it was idle.
            kind_queue.virtual_time = kind_queue.virtual_time.max(min_virtual_time);
        }
        match kind_queue.callers.iter_mut().find(|(name, _)| name == caller) {
            Some((_, ids)) => ids.push_back(id),
            None => kind_queue.callers.push_back((caller.clone(), VecDeque::from([id]))),
        }
        self.len += 1;
    }

    /// Puts back a request that was just popped, at the front of its kind's queue, and undoes its
    /// charge.
    pub fn push_front(&mut self, kind: &KindName, caller: &CallerName, id: RequestId) {
        let kind_queue = self.kinds.entry(kind.clone()).or_default();
        kind_queue.weight = kind_queue.weight.max(1);
        kind_queue.virtual_time -= 1.0 / f64::from(kind_queue.weight);
        kind_queue.callers.push_front((caller.clone(), VecDeque::from([id])));
        self.len += 1;
    }

    pub fn pop(&mut self) -> Option<RequestId> {
        let waiting = self.kinds.values_mut().filter(|kind_queue| !kind_queue.callers.is_empty());
        let kind_queue = waiting.min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        let (caller, mut ids) = kind_queue.callers.pop_front()?;
        let id = ids.pop_front()?;
        if !ids.is_empty() {
            kind_queue.callers.push_back((caller, ids));
        }
        kind_queue.virtual_time += 1.0 / f64::from(kind_queue.weight);
        self.len -= 1;
        Some(id)
    }

    /// Removes and returns the latest request of the caller with the most waiting requests in a
    /// kind.
    pub fn evict(&mut self) -> Option<RequestId> {
        let callers = self.kinds.values_mut().flat_map(|kind_queue| &mut kind_queue.callers);
        let (_, ids) = callers.max_by_key(|(_, ids)| ids.len())?;
        let id = ids.back().copied()?;
        self.remove(id);
        Some(id)
    }

    /// Removes a request, and returns whether it was waiting.
    pub fn remove(&mut self, id: RequestId) -> bool {
        for kind_queue in self.kinds.values_mut() {
            for (_, ids) in &mut kind_queue.callers {
                let before = ids.len();
                ids.retain(|other| *other != id);
                if ids.len() < before {
                    self.len -= 1;
                    kind_queue.callers.retain(|(_, ids)| !ids.is_empty());
                    return true;
                }
            }
        }
        false
    }

    pub fn ids(&self) -> Vec<RequestId> {
        let callers = self.kinds.values().flat_map(|kind| &kind.callers);
        callers.flat_map(|(_, ids)| ids.iter().copied()).collect()
    }

    fn min_virtual_time(&self) -> f64 {
        let active = self.kinds.values().filter(|kind_queue| !kind_queue.callers.is_empty());
        let min = active.map(|kind_queue| kind_queue.virtual_time).min_by(f64::total_cmp);
        min.unwrap_or(0.0)
    }
}
