/*!
A TCP proxy that injects faults: it delays, throttles or stalls each direction separately, cuts
connections, or lets them go silent.
*/

use {
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, tcp},
        sync::mpsc,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

const CHUNK_BYTES: usize = 16 << 10;
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time of arrival and size of each chunk from the connecting side, in the order of forwarding.
type SentLog = Arc<Mutex<Vec<(Instant, usize)>>>;

/// Faults of one direction of a proxy's connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectionFaults {
    pub delay: Duration,
    /// No bytes are forwarded, but connections stay open unless one side closes them.
    pub stalled: bool,
    /// Limit of each connection, if any.
    pub bytes_per_second: Option<u64>,
}

/// Faults of a proxy; upstream is the direction from the connecting side to the address that the
/// proxy forwards to.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProxyFaults {
    pub upstream: DirectionFaults,
    pub downstream: DirectionFaults,
    /// Open connections are closed, and new ones are closed right after they are accepted.
    pub cut: bool,
    /// Open connections are closed, and new ones are refused.
    pub refused: bool,
}

/// How often the open connections of a proxy went silent, as seen by one of them.
#[derive(Clone, Debug)]
struct ConnectionSilence {
    count: Arc<AtomicU64>,
    count_at_start: u64,
}

impl ConnectionSilence {
    fn has_begun(&self) -> bool {
        self.count.load(Ordering::SeqCst) != self.count_at_start
    }
}

