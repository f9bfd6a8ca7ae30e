//! Connections of a backend server. They are handled without an HTTP library, since the injected faults
//! are responses that a library wouldn't send.

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

use super::journal::Event;
use super::{
    Behaviour, CrashMode, EndlessPart, OverloadAction, RawEnd, RawResponse, ResponseMode, Run,
    RunEnd, Shared, lock,
};
use crate::backend::generated_body;
use crate::http::{Query, request};

/// Limit on the header fields of a request; a request with more ends the connection.
const MAX_HEADERS: usize = 64;
/// Status of the response to a request that failed.
const FAILURE_STATUS: u16 = 500;
/// Pause before the second response of [`ResponseMode::DuplicatedLate`], long enough for the client to
/// reuse the connection.
const DUPLICATE_DELAY: Duration = Duration::from_millis(40);
/// Pause between the response of [`ResponseMode::EarlyClose`] and the end of its connection, in which the response reaches
/// the caller.
const EARLY_CLOSE_DELAY: Duration = Duration::from_millis(40);

/// Pause between the last byte of a response that is cut and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(5);

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
            // The result is ignored: the client sees how the connection ends.
            stop.run_until_cancelled(connection.serve()).await;
        });
    }
}

/// Returns the value of the header `x-dfw-response-seal` for a response with a body of `bytes` bytes. It
/// contains the request id, the length of the body and its digest.
pub fn response_seal(id: &str, bytes: u64) -> String {
    let digest = blake3::hash(&generated_body(id, bytes)).to_hex();
    format!("{id}.{bytes}.{digest}")
}

/// Request line and headers of a request, as far as the backend server uses them.
struct RequestHead {
    method: String,
    target: String,
    id: String,
    host: String,
    expected_instance: Option<String>,
    deadline_ms: Option<u64>,
    caller: String,
    organisation: Option<String>,
    has_credentials: bool,
    body_length: BodyLength,
}

#[derive(Clone, Copy)]
enum BodyLength {
    Known(usize),
    Chunked,
}

impl RequestHead {
    fn query(&self) -> Query<'_> {
        let query = self.target.split_once('?');
        Query(query.map_or("", |(_, query)| query))
    }

    fn query_number(&self, name: &str) -> Option<u64> {
        self.query().get(name).parse().ok()
    }

    /// Method, host, path and query.
    fn full_target(&self) -> String {
        format!("{} {}{}", self.method, self.host, self.target)
    }

    /// Status of the response to the request after its run.
    fn status(&self) -> u16 {
        self.query().get("status").parse().unwrap_or(200)
    }
}

/// What to do with the connection after a request.
enum NextStep {
    Request,
    Close,
    /// Keep the connection open and never respond on it again.
    NeverAnswer,
}

/// How the work for a request ended.
enum WorkOutcome {
    /// It is done, and so are the calls that it needs.
    Succeeded,
    /// A call that it needs has failed.
    Failed,
    /// It was given up, and is denied.
    Denied,
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    shared: Arc<Shared>,
}

impl Connection {
    async fn serve(mut self) {
        loop {
            let next = match self.serve_request().await {
                Ok(next) => next,
                Err(_) => return,
            };
            match next {
                NextStep::Request => (),
                NextStep::Close => return,
                NextStep::NeverAnswer => return self.discard_input().await,
            }
        }
    }

    async fn send_health(&mut self) -> io::Result<()> {
        let draining = self.shared.draining.load(Ordering::Acquire);
        let status = if draining { 503 } else { 200 };
        let mut headers = format!("X-Dfw-Instance: {}\r\n", self.shared.identity.instance);
        if !lock(&self.shared.statement).not_in_health_checks {
            headers.push_str(&self.shared.next_statement_headers());
        }
        self.send(status, "", &headers, b"").await
    }

