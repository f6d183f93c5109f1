//! Fixture: many clients that stop short of the end of their requests.

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::timeout,
};

/// How long a router must not read before a client sends no more.
pub const STALL: Duration = Duration::from_secs(5);
/// Send buffer of a client, in bytes: what is sent has nearly all been read.
const SEND_BUFFER_BYTES: u32 = 16 * 1024;
/// Longest part of a request that is sent at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;
/// Of so many clients one completes its request.
const COMPLETE_EACH: usize = 8;

/// The clients' open connections, from which nothing is read.
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

/// A request of each client.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: &'static str,
    pub key: &'static str,
    pub framing: Framing,
    /// Length of the body, in bytes.
    pub length: usize,
}

/// How a body is sent.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// With a length, at once.
    Whole,
    /// With a length, in pieces that alternate with those of other clients.
    Pieces,
    /// In chunks of this many bytes.
    Chunks(usize),
}

impl Default for Request {
    fn default() -> Self {
        Self {
            path: "/order/a",
            key: "key-1",
            framing: Framing::Whole,
            length: 0,
        }
    }
}

impl Request {
    /// Returns the head of the request of client `number`.
    pub fn head(&self, number: usize) -> String {
        let framing = match self.framing {
            Framing::Whole | Framing::Pieces => format!("Content-Length: {}", self.length),
            Framing::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
        };
        format!(
            "POST {} HTTP/1.1\r\nHost: muscat.example\r\nAuthorization: Bearer {}\r\n\
             X-Peridotslip-Attempt-Id: c{number}\r\nX-Peridotslip-Deadline-Ms: 600000\r\n\
             {framing}\r\n\r\n",
            self.path, self.key
        )
    }

    /// Returns the complete body as it is sent.
    pub fn body(&self) -> Bytes {
        let content = vec![b'x'; self.length];
        let Framing::Chunks(size) = self.framing else {
            return content.into();
        };
        let mut body = Vec::new();
        for chunk in content.chunks(size) {
            body.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            body.extend_from_slice(chunk);
            body.extend_from_slice(b"\r\n");
        }
        body.extend_from_slice(b"0\r\n\r\n");
        body.into()
    }

    /// Returns the length of the end that most clients do not send, in bytes.
    fn unsent_bytes(&self) -> usize {
        match self.framing {
            Framing::Whole | Framing::Pieces => 1,
            Framing::Chunks(_) => "0\r\n\r\n".len(),
        }
    }

    fn piece_bytes(&self) -> usize {
        match self.framing {
            Framing::Whole => usize::MAX,
            Framing::Pieces | Framing::Chunks(_) => PIECE_BYTES,
        }
    }
}

impl Crowd {
    /// Lets `count` clients send `request` at the same time. Returns once none of them
    /// can send more.
    pub async fn send(address: &str, count: usize, request: &Request) -> Self {
        let body = request.body();
        let clients = (0..count).map(|number| {
            let head = request.head(number).into();
            let is_complete = number % COMPLETE_EACH == COMPLETE_EACH - 1;
            let unsent = if is_complete {
                0
            } else {
                request.unsent_bytes()
            };
            let body = body.slice(..body.len() - unsent);
            send(address, [head, body], request.piece_bytes())
        });
        Self {
            _streams: join_all(clients).await.into_iter().flatten().collect(),
        }
    }

    /// Lets `count` clients send `bytes` at the same time.
    pub async fn send_bytes(address: &str, count: usize, bytes: &Bytes) -> Self {
        let clients = (0..count).map(|_| send(address, [bytes.clone()], PIECE_BYTES));
        Self {
            _streams: join_all(clients).await.into_iter().flatten().collect(),
        }
    }
}

/// Sends `parts` on a new connection until the router does not read or closes it.
/// Returns the connection; `None` if the router accepts none.
async fn send<const N: usize>(
    address: &str,
    parts: [Bytes; N],
    piece_bytes: usize,
) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).ok()?;
    let connecting = socket.connect(address.parse().ok()?);
    let mut stream = timeout(STALL, connecting).await.ok()?.ok()?;
    for part in &parts {
        for piece in part.chunks(piece_bytes.min(part.len().max(1))) {
            if !matches!(timeout(STALL, stream.write_all(piece)).await, Ok(Ok(()))) {
                return Some(stream);
            }
            tokio::task::yield_now().await;
        }
    }
    Some(stream)
}

/// Sends a complete request on a new connection, and returns the beginning of the
/// response.
pub async fn exchange(address: &str, request: &Request) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.head(0).as_bytes()).await.unwrap();
    stream.write_all(&request.body()).await.unwrap();
    let mut response = vec![0; 4_096];
    let len = stream.read(&mut response).await.unwrap();
    String::from_utf8_lossy(&response[..len]).into_owned()
}
