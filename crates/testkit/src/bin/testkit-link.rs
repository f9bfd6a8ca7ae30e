//! Runs a link between two regions as a program, for meshes that are started by hand.
//!
//! The link forwards TCP connections from LISTEN to TARGET with a one-way delay and a bandwidth
//! limit. It reads commands from standard input, one per line: `cut` stops the traffic, `heal` lets it
//! pass again, and `bytes` prints the number of bytes forwarded so far.
//!
//! `testkit-link [LISTEN] [TARGET] [DELAY_MS] [MBIT_PER_S]`

use std::net::SocketAddr;
use std::time::Duration;

use testkit::network::{Forwarder, Network};
use tokio::io::{AsyncBufReadExt, BufReader};

/// Site of the target. Clients connect from an address without a site, which counts as site 0, in the
/// other region.
const TARGET_SITE: u8 = 1;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |position: usize, default: &str| {
        let given = arguments.get(position).map(String::as_str);
        given.unwrap_or(default).to_owned()
    };
    let listen: SocketAddr = argument(0, "127.0.0.1:7200").parse()?;
    let target: SocketAddr = argument(1, "127.0.0.1:7000").parse()?;
    let delay = Duration::from_millis(argument(2, "20").parse()?);
    let network = Network::new(vec![0, 1], argument(3, "30").parse()?);
    network.set_delays(Duration::ZERO, delay);
    let forwarder = Forwarder::open_at(&network, TARGET_SITE, listen).await?;
    forwarder.set_target(target);
    println!(
        "Forwarding {} to {target}; commands: cut, heal, bytes",
        forwarder.address
    );
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        match line.trim() {
            "cut" => network.set_cut(true, |_, _| true),
            "heal" => network.set_cut(false, |_, _| true),
            "bytes" => println!("Carried: {} bytes", network.bytes_between_regions()),
            other => println!("unknown command `{other}`; expected cut, heal or bytes"),
        }
    }
    std::future::pending().await
}