    async fn serve_request(&mut self) -> io::Result<NextStep> {
        let Some(head) = self.read_head().await? else {
            return Ok(NextStep::Close);
        };
        let arrived_at = Instant::now();
        self.shared.record().arrivals.push(arrived_at);
        if head.target == "/healthz" {
            self.send_health().await?;
            return Ok(NextStep::Request);
        }
        {
            let mut record = self.shared.record();
            record.requests += 1;
            record.last_arrival = Some(arrived_at);
        }
        self.record_event(&head, Event::Received);
        if let Some(next) = self.reject_misaddressed(&head).await? {
            return Ok(next);
        }
        let response_mode = ResponseMode::from_query_value(head.query().get("answer"));
        if let Some(next) = self.respond_early(&head, arrived_at, response_mode).await? {
            return Ok(next);
        }
        let Behaviour {
            sheds_percent,
            sheds_early,
            denies_percent,
            ..
        } = self.shared.behaviour();
        let instance = &self.shared.identity.instance;
        let is_shed = is_drawn(instance, &head.id, sheds_percent);
        if is_shed && sheds_early {
            let next = self.reject_overload(&head).await?;
            self.read_body(head.body_length).await?;
            return Ok(next);
        }
        let body = self.read_body(head.body_length).await?;
        if is_shed {
            return self.reject_overload(&head).await;
        }
        let Some(slot) = self.acquire_slot(&head).await? else {
            return self.reject_overload(&head).await;
        };
        if self.shared.denies.is_cancelled() {
            return self.send_not_run(&head).await;
        }
        self.record_run(&head, arrived_at, &blake3::hash(&body).to_hex());
        let instance = &self.shared.identity.instance;
        if is_drawn(instance, &format!("denied {}", head.id), denies_percent) {
            self.shared.record().running -= 1;
            self.record_end(&head, Some(503));
            return self.send_not_run(&head).await;
        }
        let result = self.run(&head).await;
        drop(slot);
        let runs = self.shared.record().runs.len() as u64;
        let fails_one_in = self.shared.behaviour().fails_one_in;
        let response_mode = match fails_one_in.is_some_and(|one_in| runs.is_multiple_of(one_in)) {
            true => ResponseMode::Failure,
            false => response_mode,
        };
        self.shared.record().running -= 1;
        if let Some(mode) = CrashMode::from_query_value(head.query().get("crash")) {
            self.shared.end(mode);
        }
        if self.shared.has_ended() {
            return Ok(NextStep::NeverAnswer);
        }
        let response_mode = match result {
            Ok(WorkOutcome::Failed) => ResponseMode::Failure,
            Ok(WorkOutcome::Succeeded) => response_mode,
            Ok(WorkOutcome::Denied) => {
                self.record_end(&head, Some(503));
                return self.send_not_run(&head).await;
            }
            Err(error) => {
                self.record_end(&head, None);
                self.shared.record().abandoned += 1;
                self.record_event(&head, Event::Dropped);
                return Err(error);
            }
        };
        let status = match response_mode {
            ResponseMode::Failure => FAILURE_STATUS,
            _ => head.status(),
        };
        self.record_end(&head, Some(status));
        self.record_event(&head, Event::Ended { status });
        let next = self.send_response(&head, response_mode).await?;
        self.record_event(&head, Event::Answered);
        Ok(next)
    }

    fn record_event(&self, head: &RequestHead, event: Event) {
        self.shared
            .record_event(&head.id, &head.full_target(), event);
    }

    /// Responds with 400 to a request without an id, and with 421 to one for another instance. Returns
    /// `None` if the request is neither.
    async fn reject_misaddressed(&mut self, head: &RequestHead) -> io::Result<Option<NextStep>> {
        let identity = &self.shared.identity;
        let is_misdirected = head
            .expected_instance
            .as_ref()
            .is_some_and(|id| *id != identity.instance);
        let status = match (head.id.is_empty(), is_misdirected) {
            (true, _) => 400,
            (_, true) => 421,
            _ => return Ok(None),
        };
        if is_misdirected {
            self.shared.record().misdirected += 1;
        }
        let headers = format!(
            "X-Dfw-Not-Executed: 1\r\nX-Dfw-Instance: {}\r\n",
            identity.instance
        );
        self.record_event(head, Event::Rejected { status });
        self.read_body(head.body_length).await?;
        self.write_response(status, &head.id, &headers, b"").await?;
        Ok(Some(NextStep::Request))
    }

