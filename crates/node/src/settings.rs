/*!
The settings file of the daemon.

All faults are named at once, each with its field, its value and what is wrong, so that a file is
mended in one go. Unknown fields are faults: a misspelt field would otherwise be a silent default.
*/

use {
    hemlockspool_model::names::{DomainName, InstanceName, OperatorName},
    miette::Diagnostic,
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::{Map, Value},
    std::{
        collections::BTreeMap,
        fmt,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    thiserror::Error,
};

/// The time for which a stopping entry goes on serving cached look-up answers by default.
const DRAIN_DEFAULT_MS: u64 = 2_000;
/// The time for which a stopping entry waits for requests in flight by default.
const GRACE_DEFAULT_MS: u64 = 60_000;
/// The shortest secret between instances, in characters.
const PEER_TOKEN_MIN: usize = 8;

/// The settings of one instance.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSettings {
    /// The deployment; instances of others aren't listened to.
    pub deployment: String,
    /// This instance's name, as its entry is declared.
    pub name: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it listens for HTTP.
    pub http: SocketAddr,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// The peer addresses of the instances with disks.
    pub replicas: Vec<SocketAddr>,
    /// Its data folder, when it has a disk.
    pub data_folder: Option<PathBuf>,
    /// The secret by which entries know each other's requests.
    pub peer_token: String,
    /// The operators that may change things.
    pub operators: Vec<OperatorSettings>,
    /// Where the platform's list of instances is read.
    pub instance_list: Option<String>,
    /// Addresses to dial in place of others, such as the near end of a tunnel.
    pub routes: BTreeMap<SocketAddr, SocketAddr>,
    /// For how long a stopping entry goes on serving cached look-up answers.
    pub drain: Duration,
    /// For how long a stopping entry waits for requests in flight.
    pub grace: Duration,
    /// Where the log goes; to standard error without it.
    pub log_file: Option<PathBuf>,
}

/// One operator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OperatorSettings {
    /// The name in the audit trail.
    pub name: OperatorName,
    /// SHA-256 of the token, in hexadecimal.
    pub token_sha256: String,
}

/// Why settings can't be used.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum SettingsError {
    /// The file can't be read.
    #[error("{path}: can't be read")]
    #[diagnostic(code(hemlockspool::settings::unreadable))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The file isn't a JSON object.
    #[error("{path}: not a JSON object")]
    #[diagnostic(code(hemlockspool::settings::malformed))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: serde_json::Error,
    },
    /// Fields are wrong.
    #[error("{path}: {}", list(faults))]
    #[diagnostic(code(hemlockspool::settings::faulty), help("docs/OPERATIONS.md lists all fields"))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// Each fault.
        faults: Vec<FieldFault>,
    },
}

/// One wrong field.
#[derive(Debug)]
pub(crate) struct FieldFault {
    field: String,
    value: Value,
    why: FaultReason,
}

/// What is wrong with a field.
#[derive(Debug)]
enum FaultReason {
    Unknown,
    Missing,
    Type(serde_json::Error),
    Empty,
    NoReplicas,
    NotAReplica,
    TooShort,
    NotADigest,
    NotAnHttpAddress,
    SameAddress,
}

impl fmt::Display for FaultReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("no such field"),
            Self::Missing => f.write_str("must be given"),
            Self::Type(error) => write!(f, "{error}"),
            Self::Empty => f.write_str("must not be empty"),
            Self::NoReplicas => f.write_str("must name at least one instance with a disk"),
            Self::NotAReplica => f.write_str("an instance with a data folder must be in replicas"),
            Self::TooShort => write!(f, "must have at least {PEER_TOKEN_MIN} characters"),
            Self::NotADigest => f.write_str("must be 64 hexadecimal digits"),
            Self::NotAnHttpAddress => f.write_str("must start with http://"),
            Self::SameAddress => f.write_str("must differ from http"),
        }
    }
}

fn list(faults: &[FieldFault]) -> String {
    let line = |fault: &FieldFault| format!("{} = {}: {}", fault.field, fault.value, fault.why);
    let lines: Vec<String> = faults.iter().map(line).collect();
    format!("{} fault(s)\n  {}", lines.len(), lines.join("\n  "))
}

/// Takes fields out of a JSON object and collects what is wrong with them.
struct FieldReader {
    fields: Map<String, Value>,
    faults: Vec<FieldFault>,
}

impl FieldReader {
    fn fault(&mut self, field: &str, value: Value, why: FaultReason) {
        self.faults.push(FieldFault { field: field.to_owned(), value, why });
    }

    fn optional<T>(&mut self, field: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let value = self.fields.remove(field).filter(|value| !value.is_null())?;
        match serde_json::from_value(value.clone()) {
            Ok(read) => Some(read),
            Err(error) => {
                self.fault(field, value, FaultReason::Type(error));
                None
            }
        }
    }

