//! A backend server that sends each response in parts, with a silence before
//! each part.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Paths that the server doesn't know: it reports no load and resumes no stream.
const UNKNOWN_PATHS: [&str; 2] = ["/load", "/v1/streams/"];

/// A silence and the bytes that follow it.
pub type Part = (Duration, String);

/// A running server; it serves until the test process ends.
pub struct ScriptedServer {
    pub address: String,
    runs: Arc<AtomicUsize>,
}

impl ScriptedServer {
    /// Starts a server that answers every request with the same parts.
    pub fn spawn(parts: &[Part]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (runs, parts) = (Arc::new(AtomicUsize::new(0)), Arc::new(parts.to_vec()));
        let server = Self {
            address: address.to_string(),
            runs: runs.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, parts) = (runs.clone(), parts.clone());
                thread::spawn(move || serve(stream, &parts, &runs));
            }
        });
        server
    }

    /// Returns the number of requests that were run.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, parts: &[Part], runs: &AtomicUsize) -> Option<()> {
    let mut buf = [0; 4_096];
    let count = stream.read(&mut buf).ok()?;
    let head = String::from_utf8_lossy(&buf[..count]).into_owned();
    let path = head.split(' ').nth(1)?;
    if UNKNOWN_PATHS.iter().any(|known| path.starts_with(known)) {
        let refusal = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        return stream.write_all(refusal).ok();
    }
    runs.fetch_add(1, Ordering::SeqCst);
    for (silence, bytes) in parts {
        thread::sleep(*silence);
        stream.write_all(bytes.as_bytes()).ok()?;
    }
    Some(())
}
