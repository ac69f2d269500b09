/*!
The settings file of an instance in a fleet, in JSON.

Fields that aren't known are passed over, since the platform fills the file in and may know more.
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

/// The settings of one instance.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct FleetSettings {
    /// Its name.
    pub name: InstanceName,
    /// The deployment; instances of others aren't listened to.
    pub deployment: String,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// The region of each failure domain.
    pub domains: BTreeMap<DomainName, RegionName>,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the first replicas serve operators. Peers listen at the same hosts.
    pub seeds: Vec<SocketAddr>,
    /// Whether the deployment starts for the first time, with empty disks.
    pub founding: bool,
    /// Its data folder, when it has a disk.
    pub data_folder: Option<PathBuf>,
    /// The platform's list of targets.
    pub target_list: ListSettings,
    /// How many requests may be sent again, over all entries.
    pub repeats: RepeatSettings,
    /// What its link carries each way, in Mbit/s.
    pub link_mbps: f64,
    /// Addresses to dial in place of others' peer addresses, such as the near end of a tunnel.
    pub tunnels: Option<BTreeMap<SocketAddr, SocketAddr>>,
    /// How long a process lives after it was asked to stop.
    pub grace: TextDuration,
}

/// Where an instance listens.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ListenSettings {
    /// For callers' requests.
    pub callers: Option<SocketAddr>,
    /// For questions whether it takes requests.
    pub readiness: Option<SocketAddr>,
    /// For operators.
    pub operators: Option<SocketAddr>,
    /// For callers' look-ups.
    pub lookups: Option<SocketAddr>,
    /// For other instances.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

/// The platform's list of targets.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ListSettings {
    /// Where it is served.
    pub address: SocketAddr,
    /// Calls a second that it takes, from all instances together.
    pub calls_per_s: f64,
}

/// How many requests may be sent again.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct RepeatSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside those.
    pub slack: f64,
    /// The window over which both are counted.
    pub window: TextDuration,
}

/// Why settings can't be used.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum FleetSettingsError {
    /// The file can't be read.
    #[error("{path}: can't be read")]
    #[diagnostic(code(hemlockspool::fleet_settings::unreadable))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The file isn't a JSON object with these fields.
    #[error("{path}: not the settings of an instance")]
    #[diagnostic(
        code(hemlockspool::fleet_settings::malformed),
        help("docs/OPERATIONS.md lists all fields")
    )]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where and why.
        #[source]
        source: serde_json::Error,
    },
    /// An address that the role needs is missing.
    #[error("{path}: this role needs the address `listen.{field}`")]
    #[diagnostic(code(hemlockspool::fleet_settings::address))]
    NoAddress {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
    },
    /// A replica has nowhere to keep its log.
    #[error("{path}: a replica needs a data folder")]
    #[diagnostic(code(hemlockspool::fleet_settings::folder))]
    NoFolder {
        /// The file.
        path: PathBuf,
    },
}

/// What an instance does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FleetRole {
    /// Carries requests.
    Entry,
    /// Holds the log, and serves operators and look-ups.
    Replica,
}

impl FleetSettings {
    /// Reads a file, and checks that it has what a role needs.
    ///
    /// # Errors
    ///
    /// See [`FleetSettingsError`].
    pub(crate) fn load(path: &Path, role: FleetRole) -> Result<Self, FleetSettingsError> {
        let path = path.to_owned();
        let text = match fs::read(&path) {
            Ok(text) => text,
            Err(source) => return Err(FleetSettingsError::Unreadable { path, source }),
        };
        let settings: Self = match serde_json::from_slice(&text) {
            Ok(settings) => settings,
            Err(source) => return Err(FleetSettingsError::Malformed { path, source }),
        };
        let listen = &settings.listen;
        let needed = match role {
            FleetRole::Entry => [("callers", listen.callers), ("readiness", listen.readiness)],
            FleetRole::Replica => [("operators", listen.operators), ("lookups", listen.lookups)],
        };
        if let Some((field, _)) = needed.into_iter().find(|(_, address)| address.is_none()) {
            return Err(FleetSettingsError::NoAddress { path, field });
        }
        if role == FleetRole::Replica && settings.data_folder.is_none() {
            return Err(FleetSettingsError::NoFolder { path });
        }
        Ok(settings)
    }

    /// Returns where the first replicas listen for peers: at their hosts, on this instance's port,
    /// which is the same everywhere.
    pub(crate) fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    /// Returns where the instance is.
    pub(crate) fn place(&self) -> InstancePlace {
        InstancePlace { region: self.region.clone(), domain: self.failure_domain.clone() }
    }

    /// Returns how many requests may be sent again.
    pub(crate) fn retry_limit(&self) -> RetryLimit {
        let RepeatSettings { ratio, slack, window } = self.repeats;
        RetryLimit { ratio, slack, window: window.0 }
    }
}
