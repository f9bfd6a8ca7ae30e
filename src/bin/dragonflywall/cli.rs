//! Selects and runs the command, and reports a failure as text and exit code.

use std::error::Error;
use std::ffi::{OsStr, OsString};
use std::fmt::Write as _;
use std::future::Future;
use std::process::ExitCode;

use dragonflywall::core::token::{MeshToken, TOKEN_VARIABLE};
use dragonflywall::ops::query::check::FileFindings;

use crate::commands::{self, Command, check};

pub(crate) type Result<T = (), E = Failure> = std::result::Result<T, E>;

/// Failure of a command. The exit codes are part of the product's interface.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The operation failed and changed nothing.
    Refused { text: String, hint: &'static str },
    /// Team files are invalid; nothing was changed.
    Findings(Vec<FileFindings>),
    /// The command line or the settings are invalid; nothing was started.
    Usage(String),
    /// The outcome is unknown. The hint says how to determine it.
    Unknown { text: String, hint: String },
}

impl Failure {
    pub(crate) fn refused(error: &dyn Error, hint: &'static str) -> Self {
        Self::Refused {
            text: error_with_causes(error),
            hint,
        }
    }

    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Refused { .. } | Self::Findings(_) => ExitCode::from(1),
            Self::Usage(_) => ExitCode::from(2),
            Self::Unknown { .. } => ExitCode::from(3),
        }
    }

    /// Prints the failure. The hint of a usage error refers to the help of `command`.
    fn print(&self, command: Option<&str>) {
        match self {
            Self::Refused { text, hint: "" } => eprintln!("error: {text}"),
            Self::Refused { text, hint } => eprintln!("error: {text}\nhint: {hint}"),
            Self::Findings(invalid_files) => eprintln!(
                "error: {}\nhint: nothing was changed; correct the files and check again",
                check::describe(invalid_files)
            ),
            Self::Usage(text) => match command {
                Some(command) => {
                    eprintln!("error: {text}\nhint: see `dragonflywall {command} --help`");
                }
                None => eprintln!("error: {text}\nhint: see `dragonflywall help`"),
            },
            Self::Unknown { text, hint } => eprintln!("unknown: {text}\nhint: {hint}"),
        }
    }
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// Formats an error and the chain of its causes, one per line.
pub(crate) fn error_with_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        let _ = write!(text, "\n  caused by: {cause}");
        source = cause.source();
    }
    text
}

/// Reads the mesh token from the environment. There is no flag for it, because a flag's value is
/// visible in the process list.
pub(crate) fn mesh_token() -> Result<MeshToken> {
    let Ok(text) = std::env::var(TOKEN_VARIABLE) else {
        return Ok(MeshToken::default());
    };
    text.parse()
        .map_err(|error| Failure::Usage(format!("{TOKEN_VARIABLE}: {error}")))
}

/// Runs the command that `arguments` select, and returns its exit code.
pub(crate) fn run(arguments: Vec<OsString>) -> ExitCode {
    let command = arguments.first().and_then(|name| find_command(name));
    match dispatch(command, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            failure.print(command.map(|command| command.name));
            failure.exit_code()
        }
    }
}

/// Runs an operation to completion on a single-threaded runtime, which is enough for short-lived
/// commands.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("creating a runtime needs only file descriptors")
        .block_on(future)
}

fn find_command(name: &OsStr) -> Option<&'static Command> {
    let mut all = commands::ALL.iter();
    all.find(|command| name.to_str() == Some(command.name))
}

fn dispatch(command: Option<&Command>, mut arguments: Vec<OsString>) -> Result {
    if arguments.is_empty() {
        return Err(Failure::Usage("no command was given".to_owned()));
    }
    let name = arguments.remove(0);
    match name.to_str() {
        Some("help" | "--help" | "-h") => {
            println!("{}", overview());
            return Ok(());
        }
        Some("--version" | "-V") => {
            println!("dragonflywall {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        _ => (),
    }
    let Some(command) = command else {
        let name = name.to_string_lossy();
        return Err(Failure::Usage(format!("`{name}` is not a command")));
    };
    if has_help_flag(&arguments) {
        println!("{}", (command.help)());
        return Ok(());
    }
    (command.run)(arguments)
}

fn has_help_flag(arguments: &[OsString]) -> bool {
    arguments
        .iter()
        .any(|argument| argument == "--help" || argument == "-h")
}

fn overview() -> String {
    let mut text = String::from(
        "Distributes the configuration of a service mesh, and enforces it.\n\n\
         Usage: dragonflywall COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for Command { name, summary, .. } in commands::ALL {
        let _ = writeln!(text, "  {name:<10}{summary}");
    }
    text.push_str(
        "\n`dragonflywall COMMAND --help` explains a command.\n\
         Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown.",
    );
    text
}
