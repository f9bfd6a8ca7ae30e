//! Stand-ins and cases of the review: `rig CASE FOLDER`, run in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the case does the same without the disruption.

mod cases;
mod client;
mod deployment;
mod endpoint;
mod http;
mod json;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use self::record::Record;

/// Longest run of a case.
const RUN_MAX: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    // The nodes end with this process.
    std::thread::spawn(|| {
        std::thread::sleep(RUN_MAX);
        std::process::exit(2);
    });
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let path = PathBuf::from(folder).join("record.txt");
    let Ok(record) = Record::create(&path) else {
        eprintln!("cannot write {}", path.display());
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption: {trouble}"));
    let run = || cases::run(&case, trouble, &record);
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let (text, code) = match outcome {
        Ok(Ok(None)) => ("the rule held".to_owned(), 0),
        Ok(Ok(Some(broken))) => (format!("the rule was broken: {broken}"), 1),
        Ok(Err(error)) => (format!("the case could not run: {error}"), 2),
        Err(_) => ("the case could not run: the stand-in failed".to_owned(), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
