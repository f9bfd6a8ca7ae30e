//! Connects to peers, and counts the bytes of control traffic in both directions at the socket.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper_util::rt::TokioIo;
use metrics::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::codegen::Service;
use tonic::codegen::http::Uri;

use crate::util::dial::dial;

/// Opens TCP connections to one peer.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    pub(crate) address: SocketAddr,
    pub(crate) dial_from: Option<IpAddr>,
    pub(crate) timeout: Duration,
}

type Connecting = Pin<Box<dyn Future<Output = io::Result<TokioIo<CountedStream>>> + Send>>;

impl Service<Uri> for Connector {
    type Response = TokioIo<CountedStream>;
    type Error = io::Error;
    type Future = Connecting;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Connecting {
        let options = self.clone();
        Box::pin(async move {
            let stream = dial(options.address, options.dial_from, options.timeout).await?;
            Ok(TokioIo::new(CountedStream::new(stream)))
        })
    }
}

/// A TCP connection that counts its bytes in the metrics.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    sent_bytes: Counter,
    received_bytes: Counter,
}

impl CountedStream {
    fn new(stream: TcpStream) -> Self {
        metrics::counter!("dragonflywall_control_connections_total").increment(1);
        Self {
            stream,
            sent_bytes: metrics::counter!("dragonflywall_control_bytes_total", "direction" => "sent"),
            received_bytes: metrics::counter!(
                "dragonflywall_control_bytes_total", "direction" => "received"
            ),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.received_bytes.increment(read as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.sent_bytes.increment(*written as u64);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(written)) = &polled {
            self.sent_bytes.increment(*written as u64);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