    /// Waits for a slot until the request's deadline, or 60 seconds if it has none. Returns `None` if
    /// there is no slot by then, or at once if the queue is full.
    async fn acquire_slot(
        &mut self,
        head: &RequestHead,
    ) -> io::Result<Option<tokio::sync::OwnedSemaphorePermit>> {
        let shared = Arc::clone(&self.shared);
        let queue = u64::from(self.shared.behaviour().queue_len);
        let waiting = shared.waiting.fetch_add(1, Ordering::AcqRel);
        let has_room = shared.slots.available_permits() > 0 || waiting < queue;
        let time_left = Duration::from_millis(head.deadline_ms.unwrap_or(60_000));
        if !has_room {
            shared.waiting.fetch_sub(1, Ordering::AcqRel);
            return Ok(None);
        }
        let slot = Arc::clone(&shared.slots).acquire_owned();
        let acquired = tokio::select! {
            biased;
            acquired = tokio::time::timeout(time_left, slot) => Ok(acquired.ok().and_then(Result::ok)),
            error = wait_disconnect(&mut self.stream, &mut self.buffer) => Err(error),
        };
        shared.waiting.fetch_sub(1, Ordering::AcqRel);
        if acquired.is_err() {
            self.record_event(head, Event::Dropped);
        }
        acquired
    }

    async fn reject_overload(&mut self, head: &RequestHead) -> io::Result<NextStep> {
        match self.shared.behaviour().overload_action {
            OverloadAction::Refuse => {
                self.shared.record().refused += 1;
                self.send_not_run(head).await
            }
            OverloadAction::Reset => {
                self.record_event(head, Event::Ignored);
                Err(io::ErrorKind::ConnectionReset.into())
            }
            OverloadAction::NeverAnswer => {
                self.record_event(head, Event::Ignored);
                Ok(NextStep::NeverAnswer)
            }
        }
    }

    /// Responds with the statement that the request did not run, which is false if it was begun.
    async fn send_not_run(&mut self, head: &RequestHead) -> io::Result<NextStep> {
        self.record_event(head, Event::Rejected { status: 503 });
        self.write_response(503, &head.id, "X-Dfw-Not-Executed: 1\r\n", b"not run\n")
            .await?;
        Ok(NextStep::Request)
    }

    fn record_run(&self, head: &RequestHead, arrived_at: Instant, body_digest: &str) {
        self.record_event(head, Event::Begun);
        let mut record = self.shared.record();
        record.running += 1;
        let runs = record.runs.entry(head.id.clone()).or_default();
        runs.push(Run {
            started_at: Instant::now(),
            arrived_at,
            caller: head.caller.clone(),
            organisation: head.organisation.clone(),
            has_credentials: head.has_credentials,
            deadline_ms: head.deadline_ms,
            target: head.full_target(),
            body_digest: body_digest.to_owned(),
            end: None,
        });
    }

    fn record_end(&self, head: &RequestHead, status: Option<u16>) {
        let mut record = self.shared.record();
        let runs = record.runs.get_mut(&head.id);
        if let Some(run) = runs.and_then(|runs| runs.last_mut()) {
            run.end = Some(RunEnd {
                ended_at: Instant::now(),
                status,
            });
        }
    }

    /// Runs the request until it ends or is denied; returns an error if the client disconnects first.
    async fn run(&mut self, head: &RequestHead) -> io::Result<WorkOutcome> {
        let work = head.query_number("work_ms").map(Duration::from_millis);
        let work = work.unwrap_or(self.shared.behaviour().default_work_time);
        let call = head.query().get("call").to_owned();
        let needed_call = head.query().get("needs").to_owned();
        let shared = Arc::clone(&self.shared);
        let working = async move {
            tokio::time::sleep(work).await;
            let caller_listener = *lock(&shared.caller_listener);
            if !call.is_empty() {
                // The result is ignored: tests look at the record of the backend server that ran the call.
                call_service(caller_listener, &call, &head.id).await;
            }
            match needed_call.is_empty() {
                true => WorkOutcome::Succeeded,
                false => call_service(caller_listener, &needed_call, &head.id).await,
            }
        };
        let denies = self.shared.denies.clone();
        tokio::select! {
            biased;
            () = denies.cancelled() => Ok(WorkOutcome::Denied),
            outcome = working => Ok(outcome),
            error = wait_disconnect(&mut self.stream, &mut self.buffer) => Err(error),
        }
    }

