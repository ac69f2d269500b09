/*!
The route table, which maps requests to services and sets how each route is handled.

A table is published as a whole, under a version chosen by the operator. It is used in deployments
whose targets are discovered at run time, so it names no targets.
*/

use {
    crate::{
        duration::TextDuration,
        names::{RegionName, RouteName, ServiceName},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
    thiserror::Error,
};

/// The longest timeout of a route.
pub const ROUTE_TIMEOUT_MAX: Duration = Duration::from_secs(600);
/// The exclusive upper bound on the time by which a route's goal may exceed its timeout.
pub const GOAL_EXCESS_MAX: Duration = Duration::from_secs(60);

/// A complete route table.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    /// The version, chosen by the operator; it increases, but not always by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services that the routes refer to.
    pub services: Vec<ServicePolicy>,
    /// The limits on callers' requests and connections.
    pub limits: RequestLimits,
}

/// A route: matches requests by host and path prefix and sets how they are handled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRule {
    /// The name of the route.
    pub name: RouteName,
    /// The host that the route matches, without a port and in upper or lower case.
    pub host: String,
    /// The path prefix that the route matches; the longest matching prefix wins.
    pub prefix: String,
    /// Whether a request may run more than once, and whether its body is large.
    pub repeat: RouteRepeat,
    /// The longest time that a request may wait for its response.
    pub timeout: TextDuration,
    /// The time within which a response has its full value; the timeout by default.
    pub goal: Option<TextDuration>,
    /// The priority; 0, the default, is the highest.
    pub priority: Option<u32>,
    /// The service, unless requests are split over several services.
    pub service: Option<ServiceName>,
    /// The services over which requests are split; takes precedence over `service` unless empty.
    pub split: Option<Vec<WeightedService>>,
    /// The number of attempts in which a target may run a request; 1 by default. Attempts that
    /// targets refuse don't count, but at most one attempt more than this number reaches a target.
    pub attempts: Option<u32>,
    /// Whether targets are faster with objects that they handled recently, so that requests for the
    /// same object should go to the same target; false by default.
    pub sticky: Option<bool>,
    /// The regions that may serve the route; any region if empty or omitted.
    pub homes: Option<Vec<RegionName>>,
}

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteRepeat {
    /// A request is idempotent and may be retried.
    #[default]
    Safe,
    /// A request runs at most once: it isn't repeated if a target may have run it.
    Never,
    /// A request runs at most once, as with [`Never`](Self::Never), and carries a large body. The
    /// body is passed on while it arrives; once more of it has been sent than an entry keeps, no
    /// other target can get the request, even if the first one didn't run it.
    Upload,
}

impl RouteRepeat {
    /// Returns whether a request must not be repeated if a target may have run it.
    pub fn is_at_most_once(self) -> bool {
        self != Self::Safe
    }
}

/// A service and its share of a split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The share of requests, relative to the other services of the split.
    pub weight: u32,
}

/// The settings of a service that routes refer to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServicePolicy {
    /// The name of the service.
    pub name: ServiceName,
    /// The path on which targets respond to health probes; `/` by default.
    pub health_path: Option<String>,
    /// The number of connections that a target accepts, from all entries together. Entries don't
    /// enforce it.
    pub connections: Option<u32>,
    /// The time for which a target is cold (warming up) after its start; 3 s by default.
    pub cold_start: Option<TextDuration>,
    /// The rate that a cold target can handle, in requests per second from all entries together; 5
    /// by default.
    pub cold_per_s: Option<f64>,
}

/// Limits on callers' requests and connections, which entries enforce. Those on heads apply to
/// connections that open after the table has come into force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestLimits {
    /// The largest request head, in bytes; 64 KiB by default, 8 KiB at least.
    pub max_header_bytes: Option<u64>,
    /// The largest request body, in bytes; 64 MiB by default.
    pub max_body_bytes: Option<u64>,
    /// The time within which the head of a request must be received; 60 s by default.
    pub header_timeout: Option<TextDuration>,
    /// The time for which a caller may be silent within a request body; 15 s by default. Entries
    /// close connections between two requests sooner, after a time that they announce.
    pub idle_timeout: Option<TextDuration>,
}