/// A proxy in front of one address. When it is dropped, it accepts no more connections, but open
/// ones continue.
pub struct FaultProxy {
    pub address: SocketAddr,
    faults: Arc<Mutex<ProxyFaults>>,
    sent: SentLog,
    silence_count: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultProxy {
    pub async fn start(upstream_address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let faults: Arc<Mutex<ProxyFaults>> = Arc::default();
        let sent: SentLog = Arc::default();
        let (connection_faults, sent_log) = (Arc::clone(&faults), Arc::clone(&sent));
        let (silence_count, opened) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let (silence_counter, open_counter) = (Arc::clone(&silence_count), Arc::clone(&opened));
        let task = tokio::spawn(async move {
            let mut listener = Some(listener);
            loop {
                if connection_faults.lock().unwrap().refused {
                    listener = None;
                    sleep(FAULT_POLL_INTERVAL).await;
                    continue;
                }
                let Some(bound) = &listener else {
                    listener = TcpListener::bind(address).await.ok();
                    sleep(FAULT_POLL_INTERVAL).await;
                    continue;
                };
                let Ok(accepted) = timeout(FAULT_POLL_INTERVAL, bound.accept()).await else {
                    continue;
                };
                let Ok((stream, _)) = accepted else { break };
                if connection_faults.lock().unwrap().cut {
                    continue;
                }
                open_counter.fetch_add(1, Ordering::SeqCst);
                let count = Arc::clone(&silence_counter);
                let count_at_start = count.load(Ordering::SeqCst);
                tokio::spawn(forward_connection(
                    stream,
                    upstream_address,
                    Arc::clone(&connection_faults),
                    (Arc::clone(&sent_log), ConnectionSilence { count, count_at_start }),
                ));
            }
        });
        Ok(Self { address, faults, sent, silence_count, opened, task })
    }

    pub fn set(&self, faults: ProxyFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    /// Returns the largest number of forwarded bytes that arrived from the connecting side within
    /// any second. Exact only if chunks of different connections were forwarded in the order of
    /// their arrival.
    pub fn peak_bytes_per_second(&self) -> usize {
        let sent = self.sent.lock().unwrap();
        let (mut peak, mut sum, mut first) = (0, 0, 0);
        for (read_at, bytes) in sent.iter() {
            sum += bytes;
            while read_at.duration_since(sent[first].0) >= Duration::from_secs(1) {
                sum -= sent[first].1;
                first += 1;
            }
            peak = peak.max(sum);
        }
        peak
    }

    /// Returns the number of bytes that were forwarded from the connecting side.
    pub fn total_bytes(&self) -> u64 {
        self.sent.lock().unwrap().iter().map(|(_, bytes)| *bytes as u64).sum()
    }

    /// Makes the open connections go silent for good, in the middle of what they carry next: what
    /// arrives is acknowledged and dropped, and neither side learns that the other one has closed.
    pub fn silence(&self) {
        self.silence_count.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of connections that were opened through the proxy.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Delays both directions and removes all other faults.
    pub fn delay(&self, delay: Duration) {
        let direction = DirectionFaults { delay, ..DirectionFaults::default() };
        self.set(ProxyFaults {
            upstream: direction,
            downstream: direction,
            cut: false,
            refused: false,
        });
    }

    pub fn cut(&self) {
        self.faults.lock().unwrap().cut = true;
    }

    pub fn refuse(&self) {
        self.faults.lock().unwrap().refused = true;
    }

    pub fn clear_faults(&self) {
        self.set(ProxyFaults::default());
    }
}

fn is_closed(faults: &Mutex<ProxyFaults>) -> bool {
    let faults = faults.lock().unwrap();
    faults.cut || faults.refused
}

/// Connects to the upstream address and forwards both directions until one ends or the proxy
/// closes its connections.
async fn forward_connection(
    client: TcpStream,
    upstream_address: SocketAddr,
    faults: Arc<Mutex<ProxyFaults>>,
    (sent, silence): (SentLog, ConnectionSilence),
) {
    let Ok(server) = TcpStream::connect(upstream_address).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let (upstream, downstream) = (Arc::clone(&faults), Arc::clone(&faults));
    let upstream_faults = move || upstream.lock().unwrap().upstream;
    let downstream_faults = move || downstream.lock().unwrap().downstream;
    let upstream_log = (Some(sent), silence.clone());
    let forwarding = forward_direction(client_read, server_write, upstream_log, upstream_faults);
    let mut upstream_task = tokio::spawn(forwarding);
    let downstream_log = (None, silence);
    let forwarding =
        forward_direction(server_read, client_write, downstream_log, downstream_faults);
    let mut downstream_task = tokio::spawn(forwarding);
    loop {
        tokio::select! {
            _ = &mut upstream_task => break,
            _ = &mut downstream_task => break,
            () = sleep(FAULT_POLL_INTERVAL) => {
                if is_closed(&faults) {
                    break;
                }
            }
        }
    }
    // Bytes in flight may still have to reach the side that hasn't closed.
    let grace = if is_closed(&faults) { Duration::ZERO } else { Duration::from_millis(200) };
    sleep(grace).await;
    upstream_task.abort();
    downstream_task.abort();
}

/// Forwards one direction, subject to the faults that `faults` returns at the time.
async fn forward_direction<F>(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    (sent, silence): (Option<SentLog>, ConnectionSilence),
    faults: F,
) where
    F: Fn() -> DirectionFaults + Send + 'static,
{
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(64);
    let reader_task = tokio::spawn(async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count) = from.read(&mut chunk).await {
            if count == 0 || sender.send((Instant::now(), chunk[..count].to_vec())).await.is_err() {
                break;
            }
        }
    });
    let mut was_silent = false;
    while let Some((read_at, bytes)) = receiver.recv().await {
        if silence.has_begun() {
            if !was_silent && to.write_all(&bytes[..bytes.len() / 2]).await.is_err() {
                break;
            }
            was_silent = true;
            continue;
        }
        while faults().stalled {
            sleep(FAULT_POLL_INTERVAL).await;
        }
        sleep_until(read_at + faults().delay).await;
        if let Some(rate) = faults().bytes_per_second {
            sleep(Duration::from_secs_f64(bytes.len() as f64 / rate as f64)).await;
        }
        if let Some(sent) = &sent {
            sent.lock().unwrap().push((read_at, bytes.len()));
        }
        if to.write_all(&bytes).await.is_err() {
            break;
        }
    }
    if silence.has_begun() {
        std::future::pending::<()>().await;
    }
    reader_task.abort();
    let _ = to.shutdown().await;
}
