//! `all`: runs every benchmark, writes all pages, and updates the tables of `docs/CAPACITY.md`.

use std::ffi::OsString;
use std::time::Instant;

use crate::capacity::{self, Results};
use crate::error::Result;
use crate::options::{Options, Scale};
use crate::report::Report;
use crate::{convergence, requests, slopes};

/// Runs the command. The benchmarks run one after the other, because they would slow each other
/// down if they ran at the same time.
pub(crate) async fn run(arguments: Vec<OsString>) -> Result {
    let options = Options::parse(arguments)?;
    let scale = options.scale;
    let started = Instant::now();
    let report = Report::new(&options.docs)?;
    let slopes = slopes::measure(scale)?;
    slopes::write(&report, &slopes, scale)?;
    // A failure of this benchmark is returned at the end, so that the others still run and their pages
    // are written.
    let requests = measure_requests(&report, scale).await;
    let sizes = convergence::measure(&convergence::Plan::for_scale(scale)).await?;
    convergence::write(&report, &sizes, scale)?;
    let convergence_result = sizes.ensure_all_measured();
    let (requests, requests_result) = match requests {
        Ok(requests) => (requests, Ok(())),
        Err(error) => (Vec::new(), Err(error)),
    };
    let results = Results {
        convergence: sizes.measured,
        requests,
        holder: slopes.holder,
    };
    capacity::update_page(&options.docs, &results, scale)?;
    println!("Finished in {:.0} s", started.elapsed().as_secs_f64());
    requests_result.and(convergence_result)
}

async fn measure_requests(
    report: &Report,
    scale: Scale,
) -> Result<Vec<requests::DeploymentResults>> {
    let measured = requests::measure(scale).await?;
    requests::write(report, &measured, scale)?;
    Ok(measured)
}
