//! The platform stand-in as a program, for meshes started by hand.

use std::net::SocketAddr;

use testkit::platform::Platform;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let address = std::env::args().nth(1);
    let address: SocketAddr = address.as_deref().unwrap_or("127.0.0.1:7000").parse()?;
    let platform = Platform::start(address).await?;
    println!("Serving the platform stand-in at {}", platform.url());
    std::future::pending().await
}
