/*!
When messages of other instances arrived, as far as that can be known.

A process reads what has arrived on several sockets late and in any order. But it can look how many
bytes wait on a socket: a message that ends behind them has not arrived yet.
*/

use {
    socket2::{SockRef, Socket},
    std::{
        collections::{BTreeMap, VecDeque},
        io::{self, ErrorKind},
        mem::MaybeUninit,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{net::TcpStream, time::Instant},
};

/// The number of waiting bytes from which on they aren't counted: far more than a reply has.
const WAITING_BYTES_MAX: usize = 16 << 10;
/// The most bytes that are read at once.
const PIECE_BYTES: usize = 8 << 10;
/// The number of looks at a socket that are kept: those between two reads of a busy process.
const LOOKS_KEPT: usize = 256;

/// How many bytes have arrived on a socket.
#[derive(Debug)]
struct SocketRecord {
    socket: Socket,
    /// The number of bytes that were read.
    read_bytes: u64,
    /// The last time at which each number of bytes had arrived.
    looks: VecDeque<(u64, Instant)>,
}

impl SocketRecord {
    /// Looks how many bytes wait to be read.
    fn look(&mut self, buffer: &mut [MaybeUninit<u8>]) {
        let now = Instant::now();
        let waiting_bytes = match self.socket.peek(buffer) {
            Ok(bytes) if bytes < buffer.len() => bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            // There are too many to count, or the reader will find the error.
            _ => return,
        };
        let arrived_bytes = self.read_bytes + waiting_bytes as u64;
        match self.looks.back_mut() {
            Some((bytes, at)) if *bytes == arrived_bytes => *at = now,
            _ => self.looks.push_back((arrived_bytes, now)),
        }
        if self.looks.len() > LOOKS_KEPT {
            self.looks.pop_front();
        }
    }
}

/// The sockets that are read from, by a number.
#[derive(Debug, Default)]
struct SocketTable {
    records: BTreeMap<u64, SocketRecord>,
    last_number: u64,
}

/// The sockets that messages arrive on.
#[derive(Clone, Debug, Default)]
pub(crate) struct InboundSockets {
    table: Arc<Mutex<SocketTable>>,
}

impl InboundSockets {
    /// Adds the socket of a connection of which nothing was read yet.
    ///
    /// # Errors
    ///
    /// The I/O error if the process has no descriptor left.
    pub(crate) fn add(&self, stream: &TcpStream) -> io::Result<InboundSocket> {
        let socket = SockRef::from(stream).try_clone()?;
        let mut table = self.lock();
        table.last_number += 1;
        let number = table.last_number;
        let record = SocketRecord { socket, read_bytes: 0, looks: VecDeque::new() };
        table.records.insert(number, record);
        Ok(InboundSocket { owner: self.clone(), number })
    }

    /// Looks how many bytes have arrived on each socket.
    pub(crate) fn look(&self) {
        let mut buffer = [const { MaybeUninit::uninit() }; WAITING_BYTES_MAX];
        self.lock().records.values_mut().for_each(|record| record.look(&mut buffer));
    }

    fn lock(&self) -> MutexGuard<'_, SocketTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A socket's place among those that messages arrive on, until dropped.
#[derive(Debug)]
pub(crate) struct InboundSocket {
    owner: InboundSockets,
    number: u64,
}

impl InboundSocket {
    /// Reads up to a number of bytes from the socket's connection and appends them to a buffer. Returns
    /// whether there were any before its end.
    ///
    /// # Errors
    ///
    /// The I/O error of the connection.
    pub(crate) async fn read(
        &self,
        stream: &TcpStream,
        buffer: &mut Vec<u8>,
        bytes_max: usize,
    ) -> io::Result<bool> {
        let mut piece = [0; PIECE_BYTES];
        let piece = &mut piece[..bytes_max.min(PIECE_BYTES)];
        loop {
            stream.readable().await?;
            // No look may come between the reading and the counting.
            let mut table = self.owner.lock();
            let read_bytes = match stream.try_read(piece) {
                Ok(bytes) => bytes,
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error),
            };
            if let Some(record) = table.records.get_mut(&self.number) {
                record.read_bytes += read_bytes as u64;
            }
            buffer.extend_from_slice(&piece[..read_bytes]);
            return Ok(read_bytes > 0);
        }
    }

    /// Returns the latest time at which the last byte that was read certainly hadn't arrived; none if
    /// no look shows it.
    pub(crate) fn last_absence(&self) -> Option<Instant> {
        let table = self.owner.lock();
        let record = table.records.get(&self.number)?;
        let before = record.looks.iter().rev().find(|(bytes, _)| *bytes < record.read_bytes);
        before.map(|(_, at)| *at)
    }
}

impl Drop for InboundSocket {
    fn drop(&mut self) {
        self.owner.lock().records.remove(&self.number);
    }
}
