//! A proxy between one entry and one target, which can cut the entry off from the target.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{sleep, spawn},
    time::Duration,
};

pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a socket that doesn't block");
        let proxy = Self { address, cut: Arc::default(), open: Arc::default() };
        let (cut, open) = (Arc::clone(&proxy.cut), Arc::clone(&proxy.open));
        spawn(move || {
            // Without its listener, the address refuses connections.
            while !cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((near, _)) => {
                        let _ = near.set_nonblocking(false);
                        let Ok(far) = TcpStream::connect(upstream) else { continue };
                        let _ = (near.set_nodelay(true), far.set_nodelay(true));
                        let clone = |stream: &TcpStream| stream.try_clone().expect("a handle");
                        open.lock().unwrap().extend([clone(&near), clone(&far)]);
                        let (a, b) = ((clone(&near), clone(&far)), (far, near));
                        spawn(move || copy(a));
                        spawn(move || copy(b));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
        proxy
    }

    /// Closes the open connections, and refuses new ones from now on.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn copy((mut from, mut to): (TcpStream, TcpStream)) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// A proxy that can hold up the bytes from the connecting side, as a partition does.
pub struct HoldingProxy {
    pub address: SocketAddr,
    held: Arc<AtomicBool>,
}

impl HoldingProxy {
    pub fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let held: Arc<AtomicBool> = Arc::default();
        let is_held = Arc::clone(&held);
        spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(upstream) else { continue };
                let clone = |stream: &TcpStream| stream.try_clone().expect("a handle");
                let (upward, downward) = ((clone(&near), clone(&far)), (far, near));
                let is_held = Arc::clone(&is_held);
                spawn(move || copy_unless_held(upward, &is_held));
                spawn(move || copy(downward));
            }
        });
        Self { address, held }
    }

    pub fn hold(&self) {
        self.held.store(true, Ordering::SeqCst);
    }

    /// Lets pass what was held up, in its order.
    pub fn release(&self) {
        self.held.store(false, Ordering::SeqCst);
    }
}

fn copy_unless_held((mut from, mut to): (TcpStream, TcpStream), held: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes) {
        while held.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(1));
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
