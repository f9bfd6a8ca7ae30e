//! Connections of a backend server, byte by byte: what it does wrong no library would send.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use ::http::Method;
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{Answering, OnFull, Run, Shared, lock};
use crate::backend::filler;
use crate::http::{Query, request};

const HEADERS_MAX: usize = 64;
/// After this the connection may have been given to the next request.
const EXTRA_LATE: Duration = Duration::from_millis(40);

pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        shared.record().connections += 1;
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            stream,
            buffer: BytesMut::new(),
            shared: Arc::clone(&shared),
        };
        let stop = stop.clone();
        tokio::spawn(async move {
            // How a connection ends is seen by the other side.
            stop.run_until_cancelled(connection.serve()).await;
        });
    }
}

/// The seal of the answer to a request: it names the request and the answer's bytes.
pub fn seal_of(id: &str, bytes: u64) -> String {
    let digest = blake3::hash(&filler(id, bytes)).to_hex();
    format!("{id}.{bytes}.{digest}")
}

/// The head of a request.
struct Head {
    method: String,
    target: String,
    id: String,
    host: String,
    expected: Option<String>,
    deadline_ms: Option<u64>,
    caller: String,
    body: BodyLength,
}

#[derive(Clone, Copy)]
enum BodyLength {
    Known(usize),
    Chunked,
}

impl Head {
    fn query(&self) -> Query<'_> {
        let query = self.target.split_once('?');
        Query(query.map_or("", |(_, query)| query))
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.query().get(name).parse().ok()
    }
}

/// What goes on after a request.
enum Next {
    Request,
    Close,
    /// Nothing is answered any more.
    Mute,
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    shared: Arc<Shared>,
}

impl Connection {
    async fn serve(mut self) {
        loop {
            let next = match self.exchange().await {
                Ok(next) => next,
                Err(_) => return,
            };
            match next {
                Next::Request => (),
                Next::Close => return,
                Next::Mute => return self.swallow().await,
            }
        }
    }

    async fn health(&mut self) -> io::Result<()> {
        let leaving = self.shared.leaving.load(Ordering::Acquire);
        let status = if leaving { 503 } else { 200 };
        let instance = format!("X-Dfw-Instance: {}\r\n", self.shared.identity.instance);
        self.answer(status, "", &instance, b"").await
    }

    async fn exchange(&mut self) -> io::Result<Next> {
        let Some(head) = self.head().await? else {
            return Ok(Next::Close);
        };
        if head.target == "/healthz" {
            self.health().await?;
            return Ok(Next::Request);
        }
        let reached = Instant::now();
        self.shared.record().last_reached = Some(reached);
        if let Some(refused) = self.turned_away(&head).await? {
            return Ok(refused);
        }
        let answering = Answering::from_word(head.query().get("answer"));
        if answering == Answering::Early {
            self.note_run(&head, reached, "");
            self.failure(&head, 500).await?;
            self.body(head.body).await?;
            return Ok(Next::Request);
        }
        let body = self.body(head.body).await?;
        let Some(slot) = self.slot(&head).await? else {
            return self.full(&head).await;
        };
        self.note_run(&head, reached, &blake3::hash(&body).to_hex());
        let worked = self.work(&head).await;
        drop(slot);
        self.shared.record().running -= 1;
        match worked {
            Ok(()) => self.finish(&head, answering).await,
            Err(error) => {
                self.shared.record().given_up += 1;
                Err(error)
            }
        }
    }

    /// Requests without an id, and those for another instance.
    async fn turned_away(&mut self, head: &Head) -> io::Result<Option<Next>> {
        let identity = &self.shared.identity;
        let other = head
            .expected
            .as_ref()
            .is_some_and(|id| *id != identity.instance);
        let status = match (head.id.is_empty(), other) {
            (true, _) => 400,
            (_, true) => 421,
            _ => return Ok(None),
        };
        if other {
            self.shared.record().misdirected += 1;
        }
        let headers = format!(
            "X-Dfw-Not-Executed: 1\r\nX-Dfw-Instance: {}\r\n",
            identity.instance
        );
        self.body(head.body).await?;
        self.answer(status, &head.id, &headers, b"").await?;
        Ok(Some(Next::Request))
    }

