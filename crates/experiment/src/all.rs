//! `all`: every measurement, every table and plot, and the numbers of the capacity page.

use std::ffi::OsString;
use std::time::Instant;

use crate::capacity::{self, Results};
use crate::error::Result;
use crate::options::Options;
use crate::report::Report;
use crate::{convergence, requests, slopes};

/// Runs the command. One measurement after the other: side by side they would disturb each other.
pub(crate) async fn run(arguments: Vec<OsString>) -> Result {
    let options = Options::parse(arguments)?;
    let scale = options.scale;
    let begin = Instant::now();
    let report = Report::new(&options.docs)?;
    let holder = slopes::measure(scale)?;
    slopes::write(&report, &holder, scale)?;
    let requests = requests::measure(scale).await?;
    requests::write(&report, &requests, scale)?;
    let convergence = convergence::measure(&convergence::Plan::of(scale)).await?;
    convergence::write(&report, &convergence, scale)?;
    let results = Results {
        convergence,
        requests,
        holder,
    };
    capacity::write(&options.docs, &results, scale)?;
    println!("Finished in {:.0} s", begin.elapsed().as_secs_f64());
    Ok(())
}