    async fn send_response(
        &mut self,
        head: &RequestHead,
        response_mode: ResponseMode,
    ) -> io::Result<NextStep> {
        if let Some(part) = EndlessPart::from_query_value(head.query().get("endless")) {
            return self.send_endless(head, part).await;
        }
        if let Some(raw) = RawResponse::from_query(head.query()) {
            return self.send_raw(&raw).await;
        }
        let bytes = head.query_number("bytes").unwrap_or(64);
        let body = generated_body(&head.id, bytes);
        let seal = format!(
            "X-Dfw-Response-Seal: {}\r\n",
            response_seal(&head.id, bytes)
        );
        if let Some(cut) = head.query_number("cut") {
            return self.send_cut(head, &seal, &body, cut).await;
        }
        match response_mode {
            ResponseMode::Closed => return Ok(NextStep::Close),
            ResponseMode::Denied => return self.send_not_run(head).await,
            ResponseMode::DeniedClose => {
                self.send_not_run(head).await?;
                return Ok(NextStep::Close);
            }
            ResponseMode::Failure
            | ResponseMode::EarlyFailure
            | ResponseMode::EarlyClose
            | ResponseMode::EarlyStall => self.send_failure(head, FAILURE_STATUS).await?,
            ResponseMode::Complete if head.status() != 200 => {
                self.send_failure(head, head.status()).await?;
            }
            ResponseMode::Truncated => {
                let seal = seal + &self.shared.next_statement_headers();
                let text = format_response_head(200, &head.id, &seal, Some(body.len()), false);
                self.stream.write_all(text.as_bytes()).await?;
                self.stream.write_all(&body[..body.len() / 2]).await?;
                return Ok(NextStep::Close);
            }
            ResponseMode::WithoutLength => {
                let seal = seal + &self.shared.next_statement_headers();
                let text = format_response_head(200, &head.id, &seal, None, true);
                self.stream.write_all(text.as_bytes()).await?;
                self.stream.write_all(&body).await?;
                self.stream.shutdown().await?;
                return Ok(NextStep::Close);
            }
            ResponseMode::Complete => self.write_halting(head, &seal, &body).await?,
            ResponseMode::Duplicated | ResponseMode::DuplicatedLate => {
                self.write_response(200, &head.id, &seal, &body).await?;
                if response_mode == ResponseMode::DuplicatedLate {
                    tokio::time::sleep(DUPLICATE_DELAY).await;
                }
                self.write_response(200, &head.id, &seal, &body).await?;
            }
            ResponseMode::RefusedLate | ResponseMode::RejectedLate => {
                self.write_response(200, &head.id, &seal, &body).await?;
                tokio::time::sleep(DUPLICATE_DELAY).await;
                let headers = match response_mode {
                    ResponseMode::RejectedLate => "X-Dfw-Not-Executed: 1\r\n",
                    _ => "",
                };
                self.write_response(503, "", headers, b"").await?;
            }
        }
        let draining = self.shared.draining.load(Ordering::Acquire);
        Ok(match draining {
            true => NextStep::Close,
            false => NextStep::Request,
        })
    }

    /// Sends the first `cut` bytes of a response and closes the connection.
    async fn send_cut(
        &mut self,
        head: &RequestHead,
        headers: &str,
        body: &[u8],
        cut: u64,
    ) -> io::Result<NextStep> {
        let (headers, len, body) = match head.query().get("framing") {
            "chunks" => {
                let mut chunk = format!("{:x}\r\n", body.len()).into_bytes();
                chunk.extend_from_slice(body);
                chunk.extend_from_slice(b"\r\n0\r\n\r\n");
                let headers = format!("{headers}Transfer-Encoding: chunked\r\n");
                (headers, None, chunk)
            }
            "close" => (
                format!("{headers}Connection: close\r\n"),
                None,
                body.to_vec(),
            ),
            _ => (headers.to_owned(), Some(body.len()), body.to_vec()),
        };
        let text = format_response_head(200, &head.id, &headers, len, false);
        let mut response = text.into_bytes();
        response.extend_from_slice(&body);
        response.truncate(usize::try_from(cut).unwrap_or(usize::MAX));
        self.stream.write_all(&response).await?;
        if head.query_number("reset").is_some() {
            // What was sent arrives before the reset.
            tokio::time::sleep(RESET_DELAY).await;
            self.stream.set_zero_linger()?;
        }
        Ok(NextStep::Close)
    }

