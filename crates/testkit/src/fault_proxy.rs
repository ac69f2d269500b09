/*!
A TCP proxy that delays, slows, freezes and cuts, each way by itself.
*/

use {
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, tcp},
        sync::mpsc,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

const CHUNK_BYTES: usize = 16 << 10;
const FREEZE_CHECK: Duration = Duration::from_millis(10);

/// When how many bytes came in from the dialing side.
type SentLog = Arc<Mutex<Vec<(Instant, usize)>>>;

/// What happens to the bytes of one way.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectionFaults {
    pub delay: Duration,
    /// Nothing passes, and connections stay open.
    pub stalled: bool,
    pub bytes_per_second: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct ProxyFaults {
    pub upstream: DirectionFaults,
    pub downstream: DirectionFaults,
    /// Open connections are closed and new ones refused.
    pub cut: bool,
}

/// A proxy in front of one address.
pub struct FaultProxy {
    pub address: SocketAddr,
    faults: Arc<Mutex<ProxyFaults>>,
    sent: SentLog,
    task: JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultProxy {
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let faults: Arc<Mutex<ProxyFaults>> = Arc::default();
        let sent: SentLog = Arc::default();
        let (shared, counted) = (Arc::clone(&faults), Arc::clone(&sent));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if shared.lock().unwrap().cut {
                    continue;
                }
                tokio::spawn(carry(stream, target, Arc::clone(&shared), Arc::clone(&counted)));
            }
        });
        Ok(Self { address, faults, sent, task })
    }

    pub fn set(&self, faults: ProxyFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    /// The most bytes that came in from the dialing side within any second.
    pub fn peak_bytes_per_second(&self) -> usize {
        let sent = self.sent.lock().unwrap();
        let (mut peak, mut sum, mut first) = (0, 0, 0);
        for (at, bytes) in sent.iter() {
            sum += bytes;
            while at.duration_since(sent[first].0) >= Duration::from_secs(1) {
                sum -= sent[first].1;
                first += 1;
            }
            peak = peak.max(sum);
        }
        peak
    }

    /// The bytes that came in from the dialing side.
    pub fn total_bytes(&self) -> u64 {
        self.sent.lock().unwrap().iter().map(|(_, bytes)| *bytes as u64).sum()
    }

    /// Delays both ways.
    pub fn delay(&self, delay: Duration) {
        let way = DirectionFaults { delay, ..DirectionFaults::default() };
        self.set(ProxyFaults { upstream: way, downstream: way, cut: false });
    }

    pub fn cut(&self) {
        self.faults.lock().unwrap().cut = true;
    }

    pub fn clear_faults(&self) {
        self.set(ProxyFaults::default());
    }
}

async fn carry(
    near: TcpStream,
    target: SocketAddr,
    faults: Arc<Mutex<ProxyFaults>>,
    sent: SentLog,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let (upstream, downstream) = (Arc::clone(&faults), Arc::clone(&faults));
    let mut one = tokio::spawn(pass(near_read, far_write, Some(sent), move || {
        upstream.lock().unwrap().upstream
    }));
    let mut other = tokio::spawn(pass(far_read, near_write, None, move || {
        downstream.lock().unwrap().downstream
    }));
    loop {
        tokio::select! {
            _ = &mut one => break,
            _ = &mut other => break,
            () = sleep(FREEZE_CHECK) => {
                if faults.lock().unwrap().cut {
                    break;
                }
            }
        }
    }
    // A side that closed may still be owed what is under way.
    let grace =
        if faults.lock().unwrap().cut { Duration::ZERO } else { Duration::from_millis(200) };
    sleep(grace).await;
    one.abort();
    other.abort();
}

async fn pass<F>(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    sent: Option<SentLog>,
    way: F,
) where
    F: Fn() -> DirectionFaults + Send + 'static,
{
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(64);
    let reading = tokio::spawn(async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count) = from.read(&mut chunk).await {
            if count == 0 || sender.send((Instant::now(), chunk[..count].to_vec())).await.is_err() {
                break;
            }
        }
    });
    while let Some((read_at, bytes)) = receiver.recv().await {
        while way().stalled {
            sleep(FREEZE_CHECK).await;
        }
        sleep_until(read_at + way().delay).await;
        if let Some(rate) = way().bytes_per_second {
            sleep(Duration::from_secs_f64(bytes.len() as f64 / rate as f64)).await;
        }
        if let Some(sent) = &sent {
            sent.lock().unwrap().push((read_at, bytes.len()));
        }
        if to.write_all(&bytes).await.is_err() {
            break;
        }
    }
    reading.abort();
    let _ = to.shutdown().await;
}
