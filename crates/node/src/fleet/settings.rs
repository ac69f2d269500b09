/*!
The settings file of an instance in a fleet, in JSON.

Unknown fields are ignored, since the platform writes the file and may add fields.
*/

use {
    hemlockspool_core::{fleet::messages::InstancePlace, traffic::retry_budget::RetryLimit},
    hemlockspool_model::{
        duration::TextDuration,
        names::{DomainName, InstanceName, RegionName},
    },
    miette::Diagnostic,
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    thiserror::Error,
};

/// The memory that a process may use if the settings don't say, in MB.
const MEMORY_MB_DEFAULT: f64 = 128.0;
/// The fraction of a process's memory for callers' bodies, and that for targets' bodies. The rest is
/// for its state and for the buffers of its connections.
const BODY_MEMORY_FRACTION: f64 = 0.125;
/// The number of bytes in one megabyte.
const BYTES_PER_MB: f64 = 1e6;
/// The number of bytes per second in one megabit per second.
const BYTES_PER_S_IN_MBPS: f64 = 125_000.0;

/// The settings of one instance.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct FleetSettings {
    /// The name of the instance.
    pub name: InstanceName,
    /// The deployment. Messages from instances of other deployments are ignored.
    pub deployment: String,
    /// The region of the instance.
    pub region: RegionName,
    /// The failure domain of the instance.
    pub failure_domain: DomainName,
    /// The region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// The addresses that the instance listens on.
    pub listen: ListenSettings,
    /// The operator addresses of the first replicas, which listen for peers at the same hosts.
    pub seeds: Vec<SocketAddr>,
    /// Whether the deployment starts for the first time, with empty disks.
    pub founding: bool,
    /// The data folder, if the instance has a disk.
    pub data_folder: Option<PathBuf>,
    /// The platform's list of targets.
    pub target_list: TargetListSettings,
    /// The limit of retries over all entries.
    pub repeats: RetrySettings,
    /// The capacity of the instance's link in each direction, in Mbit/s.
    pub link_mbps: f64,
    /// The memory that the process may use, in MB; 128 by default.
    pub memory_mb: Option<f64>,
    /// Addresses to connect to in place of peers' and targets' addresses, such as the local end of a
    /// tunnel.
    pub tunnels: Option<BTreeMap<SocketAddr, SocketAddr>>,
    /// Whether an entry that can't connect to targets may do so through replicas; true by default.
    pub bridges: Option<bool>,
    /// The grace period within which a process must exit after it was asked to stop.
    pub grace: TextDuration,
}

/// The addresses that an instance listens on.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ListenSettings {
    /// The address for callers' requests.
    pub callers: Option<SocketAddr>,
    /// The address for readiness checks.
    pub readiness: Option<SocketAddr>,
    /// The address for operators.
    pub operators: Option<SocketAddr>,
    /// The address for callers' lookups.
    pub lookups: Option<SocketAddr>,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// The address for metrics.
    pub metrics: Option<SocketAddr>,
}

/// Access to the platform's list of targets.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct TargetListSettings {
    /// The address that serves the list.
    pub address: SocketAddr,
    /// The calls per second that it accepts from all instances together.
    pub calls_per_s: f64,
}

/// The limit of retries over all entries.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct RetrySettings {
    /// The allowed retries per request.
    pub ratio: f64,
    /// The retries that are allowed in addition to the ratio.
    pub slack: f64,
    /// The time window in which requests and retries are counted.
    pub window: TextDuration,
}

/// The error of loading settings.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum FleetSettingsError {
    /// The file can't be read.
    #[error("{path}: can't be read")]
    #[diagnostic(code(hemlockspool::fleet_settings::unreadable))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The file isn't a JSON object, or a field is missing or invalid.
    #[error("{path}: invalid instance settings")]
    #[diagnostic(
        code(hemlockspool::fleet_settings::malformed),
        help("docs/OPERATIONS.md lists all fields")
    )]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause and its position in the file.
        #[source]
        source: serde_json::Error,
    },
    /// An address that the role requires is missing.
    #[error("{path}: this role requires the address `listen.{field}`")]
    #[diagnostic(code(hemlockspool::fleet_settings::address))]
    NoAddress {
        /// The file.
        path: PathBuf,
        /// The name of the missing field.
        field: &'static str,
    },
    /// The data folder of a replica is missing.
    #[error("{path}: a replica requires a data folder")]
    #[diagnostic(code(hemlockspool::fleet_settings::folder))]
    NoFolder {
        /// The file.
        path: PathBuf,
    },
}

/// The role of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FleetRole {
    /// Forwards callers' requests to targets.
    Entry,
    /// Stores the replicated log, and serves operators and lookups.
    Replica,
}

impl FleetSettings {
    /// Reads a file and checks that it has the fields that a role requires.
    ///
    /// # Errors
    ///
    /// See [`FleetSettingsError`].
    pub(crate) fn load(path: &Path, role: FleetRole) -> Result<Self, FleetSettingsError> {
        let path = path.to_owned();
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) => return Err(FleetSettingsError::Unreadable { path, source }),
        };
        let settings: Self = match serde_json::from_slice(&bytes) {
            Ok(settings) => settings,
            Err(source) => return Err(FleetSettingsError::Malformed { path, source }),
        };
        let listen = &settings.listen;
        let required = match role {
            FleetRole::Entry => [("callers", listen.callers), ("readiness", listen.readiness)],
            FleetRole::Replica => [("operators", listen.operators), ("lookups", listen.lookups)],
        };
        if let Some((field, _)) = required.into_iter().find(|(_, address)| address.is_none()) {
            return Err(FleetSettingsError::NoAddress { path, field });
        }
        if role == FleetRole::Replica && settings.data_folder.is_none() {
            return Err(FleetSettingsError::NoFolder { path });
        }
        Ok(settings)
    }

    /// Returns the peer addresses of the first replicas: their hosts with this instance's port,
    /// which is the same everywhere.
    pub(crate) fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    /// Returns the region and failure domain of the instance.
    pub(crate) fn place(&self) -> InstancePlace {
        InstancePlace { region: self.region.clone(), domain: self.failure_domain.clone() }
    }

    /// Returns the capacity of the link in each direction, in bytes per second.
    pub(crate) fn link_bytes_per_s(&self) -> f64 {
        self.link_mbps * BYTES_PER_S_IN_MBPS
    }

    /// Returns the memory for the parts of callers' bodies that are kept, in bytes.
    pub(crate) fn body_memory_bytes(&self) -> u64 {
        let memory_mb = self.memory_mb.unwrap_or(MEMORY_MB_DEFAULT);
        (memory_mb * BODY_MEMORY_FRACTION * BYTES_PER_MB) as u64
    }

    /// Returns the memory for the buffered bodies of targets' responses, in bytes.
    pub(crate) fn response_memory_bytes(&self) -> u64 {
        self.body_memory_bytes()
    }

    /// Returns the limit of retries.
    pub(crate) fn retry_limit(&self) -> RetryLimit {
        let RetrySettings { ratio, slack, window } = self.repeats;
        RetryLimit { ratio, slack, window: window.0 }
    }
}
