//! Runs the stand-in for a backend server as a program, for meshes that are started by hand.
//!
//! `testkit-backend [ADDRESS] [NAME]`

use std::net::SocketAddr;

use testkit::backend::{Backend, Behaviour};

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let address = arguments.next();
    let address: SocketAddr = address.as_deref().unwrap_or("127.0.0.1:7100").parse()?;
    let name = arguments.next().unwrap_or_else(|| "backend".to_owned());
    let backend = Backend::start(address, &name, Behaviour::default()).await?;
    println!("Serving backend server `{name}` at {}", backend.address);
    std::future::pending().await
}
