/*!
Reading of callers' requests.
*/

use {
    super::attempt::limit_body,
    crate::shell::NodeShell,
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt, stream},
    hemlockspool_core::requests::{AttemptResult, IncomingRequest, RequestId},
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
        io,
        net::{IpAddr, Ipv4Addr},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::Poll,
        time::Duration,
    },
    tokio::time::{Instant, timeout_at},
};

/// The largest body that is buffered so that a retry can send it again, in bytes. The body of a
/// request that may run at most once is always buffered, since the digest in its claim covers the
/// body.
const BUFFERED_BYTES_MAX: u64 = 64 << 10;

/// The body of a request.
pub(crate) enum RequestBody {
    /// The whole body, in memory.
    Buffered(Bytes),
    /// A body that is forwarded while it arrives; `None` once an attempt has taken it.
    Streamed(Option<StreamedBody>),
}

/// A body that is forwarded while it arrives. It fails when it exceeds its kind's limit, so that a
/// target never receives it whole.
pub(crate) struct StreamedBody {
    body: Body,
    bytes_max: u64,
    progress: Arc<BodyProgress>,
}

impl StreamedBody {
    /// Returns the pieces of the body.
    pub(crate) fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        let Self { body, bytes_max, progress } = self;
        let mut pieces = Box::pin(limit_body(body.into_bytes_stream(), bytes_max));
        stream::poll_fn(move |cx| {
            let next = pieces.poll_next_unpin(cx);
            progress.record(&next);
            next
        })
    }
}

/// What the caller's part is in the failure of an attempt that streams its body.
#[derive(Debug, Default)]
pub(crate) struct BodyProgress {
    /// Whether the body has exceeded the limit of its kind.
    exceeded: AtomicBool,
    /// Whether the body broke off or is malformed.
    failed: AtomicBool,
    /// Whether the destination waits for the caller's next bytes.
    awaited: AtomicBool,
}

impl BodyProgress {
    fn record(&self, next: &Poll<Option<io::Result<Bytes>>>) {
        self.awaited.store(next.is_pending(), Ordering::Relaxed);
        if let Poll::Ready(Some(Err(error))) = next {
            let is_exceeded = error.kind() == io::ErrorKind::FileTooLarge;
            let flag = if is_exceeded { &self.exceeded } else { &self.failed };
            flag.store(true, Ordering::Relaxed);
        }
    }

    /// Returns the reason to refuse a request whose attempt has ended, if its caller is to blame.
    pub(crate) fn caller_fault(&self, result: &AttemptResult) -> Option<RefusalReason> {
        let is_late = *result == AttemptResult::TimedOut && self.awaited.load(Ordering::Relaxed);
        if self.exceeded.load(Ordering::Relaxed) {
            Some(RefusalReason::BodyTooLarge)
        } else if self.failed.load(Ordering::Relaxed) {
            Some(RefusalReason::AttemptFailed)
        } else {
            is_late.then_some(RefusalReason::DeadlineTooShort)
        }
    }
}

/// A request that an entry forwards.
pub(crate) struct ProxiedRequest {
    pub method: Method,
    pub service: ServiceName,
    pub kind: KindName,
    /// The path after the kind, with the query and without a leading slash.
    pub tail: String,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// How far a streamed body has come.
    pub body_progress: Arc<BodyProgress>,
    /// The length of the body in bytes, if known.
    pub body_bytes: Option<u64>,
    /// The caller's address, as seen by the first entry that received the request.
    pub caller: IpAddr,
    /// The region of the entry that forwarded the request to this one, if known.
    pub forwarded_from: Option<RegionName>,
    /// Whether another entry forwarded the request to this one.
    pub forwarded: bool,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// The largest response that is forwarded, in bytes.
    pub response_bytes_max: u64,
    /// The idempotency key.
    pub key: Option<String>,
    /// The time at which the caller expects the response: the deadline that it announced, or that of
    /// the kind, counted from the head of the request.
    pub answer_by: Instant,
}