    fn required<T>(&mut self, field: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        if self.fields.get(field).is_none_or(Value::is_null) {
            self.fields.remove(field);
            self.fault(field, Value::Null, FaultReason::Missing);
            return None;
        }
        self.optional(field)
    }

    fn text(&mut self, field: &str) -> Option<String> {
        let text: String = self.required(field)?;
        if text.is_empty() {
            self.fault(field, Value::String(text), FaultReason::Empty);
            return None;
        }
        Some(text)
    }
}

impl DaemonSettings {
    /// Returns the address to dial for an instance or target.
    pub(crate) fn connect_address(&self, to: SocketAddr) -> SocketAddr {
        self.routes.get(&to).copied().unwrap_or(to)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// See [`SettingsError`].
    pub(crate) fn load(path: &Path) -> Result<Self, SettingsError> {
        let owned = || path.to_owned();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: owned(), source })?;
        let fields: Map<String, Value> = serde_json::from_str(&text)
            .map_err(|source| SettingsError::Malformed { path: owned(), source })?;
        Self::read(fields).map_err(|faults| SettingsError::Faulty { path: owned(), faults })
    }

    fn read(fields: Map<String, Value>) -> Result<Self, Vec<FieldFault>> {
        let mut reader = FieldReader { fields, faults: Vec::new() };
        let deployment = reader.text("deployment");
        let name = reader.text("name");
        let domain = reader.text("domain");
        let http: Option<SocketAddr> = reader.required("http");
        let peer: Option<SocketAddr> = reader.required("peer");
        let replicas: Option<Vec<SocketAddr>> = reader.required("replicas");
        let data_folder: Option<PathBuf> = reader.optional("data_folder");
        let peer_token = reader.text("peer_token");
        let operators: Vec<OperatorSettings> = reader.optional("operators").unwrap_or_default();
        let instance_list: Option<String> = reader.optional("instance_list");
        let routes = reader.optional("routes").unwrap_or_default();
        let drain_ms = reader.optional("drain_ms").unwrap_or(DRAIN_DEFAULT_MS);
        let grace_ms = reader.optional("grace_ms").unwrap_or(GRACE_DEFAULT_MS);
        let log_file: Option<PathBuf> = reader.optional("log_file");
        check_places(&mut reader, http, peer, replicas.as_deref(), data_folder.as_deref());
        check_secrets(&mut reader, peer_token.as_deref(), &operators);
        if let Some(url) = instance_list.as_ref().filter(|url| !url.starts_with("http://")) {
            let value = Value::String(url.clone());
            reader.fault("instance_list", value, FaultReason::NotAnHttpAddress);
        }
        for (field, value) in std::mem::take(&mut reader.fields) {
            reader.fault(&field, value, FaultReason::Unknown);
        }
        let faults = reader.faults;
        let settings = (|| {
            Some(Self {
                deployment: deployment?,
                name: InstanceName::new(&name?),
                domain: DomainName::new(&domain?),
                http: http?,
                peer: peer?,
                replicas: replicas?,
                data_folder,
                peer_token: peer_token?,
                operators,
                instance_list,
                routes,
                drain: Duration::from_millis(drain_ms),
                grace: Duration::from_millis(grace_ms),
                log_file,
            })
        })();
        settings.filter(|_| faults.is_empty()).ok_or(faults)
    }
}

fn check_places(
    reader: &mut FieldReader,
    http: Option<SocketAddr>,
    peer: Option<SocketAddr>,
    replicas: Option<&[SocketAddr]>,
    data_folder: Option<&Path>,
) {
    let text = |address: SocketAddr| Value::String(address.to_string());
    if let (Some(_), Some(peer)) = (http, peer.filter(|peer| http == Some(*peer))) {
        reader.fault("peer", text(peer), FaultReason::SameAddress);
    }
    let Some(replicas) = replicas else { return };
    if replicas.is_empty() {
        reader.fault("replicas", Value::Array(Vec::new()), FaultReason::NoReplicas);
        return;
    }
    if let (Some(_), Some(peer)) = (data_folder, peer.filter(|peer| !replicas.contains(peer))) {
        reader.fault("peer", text(peer), FaultReason::NotAReplica);
    }
}

fn check_secrets(
    reader: &mut FieldReader,
    peer_token: Option<&str>,
    operators: &[OperatorSettings],
) {
    if peer_token.is_some_and(|token| token.len() < PEER_TOKEN_MIN) {
        reader.fault("peer_token", Value::String("…".to_owned()), FaultReason::TooShort);
    }
    for operator in operators {
        let digest = &operator.token_sha256;
        let good = digest.len() == 64 && digest.chars().all(|c| c.is_ascii_hexdigit());
        if !good {
            let field = format!("operators.{}.token_sha256", operator.name);
            reader.fault(&field, Value::String(digest.clone()), FaultReason::NotADigest);
        }
    }
}
