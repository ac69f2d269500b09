/*!
A caller's request, and what identifies it across repeats.
*/

use {
    super::{
        entry_shell::EntryShell,
        request_body::{AttemptBody, RequestBody},
    },
    hemlockspool_core::traffic::{
        fingerprint::{HeadIdentity, RequestFingerprint},
        request::AdmittedRequest,
    },
    hemlockspool_platform::headers,
    poem::{
        Request,
        http::{HeaderMap, HeaderValue, Method, Uri, header},
    },
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
    tokio::time::timeout,
};

/// A caller's request, to be sent to one or more targets.
pub(super) struct CallerRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// The address of the caller, or of the entry that forwarded the request.
    pub remote: IpAddr,
}

impl CallerRequest {
    /// Returns a request with the rest of its body.
    pub(super) fn new(request: &Request, body: RequestBody) -> Self {
        let uri = request.uri().path_and_query().map(|path| Uri::from(path.clone()));
        let remote = request.remote_addr().as_socket_addr().map(SocketAddr::ip);
        Self {
            method: request.method().clone(),
            uri: uri.unwrap_or_default(),
            headers: request.headers().clone(),
            body,
            remote: remote.unwrap_or(Ipv4Addr::UNSPECIFIED.into()),
        }
    }

    /// Returns the request that an attempt sends to its next hop, with the headers for that hop.
    ///
    /// The body is framed as the caller framed it. Without headers that announce it, the HTTP client
    /// sends no body of unknown length with a GET or a HEAD.
    pub(super) fn for_attempt(&self, headers: HeaderMap) -> hyper::Request<AttemptBody> {
        self.framed(headers, self.body.announced_bytes())
    }

    /// Returns the request that an attempt sends to another entry.
    ///
    /// Entries of earlier builds pass on a body in chunks with every method but GET and HEAD, so
    /// such a body is received first and sent with its length, if it isn't too long to be kept.
    pub(super) async fn for_peer_attempt(&self, headers: HeaderMap) -> hyper::Request<AttemptBody> {
        let is_dropped = matches!(self.method, Method::GET | Method::HEAD);
        let body_bytes = match self.body.announced_bytes() {
            None if is_dropped => self.body.receive_kept().await,
            announced_bytes => announced_bytes,
        };
        self.framed(headers, body_bytes)
    }

    fn framed(
        &self,
        mut headers: HeaderMap,
        body_bytes: Option<u64>,
    ) -> hyper::Request<AttemptBody> {
        match body_bytes {
            None => {
                let chunked = HeaderValue::from_static("chunked");
                headers.insert(header::TRANSFER_ENCODING, chunked);
            }
            Some(bytes) if bytes > 0 || self.headers.contains_key(header::CONTENT_LENGTH) => {
                headers.insert(header::CONTENT_LENGTH, bytes.into());
            }
            Some(_) => {}
        }
        let mut request = hyper::Request::new(self.body.for_attempt());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Identifies the request if targets have ended under others with the same head. It then waits
    /// for the beginning of the body; one that doesn't come is reported by the attempt.
    pub(super) async fn identify_suspect(
        &self,
        shell: &EntryShell,
        admitted: &mut AdmittedRequest,
    ) {
        let has_suspects = shell.with_state(|state, _| state.router.has_suspects());
        if !has_suspects || admitted.fingerprint.is_some() {
            return;
        }
        let head = self.identity().fingerprint(0).head;
        if shell.with_state(|state, _| state.router.is_suspect_head(head)) {
            let time_left = admitted.limit.at.since(shell.now());
            // Past its deadline, the request is refused.
            let _ = timeout(time_left, self.body.receive_beginning()).await;
            admitted.fingerprint = self.fingerprint();
        }
    }

    /// Returns what identifies the request across repeats; none before enough of its body is there.
    pub(super) fn fingerprint(&self) -> Option<RequestFingerprint> {
        Some(self.identity().fingerprint(self.body.hash()?))
    }

    fn identity(&self) -> HeadIdentity<'_> {
        let value = |name| self.headers.get(name).map(HeaderValue::as_bytes);
        HeadIdentity {
            method: self.method.as_str(),
            host: value(header::HOST)
                .and_then(|host| str::from_utf8(host).ok())
                .unwrap_or_default(),
            path: self.uri.path_and_query().map_or("", |path| path.as_str()),
            key: headers::affinity_key(&self.headers),
            content_type: value(header::CONTENT_TYPE),
            body_bytes: self.body.announced_bytes(),
            caller: self.remote,
            credentials: [header::AUTHORIZATION, header::COOKIE]
                .into_iter()
                .filter_map(value)
                .collect(),
        }
    }
}