impl ProxiedRequest {
    /// Reads a request whose head was received at `started`.
    ///
    /// # Errors
    ///
    /// Returns a [`RefusalReason`] if the request can't be forwarded; it has not run then.
    pub(crate) async fn read(
        shell: &NodeShell,
        request: Request,
        started: Instant,
    ) -> Result<Self, RefusalReason> {
        let (service, kind, tail) = split_path(&request).ok_or(RefusalReason::NoSuchKind)?;
        let policy = find_policy(shell, &service, &kind)?;
        let remote = request.remote_addr().as_socket_addr().map(|address| address.ip());
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let trusted = text(PEER_TOKEN_HEADER) == Some(shell.settings.peer_token.as_str());
        let forwarder = text(FORWARDED_HEADER).filter(|_| trusted).map(InstanceName::new);
        let reported_caller =
            text(CALLER_HEADER).filter(|_| trusted).and_then(|ip| ip.parse().ok());
        let caller = reported_caller.or(remote).unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        let deadline_ms = text(DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
        let deadline_ms = deadline_ms.unwrap_or(policy.deadline_ms);
        let answer_by = started + Duration::from_millis(deadline_ms);
        let key = text(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
        let content_length =
            text(header::CONTENT_LENGTH.as_str()).and_then(|size| size.parse().ok());
        let chunked = headers.contains_key(header::TRANSFER_ENCODING);
        let body_bytes = content_length.or((!chunked).then_some(0));
        let at_most_once = policy.repeat == RepeatPolicy::Never;
        let body_progress: Arc<BodyProgress> = Arc::default();
        let body = if at_most_once || body_bytes.is_some_and(|size| size <= BUFFERED_BYTES_MAX) {
            let buffering = buffer_body(body, policy.request_bytes);
            // A caller that sends its body late has used up its own time.
            timeout_at(answer_by, buffering)
                .await
                .map_err(|_| RefusalReason::DeadlineTooShort)??
        } else {
            let (bytes_max, progress) = (policy.request_bytes, Arc::clone(&body_progress));
            RequestBody::Streamed(Some(StreamedBody { body, bytes_max, progress }))
        };
        let forwarded_from = forwarder.as_ref().and_then(|name| region_of(shell, name));
        Ok(Self {
            method: parts.method,
            service,
            kind,
            tail,
            body_bytes: body_size(&body).or(body_bytes),
            body,
            body_progress,
            caller,
            forwarded_from,
            forwarded: forwarder.is_some(),
            at_most_once,
            response_bytes_max: policy.answer_bytes,
            key,
            answer_by,
            headers,
        })
    }

    /// Returns the description of the request that the reducer works with.
    pub(crate) fn to_incoming(&self, id: RequestId) -> IncomingRequest {
        IncomingRequest {
            id,
            service: self.service.clone(),
            kind: self.kind.clone(),
            caller: self.caller,
            forwarded: self.forwarded,
            key: self.key.clone(),
            digest: self.digest(),
            deadline: Some(self.answer_by.saturating_duration_since(Instant::now())),
            body_bytes: self.body_bytes.unwrap_or(0),
            replayable: matches!(self.body, RequestBody::Buffered(_)),
        }
    }

    fn digest(&self) -> [u8; 32] {
        let mut hasher = Sha256::new();
        for text in [self.method.as_str(), self.kind.as_str(), &self.tail] {
            hasher.update((text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        if let RequestBody::Buffered(bytes) = &self.body {
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

fn find_policy(
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

fn body_size(body: &RequestBody) -> Option<u64> {
    match body {
        RequestBody::Buffered(bytes) => Some(bytes.len() as u64),
        RequestBody::Streamed(_) => None,
    }
}

async fn buffer_body(body: Body, bytes_max: u64) -> Result<RequestBody, RefusalReason> {
    let mut buffered = BytesMut::new();
    let mut stream = body.into_bytes_stream();
    while let Some(chunk) = stream.next().await {
        buffered.extend_from_slice(&chunk.map_err(|_| RefusalReason::AttemptFailed)?);
        if buffered.len() as u64 > bytes_max {
            return Err(RefusalReason::BodyTooLarge);
        }
    }
    Ok(RequestBody::Buffered(buffered.freeze()))
}