    /// A slot, if there is one or the queue has room.
    async fn slot(&mut self, head: &Head) -> io::Result<Option<tokio::sync::OwnedSemaphorePermit>> {
        let slots = Arc::clone(&self.shared);
        let queue = u64::from(self.shared.behaviour().queue);
        let waiting = slots.waiting.fetch_add(1, Ordering::AcqRel);
        let room = slots.slots.available_permits() > 0 || waiting < queue;
        let left = Duration::from_millis(head.deadline_ms.unwrap_or(60_000));
        let taken = match room {
            true => {
                tokio::time::timeout(left, Arc::clone(&self.shared.slots).acquire_owned()).await
            }
            false => {
                slots.waiting.fetch_sub(1, Ordering::AcqRel);
                return Ok(None);
            }
        };
        slots.waiting.fetch_sub(1, Ordering::AcqRel);
        Ok(taken.ok().and_then(Result::ok))
    }

    async fn full(&mut self, head: &Head) -> io::Result<Next> {
        match self.shared.behaviour().on_full {
            OnFull::Refuse => {
                self.shared.record().refused += 1;
                self.answer(503, &head.id, "X-Dfw-Not-Executed: 1\r\n", b"")
                    .await?;
                Ok(Next::Request)
            }
            OnFull::Reset => Err(io::ErrorKind::ConnectionReset.into()),
            OnFull::Mute => Ok(Next::Mute),
        }
    }

    fn note_run(&self, head: &Head, reached: Instant, body_digest: &str) {
        let mut record = self.shared.record();
        record.running += 1;
        let runs = record.runs.entry(head.id.clone()).or_default();
        runs.push(Run {
            began: Instant::now(),
            reached,
            caller: head.caller.clone(),
            deadline_ms: head.deadline_ms,
            target: format!("{} {}{}", head.method, head.host, head.target),
            body_digest: body_digest.to_owned(),
        });
    }

    /// Works until the request is done; an error if its sender has gone.
    async fn work(&mut self, head: &Head) -> io::Result<()> {
        let work = head.number("work_ms").map(Duration::from_millis);
        let work = work.unwrap_or(self.shared.behaviour().work);
        let call = head.query().get("call").to_owned();
        let shared = Arc::clone(&self.shared);
        let working = async move {
            tokio::time::sleep(work).await;
            if !call.is_empty() {
                let entry = *lock(&shared.entry);
                call_other(entry, &call, &head.id).await;
            }
        };
        tokio::select! {
            () = working => Ok(()),
            gone = gone(&mut self.stream, &mut self.buffer) => Err(gone),
        }
    }

    async fn finish(&mut self, head: &Head, answering: Answering) -> io::Result<Next> {
        let bytes = head.number("bytes").unwrap_or(64);
        let body = filler(&head.id, bytes);
        let seal = format!("X-Dfw-Response-Seal: {}\r\n", seal_of(&head.id, bytes));
        match answering {
            Answering::Lost => return Ok(Next::Close),
            Answering::Failure | Answering::Early => self.failure(head, 500).await?,
            Answering::Cut => {
                let text = head_text(200, &head.id, &seal, Some(body.len()), false);
                self.stream.write_all(text.as_bytes()).await?;
                self.stream.write_all(&body[..body.len() / 2]).await?;
                return Ok(Next::Close);
            }
            Answering::Unframed => {
                let text = head_text(200, &head.id, &seal, None, true);
                self.stream.write_all(text.as_bytes()).await?;
                self.stream.write_all(&body).await?;
                self.stream.shutdown().await?;
                return Ok(Next::Close);
            }
            Answering::Whole => self.answer(200, &head.id, &seal, &body).await?,
            Answering::Extra | Answering::ExtraLate => {
                self.answer(200, &head.id, &seal, &body).await?;
                if answering == Answering::ExtraLate {
                    tokio::time::sleep(EXTRA_LATE).await;
                }
                self.answer(200, &head.id, &seal, &body).await?;
            }
        }
        let leaving = self.shared.leaving.load(Ordering::Acquire);
        Ok(match leaving {
            true => Next::Close,
            false => Next::Request,
        })
    }

