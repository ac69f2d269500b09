/*!
What the reducer must know of a request.
*/

use {
    crate::shell::NodeShell,
    bytes::{Bytes, BytesMut},
    futures_util::StreamExt,
    hemlockspool_core::requests::{IncomingRequest, RequestId},
    hemlockspool_model::{
        api::{
            CALLER_HEADER, DEADLINE_HEADER, FORWARDED_HEADER, IDEMPOTENCY_KEY_HEADER,
            PEER_TOKEN_HEADER, RefusalReason,
        },
        names::{InstanceName, KindName, RegionName, ServiceName},
        objects::{KindPolicy, RepeatPolicy},
    },
    poem::{
        Body, Request,
        http::{HeaderMap, Method, header},
    },
    sha2::{Digest, Sha256},
    std::{
        net::{IpAddr, Ipv4Addr},
        time::Duration,
    },
};

/// The largest body of a repeatable request that is held, so that it can be sent again, in bytes.
const HELD_BYTES_MAX: u64 = 64 << 10;

/// The body of a request.
pub(crate) enum CarriedBody {
    /// It is in memory.
    Held(Bytes),
    /// It is passed on as it comes in; none once it has been.
    Streamed(Option<Body>),
}

/// A request on its way through an entry.
pub(crate) struct CarriedRequest {
    pub method: Method,
    pub service: ServiceName,
    pub kind: KindName,
    /// What follows the kind in the path, with the query, without a leading slash.
    pub tail: String,
    pub headers: HeaderMap,
    pub body: CarriedBody,
    pub body_bytes: Option<u64>,
    pub caller: IpAddr,
    /// The region of the entry that passes the request on, if one does.
    pub forwarded_from: Option<RegionName>,
    pub forwarded: bool,
    pub never_repeated: bool,
    /// The largest answer that is passed on, in bytes.
    pub answer_bytes: u64,
    pub key: Option<String>,
    pub deadline: Option<Duration>,
}

impl CarriedRequest {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// A [`RefusalReason`] when it can't be carried; nothing of it has run then.
    pub(crate) async fn read(shell: &NodeShell, request: Request) -> Result<Self, RefusalReason> {
        let (service, kind, tail) = split_path(&request).ok_or(RefusalReason::NoSuchKind)?;
        let policy = policy_of(shell, &service, &kind)?;
        let remote = request.remote_addr().as_socket_addr().map(|address| address.ip());
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let trusted = text(PEER_TOKEN_HEADER) == Some(shell.settings.peer_token.as_str());
        let forwarder = text(FORWARDED_HEADER).filter(|_| trusted).map(InstanceName::new);
        let told = text(CALLER_HEADER).filter(|_| trusted).and_then(|ip| ip.parse().ok());
        let caller = told.or(remote).unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        let deadline = text(DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
        let key = text(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
        let announced = text(header::CONTENT_LENGTH.as_str()).and_then(|size| size.parse().ok());
        let chunked = headers.contains_key(header::TRANSFER_ENCODING);
        let body_bytes = announced.or((!chunked).then_some(0));
        let never_repeated = policy.repeat == RepeatPolicy::Never;
        let body = take_body(body, body_bytes, never_repeated, &policy).await?;
        let forwarded_from = forwarder.as_ref().and_then(|name| region_of(shell, name));
        Ok(Self {
            method: parts.method,
            service,
            kind,
            tail,
            body_bytes: body_size(&body).or(body_bytes),
            body,
            caller,
            forwarded_from,
            forwarded: forwarder.is_some(),
            never_repeated,
            answer_bytes: policy.answer_bytes,
            key,
            deadline: deadline.map(Duration::from_millis),
            headers,
        })
    }

    /// Returns what the reducer must know.
    pub(crate) fn intake(&self, id: RequestId) -> IncomingRequest {
        IncomingRequest {
            id,
            service: self.service.clone(),
            kind: self.kind.clone(),
            caller: self.caller,
            forwarded: self.forwarded,
            key: self.key.clone(),
            digest: self.digest(),
            deadline: self.deadline,
            body_bytes: self.body_bytes.unwrap_or(0),
            replayable: matches!(self.body, CarriedBody::Held(_)),
        }
    }

    fn digest(&self) -> [u8; 32] {
        let mut hasher = Sha256::new();
        for text in [self.method.as_str(), self.kind.as_str(), &self.tail] {
            hasher.update((text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        if let CarriedBody::Held(bytes) = &self.body {
            hasher.update(bytes);
        }
        hasher.finalize().into()
    }
}

fn split_path(request: &Request) -> Option<(ServiceName, KindName, String)> {
    let path = request.uri().path().strip_prefix("/s/")?;
    let mut parts = path.splitn(3, '/');
    let service = ServiceName::new(parts.next()?);
    let kind = KindName::new(parts.next()?);
    let mut tail = parts.next().unwrap_or_default().to_owned();
    if let Some(query) = request.uri().query() {
        tail = format!("{tail}?{query}");
    }
    Some((service, kind, tail))
}

fn policy_of(
    shell: &NodeShell,
    service: &ServiceName,
    kind: &KindName,
) -> Result<KindPolicy, RefusalReason> {
    shell.read(|state, _| {
        if state.config().version().is_none() {
            return Err(RefusalReason::NoConfiguration);
        }
        let service = state.config().set().services.get(service);
        let policy = service.and_then(|service| service.kinds.get(kind));
        policy.cloned().ok_or(RefusalReason::NoSuchKind)
    })
}

fn region_of(shell: &NodeShell, entry: &InstanceName) -> Option<RegionName> {
    shell.read(|state, _| {
        let set = state.config().set();
        set.region_of(&set.entries.get(entry)?.domain).cloned()
    })
}

fn body_size(body: &CarriedBody) -> Option<u64> {
    match body {
        CarriedBody::Held(bytes) => Some(bytes.len() as u64),
        CarriedBody::Streamed(_) => None,
    }
}

async fn take_body(
    body: Body,
    announced: Option<u64>,
    never_repeated: bool,
    policy: &KindPolicy,
) -> Result<CarriedBody, RefusalReason> {
    let small = announced.is_some_and(|size| size <= HELD_BYTES_MAX);
    if !small && !never_repeated {
        return Ok(CarriedBody::Streamed(Some(body)));
    }
    let mut held = BytesMut::new();
    let mut stream = body.into_bytes_stream();
    while let Some(chunk) = stream.next().await {
        held.extend_from_slice(&chunk.map_err(|_| RefusalReason::AttemptFailed)?);
        if held.len() as u64 > policy.request_bytes {
            return Err(RefusalReason::BodyTooLarge);
        }
    }
    Ok(CarriedBody::Held(held.freeze()))
}
