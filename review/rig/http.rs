//! HTTP/1.1 over blocking sockets: reads requests and responses, and makes single requests.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection, with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let len = self.stream.read(&mut chunk)?;
        self.unread.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    fn take(&mut self, len: usize) -> Vec<u8> {
        let rest = self.unread.split_off(len);
        std::mem::replace(&mut self.unread, rest)
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2);
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take_exactly(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.take(len))
    }

    /// Reads the head of the next message. `None` if the connection has ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        while self.unread.is_empty() {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let mut message = Message {
            first_line: self.take_line()?,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
    }

    /// Reads the body of a message whose head was read. Without a length it has none.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.take_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.take_line()?.is_empty() {}
                    return Ok(());
                }
                let chunk = self.take_exactly(size)?;
                message.body.extend_from_slice(&chunk);
                self.take_line()?;
            }
        }
        let len = message.header("content-length").unwrap_or("0");
        let len = len.parse().unwrap_or(0);
        message.body = self.take_exactly(len)?;
        Ok(())
    }

    /// Reads a whole message. `None` if the connection has ended before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Makes one request on a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    connection.write(&bytes)?;
    let response = connection.read()?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Formats a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Accepts connections in a thread, and serves each in one of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
}
