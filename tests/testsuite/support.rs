//! What several tests need: the program, a mesh of it, its command line.

use std::path::{Path, PathBuf};
use std::process::Output;

use testkit::mesh::{Deployment, Mesh};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_dragonflywall");

/// A file of the repository.
pub(crate) fn repository_file(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Starts a deployment of node processes.
pub(crate) async fn start(deployment: Deployment) -> Mesh {
    let mesh = Mesh::start(Path::new(PROGRAM), &["node"], deployment).await;
    mesh.expect("every process starts")
}

/// Runs a command of the product to its end.
pub(crate) async fn command(arguments: &[&str]) -> Output {
    let output = tokio::process::Command::new(PROGRAM)
        .args(arguments)
        .kill_on_drop(true)
        .output()
        .await;
    output.expect("the program runs")
}

/// Publishes example files of a deployment through the command line.
pub(crate) async fn publish(mesh: &Mesh, files: &[&str]) -> Output {
    let paths: Vec<PathBuf> = files.iter().map(|file| repository_file(file)).collect();
    let url = mesh.platform.url();
    let mut arguments = vec!["publish", "--operator", "ana", "--platform", &url];
    arguments.extend(paths.iter().filter_map(|path| path.to_str()));
    command(&arguments).await
}
