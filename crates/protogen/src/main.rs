//! Generates the gRPC code in `src/peer/generated` from `proto/control.proto`.
//!
//! The generated code is committed, so a normal build doesn't run this program. Run it after each
//! change of the `.proto` file: `cargo run -p protogen`.

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
