//! A proxy whose open connections can go silent for good: bytes and closes no longer pass, in either
//! direction, and neither side is told. New connections work.

use {
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// A proxy in front of one address.
pub struct SilentProxy {
    pub address: SocketAddr,
    /// The number of times that open connections went silent.
    epoch: Arc<AtomicU64>,
    /// The number of connections that were opened.
    opened: Arc<AtomicU64>,
}

impl SilentProxy {
    /// Starts a proxy, which runs until the runtime ends.
    pub async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (epoch, opened) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (epochs, count) = (Arc::clone(&epoch), Arc::clone(&opened));
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(upstream).await else { continue };
                count.fetch_add(1, Ordering::SeqCst);
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let began = epochs.load(Ordering::SeqCst);
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(pass(client_read, server_write, Arc::clone(&epochs), began));
                tokio::spawn(pass(server_read, client_write, Arc::clone(&epochs), began));
            }
        });
        Self { address, epoch, opened }
    }

    /// Makes all open connections go silent.
    pub fn silence(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of connections that were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, epoch: Arc<AtomicU64>, began: u64) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut bytes).await;
        let is_silent = epoch.load(Ordering::SeqCst) != began;
        match read {
            Ok(count) if count > 0 && is_silent => {}
            Ok(count) if count > 0 => {
                if to.write_all(&bytes[..count]).await.is_err() {
                    return;
                }
            }
            // The other side isn't told that this one has closed a silent connection.
            _ if is_silent => std::future::pending::<()>().await,
            _ => return,
        }
    }
}
