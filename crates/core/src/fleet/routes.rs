/*!
Finding the route of a request.
*/

use {
    hemlockspool_model::{
        names::{RegionName, RouteName, ServiceName},
        objects::RepeatPolicy,
        table::{RouteRule, RouteTable},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// A route in the form in which requests use it.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    /// Its name.
    pub name: RouteName,
    /// The start of its paths.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// How long a request may be kept waiting.
    pub timeout: Duration,
    /// Within what an answer is worth its full credit.
    pub goal: Duration,
    /// The rank; 0 goes first.
    pub priority: u32,
    /// The services that requests are split over, with their weights.
    pub weighted_services: Vec<(ServiceName, u32)>,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Whether targets are faster with objects that they handled recently.
    pub sticky: bool,
    /// The only regions that may serve it; any when empty.
    pub homes: Vec<RegionName>,
}

/// Routes by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    hosts: BTreeMap<String, HostRoutes>,
}

#[derive(Clone, Debug, Default)]
struct HostRoutes {
    routes: Vec<Arc<ResolvedRoute>>,
    homes: Vec<RegionName>,
}

impl RouteIndex {
    /// Makes the index of a table.
    pub fn new(table: &RouteTable) -> Self {
        let mut hosts: BTreeMap<String, HostRoutes> = BTreeMap::new();
        for rule in &table.routes {
            let host = hosts.entry(rule.host.to_ascii_lowercase()).or_default();
            host.routes.push(Arc::new(ResolvedRoute::new(rule)));
        }
        for host in hosts.values_mut() {
            host.routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
            // A look-up names a host and not a path: only regions that all its routes allow.
            let mut bound = host.routes.iter().filter(|route| !route.homes.is_empty());
            let first = bound.next().map(|route| route.homes.clone()).unwrap_or_default();
            host.homes = bound.fold(first, |mut homes, route| {
                homes.retain(|home| route.homes.contains(home));
                homes
            });
        }
        Self { hosts }
    }

    /// Returns the route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ResolvedRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name).or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        routes.routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the regions that may serve every route of a host; any when empty.
    pub fn homes_of(&self, host: &str) -> &[RegionName] {
        self.hosts.get(host).map_or(&[], |routes| &routes.homes)
    }
}

impl ResolvedRoute {
    fn new(rule: &RouteRule) -> Self {
        let timeout = rule.timeout.0;
        let parts = rule.weighted_services().into_iter().filter(|part| part.weight > 0);
        Self {
            name: rule.name.clone(),
            prefix: rule.prefix.clone(),
            repeat: rule.repeat,
            timeout,
            goal: rule.goal.map_or(timeout, |goal| goal.0),
            priority: rule.priority.unwrap_or(0),
            weighted_services: parts.map(|part| (part.service, part.weight)).collect(),
            attempts: rule.attempts.unwrap_or(1).max(1),
            sticky: rule.sticky.unwrap_or(false),
            homes: rule.homes.clone().unwrap_or_default(),
        }
    }
}
