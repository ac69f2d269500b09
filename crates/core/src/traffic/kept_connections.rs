/*!
The connections to targets that an entry keeps for later requests.

A kept connection takes memory and a descriptor whether or not it has carried a request, so one limit
holds for both kinds. Beyond it, the connection that expires first is closed: it is the one that was
kept the longest, and the least likely to be used.
*/

use {
    crate::clock::Moment,
    hemlockspool_model::names::TargetName,
    std::{collections::BTreeMap, time::Duration},
};

/// What a kept connection has carried.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConnectionHistory {
    /// At least one request and its whole response.
    Reused,
    /// Nothing.
    Unused,
}

/// The limits on kept connections.
#[derive(Clone, Copy, Debug)]
pub struct KeptLimits {
    /// The maximum number of reused connections to one target.
    pub reused_per_target: usize,
    /// The maximum number of connections of both kinds to all targets together.
    pub total: usize,
}

#[derive(Debug)]
struct KeptConnection<C> {
    connection: C,
    expires_at: Moment,
}

/// The connections that are kept, by target and kind, those that expire first in front.
///
/// A connection is closed by dropping it.
#[derive(Debug)]
pub struct KeptConnections<C> {
    limits: KeptLimits,
    connections: BTreeMap<(TargetName, ConnectionHistory), Vec<KeptConnection<C>>>,
}

impl<C> KeptConnections<C> {
    /// Returns an empty set with these limits.
    pub fn new(limits: KeptLimits) -> Self {
        Self { limits, connections: BTreeMap::new() }
    }

    /// Returns the number of connections, with those that have expired but aren't closed yet.
    pub fn count(&self) -> usize {
        self.connections.values().map(Vec::len).sum()
    }

    /// Returns the number of unused connections to a target.
    pub fn unused_count(&self, target: &TargetName) -> usize {
        let key = (target.clone(), ConnectionHistory::Unused);
        self.connections.get(&key).map_or(0, Vec::len)
    }

    /// Keeps a connection to a target for a time, within the limits.
    pub fn keep(
        &mut self,
        target: &TargetName,
        history: ConnectionHistory,
        connection: C,
        time: Duration,
        now: Moment,
    ) {
        let kept = self.connections.entry((target.clone(), history)).or_default();
        if history == ConnectionHistory::Reused && kept.len() >= self.limits.reused_per_target {
            return;
        }
        let expires_at = now.after(time);
        let index = kept.partition_point(|other| other.expires_at <= expires_at);
        kept.insert(index, KeptConnection { connection, expires_at });
        if self.count() > self.limits.total {
            self.close_first_to_expire();
        }
    }

    /// Takes a connection to a target that is usable, and closes those that aren't.
    ///
    /// Of reused connections the last to expire is taken, so that as few as possible stay open; of
    /// unused ones the first, as it costs most to make them again.
    pub fn take<F>(
        &mut self,
        target: &TargetName,
        history: ConnectionHistory,
        is_usable: F,
        now: Moment,
    ) -> Option<C>
    where
        F: Fn(&C) -> bool,
    {
        let kept = self.connections.get_mut(&(target.clone(), history))?;
        kept.retain(|kept| kept.expires_at > now && is_usable(&kept.connection));
        let taken = match history {
            ConnectionHistory::Reused => kept.pop(),
            ConnectionHistory::Unused => (!kept.is_empty()).then(|| kept.remove(0)),
        };
        taken.map(|kept| kept.connection)
    }

    /// Closes the unused connections to a target, or to all targets.
    pub fn close_unused(&mut self, target: Option<&TargetName>) {
        self.connections.retain(|(name, history), _| {
            *history != ConnectionHistory::Unused || target.is_some_and(|target| name != target)
        });
    }

    /// Closes the connections that have expired or aren't usable.
    pub fn close_expired<F>(&mut self, is_usable: F, now: Moment)
    where
        F: Fn(&C) -> bool,
    {
        self.connections.retain(|_, kept| {
            kept.retain(|kept| kept.expires_at > now && is_usable(&kept.connection));
            !kept.is_empty()
        });
    }

    fn close_first_to_expire(&mut self) {
        let first = self.connections.iter().filter_map(|(key, kept)| {
            let expires_at = kept.first()?.expires_at;
            Some((expires_at, key.clone()))
        });
        if let Some((_, key)) = first.min()
            && let Some(kept) = self.connections.get_mut(&key)
        {
            kept.remove(0);
        }
    }
}
