/*!
A link of one instance: proxies through which all its connections share one queue in each direction.

Bytes of any connection wait behind all bytes that were read before them, and behind a backlog that
a test adds in place of the traffic of others. So does the end of a connection. Making one takes no
time, since the kernel accepts it before the proxy does.
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
        sync::{mpsc, watch},
        task::JoinHandle,
        time::{Instant, sleep_until},
    },
};

const CHUNK_BYTES: usize = 16 << 10;
const BYTES_PER_SECOND: f64 = 125_000_000.0;
/// How many times as fast as usual a link drains when a test asks for it. If all that is queued
/// departed in one moment, it would lose its order.
const DRAIN_SPEED: u32 = 20;

/// A direction as the instance behind the link sees it.
#[derive(Clone, Copy, Debug)]
pub enum LinkDirection {
    Inbound,
    Outbound,
}

/// The queue of one direction.
#[derive(Clone, Debug)]
struct LinkQueue {
    /// The time at which all that is queued has departed.
    busy_until: Arc<Mutex<Instant>>,
    /// What was queued before this time departs fast from then on.
    drained_at: watch::Sender<Instant>,
}

impl Default for LinkQueue {
    fn default() -> Self {
        let now = Instant::now();
        Self { busy_until: Arc::new(Mutex::new(now)), drained_at: watch::Sender::new(now) }
    }
}

impl LinkQueue {
    fn enqueue(&self, bytes: Vec<u8>) -> QueuedChunk {
        let mut busy_until = self.busy_until.lock().unwrap();
        let queued_at = Instant::now();
        let duration = Duration::from_secs_f64(bytes.len() as f64 / BYTES_PER_SECOND);
        *busy_until = queued_at.max(*busy_until) + duration;
        QueuedChunk { queued_at, departs_at: *busy_until, bytes }
    }
}

/// Bytes on their way; none stand for the end of a connection.
struct QueuedChunk {
    queued_at: Instant,
    departs_at: Instant,
    bytes: Vec<u8>,
}

/// The link of an instance.
#[derive(Clone, Debug, Default)]
pub struct SharedLink {
    inbound: LinkQueue,
    outbound: LinkQueue,
}

impl SharedLink {
    fn queue(&self, direction: LinkDirection) -> &LinkQueue {
        match direction {
            LinkDirection::Inbound => &self.inbound,
            LinkDirection::Outbound => &self.outbound,
        }
    }

    /// Returns the time for which bytes wait that are sent now.
    pub fn backlog(&self, direction: LinkDirection) -> Duration {
        self.queue(direction).busy_until.lock().unwrap().saturating_duration_since(Instant::now())
    }

    /// Makes bytes that are sent from now on wait longer.
    pub fn add_backlog(&self, direction: LinkDirection, duration: Duration) {
        let mut busy_until = self.queue(direction).busy_until.lock().unwrap();
        *busy_until = Instant::now().max(*busy_until) + duration;
    }

    /// Lets all that is queued depart fast, as if others had taken back what they sent.
    pub fn drain(&self, direction: LinkDirection) {
        let queue = self.queue(direction);
        let mut busy_until = queue.busy_until.lock().unwrap();
        let now = Instant::now();
        *busy_until = drained_departure(*busy_until, now);
        queue.drained_at.send_replace(now);
    }
}

/// Returns the time of a departure on a link that drains fast from a time on.
fn drained_departure(departs_at: Instant, drained_at: Instant) -> Instant {
    drained_at + departs_at.saturating_duration_since(drained_at) / DRAIN_SPEED
}

/// The side of a proxy on which the instance is whose link it passes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkedSide {
    Connecting,
    Accepting,
}

/// A proxy in front of one address. When it is dropped, it accepts no more connections, but open
/// ones continue.
#[derive(Debug)]
pub struct LinkProxy {
    pub address: SocketAddr,
    delay: Arc<Mutex<Duration>>,
    task: JoinHandle<()>,
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LinkProxy {
    pub async fn start(
        address: SocketAddr,
        side: LinkedSide,
        link: &SharedLink,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let local_address = listener.local_addr()?;
        let delay: Arc<Mutex<Duration>> = Arc::default();
        let (link, connection_delay) = (link.clone(), Arc::clone(&delay));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (link, delay) = (link.clone(), Arc::clone(&connection_delay));
                tokio::spawn(forward_connection(stream, address, side, link, delay));
            }
        });
        Ok(Self { address: local_address, delay, task })
    }

    /// Delays what the connecting side sends, without an effect on other connections.
    pub fn delay(&self, delay: Duration) {
        *self.delay.lock().unwrap() = delay;
    }
}

async fn forward_connection(
    client: TcpStream,
    address: SocketAddr,
    side: LinkedSide,
    link: SharedLink,
    delay: Arc<Mutex<Duration>>,
) {
    let Ok(server) = TcpStream::connect(address).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let (upstream, downstream) = match side {
        LinkedSide::Connecting => (link.outbound, link.inbound),
        LinkedSide::Accepting => (link.inbound, link.outbound),
    };
    tokio::spawn(forward_direction(client_read, server_write, upstream, delay));
    forward_direction(server_read, client_write, downstream, Arc::default()).await;
}

/// Waits until a link drains fast, and returns since when.
async fn wait_drained(
    drained_at: &mut watch::Receiver<Instant>,
    queued_at: Instant,
) -> Result<Instant, watch::error::RecvError> {
    drained_at.wait_for(|drained_at| *drained_at >= queued_at).await.map(|drained_at| *drained_at)
}

/// Forwards one direction until it ends. An end is forwarded too, after the bytes before it.
async fn forward_direction(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    queue: LinkQueue,
    delay: Arc<Mutex<Duration>>,
) {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut drained_at = queue.drained_at.subscribe();
    let reader = tokio::spawn(async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = from.read(&mut chunk).await.unwrap_or(0);
            if sender.send(queue.enqueue(chunk[..count].to_vec())).is_err() || count == 0 {
                break;
            }
        }
    });
    while let Some(QueuedChunk { queued_at, departs_at, bytes }) = receiver.recv().await {
        tokio::select! {
            () = sleep_until(departs_at) => {}
            Ok(drained_at) = wait_drained(&mut drained_at, queued_at) => {
                sleep_until(drained_departure(departs_at, drained_at)).await;
            }
        }
        let delay = *delay.lock().unwrap();
        sleep_until(queued_at + delay).await;
        if bytes.is_empty() || to.write_all(&bytes).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
    reader.abort();
}
