//! Runs the stand-in for the platform as a program, for meshes that are started by hand.
//!
//! `testkit-platform [ADDRESS]`

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
