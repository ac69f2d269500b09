/*!
Bounds on the times at which callers sent their requests.

A request's time begins when its caller sends it, and an entry sees it only when the request has
passed the entry's link, which takes seconds while the link is full. No estimate of that wait is safe
to end a request by: one that is too long ends it before its time while its target works. What is
certain is the order on the link, which carries everything in the order in which it came: a request
that arrived before a reply of a replica also got to the link before that reply. A reply states when,
by the replica's clock, it was sent, and the smallest difference seen between the two clocks turns
that into the latest time, by the entry's clock, at which the reply can have got to the link.

That difference is known only from a reply that didn't wait, so it is kept between the clocks of the
two machines: it outlives a restart of the replica's process, and replicas keep it for that of the
entry's.

A reply may have waited elsewhere too: in the replica's process, on its link, or behind a large
message on the same connection. A bound counts only if a second replica shows at least as much, and
no more of it than quick exchanges allow: what arrives after the end of an exchange got to the link
after its beginning, whatever happened in between.
*/

use {
    crate::{
        clock::Moment,
        machine_clock::{ClockOffset, MachineClock},
        wire::PeerSender,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// The largest rate at which the clocks of two instances drift apart, in parts per million: the
/// fastest at which a system slews its clock.
const DRIFT_PPM: i128 = 500;
/// The time after the beginning of an exchange, less the time that the exchange may have waited, until
/// which requests that arrive after it count as sent. They are then held by no more than this beyond
/// their time, and their responses wait about as long as the exchange did.
pub(crate) const UNCOUNTED_WAIT: Duration = Duration::from_millis(300);
/// The longest time to a replica's answer that counts as its distance and not as a wait: more than the
/// round trip to the farthest region.
const DISTANCE_MAX: Duration = Duration::from_millis(150);
/// The least by which an exchange that is kept shows more than the last one.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(5);
/// The time for which the offset of a replica's clock is kept. It is best known from a time at which
/// the link was idle.
pub(crate) const OFFSET_TTL: Duration = Duration::from_secs(600);
/// The largest difference between the machine's clock as read by two processes, in microseconds.
const READING_ERROR_US: i128 = 100;
/// The time for which a reply is kept: longer than those of other replicas are delayed.
const REPLY_TTL: Duration = Duration::from_secs(10);
/// The number of replicas that must show that requests have waited.
const REPLICAS_MIN: usize = 2;

/// The times of a reply of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplyTimes {
    /// The time at which the message was sent that it replies to, by the entry's clock.
    pub echo: Moment,
    /// The time at which it was sent, by the replica's clock; none if the replica is of an earlier
    /// build.
    pub sent_at: Option<Moment>,
    /// The clock of the replica's machine; none if that isn't known.
    pub machine_clock: Option<MachineClock>,
    /// The offset that an earlier run of the entry's process stated to the replica, if any.
    pub stated_offset: Option<ClockOffset>,
    /// The latest time at which it certainly hadn't arrived, by the entry's clock; none if that isn't
    /// known.
    pub absent_at: Option<Moment>,
}

/// What a reply shows about the requests that arrived before it.
#[derive(Clone, Copy, Debug)]
struct ReplyBound {
    read_at: Moment,
    /// The latest time at which the reply certainly hadn't arrived.
    absent_at: Option<Moment>,
    /// The latest time at which a request was sent that had arrived by then.
    sent_by: Moment,
}

/// What an exchange shows about the requests that arrived after it.
#[derive(Clone, Copy, Debug)]
struct ExchangeBound {
    ended_at: Moment,
    /// The time until which such a request counts as sent.
    uncounted_until: Moment,
}

/// The clock by which a replica states when it sends replies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReplicaClock {
    /// That of its machine, by its id.
    Machine(u64),
    /// That of its process, by the incarnation, if the machine's isn't known.
    Process(u64),
}

/// The replies of a replica by one clock.
#[derive(Clone, Debug)]
struct ReplyStream {
    clock: ReplicaClock,
    incarnation: u64,
    /// The smallest difference seen between the entry's clock when it read a reply and the replica's
    /// when it sent it, in microseconds; none before the first reply.
    offset_us: Option<i128>,
    /// The shortest time from a message to its reply, which is no wait on the link.
    distance: Duration,
    /// The time of the last reply.
    updated_at: Moment,
    /// Whether an offset turned out to be wrong. Those of earlier runs of the entry then don't hold.
    is_refuted: bool,
    bounds: VecDeque<ReplyBound>,
}

