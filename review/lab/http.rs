//! HTTP/1.1 as far as the stand-ins need it, with control over when each byte is sent.

use super::*;

/// Head of a request or response, and what was read behind it.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub rest: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let rest = buffer[end + 4..].to_vec();
            let mut lines = text.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers =
                headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
            return Ok(Some(Message {
                first_line,
                headers: headers.collect(),
                rest,
            }));
        }
        let mut chunk = [0; 16_384];
        let len = stream.read(&mut chunk)?;
        if len == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..len]);
    }
}

/// Reads the body of `message` into memory and returns it with the bytes behind it.
pub fn read_body(stream: &mut TcpStream, message: &Message) -> std::io::Result<(Vec<u8>, Vec<u8>)> {
    let mut data = message.rest.clone();
    let mut chunk = [0; 16_384];
    let mut more = |data: &mut Vec<u8>| -> std::io::Result<()> {
        let len = stream.read(&mut chunk)?;
        if len == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        data.extend_from_slice(&chunk[..len]);
        Ok(())
    };
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|te| te.to_lowercase().contains("chunked"));
    if !chunked {
        let len: usize = message
            .header("content-length")
            .and_then(|len| len.parse().ok())
            .unwrap_or(0);
        while data.len() < len {
            more(&mut data)?;
        }
        let rest = data.split_off(len);
        return Ok((data, rest));
    }
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            match data.windows(2).position(|window| window == b"\r\n") {
                Some(end) => break end,
                None => more(&mut data)?,
            }
        };
        let size = String::from_utf8_lossy(&data[..line_end]).into_owned();
        let size =
            usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16).unwrap_or(0);
        if size == 0 {
            // The trailer section ends with an empty line.
            loop {
                if let Some(end) = data[line_end..]
                    .windows(4)
                    .position(|window| window == b"\r\n\r\n")
                {
                    return Ok((body, data.split_off(line_end + end + 4)));
                }
                more(&mut data)?;
            }
        }
        while data.len() < line_end + 2 + size + 2 {
            more(&mut data)?;
        }
        body.extend_from_slice(&data[line_end + 2..line_end + 2 + size]);
        data.drain(..line_end + 2 + size + 2);
    }
}

/// What a client has seen of one request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub sealed: bool,
    /// Milliseconds from the sending to the head, and to the end of the answer.
    pub head_ms: Option<u64>,
    pub end_ms: Option<u64>,
    pub body_bytes: usize,
    pub complete: bool,
    pub error: String,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.sealed && self.complete
    }
}

pub struct ClientRequest<'a> {
    pub to: SocketAddr,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// Further header lines, each with its line break.
    pub headers: &'a str,
    /// Sent as it is behind the head.
    pub body: &'a [u8],
    /// How long the client watches the connection.
    pub watch: Duration,
}

/// Sends one request on a new connection and watches what comes back.
pub fn send(request: &ClientRequest<'_>) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    if let Err(error) = exchange(request, started, &mut answer) {
        answer.error = format!("{:?}", error.kind());
    }
    answer
}

fn exchange(
    request: &ClientRequest<'_>,
    started: Instant,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let elapsed_ms = || started.elapsed().as_millis() as u64;
    let mut stream = TcpStream::connect_timeout(&request.to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Dfw-Attempt-Id: {}\r\nX-Dfw-Deadline-Ms: {}\r\n",
        request.method, request.path, request.host, request.id, request.deadline_ms
    );
    head.push_str(request.headers);
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(request.body);
    stream.write_all(&bytes)?;
    let mut chunk = [0; 16_384];
    let mut data = Vec::new();
    let mut expected: Option<usize> = None;
    loop {
        let left = request.watch.saturating_sub(started.elapsed());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let len = match stream.read(&mut chunk) {
            Ok(len) => len,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            Err(error) => {
                answer.end_ms = Some(elapsed_ms());
                return Err(error);
            }
        };
        if len == 0 {
            answer.end_ms = Some(elapsed_ms());
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        data.extend_from_slice(&chunk[..len]);
        if answer.head_ms.is_none() {
            let Some(end) = data.windows(4).position(|window| window == b"\r\n\r\n") else {
                continue;
            };
            answer.head_ms = Some(elapsed_ms());
            let text = String::from_utf8_lossy(&data[..end]).to_lowercase();
            answer.status = text
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok())
                .unwrap_or(0);
            answer.sealed = text.contains("\r\nx-dfw-response-seal:");
            let mut lines = text.split("\r\n");
            let length = lines.find_map(|line| line.strip_prefix("content-length:"));
            expected = length.and_then(|len| len.trim().parse().ok());
            data.drain(..end + 4);
        }
        answer.body_bytes = data.len();
        let ended = match expected {
            Some(len) => data.len() >= len,
            None => data.ends_with(b"0\r\n\r\n"),
        };
        if ended {
            answer.end_ms = Some(elapsed_ms());
            answer.complete = true;
            return Ok(());
        }
    }
}

/// Sends a call without a body worth reading and returns its status.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let message = read_head(&mut stream, &mut Vec::new()).ok()??;
    message.first_line.split(' ').nth(1)?.parse().ok()
}
