/*!
The memory for callers' request bodies at one entry.

A body is passed on while it arrives, but its beginning is kept, so that another target can get the
request if the first one doesn't run it. The budget bounds the kept bytes of all requests together.
*/

/// The maximum number of bytes of a body that are kept: few uploads exceed it, and a target that is
/// full refuses a request soon after its head.
pub const KEPT_BODY_BYTES_MAX: u64 = 256 << 10;

/// The fraction of the budget up to which requests of a priority may use it, by priority, where 0 is
/// the highest.
const SHARE_BY_PRIORITY: [f64; 3] = [1.0, 0.8, 0.6];

/// A budget of memory that requests reserve for their bodies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyBudget {
    capacity_bytes: u64,
    reserved_bytes: u64,
}

impl BodyBudget {
    /// Returns an unused budget.
    pub(crate) fn new(capacity_bytes: u64) -> Self {
        Self { capacity_bytes, reserved_bytes: 0 }
    }

    /// Reserves memory, and returns whether the share of the priority allowed it. A request without
    /// a body always gets its 0 bytes.
    pub(crate) fn try_reserve(&mut self, bytes: u64, priority: u32) -> bool {
        let priority = (priority as usize).min(SHARE_BY_PRIORITY.len() - 1);
        let share_bytes = (self.capacity_bytes as f64 * SHARE_BY_PRIORITY[priority]) as u64;
        let fits = bytes == 0 || self.reserved_bytes + bytes <= share_bytes;
        if fits {
            self.reserved_bytes += bytes;
        }
        fits
    }

    /// Releases reserved memory.
    pub(crate) fn release(&mut self, bytes: u64) {
        self.reserved_bytes = self.reserved_bytes.saturating_sub(bytes);
    }
}
