//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The stack of the thread of a connection.
const STACK_BYTES: usize = 256 << 10;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v);
        decoded(value)
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Answers a request with a status and a body; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, String)> + Send + Sync>;

/// A server, which closes its port and all connections when it is stopped.
pub struct Server {
    pub address: SocketAddr,
    alive: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server; port 0 is any free one.
    pub fn start(port: u16, handler: Handler) -> Server {
        let mut listener = TcpListener::bind(("127.0.0.1", port));
        for _ in 0..200 {
            if listener.is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(10));
            listener = TcpListener::bind(("127.0.0.1", port));
        }
        let listener = listener.unwrap_or_else(|error| {
            eprintln!("port {port} of the loopback address: {error}");
            std::process::exit(2);
        });
        listener
            .set_nonblocking(true)
            .expect("a listener has this mode");
        let address = listener.local_addr().expect("a listener has an address");
        let alive = Arc::new(AtomicBool::new(true));
        let connections = Arc::new(Mutex::new(HashMap::<u64, TcpStream>::new()));
        let (running, open) = (Arc::clone(&alive), Arc::clone(&connections));
        let thread = thread::spawn(move || {
            let mut number = 0;
            while running.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        number += 1;
                        if let Ok(clone) = stream.try_clone() {
                            open.lock().expect("lock").insert(number, clone);
                        }
                        let (handler, running) = (Arc::clone(&handler), Arc::clone(&running));
                        let open = Arc::clone(&open);
                        let serving = move || {
                            serve(&stream, &handler, &running);
                            open.lock().expect("lock").remove(&number);
                        };
                        let thread = thread::Builder::new().stack_size(STACK_BYTES);
                        let _ = thread.spawn(serving);
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Server {
            address,
            alive,
            connections,
            thread: Some(thread),
        }
    }

    pub fn stop(&mut self) {
        self.alive.store(false, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for (_, stream) in self.connections.lock().expect("lock").drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: &TcpStream, handler: &Handler, running: &AtomicBool) {
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(clone);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        if !running.load(Ordering::SeqCst) {
            break;
        }
        let Some((status, body)) = handler(request) else {
            break;
        };
        if !running.load(Ordering::SeqCst) {
            break;
        }
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
    Some((first.trim_end().to_owned(), headers))
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

/// Makes a call over a connection of its own. `None` means that there is no whole answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
