//! HTTP servers for operators and for the requests of the users' platform.

use std::sync::Arc;

use http::Request;
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::node::operator::Operator;
use crate::proxy::body;
use crate::proxy::listener::{Builder, has_valid_token, serve_listener, unauthorized};

/// Serves requests of operators and announcements of the VM's backend server.
pub(crate) async fn serve(listener: TcpListener, operator: Arc<Operator>, stop: CancellationToken) {
    let handle = move |request: Request<Incoming>| {
        let operator = Arc::clone(&operator);
        async move {
            // Readiness is checked by the system that replaces VMs, which does not have the mesh token.
            let is_public = request.uri().path() == "/ready";
            if !is_public && !has_valid_token(&operator.node.proxy, &request) {
                return unauthorized();
            }
            operator.handle(request).await.map(body::boxed)
        }
    };
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new());
    serve_listener(listener, builder, stop.clone(), stop, handle).await;
}

/// Serves the platform's readiness checks or the announcements of the VM's backend server, which each have a
/// listener. Requests need no token.
pub(crate) async fn serve_platform(
    listener: TcpListener,
    operator: Arc<Operator>,
    stop: CancellationToken,
) {
    let handle = move |request: Request<Incoming>| {
        let operator = Arc::clone(&operator);
        async move { operator.handle_platform(request).await.map(body::boxed) }
    };
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    // Clients send one request a second, often on a new connection, and an open connection takes 30 KB.
    builder.http1().timer(TokioTimer::new()).keep_alive(false);
    serve_listener(listener, builder, stop.clone(), stop, handle).await;
}