    /// Sends a response byte by byte as the request asks for it.
    async fn send_raw(&mut self, raw: &RawResponse) -> io::Result<NextStep> {
        self.stream.write_all(&raw.bytes).await?;
        match raw.end {
            RawEnd::KeepOpen => return Ok(NextStep::Request),
            RawEnd::Close => self.stream.shutdown().await?,
            RawEnd::Reset { delay } => {
                tokio::time::sleep(delay).await;
                self.stream.set_zero_linger()?;
            }
        }
        Ok(NextStep::Close)
    }

    /// Writes a complete response, with the pause that the request asks for after half of the body.
    async fn write_halting(
        &mut self,
        head: &RequestHead,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let Some(halt_ms) = head.query_number("halt_ms") else {
            return self.write_response(200, &head.id, headers, body).await;
        };
        let headers = headers.to_owned() + &self.shared.next_statement_headers();
        let text = format_response_head(200, &head.id, &headers, Some(body.len()), false);
        let (first, second) = body.split_at(body.len() / 2);
        self.stream.write_all(text.as_bytes()).await?;
        self.stream.write_all(first).await?;
        tokio::time::sleep(Duration::from_millis(halt_ms)).await;
        self.stream.write_all(second).await
    }

    /// Sends a response that never ends, until the client closes the connection.
    async fn send_endless(
        &mut self,
        head: &RequestHead,
        part: EndlessPart,
    ) -> io::Result<NextStep> {
        let pause = Duration::from_millis(head.query_number("pause_ms").unwrap_or(0));
        let pieces = part.pieces(&head.id);
        let mut sent = self.stream.write_all(&pieces.start).await;
        while sent.is_ok() {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            sent = match pieces.repeated.is_empty() {
                true => Err(wait_disconnect(&mut self.stream, &mut self.buffer).await),
                false => self.stream.write_all(pieces.repeated.as_bytes()).await,
            };
        }
        self.shared.record().endless_closed += 1;
        Ok(NextStep::Close)
    }

    /// Responds before the body of the request has been read, in the modes that do so.
    async fn respond_early(
        &mut self,
        head: &RequestHead,
        arrived_at: Instant,
        response_mode: ResponseMode,
    ) -> io::Result<Option<NextStep>> {
        let raw = RawResponse::from_query(head.query());
        if let Some(raw) = raw.filter(|raw| raw.is_early) {
            self.record_run(head, arrived_at, "");
            return self.send_raw(&raw).await.map(Some);
        }
        match response_mode {
            ResponseMode::EarlyFailure => {
                self.record_run(head, arrived_at, "");
                self.send_failure(head, FAILURE_STATUS).await?;
                self.read_body(head.body_length).await?;
                Ok(Some(NextStep::Request))
            }
            ResponseMode::EarlyClose => {
                self.record_run(head, arrived_at, "");
                let headers = "Connection: close\r\n";
                self.write_response(FAILURE_STATUS, &head.id, headers, b"failed")
                    .await?;
                tokio::time::sleep(EARLY_CLOSE_DELAY).await;
                Ok(Some(NextStep::Close))
            }
            ResponseMode::EarlyStall => {
                self.record_run(head, arrived_at, "");
                self.send_failure(head, FAILURE_STATUS).await?;
                std::future::pending().await
            }
            _ => Ok(None),
        }
    }

    async fn send_failure(&mut self, head: &RequestHead, status: u16) -> io::Result<()> {
        let seal = format!("X-Dfw-Response-Seal: failure.{}\r\n", head.id);
        self.write_response(status, &head.id, &seal, b"failed")
            .await
    }

    async fn write_response(
        &mut self,
        status: u16,
        id: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let headers = format!("{headers}{}", self.shared.next_statement_headers());
        self.send(status, id, &headers, body).await
    }

    async fn send(&mut self, status: u16, id: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let draining = self.shared.draining.load(Ordering::Acquire);
        let mut bytes =
            format_response_head(status, id, headers, Some(body.len()), draining).into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await
    }

    /// Reads and discards all input until the client disconnects.
    async fn discard_input(mut self) {
        let mut discarded = [0; 1_024];
        while self
            .stream
            .read(&mut discarded)
            .await
            .is_ok_and(|len| len > 0)
        {}
    }

