//! Writes the committed gRPC code from `proto/control.proto`.
//!
//! Run by hand after an edit of the file: `cargo run -p protogen`. The build itself needs no
//! generator.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = protox::compile([root.join("proto/control.proto")], [root.join("proto")])?;
    let out = root.join("src/peer/generated");
    std::fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .compile_fds(files)?;
    std::fs::rename(
        out.join("dragonflywall.control.v1.rs"),
        out.join("control.rs"),
    )?;
    println!("Wrote src/peer/generated/control.rs");
    Ok(())
}
