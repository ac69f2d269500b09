/*!
The settings file of an instance whose targets are declared, in JSON.

All errors in fields are reported together, each with its field, value and reason, so that an
operator can correct a file in one pass. A shared secret that is too short isn't shown. Unknown
fields are errors: otherwise the default would silently apply for a misspelt field.
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

/// The default time that a stopping entry serves callers with cached lookup responses.
const DRAIN_DEFAULT_MS: u64 = 2_000;
/// The default of the longest time that a stopping entry waits for requests in flight.
const GRACE_DEFAULT_MS: u64 = 60_000;
/// The minimum length of the secret that instances share, in bytes.
const PEER_TOKEN_BYTES_MIN: usize = 8;

/// The settings of one instance.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSettings {
    /// The deployment. Messages from instances of other deployments are ignored.
    pub deployment: String,
    /// The name of the instance, under which its entry is declared.
    pub name: InstanceName,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The address to listen on for HTTP.
    pub http: SocketAddr,
    /// The address to listen on for messages from other instances.
    pub peer: SocketAddr,
    /// The peer addresses of the instances with disks.
    pub replicas: Vec<SocketAddr>,
    /// The data folder, if the instance has a disk.
    pub data_folder: Option<PathBuf>,
    /// The secret that authenticates requests forwarded between entries.
    pub peer_token: String,
    /// The operators that may publish and change replicas.
    pub operators: Vec<OperatorSettings>,
    /// The URL of the platform's list of instances.
    pub instance_list: Option<String>,
    /// Addresses to connect to in place of others, such as the local end of a tunnel.
    pub routes: BTreeMap<SocketAddr, SocketAddr>,
    /// The time that a stopping entry serves callers with cached lookup responses.
    pub drain: Duration,
    /// The longest time that a stopping entry then waits for requests in flight.
    pub grace: Duration,
    /// The file to which the log is appended; standard error if absent.
    pub log_file: Option<PathBuf>,
}

/// An operator and its token.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OperatorSettings {
    /// The operator's name in the audit trail.
    pub name: OperatorName,
    /// The SHA-256 digest of the token, in hexadecimal.
    pub token_sha256: String,
}

/// The error of loading the settings.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum SettingsError {
    /// The file can't be read or isn't UTF-8 text.
    #[error("{path}: can't read the settings")]
    #[diagnostic(code(hemlockspool::settings::unreadable))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// The file isn't a JSON object.
    #[error("{path}: not a JSON object")]
    #[diagnostic(code(hemlockspool::settings::malformed))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: serde_json::Error,
    },
    /// Fields are missing, unknown or invalid.
    #[error("{path}: {}", format_errors(errors))]
    #[diagnostic(code(hemlockspool::settings::faulty), help("docs/OPERATIONS.md lists all fields"))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The errors of all fields.
        errors: Vec<FieldError>,
    },
}

/// A missing, unknown or invalid field.
#[derive(Debug)]
pub(crate) struct FieldError {
    field: String,
    value: Value,
    reason: ErrorReason,
}

/// The reason why a field is rejected.
#[derive(Debug)]
enum ErrorReason {
    Unknown,
    Missing,
    Type(serde_json::Error),
    Empty,
    NoReplicas,
    NotAReplica,
    TooShort,
    NotADigest,
    NotAnHttpUrl,
    SameAddress,
}

impl fmt::Display for ErrorReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("unknown field"),
            Self::Missing => f.write_str("required field is missing"),
            Self::Type(error) => write!(f, "{error}"),
            Self::Empty => f.write_str("must not be empty"),
            Self::NoReplicas => f.write_str("must list at least one instance with a disk"),
            Self::NotAReplica => f.write_str(
                "the peer address of an instance with a data folder must be listed in replicas",
            ),
            Self::TooShort => write!(f, "must be at least {PEER_TOKEN_BYTES_MIN} bytes long"),
            Self::NotADigest => f.write_str("must be 64 hexadecimal digits"),
            Self::NotAnHttpUrl => f.write_str("must start with http://"),
            Self::SameAddress => f.write_str("must differ from http"),
        }
    }
}

/// Formats errors as a count and one line for each.
fn format_errors(errors: &[FieldError]) -> String {
    let line = |error: &FieldError| format!("{} = {}: {}", error.field, error.value, error.reason);
    let lines: Vec<String> = errors.iter().map(line).collect();
    format!("{} error(s)\n  {}", lines.len(), lines.join("\n  "))
}

/// Removes fields from a JSON object, parses them and collects their errors.
struct FieldReader {
    fields: Map<String, Value>,
    errors: Vec<FieldError>,
}

impl FieldReader {
    fn push_error(&mut self, field: &str, value: Value, reason: ErrorReason) {
        self.errors.push(FieldError { field: field.to_owned(), value, reason });
    }

    /// Returns the value of a field, or `None` if it is absent, null or invalid. Only an invalid
    /// value is an error.
    fn optional<T>(&mut self, field: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let value = self.fields.remove(field).filter(|value| !value.is_null())?;
        match serde_json::from_value(value.clone()) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.push_error(field, value, ErrorReason::Type(error));
                None
            }
        }
    }

    /// Returns the value of a field, or `None` if it is absent, null or invalid, each of which is
    /// an error.
    fn required<T>(&mut self, field: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        if self.fields.get(field).is_none_or(Value::is_null) {
            self.fields.remove(field);
            self.push_error(field, Value::Null, ErrorReason::Missing);
            return None;
        }
        self.optional(field)
    }

    /// Returns the value of a text field, or `None` if it is absent, null, empty or invalid, each
    /// of which is an error.
    fn required_text(&mut self, field: &str) -> Option<String> {
        let text: String = self.required(field)?;
        if text.is_empty() {
            self.push_error(field, Value::String(text), ErrorReason::Empty);
            return None;
        }
        Some(text)
    }
}

impl DaemonSettings {
    /// Returns the address to connect to for an instance or target, with [`Self::routes`] applied.
    pub(crate) fn connect_address(&self, to: SocketAddr) -> SocketAddr {
        self.routes.get(&to).copied().unwrap_or(to)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file can't be read or has missing, unknown or invalid
    /// fields.
    pub(crate) fn load(path: &Path) -> Result<Self, SettingsError> {
        let owned = || path.to_owned();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: owned(), source })?;
        let fields: Map<String, Value> = serde_json::from_str(&text)
            .map_err(|source| SettingsError::Malformed { path: owned(), source })?;
        Self::from_fields(fields).map_err(|errors| SettingsError::Invalid { path: owned(), errors })
    }

    fn from_fields(fields: Map<String, Value>) -> Result<Self, Vec<FieldError>> {
        let mut reader = FieldReader { fields, errors: Vec::new() };
        let deployment = reader.required_text("deployment");
        let name = reader.required_text("name");
        let domain = reader.required_text("domain");
        let http: Option<SocketAddr> = reader.required("http");
        let peer: Option<SocketAddr> = reader.required("peer");
        let replicas: Option<Vec<SocketAddr>> = reader.required("replicas");
        let data_folder: Option<PathBuf> = reader.optional("data_folder");
        let peer_token = reader.required_text("peer_token");
        let operators: Vec<OperatorSettings> = reader.optional("operators").unwrap_or_default();
        let instance_list: Option<String> = reader.optional("instance_list");
        let routes = reader.optional("routes").unwrap_or_default();
        let drain_ms = reader.optional("drain_ms").unwrap_or(DRAIN_DEFAULT_MS);
        let grace_ms = reader.optional("grace_ms").unwrap_or(GRACE_DEFAULT_MS);
        let log_file: Option<PathBuf> = reader.optional("log_file");
        check_addresses(&mut reader, http, peer, replicas.as_deref(), data_folder.as_deref());
        check_secrets(&mut reader, peer_token.as_deref(), &operators);
        if let Some(url) = instance_list.as_ref().filter(|url| !url.starts_with("http://")) {
            let value = Value::String(url.clone());
            reader.push_error("instance_list", value, ErrorReason::NotAnHttpUrl);
        }
        for (field, value) in std::mem::take(&mut reader.fields) {
            reader.push_error(&field, value, ErrorReason::Unknown);
        }
        let errors = reader.errors;
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
        settings.filter(|_| errors.is_empty()).ok_or(errors)
    }
}

/// Checks that the HTTP and peer addresses differ, that replicas are listed, and that an instance
/// with a data folder is one of them.
fn check_addresses(
    reader: &mut FieldReader,
    http: Option<SocketAddr>,
    peer: Option<SocketAddr>,
    replicas: Option<&[SocketAddr]>,
    data_folder: Option<&Path>,
) {
    let text = |address: SocketAddr| Value::String(address.to_string());
    if let (Some(_), Some(peer)) = (http, peer.filter(|peer| http == Some(*peer))) {
        reader.push_error("peer", text(peer), ErrorReason::SameAddress);
    }
    let Some(replicas) = replicas else { return };
    if replicas.is_empty() {
        reader.push_error("replicas", Value::Array(Vec::new()), ErrorReason::NoReplicas);
        return;
    }
    if let (Some(_), Some(peer)) = (data_folder, peer.filter(|peer| !replicas.contains(peer))) {
        reader.push_error("peer", text(peer), ErrorReason::NotAReplica);
    }
}

/// Checks the length of the shared secret and the digests of the operators' tokens.
fn check_secrets(
    reader: &mut FieldReader,
    peer_token: Option<&str>,
    operators: &[OperatorSettings],
) {
    if peer_token.is_some_and(|token| token.len() < PEER_TOKEN_BYTES_MIN) {
        reader.push_error("peer_token", Value::String("…".to_owned()), ErrorReason::TooShort);
    }
    for operator in operators {
        let digest = &operator.token_sha256;
        let valid = digest.len() == 64 && digest.chars().all(|c| c.is_ascii_hexdigit());
        if !valid {
            let field = format!("operators.{}.token_sha256", operator.name);
            reader.push_error(&field, Value::String(digest.clone()), ErrorReason::NotADigest);
        }
    }
}
