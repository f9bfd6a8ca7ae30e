//! The listeners for operators and for what the users' platform asks.

use std::sync::Arc;

use http::Request;
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::node::operator::Operator;
use crate::proxy::body;
use crate::proxy::listener::{Builder, has_valid_token, serve_listener, unauthorized};

/// Answers operators and the backend server of the VM.
pub(crate) async fn serve(listener: TcpListener, operator: Arc<Operator>, stop: CancellationToken) {
    let handle = move |request: Request<Incoming>| {
        let operator = Arc::clone(&operator);
        async move {
            // Whoever restarts VMs asks for readiness and holds no secret of the mesh.
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

/// Answers the platform's questions for readiness and takes what the VM's backend server says, each
/// at an address of its own. Whoever reaches these addresses may ask.
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
    // Asked once a second by whoever does, often on a new connection, and each holds 30 KB.
    builder.http1().timer(TokioTimer::new()).keep_alive(false);
    serve_listener(listener, builder, stop.clone(), stop, handle).await;
}
