//! Writes the committed gRPC code from `proto/control.proto`.
//!
//! Run by hand after an edit of the file: `cargo run -p protogen`. The build itself needs no
//! generator.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file_descriptors =
        protox::compile([root.join("proto/control.proto")], [root.join("proto")])?;
    let output_directory = root.join("src/peer/generated");
    std::fs::create_dir_all(&output_directory)?;
    tonic_prost_build::configure()
        .out_dir(&output_directory)
        .compile_fds(file_descriptors)?;
    std::fs::rename(
        output_directory.join("dragonflywall.control.v1.rs"),
        output_directory.join("control.rs"),
    )?;
    println!("Wrote src/peer/generated/control.rs");
    Ok(())
}
