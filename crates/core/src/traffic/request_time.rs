/*!
The time that a request may take, counted from when its caller sent it.
*/

use {
    crate::{
        clock::Moment,
        machine_clock::{ClockOffset, MachineClock},
        traffic::{request::AdmittedRequest, router::RequestRouter, send_times::ReplyTimes},
        wire::PeerSender,
    },
    std::{net::SocketAddr, time::Duration},
};

/// The time that a request may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTime {
    /// The time at which its head was read.
    pub arrived_at: Moment,
    /// The time after which its caller or its route gives up, counted from when it was sent.
    pub timeout: Duration,
}

/// The end of a request's time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeLimit {
    /// The time by which the request has certainly taken as long as it may.
    pub at: Moment,
    /// Whether it is known when the request was sent. Until then, an earlier limit may turn up.
    pub is_final: bool,
}

impl RequestRouter {
    /// Returns the end of a request's time, as far as it is known.
    pub fn time_limit(&self, time: RequestTime) -> TimeLimit {
        let RequestTime { arrived_at, timeout } = time;
        match self.send_times.latest_send(arrived_at) {
            Some(sent_by) => TimeLimit { at: sent_by.after(timeout), is_final: true },
            None => TimeLimit { at: arrived_at.after(timeout), is_final: false },
        }
    }

    /// Records when a replica's reply was sent, which shows how long requests waited on this entry's
    /// link.
    pub fn record_reply_times(&mut self, sender: &PeerSender, times: ReplyTimes, now: Moment) {
        self.send_times.record_reply(sender, times, now);
    }

    /// Sets the clock of this entry's machine when the entry starts.
    pub fn set_machine_clock(&mut self, clock: MachineClock, now: Moment) {
        self.send_times.set_machine_clock(clock, now);
    }

    /// Returns the offset between the clocks of this entry's machine and a replica's, if known.
    pub(crate) fn clock_offset(&self, replica: SocketAddr) -> Option<ClockOffset> {
        self.send_times.clock_offset(replica)
    }

    /// Records that this entry sent something to another instance or a target, and that an answer to it
    /// has arrived.
    pub fn record_exchange(&mut self, began_at: Moment, ended_at: Moment) {
        self.send_times.record_exchange(began_at, ended_at);
    }

    /// Sets whether replies of replicas are notably late.
    pub(crate) fn set_link_delay(&mut self, has_link_delay: bool) {
        self.has_link_delay = has_link_delay;
    }

    /// Returns whether replies of replicas are notably late, so that the order in which requests and
    /// replies arrive matters.
    pub fn has_link_delay(&self) -> bool {
        self.has_link_delay
    }

    /// Returns how long replicas' replies lately waited on their way to this entry, at least.
    pub fn inbound_delay(&self) -> Duration {
        self.send_times.inbound_delay()
    }

    /// Updates the end of a request's time, unless it is known for certain.
    pub(super) fn update_limit(&self, request: &mut AdmittedRequest) {
        if !request.limit.is_final {
            request.limit = self.time_limit(request.time);
        }
    }
}

impl AdmittedRequest {
    /// Returns how long it waited on the entry's link before its head was read, at least.
    pub(super) fn link_wait(&self) -> Duration {
        let RequestTime { arrived_at, timeout } = self.time;
        arrived_at.after(timeout).since(self.limit.at)
    }
}
