/*!
The route table: which requests go to which service, and how.

A table is published whole under a version that its operator chooses. It belongs to deployments whose
targets are found at run time; nothing in it names a target.
*/

use {
    crate::{
        duration::TextDuration,
        names::{RegionName, RouteName, ServiceName},
        objects::RepeatPolicy,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
    thiserror::Error,
};

/// The longest timeout of a route.
pub const ROUTE_TIMEOUT_MAX: Duration = Duration::from_secs(600);
/// How far the goal of a route must stay under its timeout plus this.
pub const GOAL_EXCESS_MAX: Duration = Duration::from_secs(60);

/// A whole table.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    /// The version, chosen by the operator; it rises in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services that routes name.
    pub services: Vec<ServicePolicy>,
    /// What callers may send.
    pub limits: RequestLimits,
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRule {
    /// Its name.
    pub name: RouteName,
    /// The host that it answers for.
    pub host: String,
    /// The start of the paths that it answers for; the longest match wins.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// How long a request may be kept waiting.
    pub timeout: TextDuration,
    /// Within what an answer is worth its full credit; none is the timeout.
    pub goal: Option<TextDuration>,
    /// The rank; 0 goes first, and is the default.
    pub priority: Option<u32>,
    /// The service, unless the requests are split.
    pub service: Option<ServiceName>,
    /// The services that requests are split over.
    pub split: Option<Vec<WeightedService>>,
    /// Targets that one request may be sent to; 1 by default.
    pub attempts: Option<u32>,
    /// Whether targets are faster with objects that they handled recently.
    pub sticky: Option<bool>,
    /// The only regions that may serve it; any when empty or left out.
    pub homes: Option<Vec<RegionName>>,
}

/// One part of a split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other parts.
    pub weight: u32,
}

/// A service as routes see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServicePolicy {
    /// Its name.
    pub name: ServiceName,
    /// Where its targets answer probes.
    pub health_path: Option<String>,
    /// Connections that a target takes, from all entries together.
    pub connections: Option<u32>,
    /// How long a target stays cold after its start.
    pub cold_start: Option<TextDuration>,
    /// Requests a second that a cold target stands, from all entries together.
    pub cold_per_s: Option<f64>,
}

/// What callers may send.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: Option<u64>,
    /// Bytes of a request's body.
    pub max_body_bytes: Option<u64>,
    /// How long the head of a request may take.
    pub header_timeout: Option<TextDuration>,
    /// How long a connection may stay idle.
    pub idle_timeout: Option<TextDuration>,
}

/// Why a table is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TableError {
    /// The text isn't a whole table.
    #[error("the table can't be read: {reason}")]
    Malformed {
        /// Where and why.
        reason: String,
    },
    /// A route names a service that the table doesn't have.
    #[error("route {route} names service {service}, which the table does not have")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// A route has neither a service nor a split, or the weights of its split add up to 0.
    #[error("route {route} leads to no service")]
    NoService {
        /// The route.
        route: RouteName,
    },
    /// A timeout is over the bound.
    #[error("route {route} has a timeout of {timeout}, and {} s is the most", ROUTE_TIMEOUT_MAX.as_secs())]
    TimeoutTooLong {
        /// The route.
        route: RouteName,
        /// The timeout.
        timeout: TextDuration,
    },
    /// A goal is far above the timeout.
    #[error("route {route} has a goal of {goal}, far above its timeout of {timeout}")]
    GoalTooLong {
        /// The route.
        route: RouteName,
        /// The goal.
        goal: TextDuration,
        /// The timeout.
        timeout: TextDuration,
    },
    /// A prefix doesn't begin with a slash.
    #[error("route {route} has the prefix {prefix:?}, which does not begin with a slash")]
    PrefixWithoutSlash {
        /// The route.
        route: RouteName,
        /// The prefix.
        prefix: String,
    },
}

impl RouteTable {
    /// Reads a table from JSON text; fields that aren't known are passed over.
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`] when the text isn't a whole table.
    pub fn parse(text: &str) -> Result<Self, TableError> {
        serde_json::from_str(text)
            .map_err(|error| TableError::Malformed { reason: error.to_string() })
    }

    /// Returns everything that is wrong with the table.
    pub fn validate(&self) -> Vec<TableError> {
        let known: BTreeSet<&ServiceName> = self.services.iter().map(|rule| &rule.name).collect();
        self.routes.iter().flat_map(|rule| rule.validate(&known)).collect()
    }
}

impl RouteRule {
    /// Returns the services that requests may go to, with their weights.
    pub fn weighted_services(&self) -> Vec<WeightedService> {
        match (&self.split, &self.service) {
            (Some(parts), _) if !parts.is_empty() => parts.clone(),
            (_, Some(service)) => vec![WeightedService { service: service.clone(), weight: 1 }],
            _ => Vec::new(),
        }
    }

    fn validate(&self, known: &BTreeSet<&ServiceName>) -> Vec<TableError> {
        let route = &self.name;
        let mut faults = Vec::new();
        let parts = self.weighted_services();
        for part in parts.iter().filter(|part| !known.contains(&part.service)) {
            let (route, service) = (route.clone(), part.service.clone());
            faults.push(TableError::UnknownService { route, service });
        }
        if parts.iter().all(|part| part.weight == 0) {
            faults.push(TableError::NoService { route: route.clone() });
        }
        let timeout = self.timeout;
        if timeout.0 > ROUTE_TIMEOUT_MAX {
            faults.push(TableError::TimeoutTooLong { route: route.clone(), timeout });
        }
        if let Some(goal) = self.goal.filter(|goal| goal.0 >= timeout.0 + GOAL_EXCESS_MAX) {
            faults.push(TableError::GoalTooLong { route: route.clone(), goal, timeout });
        }
        if !self.prefix.starts_with('/') {
            let (route, prefix) = (route.clone(), self.prefix.clone());
            faults.push(TableError::PrefixWithoutSlash { route, prefix });
        }
        faults
    }
}
