//! A minimal HTTP/1.1 server (a thread for each connection) and client, enough for the protocol: JSON bodies with a
//! `Content-Length`, connections that stay open, no pipelining.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Req {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Req {
    pub fn arg(&self, name: &str) -> Option<String> {
        let pair = self.query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name)?;
        Some(decode(pair.1))
    }
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("3F");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub struct Resp {
    pub status: u16,
    pub body: String,
    /// No answer: the connection is closed.
    pub silent: bool,
}

impl Resp {
    pub fn new(status: u16, body: impl ToString) -> Resp {
        Resp { status, body: body.to_string(), silent: false }
    }
    pub fn none() -> Resp {
        Resp { status: 0, body: String::new(), silent: true }
    }
}

pub type Handler = Arc<dyn Fn(Req) -> Resp + Send + Sync>;

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// A free loopback port outside of the usual range of ephemeral ports, so that no outgoing connection takes it while the
/// process that listens there is restarted.
pub fn fixed_port() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let base = 11_000 + (std::process::id() % 900) as u16 * 20;
    loop {
        let port = base + NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || connection(stream, handler));
        }
    });
}

fn connection(mut stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let Some((head, body)) = read_message(&mut stream, &mut buffer, None) else { return };
        let mut words = head.lines().next().unwrap_or("").split(' ');
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("").to_string();
        let (path, query) = match target.split_once('?') {
            Some((path, query)) => (path.to_string(), query.to_string()),
            None => (target, String::new()),
        };
        let reply = handler(Req { method, path, query, body });
        if reply.silent {
            return;
        }
        let text = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
            reply.status,
            reply.body.len(),
            reply.body
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one message: its head and its body. `None` at the end, on an error or after the deadline.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>, deadline: Option<Instant>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if let Some(deadline) = deadline {
            let left = deadline.checked_duration_since(Instant::now())?;
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Whether the other side announced that it closes the connection.
    pub closing: bool,
}

pub struct Answer {
    pub status: u16,
    pub body: serde_json::Value,
    pub retry_after: f64,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: f64) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs_f64(timeout)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Client { stream, buffer: Vec::new(), closing: false })
    }

    /// Sends a request and waits for the answer; `None` if there is none in time. The connection is of no use then.
    pub fn call(&mut self, method: &str, path: &str, body: &str, timeout: f64) -> Option<Answer> {
        let deadline = Instant::now() + Duration::from_secs_f64(timeout);
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: site\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.set_write_timeout(Some(Duration::from_secs_f64(timeout))).ok()?;
        self.stream.write_all(text.as_bytes()).ok()?;
        let (head, body) = read_message(&mut self.stream, &mut self.buffer, Some(deadline))?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let header = |name: &str| {
            head.lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(n, _)| n.eq_ignore_ascii_case(name))
                .map(|(_, v)| v.trim().to_string())
        };
        self.closing = header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let retry_after = header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0.0);
        Some(Answer { status, body: serde_json::from_slice(&body).unwrap_or(serde_json::Value::Null), retry_after })
    }
}
