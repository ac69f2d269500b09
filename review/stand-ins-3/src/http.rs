//! The little HTTP that callers, operators and stand-in targets need, on plain sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a message: its first line and its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is as long as the head says.
    pub complete: bool,
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; none at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let text: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&text[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
                return Ok(Some(Head { line, headers: headers.collect() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads up to `count` bytes; fewer at the end of the connection.
    pub fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                break;
            }
        }
        let count = count.min(self.buffer.len());
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads and discards up to `count` bytes. Returns their number and, if there are fewer, how the
    /// connection ended.
    pub fn read_up_to(&mut self, count: usize) -> (usize, Option<String>) {
        let mut read = 0;
        loop {
            let taken = self.buffer.len().min(count - read);
            self.buffer.drain(..taken);
            read += taken;
            if read == count {
                return (read, None);
            }
            match self.fill() {
                Ok(0) => return (read, Some("the connection was closed".to_owned())),
                Ok(_) => {}
                Err(error) => return (read, Some(error.to_string())),
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        loop {
            let byte = self.read_exact(1)?;
            match byte.first() {
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(b'\n') => return Ok(String::from_utf8_lossy(&line).trim().to_owned()),
                Some(byte) => line.push(*byte),
            }
        }
    }

    /// Reads a body as its head frames it, and whether all of it has come.
    pub fn read_body(&mut self, head: &Head, is_request: bool) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        if head.get("transfer-encoding").is_some() {
            loop {
                let Ok(line) = self.read_line() else { return (body, false) };
                let size = line.split(';').next().unwrap_or_default();
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
                let Ok(chunk) = self.read_exact(size) else { return (body, false) };
                let is_whole = chunk.len() == size;
                body.extend(chunk);
                if !is_whole || self.read_line().is_err() {
                    return (body, false);
                }
                if size == 0 {
                    return (body, true);
                }
            }
        }
        if let Some(length) = head.get("content-length").and_then(|text| text.parse().ok()) {
            let body = self.read_exact(length).unwrap_or_default();
            let is_whole = body.len() == length;
            return (body, is_whole);
        }
        if is_request {
            return (body, true);
        }
        loop {
            match self.fill() {
                Ok(0) => return (std::mem::take(&mut self.buffer), true),
                Ok(_) => {}
                Err(_) => return (std::mem::take(&mut self.buffer), false),
            }
        }
    }

    /// Reads a response; none if the connection ends before its head.
    pub fn read_response(&mut self) -> Option<Response> {
        loop {
            let head = self.read_head().ok()??;
            let status: u16 = head.line.split(' ').nth(1)?.parse().ok()?;
            if (100..200).contains(&status) {
                continue;
            }
            let (body, complete) = match status {
                204 | 304 => (Vec::new(), true),
                _ => self.read_body(&head, false),
            };
            return Some(Response { status, head, body, complete });
        }
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout_ms: u64,
) -> Option<Response> {
    let mut connection = Connection::open(address).ok()?;
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    let limit = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(limit)).ok()?;
    connection.stream.set_write_timeout(Some(limit)).ok()?;
    let has_host = headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host"));
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !has_host {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    connection.stream.write_all(&bytes).ok()?;
    connection.read_response()
}

/// Makes the connection end with a reset.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    let (pointer, size) = ((&raw const linger).cast(), size_of::<libc::linger>());
    // SAFETY: the option is read from a local value of the size that is given.
    unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_LINGER,
            pointer,
            size as libc::socklen_t,
        )
    };
}
