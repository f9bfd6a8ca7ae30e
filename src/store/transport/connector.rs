//! Opens connections to a store on which only valid responses are read.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::util::response_filter::FilteredStream;

/// Error of opening a connection.
type Error = <HttpConnector as Service<Uri>>::Error;

/// Result of opening a connection.
type Result<T, E = Error> = std::result::Result<T, E>;

/// Opens TCP connections and checks what is read from them.
#[derive(Clone, Debug)]
pub(super) struct FilteringConnector(pub(super) HttpConnector);

impl Service<Uri> for FilteringConnector {
    type Response = TokioIo<FilteredStream<TcpStream>>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, store: Uri) -> Self::Future {
        let connecting = self.0.call(store);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(FilteredStream::unmatched(stream)))
        })
    }
}

impl Connection for FilteredStream<TcpStream> {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}
