/*!
Whether the connections to other instances carry anything.

A connection may go silent for good without a reset, while bytes written to it are still acknowledged
by something in between. Only what comes back from the peer shows that it is alive: the reply to a
message, or a statement in one of the peer's own messages that it has arrived. A message that is owed
such an answer is called a question here, and has a mark, which increases with each question of a
link. A slow link isn't silent: each answer counts, however old its question is. But an answer to an
old one, after which others were asked, doesn't excuse the whole time since: it may be what the
peer got before the link went silent, and could say only over a new connection of its own.

A link that is silent for [`SILENCE_MAX`] gets another connection. As the peer may as well be gone or
suspended, each further one waits twice as long, up to [`WAIT_MAX`], until an answer comes.
*/

use {
    crate::{clock::Moment, wire::PeerSender},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time from a question, or the last answer after it, until the link counts as silent: longer
/// than a full link delays messages.
pub const SILENCE_MAX: Duration = Duration::from_secs(5);
/// The longest time from a question after a replacement until the next one.
pub const WAIT_MAX: Duration = Duration::from_secs(20);
/// The part of the time that an answer took which counts as silence if later questions aren't answered.
const LATE_MAX: Duration = Duration::from_secs(3);
/// The number of unanswered questions whose times are kept.
const QUESTIONS_KEPT: usize = 64;
/// The time after a question from which on a link that has none since should get one.
const QUESTION_INTERVAL: Duration = Duration::from_secs(2);
/// The time between two looks from which on this process has stood still itself, and can't have read
/// answers.
const STANDSTILL_MIN: Duration = Duration::from_secs(1);
/// The time without a question after which a link is forgotten.
const LINK_TTL: Duration = Duration::from_secs(60);

/// A link that is silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SilentLink {
    /// The peer's address.
    pub peer: SocketAddr,
    /// The time without an answer.
    pub silence: Duration,
}

/// What is known about the link to one peer.
#[derive(Clone, Debug)]
struct LinkState {
    /// The incarnation of the peer's process; none before its first message.
    incarnation: Option<u64>,
    /// Whether the peer answers questions; builds that don't know them never do.
    owes_answers: bool,
    /// The latest mark of this instance's questions.
    asked: Moment,
    /// The latest mark that was answered.
    answered: Moment,
    /// The latest mark of the peer's own questions.
    heard: Moment,
    asked_at: Moment,
    /// The first unanswered questions: their marks and times.
    questions: VecDeque<(Moment, Moment)>,
    /// The time of the first unanswered question, of the last answer after it, or of the last message
    /// after which the peer sends more.
    unanswered_since: Option<Moment>,
    /// The time of silence after which the connection is replaced.
    wait: Duration,
}

impl LinkState {
    fn new(now: Moment) -> Self {
        Self {
            incarnation: None,
            owes_answers: true,
            asked: Moment(0),
            answered: Moment(0),
            heard: Moment(0),
            asked_at: now,
            questions: VecDeque::new(),
            unanswered_since: None,
            wait: SILENCE_MAX,
        }
    }
}

/// The links to other instances.
#[derive(Clone, Debug, Default)]
pub struct LinkWatch {
    links: BTreeMap<SocketAddr, LinkState>,
    looked_at: Option<Moment>,
}

impl LinkWatch {
    /// Records that a question with a mark was sent.
    pub fn record_question(&mut self, peer: SocketAddr, mark: Moment, now: Moment) {
        let link = self.links.entry(peer).or_insert_with(|| LinkState::new(now));
        link.asked = link.asked.max(mark);
        link.asked_at = now;
        link.unanswered_since.get_or_insert(now);
        if link.questions.len() < QUESTIONS_KEPT {
            link.questions.push_back((mark, now));
        }
    }

    /// Records that a peer has answered the questions up to a mark; none if its build doesn't answer.
    pub fn record_answer(&mut self, sender: &PeerSender, mark: Option<Moment>, now: Moment) {
        let link = self.link_of(sender, now);
        link.owes_answers = mark.is_some();
        // A mark that wasn't asked is one of an earlier process at this address.
        let Some(mark) = mark.filter(|mark| *mark > link.answered && *mark <= link.asked) else {
            return;
        };
        link.answered = mark;
        link.questions.retain(|(asked, _)| *asked > mark);
        let earliest = Moment(now.0.saturating_sub(LATE_MAX.as_micros() as u64));
        let next_asked_at = link.questions.front().map_or(now, |(_, at)| *at);
        link.unanswered_since = (link.asked > mark).then_some(next_asked_at.max(earliest));
        link.wait = SILENCE_MAX;
    }

    /// Records that a peer sends more by itself soon, as it does after a heartbeat. If that doesn't come,
    /// the connection to the peer may carry as little as the one from it, which nothing else shows.
    pub fn await_next(&mut self, peer: SocketAddr, now: Moment) {
        if let Some(link) = self.links.get_mut(&peer)
            && link.asked == link.answered
        {
            link.unanswered_since = Some(now);
        }
    }

    /// Records that a peer's own question has arrived.
    pub fn record_heard(&mut self, sender: &PeerSender, mark: Moment, now: Moment) {
        let link = self.link_of(sender, now);
        link.heard = link.heard.max(mark);
    }

    /// Returns the latest mark of a peer's own questions; zero if there is none.
    pub fn last_heard(&self, peer: SocketAddr) -> Moment {
        self.links.get(&peer).map_or(Moment(0), |link| link.heard)
    }

    /// Returns the latest mark that a peer has answered; zero if there is none.
    pub fn last_answered(&self, peer: SocketAddr) -> Moment {
        self.links.get(&peer).map_or(Moment(0), |link| link.answered)
    }

    /// Returns whether a peer should be asked, as it wasn't lately.
    pub fn is_question_due(&self, peer: SocketAddr, now: Moment) -> bool {
        self.links.get(&peer).is_none_or(|link| now.since(link.asked_at) >= QUESTION_INTERVAL)
    }

    /// Returns the links whose connections should be replaced now.
    pub fn take_silent(&mut self, now: Moment) -> Vec<SilentLink> {
        let gap = now.since(self.looked_at.unwrap_or(now));
        self.looked_at = Some(now);
        self.links.retain(|_, link| now.since(link.asked_at) < LINK_TTL);
        let mut silent_links = Vec::new();
        for (peer, link) in &mut self.links {
            let Some(since) = &mut link.unanswered_since else { continue };
            if gap >= STANDSTILL_MIN {
                *since = since.after(gap).min(now);
            }
            let silence = now.since(*since);
            if link.owes_answers && silence >= link.wait {
                // The time begins again with the next question, which takes the new connection.
                link.unanswered_since = None;
                link.wait = (2 * link.wait).min(WAIT_MAX);
                silent_links.push(SilentLink { peer: *peer, silence });
            }
        }
        silent_links
    }

    /// Returns the link to the sender of a message. The process that runs now knows nothing of the
    /// questions to an earlier one.
    fn link_of(&mut self, sender: &PeerSender, now: Moment) -> &mut LinkState {
        let link = self.links.entry(sender.peer).or_insert_with(|| LinkState::new(now));
        if link.incarnation.is_some_and(|incarnation| incarnation != sender.incarnation) {
            *link = LinkState::new(now);
        }
        link.incarnation = Some(sender.incarnation);
        link
    }
}
