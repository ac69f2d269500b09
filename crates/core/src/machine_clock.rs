/*!
Clocks of machines.

A [`Moment`] is valid within one run of a process. All processes on a machine can convert theirs into
the time of one clock, which runs from one boot of the machine to the next, so what is known about
the clocks of two machines stays valid when a process restarts.
*/

use {
    crate::clock::Moment,
    serde::{Deserialize, Serialize},
};

/// The clock of the machine on which a process runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MachineClock {
    /// Identifies the clock. It changes when the machine boots, and when a process starts after the
    /// machine was suspended, because clocks of processes that ran meanwhile are behind since.
    pub id: u64,
    /// The time of the clock at the zero [`Moment`] of the process, in microseconds.
    pub base_us: i64,
}

impl MachineClock {
    /// Returns the time of the clock at a moment of the process, in microseconds.
    pub fn time_us(self, moment: Moment) -> i128 {
        i128::from(self.base_us) + i128::from(moment.0)
    }
}

/// The offset between the clocks of an entry's and a replica's machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClockOffset {
    /// The value of [`MachineClock::id`] of the entry.
    pub entry_clock: u64,
    /// The value of [`MachineClock::id`] of the replica.
    pub replica_clock: u64,
    /// The smallest difference seen between the entry's clock when it read a reply and the replica's
    /// when it sent it, in microseconds.
    pub offset_us: i64,
    /// The time of the entry's clock at which this was the offset, in microseconds.
    pub measured_us: i64,
}