impl ReplyStream {
    fn new(clock: ReplicaClock, incarnation: u64, now: Moment) -> Self {
        Self {
            clock,
            incarnation,
            offset_us: None,
            distance: DISTANCE_MAX,
            updated_at: now,
            is_refuted: false,
            bounds: VecDeque::new(),
        }
    }

    /// Continues with another process on the replica's machine.
    fn continue_with(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.offset_us = self.offset_us.map(|offset_us| offset_us + READING_ERROR_US);
        }
    }

    /// Returns the latest time at which a reply can have got to the entry's link, of which the
    /// replica states that it was sent at `sent_us`.
    fn latest_send(
        &mut self,
        echo: Moment,
        sent_us: i128,
        earlier_us: Option<i128>,
        now: Moment,
    ) -> Moment {
        // No reply is sent before the message that it replies to. If an offset says so, it is wrong,
        // or the replica's clock has stood still, as that of a suspended machine does.
        let is_wrong = |offset_us: &i128| sent_us + offset_us < i128::from(echo.0);
        let age_us = now.since(self.updated_at).as_micros() as i128;
        let known_us = self.offset_us.map(|known_us| known_us + drift_us(age_us));
        self.is_refuted |= known_us.iter().chain(&earlier_us).any(is_wrong);
        let offset_us = i128::from(now.0) - sent_us;
        let smallest_us = match known_us {
            Some(known_us) if is_wrong(&known_us) => offset_us,
            _ => {
                let earlier_us = earlier_us.filter(|earlier_us| !is_wrong(earlier_us));
                known_us.into_iter().chain(earlier_us).fold(offset_us, i128::min)
            }
        };
        self.updated_at = now;
        self.offset_us = Some(smallest_us);
        Moment((sent_us + smallest_us) as u64)
    }

    /// Returns the offset that an earlier run of the entry's process stated, as one of this stream at
    /// present; none if it doesn't hold.
    fn earlier_offset(
        &self,
        (machine_clock, started_at): (MachineClock, Moment),
        stated: ClockOffset,
        now: Moment,
    ) -> Option<i128> {
        let ClockOffset { entry_clock, replica_clock, offset_us, measured_us } = stated;
        let is_same =
            entry_clock == machine_clock.id && ReplicaClock::Machine(replica_clock) == self.clock;
        let base_us = i128::from(machine_clock.base_us);
        let measured_us = i128::from(measured_us) - base_us;
        let age_us = i128::from(now.0) - measured_us;
        let is_recent = age_us < OFFSET_TTL.as_micros() as i128;
        let is_earlier = measured_us < i128::from(started_at.0);
        (is_same && is_recent && is_earlier && !self.is_refuted)
            .then(|| i128::from(offset_us) - base_us + drift_us(age_us) + READING_ERROR_US)
    }
}

/// Returns by how much two clocks drift apart at most in a time, in microseconds.
fn drift_us(elapsed_us: i128) -> i128 {
    elapsed_us * DRIFT_PPM / 1_000_000
}

/// What the replies of replicas show about when callers sent their requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendTimes {
    /// The clock of the entry's machine, if known, and when the entry started.
    machine_clock: Option<(MachineClock, Moment)>,
    streams: BTreeMap<SocketAddr, ReplyStream>,
    /// Those of exchanges with others, in the order of both times.
    exchanges: VecDeque<ExchangeBound>,
}