/// A reason to refuse a table.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TableError {
    /// The text is not a complete table.
    #[error("the table is malformed: {reason}")]
    Malformed {
        /// The error with its position.
        reason: String,
    },
    /// A route refers to a service that the table does not contain.
    #[error("route {route} refers to service {service}, which is not in the table")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// A route has neither a service nor a split, or all weights of its split are 0.
    #[error("route {route} has no service with a weight above 0")]
    NoService {
        /// The route.
        route: RouteName,
    },
    /// A timeout exceeds [`ROUTE_TIMEOUT_MAX`].
    #[error("route {route} has a timeout of {timeout}, above the maximum of {} s", ROUTE_TIMEOUT_MAX.as_secs())]
    TimeoutTooLong {
        /// The route.
        route: RouteName,
        /// The timeout.
        timeout: TextDuration,
    },
    /// A goal exceeds the timeout by [`GOAL_EXCESS_MAX`] or more.
    #[error(
        "route {route} has a goal of {goal}, which must be less than {} s above its timeout of {timeout}",
        GOAL_EXCESS_MAX.as_secs()
    )]
    GoalTooLong {
        /// The route.
        route: RouteName,
        /// The goal.
        goal: TextDuration,
        /// The timeout.
        timeout: TextDuration,
    },
    /// A prefix does not start with a slash.
    #[error("route {route} has the prefix {prefix:?}, which does not begin with a slash")]
    PrefixWithoutSlash {
        /// The route.
        route: RouteName,
        /// The prefix.
        prefix: String,
    },
}

impl RouteTable {
    /// Parses a table from JSON text, ignoring unknown fields.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Malformed`] if the text is not a complete table.
    pub fn parse(text: &str) -> Result<Self, TableError> {
        serde_json::from_str(text)
            .map_err(|error| TableError::Malformed { reason: error.to_string() })
    }

    /// Returns all errors of the table.
    pub fn validate(&self) -> Vec<TableError> {
        let known: BTreeSet<&ServiceName> =
            self.services.iter().map(|service| &service.name).collect();
        self.routes.iter().flat_map(|rule| rule.validate(&known)).collect()
    }
}

impl RouteRule {
    /// Returns the services over which requests are split, with their weights. A service of weight
    /// 0 gets none.
    pub fn weighted_services(&self) -> Vec<WeightedService> {
        match (&self.split, &self.service) {
            (Some(services), _) if !services.is_empty() => services.clone(),
            (_, Some(service)) => vec![WeightedService { service: service.clone(), weight: 1 }],
            _ => Vec::new(),
        }
    }

    fn validate(&self, known: &BTreeSet<&ServiceName>) -> Vec<TableError> {
        let route = &self.name;
        let mut errors = Vec::new();
        let services = self.weighted_services();
        for unknown in services.iter().filter(|weighted| !known.contains(&weighted.service)) {
            let (route, service) = (route.clone(), unknown.service.clone());
            errors.push(TableError::UnknownService { route, service });
        }
        if services.iter().all(|weighted| weighted.weight == 0) {
            errors.push(TableError::NoService { route: route.clone() });
        }
        let timeout = self.timeout;
        if timeout.0 > ROUTE_TIMEOUT_MAX {
            errors.push(TableError::TimeoutTooLong { route: route.clone(), timeout });
        }
        if let Some(goal) = self.goal.filter(|goal| goal.0 >= timeout.0 + GOAL_EXCESS_MAX) {
            errors.push(TableError::GoalTooLong { route: route.clone(), goal, timeout });
        }
        if !self.prefix.starts_with('/') {
            let (route, prefix) = (route.clone(), self.prefix.clone());
            errors.push(TableError::PrefixWithoutSlash { route, prefix });
        }
        errors
    }
}
