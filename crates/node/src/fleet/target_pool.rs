/*!
Connections to targets.

A connection carries one request at a time. It is kept only after an answer that was whole and that
belongs to its request, and only for as long as the target surely keeps it too. A request that must
not run twice gets a connection of its own: on a kept one, bytes that the target never read look the
same as a request that it ran.
*/

use {
    crate::peer_link::set_unacked_timeout,
    bytes::Bytes,
    hemlockspool_core::traffic::request::TargetAttempt,
    hemlockspool_model::names::TargetName,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{Builder, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeMap,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, timeout},
    },
};

/// For how long a connection is kept without use, unless its target says less. Targets close idle
/// connections after some seconds, and some forget them sooner.
const KEEP: Duration = Duration::from_millis(3_000);
/// The part of a target's own idle timeout that is used.
const KEEP_SHARE: f64 = 0.5;
/// Connections kept for one target.
const KEPT_MAX: usize = 8;
/// Connections kept for all targets together: 1.7 MB. Those of the last two seconds of a busy entry fit.
const KEPT_ALL_MAX: usize = 64;
/// The bytes that a connection reads at a time. Unset, it takes up to 400 KB for large answers and holds them
/// for as long as it is kept; the head of an answer must fit.
const READ_BYTES: usize = 8 << 10;
/// How long sent bytes may stay unacknowledged: a few resends in the farthest region. A kept
/// connection that has gone silent is found out by this, and a request may be repeated in time.
const SILENCE_MAX: Duration = Duration::from_millis(1_000);

/// A connection; dropping it closes it, and with it what the target does for it.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// How long it took to make, for its first answer.
    made_in: Option<Duration>,
}

impl TargetConnection {
    /// Returns how long the connection took to make; none for one that has carried an answer before.
    pub(crate) fn take_made_in(&mut self) -> Option<Duration> {
        self.made_in.take()
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct KeptConnection {
    connection: TargetConnection,
    until: Instant,
}

/// What sending came to.
#[derive(Debug)]
pub(crate) enum SendEnd {
    /// The head of an answer, with the connection that its body comes on.
    Head(Response<Incoming>, TargetConnection),
    /// No connection could be made; nothing was sent.
    NotSent,
    /// The connection ended after something may have been sent.
    Broken {
        /// Whether it had carried a request before.
        kept: bool,
    },
}

/// Connections kept for later requests.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    kept: Mutex<BTreeMap<TargetName, Vec<KeptConnection>>>,
}

impl TargetPool {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        attempt: &TargetAttempt,
        request: Request<Full<Bytes>>,
    ) -> SendEnd {
        let mut request = request;
        while let Some(mut connection) = self.take(attempt) {
            match connection.sender.try_send_request(request).await {
                Ok(head) => return SendEnd::Head(head, connection),
                Err(mut error) => match error.take_message() {
                    // It closed before anything was written.
                    Some(unsent) => request = unsent,
                    None => return SendEnd::Broken { kept: true },
                },
            }
        }
        let Some(mut connection) = connect(attempt).await else {
            return SendEnd::NotSent;
        };
        match connection.sender.try_send_request(request).await {
            Ok(head) => SendEnd::Head(head, connection),
            Err(mut error) => match error.take_message() {
                Some(_) => SendEnd::NotSent,
                None => SendEnd::Broken { kept: false },
            },
        }
    }

    fn take(&self, attempt: &TargetAttempt) -> Option<TargetConnection> {
        if attempt.new_connection {
            return None;
        }
        let now = Instant::now();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let line = kept.get_mut(&attempt.target)?;
        line.retain(|one| one.until > now && one.connection.sender.is_ready());
        line.pop().map(|one| one.connection)
    }

    /// Keeps a connection whose answer was whole.
    ///
    /// `idle_timeout` is what the target says of its own.
    pub(crate) fn keep(
        &self,
        target: &TargetName,
        connection: TargetConnection,
        idle_timeout: Option<Duration>,
    ) {
        let span = idle_timeout.map_or(KEEP, |span| KEEP.min(span.mul_f64(KEEP_SHARE)));
        if connection.sender.is_closed() || span.is_zero() {
            return;
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let line = kept.entry(target.clone()).or_default();
        if line.len() < KEPT_MAX {
            line.push(KeptConnection { connection, until: Instant::now() + span });
        }
        if kept.values().map(Vec::len).sum::<usize>() > KEPT_ALL_MAX {
            drop_soonest(&mut kept);
        }
    }

    /// Closes connections that were kept for long enough; returns how many are kept on.
    pub(crate) fn sweep(&self) -> usize {
        let now = Instant::now();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|_, line| {
            line.retain(|one| one.until > now && !one.connection.sender.is_closed());
            !line.is_empty()
        });
        kept.values().map(Vec::len).sum()
    }
}

/// Closes the connection that would be kept for the shortest time from now on.
fn drop_soonest(kept: &mut BTreeMap<TargetName, Vec<KeptConnection>>) {
    let soonest = kept.iter_mut().filter_map(|(target, line)| {
        let (place, one) = line.iter().enumerate().min_by_key(|(_, one)| one.until)?;
        Some((one.until, target.clone(), place))
    });
    if let Some((_, target, place)) = soonest.min()
        && let Some(line) = kept.get_mut(&target)
    {
        line.remove(place);
        if line.is_empty() {
            kept.remove(&target);
        }
    }
}

async fn connect(attempt: &TargetAttempt) -> Option<TargetConnection> {
    let began = Instant::now();
    let stream = timeout(attempt.connect_timeout, TcpStream::connect(attempt.address)).await;
    let stream = stream.ok()?.ok()?;
    let made_in = Some(began.elapsed());
    set_unacked_timeout(&stream, SILENCE_MAX);
    let handshake =
        Builder::new().read_buf_exact_size(Some(READ_BYTES)).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.ok()?;
    let task = tokio::spawn(async move {
        // The request that the connection carries learns of a failure by itself.
        let _ = connection.await;
    });
    Some(TargetConnection { sender, task: task.abort_handle(), made_in })
}