impl SendTimes {
    /// Forgets what is old.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.streams.retain(|_, stream| now.since(stream.updated_at) < OFFSET_TTL);
        for stream in self.streams.values_mut() {
            stream.bounds.retain(|bound| now.since(bound.read_at) < REPLY_TTL);
        }
        self.exchanges.retain(|bound| now.since(bound.ended_at) < REPLY_TTL);
    }

    /// Records that something was sent and an answer to it has arrived.
    pub(crate) fn record_exchange(&mut self, began_at: Moment, ended_at: Moment) {
        self.record_wait(began_at, ended_at, ended_at.since(began_at));
    }

    /// Records an exchange that waited on the link for no longer than `wait_max`.
    fn record_wait(&mut self, began_at: Moment, ended_at: Moment, wait_max: Duration) {
        let uncounted_until = began_at.after(UNCOUNTED_WAIT.saturating_sub(wait_max));
        let is_news = self.exchanges.back().is_none_or(|last| {
            uncounted_until >= last.uncounted_until.after(EXCHANGE_INTERVAL)
                && ended_at >= last.ended_at
        });
        if is_news {
            self.exchanges.push_back(ExchangeBound { ended_at, uncounted_until });
        }
    }

    /// Sets the clock of the entry's machine when the entry starts.
    pub(crate) fn set_machine_clock(&mut self, clock: MachineClock, now: Moment) {
        self.machine_clock = Some((clock, now));
    }

    /// Records a reply.
    pub(crate) fn record_reply(&mut self, sender: &PeerSender, times: ReplyTimes, now: Moment) {
        let ReplyTimes { echo, sent_at, machine_clock, stated_offset, absent_at } = times;
        if echo > now {
            // It replies to an earlier run of this process.
            return;
        }
        let Some(sent_at) = sent_at else { return self.record_exchange(echo, now) };
        let elapsed = now.since(echo);
        let clock = match machine_clock {
            Some(clock) => ReplicaClock::Machine(clock.id),
            None => ReplicaClock::Process(sender.incarnation),
        };
        let sent_us = machine_clock.map_or(i128::from(sent_at.0), |clock| clock.time_us(sent_at));
        let new_stream = || ReplyStream::new(clock, sender.incarnation, now);
        let stream = self.streams.entry(sender.peer).or_insert_with(new_stream);
        if stream.clock != clock {
            *stream = new_stream();
        }
        stream.continue_with(sender.incarnation);
        let stated = self.machine_clock.zip(stated_offset);
        let earlier_us =
            stated.and_then(|(clock, stated)| stream.earlier_offset(clock, stated, now));
        stream.distance = stream.distance.min(elapsed);
        let wait_max = elapsed - stream.distance;
        let sent_by = stream.latest_send(echo, sent_us, earlier_us, now);
        stream.bounds.push_back(ReplyBound { read_at: now, absent_at, sent_by });
        self.record_wait(echo, now, wait_max);
    }

    /// Returns the offset between the clocks of the entry's machine and a replica's, if known.
    pub(crate) fn clock_offset(&self, replica: SocketAddr) -> Option<ClockOffset> {
        let (machine_clock, _) = self.machine_clock?;
        let stream = self.streams.get(&replica)?;
        let ReplicaClock::Machine(replica_clock) = stream.clock else { return None };
        let offset_us = stream.offset_us? + i128::from(machine_clock.base_us);
        Some(ClockOffset {
            entry_clock: machine_clock.id,
            replica_clock,
            offset_us: i64::try_from(offset_us).ok()?,
            measured_us: i64::try_from(machine_clock.time_us(stream.updated_at)).ok()?,
        })
    }

    /// Returns the latest time at which a request was sent that arrived at some time; none as long
    /// as too few replicas have replied since.
    pub(crate) fn latest_send(&self, arrived_at: Moment) -> Option<Moment> {
        let first_bound = |stream: &ReplyStream| {
            let bound = stream.bounds.iter().find(|bound| bound.absent_at >= Some(arrived_at))?;
            Some(bound.sent_by)
        };
        let mut bounds: Vec<Moment> = self.streams.values().filter_map(first_bound).collect();
        bounds.sort_unstable();
        let corroborated = *bounds.get(REPLICAS_MIN - 1)?;
        Some(corroborated.max(self.uncounted_until(arrived_at)).min(arrived_at))
    }

    /// Returns the time until which a request that arrived at some time counts as sent, as an exchange
    /// that had ended by then shows that it wasn't sent much earlier.
    pub(crate) fn uncounted_until(&self, arrived_at: Moment) -> Moment {
        let before = self.exchanges.iter().rev().find(|bound| bound.ended_at <= arrived_at);
        before.map_or(Moment(0), |bound| bound.uncounted_until)
    }

    /// Returns how long replies lately waited on their way to this entry, at least: the second
    /// longest time among the last replies of all replicas.
    pub(crate) fn inbound_delay(&self) -> Duration {
        let last_wait = |stream: &ReplyStream| {
            stream.bounds.back().map(|bound| bound.read_at.since(bound.sent_by))
        };
        let mut waits: Vec<Duration> = self.streams.values().filter_map(last_wait).collect();
        waits.sort_unstable();
        waits.iter().rev().nth(REPLICAS_MIN - 1).copied().unwrap_or_default()
    }
}
