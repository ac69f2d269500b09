/*!
Index that finds the route of a request by host and path prefix.
*/

use {
    hemlockspool_model::{
        names::{RegionName, RouteName, ServiceName},
        table::{RouteRepeat, RouteRule, RouteTable},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// A route with the defaults of its rule filled in.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    /// The name of the route.
    pub name: RouteName,
    /// The path prefix that it matches.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RouteRepeat,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time within which a response has its full value.
    pub goal: Duration,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The services among which requests are split, with their weights.
    pub weighted_services: Vec<(ServiceName, u32)>,
    /// The maximum number of attempts in which a target may run the same request.
    pub attempts: u32,
    /// Whether requests for the same object go to the same target if possible, because targets
    /// process recently used objects faster.
    pub sticky: bool,
    /// The regions that may serve the route; all if empty.
    pub homes: Vec<RegionName>,
}

/// The routes by host, ordered from the longest to the shortest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    hosts: BTreeMap<String, HostRoutes>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    routes: Vec<Arc<ResolvedRoute>>,
    /// The regions that may serve every route. Empty, which stands for all regions, if no route is
    /// restricted to regions or no region may serve every route.
    homes: Vec<RegionName>,
}

impl RouteIndex {
    /// Creates the index of a route table.
    pub fn new(table: &RouteTable) -> Self {
        let mut hosts: BTreeMap<String, HostRoutes> = BTreeMap::new();
        for rule in &table.routes {
            let host = hosts.entry(rule.host.to_ascii_lowercase()).or_default();
            host.routes.push(Arc::new(ResolvedRoute::new(rule)));
        }
        for host in hosts.values_mut() {
            host.routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
            // A lookup names a host but no path, so it gets only regions that all routes allow.
            let mut restricted = host.routes.iter().filter(|route| !route.homes.is_empty());
            let first = restricted.next().map(|route| route.homes.clone()).unwrap_or_default();
            host.homes = restricted.fold(first, |mut homes, route| {
                homes.retain(|home| route.homes.contains(home));
                homes
            });
        }
        Self { hosts }
    }

    /// Returns the route with the longest matching prefix for a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ResolvedRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host_routes =
            self.hosts.get(name).or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        host_routes.routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the regions that may serve every route of a host; all if empty. Unlike in
    /// [`find`](Self::find), the host must be in lower case and without a port.
    pub fn homes_of(&self, host: &str) -> &[RegionName] {
        self.hosts.get(host).map_or(&[], |host_routes| &host_routes.homes)
    }
}

impl ResolvedRoute {
    fn new(rule: &RouteRule) -> Self {
        let timeout = rule.timeout.0;
        let services = rule.weighted_services().into_iter().filter(|service| service.weight > 0);
        Self {
            name: rule.name.clone(),
            prefix: rule.prefix.clone(),
            repeat: rule.repeat,
            timeout,
            goal: rule.goal.map_or(timeout, |goal| goal.0),
            priority: rule.priority.unwrap_or(0),
            weighted_services: services.map(|service| (service.service, service.weight)).collect(),
            attempts: rule.attempts.unwrap_or(1).max(1),
            sticky: rule.sticky.unwrap_or(false),
            homes: rule.homes.clone().unwrap_or_default(),
        }
    }
}
