/*!
The entries of one failure domain, and how they share what the domain has.

Entries of a domain tell each other that they serve. Each splits the domain's slots and limits by
rank among those that it hears. An entry uses its part only once every other one that it hears says
that it hears it too, so that the parts of two entries that overlap in time never add up to more
than the whole:

* One that starts, or that stood still, waits until the others count it, or until they would have
  dropped it and it hears nobody.
* One that goes silent keeps its part until the others' lease on it has run out.

This rests on networks being cut between failure domains and not within one, as the platform has it.
*/

use {
    crate::{
        clock::Moment,
        effect::NodeEffect,
        notes::NodeNote,
        wire::{PeerMessage, PeerSender},
    },
    hemlockspool_model::{
        names::{DomainName, InstanceName},
        set::ObjectSet,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time between pulses.
pub const PULSE_EVERY: Duration = Duration::from_millis(400);
/// For how long an entry that went silent is counted.
pub const PULSE_LEASE: Duration = Duration::from_secs(2);
/// A gap between ticks after which a process takes itself for newly started.
const STANDSTILL: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct PeerView {
    peer: SocketAddr,
    heard: Moment,
    hears_me: bool,
    replica: bool,
    leaving: bool,
}

/// The entries of this instance's failure domain.
#[derive(Clone, Debug)]
pub struct DomainPeers {
    me: InstanceName,
    my_replica: bool,
    leaving: bool,
    peers: BTreeMap<InstanceName, PeerView>,
    declared: BTreeSet<InstanceName>,
    addresses: BTreeMap<InstanceName, SocketAddr>,
    fresh_since: Moment,
    last_tick: Moment,
    pulse_due: Moment,
}

/// The part of what a failure domain has that one entry may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DomainShare {
    /// This entry's place among those that serve.
    pub rank: u32,
    /// How many serve.
    pub count: u32,
    /// Whether this entry may use its part now.
    pub usable: bool,
}

impl DomainShare {
    /// Returns this entry's part of a whole number of units; the parts of all ranks add up to it.
    /// The salt decides who gets the units that are left over.
    pub fn of(&self, whole: u64, salt: u64) -> u64 {
        if !self.usable {
            return 0;
        }
        let count = u64::from(self.count.max(1));
        let turn = (u64::from(self.rank) + salt % count) % count;
        whole / count + u64::from(turn < whole % count)
    }
}

impl DomainPeers {
    /// Makes the view of an instance that just started.
    pub fn new(me: InstanceName, my_replica: bool, now: Moment) -> Self {
        Self {
            me,
            my_replica,
            leaving: false,
            peers: BTreeMap::new(),
            declared: BTreeSet::new(),
            addresses: BTreeMap::new(),
            fresh_since: now,
            last_tick: now,
            pulse_due: now,
        }
    }

    /// Takes in who is declared for the failure domain.
    pub fn declare(&mut self, set: &ObjectSet, domain: &DomainName) {
        let own = || set.entries.values().filter(|entry| entry.domain == *domain);
        self.declared = own().map(|entry| entry.name.clone()).collect();
        let others = own().filter(|entry| entry.name != self.me);
        self.addresses = others.map(|entry| (entry.name.clone(), entry.peer)).collect();
        self.peers.retain(|name, _| self.declared.contains(name));
    }

    /// Returns the names that are counted, this instance included.
    pub fn members(&self, now: Moment) -> Vec<InstanceName> {
        let heard = self.live(now).map(|(name, _)| name.clone());
        let all: BTreeSet<InstanceName> = heard.chain([self.me.clone()]).collect();
        all.into_iter().collect()
    }

    /// Tells whether another entry of the domain is heard and isn't stopping.
    pub fn serves(&self, name: &InstanceName, now: Moment) -> bool {
        if *name == self.me {
            return !self.leaving;
        }
        let view = self.peers.get(name);
        view.is_some_and(|view| now.since(view.heard) < PULSE_LEASE && !view.leaving)
    }

    /// Returns the part that this instance may use.
    pub fn share(&self, now: Moment) -> DomainShare {
        let members = self.members(now);
        let rank = members.iter().position(|name| *name == self.me).unwrap_or(0);
        let counted = self.live(now).all(|(_, view)| view.hears_me);
        let alone = self.declared.iter().all(|name| members.contains(name));
        let settled = alone || now.since(self.fresh_since) >= PULSE_LEASE;
        DomainShare { rank: rank as u32, count: members.len() as u32, usable: counted && settled }
    }

    /// Returns the entry that fetches the configuration for the domain, and where it listens;
    /// none when that is this instance.
    pub fn relay(&self, now: Moment) -> Option<SocketAddr> {
        let mut best = (!self.my_replica, &self.me);
        let mut address = None;
        for (name, view) in self.live(now) {
            if (!view.replica, name) < best {
                best = (!view.replica, name);
                address = Some(view.peer);
            }
        }
        address
    }

    /// Says from now on that this instance is stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.pulse_due = Moment(0);
    }

    /// Tells whether this instance is stopping.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Hears a pulse.
    pub fn hear(
        &mut self,
        sender: &PeerSender,
        hears: &[InstanceName],
        replica: bool,
        leaving: bool,
        now: Moment,
    ) {
        let hears_me = hears.contains(&self.me);
        let view = PeerView { peer: sender.peer, heard: now, hears_me, replica, leaving };
        if self.peers.insert(sender.name.clone(), view).is_none() {
            // The newcomer should not wait for the next turn to learn that it is counted.
            self.pulse_due = now;
        }
    }

    /// Sends pulses when due, and notices a standstill of this process.
    pub fn tick(&mut self, now: Moment) -> Vec<NodeEffect> {
        let mut effects = Vec::new();
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > STANDSTILL {
            self.fresh_since = now;
            self.peers.clear();
            effects.push(NodeEffect::Note(NodeNote::Thawed { millis: gap.as_millis() as u64 }));
        }
        let silent: Vec<InstanceName> = (self.peers.iter())
            .filter(|(_, view)| now.since(view.heard) >= PULSE_LEASE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.peers.remove(&name);
            effects.push(NodeEffect::Note(NodeNote::PeerSilent { name }));
        }
        if now >= self.pulse_due {
            self.pulse_due = now.after(PULSE_EVERY);
            effects.extend(self.pulses(now));
        }
        effects
    }

    fn pulses(&self, now: Moment) -> Vec<NodeEffect> {
        let hears = self.members(now);
        let (replica, leaving) = (self.my_replica, self.leaving);
        let message = PeerMessage::Pulse { hears, replica, leaving };
        self.addresses.values().map(|to| NodeEffect::send(*to, message.clone())).collect()
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = (&InstanceName, &PeerView)> {
        self.peers.iter().filter(move |(_, view)| now.since(view.heard) < PULSE_LEASE)
    }
}