    async fn failure(&mut self, head: &Head, status: u16) -> io::Result<()> {
        let seal = format!("X-Dfw-Response-Seal: failure.{}\r\n", head.id);
        self.answer(status, &head.id, &seal, b"failed").await
    }

    async fn answer(
        &mut self,
        status: u16,
        id: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let leaving = self.shared.leaving.load(Ordering::Acquire);
        let mut bytes = head_text(status, id, headers, Some(body.len()), leaving).into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await
    }

    /// Reads whatever comes and answers nothing.
    async fn swallow(mut self) {
        let mut space = [0; 1_024];
        while self.stream.read(&mut space).await.is_ok_and(|len| len > 0) {}
    }

    async fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some((head, len)) = parse(&self.buffer)? {
                self.buffer.advance(len);
                return Ok(Some(head));
            }
            let rested = Instant::now();
            if !self.fill().await? {
                return Ok(None);
            }
            let forgets = self.shared.behaviour().forgets_idle;
            if forgets.is_some_and(|after| rested.elapsed() > after) {
                self.stream.set_zero_linger()?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
    }

    async fn fill(&mut self) -> io::Result<bool> {
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    async fn body(&mut self, length: BodyLength) -> io::Result<Vec<u8>> {
        match length {
            BodyLength::Known(len) => self.exactly(len).await,
            BodyLength::Chunked => self.chunks().await,
        }
    }

    async fn exactly(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.split_to(len).to_vec())
    }

    async fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let (start, len) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete((start, len))) => break (start, len),
                    Ok(httparse::Status::Partial) => {
                        if !self.fill().await? {
                            return Err(io::ErrorKind::UnexpectedEof.into());
                        }
                    }
                    Err(_) => return Err(io::ErrorKind::InvalidData.into()),
                }
            };
            self.buffer.advance(start);
            let len = usize::try_from(len).map_err(|_| io::ErrorKind::InvalidData)?;
            // With the line break behind it.
            let chunk = self.exactly(len + 2).await?;
            if len == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..len]);
        }
    }
}

/// Ready once the other side has closed; what it sends meanwhile is kept.
async fn gone(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Error {
    loop {
        match stream.read_buf(buffer).await {
            Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
            Ok(_) => (),
            Err(error) => return error,
        }
    }
}

async fn call_other(entry: Option<SocketAddr>, target: &str, id: &str) {
    let Some(entry) = entry else { return };
    let (host, path) = target.split_once('/').unwrap_or((target, ""));
    let id = format!("{id}.call");
    let headers = [
        ("x-dfw-attempt-id", id.as_str()),
        ("x-dfw-deadline-ms", "10000"),
    ];
    let path = format!("/{path}");
    // What became of it is in the record of whoever ran it.
    let _ = request(entry, Method::GET, host, &path, &headers, "").await;
}

fn head_text(status: u16, id: &str, headers: &str, len: Option<usize>, close: bool) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("X-Dfw-Attempt-Id: {id}\r\n"),
    };
    let len = len.map_or_else(String::new, |len| format!("Content-Length: {len}\r\n"));
    let close = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 {status} Status\r\n{id}{headers}{len}{close}\r\n")
}

fn parse(bytes: &[u8]) -> io::Result<Option<(Head, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    let len = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(io::ErrorKind::InvalidData.into()),
    };
    let field = |name: &str| {
        let mut fields = parsed.headers.iter();
        let field = fields.find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(field.value).ok().map(str::to_owned)
    };
    let number = |name: &str| field(name).and_then(|text| text.parse().ok());
    let chunked = field("transfer-encoding").is_some();
    let body = match chunked {
        true => BodyLength::Chunked,
        false => BodyLength::Known(number("content-length").unwrap_or(0)),
    };
    let head = Head {
        method: parsed.method.unwrap_or("").to_owned(),
        target: parsed.path.unwrap_or("").to_owned(),
        id: field("x-dfw-attempt-id").unwrap_or_default(),
        host: field("host").unwrap_or_default(),
        expected: field("x-dfw-expected-instance"),
        deadline_ms: number("x-dfw-deadline-ms").map(|ms| ms as u64),
        caller: field("x-dfw-caller").unwrap_or_default(),
        body,
    };
    Ok(Some((head, len)))
}