    async fn read_head(&mut self) -> io::Result<Option<RequestHead>> {
        loop {
            if let Some((head, len)) = parse_head(&self.buffer)? {
                self.buffer.advance(len);
                return Ok(Some(head));
            }
            let idle_since = Instant::now();
            if !self.read_more().await? {
                return Ok(None);
            }
            let resets_after = self.shared.behaviour().resets_idle_after;
            if resets_after.is_some_and(|after| idle_since.elapsed() > after) {
                // Without lingering, closing the connection sends a reset.
                self.stream.set_zero_linger()?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
    }

    async fn read_more(&mut self) -> io::Result<bool> {
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    async fn read_body(&mut self, length: BodyLength) -> io::Result<Vec<u8>> {
        match length {
            BodyLength::Known(len) => self.read_exactly(len).await,
            BodyLength::Chunked => self.read_chunked_body().await,
        }
    }

    async fn read_exactly(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            if !self.read_more().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.split_to(len).to_vec())
    }

    async fn read_chunked_body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let (start, len) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete((start, len))) => break (start, len),
                    Ok(httparse::Status::Partial) => {
                        if !self.read_more().await? {
                            return Err(io::ErrorKind::UnexpectedEof.into());
                        }
                    }
                    Err(_) => return Err(io::ErrorKind::InvalidData.into()),
                }
            };
            self.buffer.advance(start);
            let len = usize::try_from(len).map_err(|_| io::ErrorKind::InvalidData)?;
            // Two more bytes for the line break after the chunk.
            let chunk = self.read_exactly(len + 2).await?;
            if len == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..len]);
        }
    }
}

/// Draws a share of the requests. Each instance draws on its own.
fn is_drawn(instance: &str, id: &str, percent: u32) -> bool {
    let hash = blake3::hash(format!("{instance} {id}").as_bytes());
    u32::from(hash.as_bytes()[0]) * 100 < percent * 256
}

/// Waits until the client disconnects, and returns the error that describes how. Bytes that arrive
/// meanwhile are kept in `buffer` for the next request.
async fn wait_disconnect(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Error {
    loop {
        match stream.read_buf(buffer).await {
            Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
            Ok(_) => (),
            Err(error) => return error,
        }
    }
}

/// Stands for the id of the calling request in the target of a call.
const PARENT_ID: &str = "~id~";

async fn call_service(listener: Option<SocketAddr>, target: &str, id: &str) -> WorkOutcome {
    let Some(listener) = listener else {
        return WorkOutcome::Failed;
    };
    let target = target.replace(PARENT_ID, id);
    let (host, path) = target.split_once('/').unwrap_or((&target, ""));
    let id = format!("{id}.call");
    let headers = [
        ("x-dfw-attempt-id", id.as_str()),
        ("x-dfw-deadline-ms", "10000"),
    ];
    let path = format!("/{path}");
    let reply = request(listener, Method::GET, host, &path, &headers, "").await;
    match reply.is_ok_and(|reply| reply.status.is_success()) {
        true => WorkOutcome::Succeeded,
        false => WorkOutcome::Failed,
    }
}

pub(super) fn format_response_head(
    status: u16,
    id: &str,
    headers: &str,
    len: Option<usize>,
    close: bool,
) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("X-Dfw-Attempt-Id: {id}\r\n"),
    };
    let len = len.map_or_else(String::new, |len| format!("Content-Length: {len}\r\n"));
    let close = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 {status} Status\r\n{id}{headers}{len}{close}\r\n")
}

fn parse_head(bytes: &[u8]) -> io::Result<Option<(RequestHead, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let len = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(io::ErrorKind::InvalidData.into()),
    };
    let header = |name: &str| {
        let mut headers = parsed.headers.iter();
        let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(str::to_owned)
    };
    let number = |name: &str| header(name).and_then(|text| text.parse().ok());
    let chunked = header("transfer-encoding").is_some();
    let body_length = match chunked {
        true => BodyLength::Chunked,
        false => BodyLength::Known(number("content-length").unwrap_or(0)),
    };
    let head = RequestHead {
        method: parsed.method.unwrap_or("").to_owned(),
        target: parsed.path.unwrap_or("").to_owned(),
        id: header("x-dfw-attempt-id").unwrap_or_default(),
        host: header("host").unwrap_or_default(),
        expected_instance: header("x-dfw-expected-instance"),
        deadline_ms: number("x-dfw-deadline-ms").map(|ms| ms as u64),
        caller: header("x-dfw-caller").unwrap_or_default(),
        organisation: header("x-dfw-tenant"),
        has_credentials: header("authorization").is_some(),
        body_length,
    };
    Ok(Some((head, len)))
}
