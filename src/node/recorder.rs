//! The process's counters and histograms, as the metrics address serves them.

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use tokio_util::sync::CancellationToken;

/// Upper bounds of the histograms' buckets, in seconds. From a short answer within a data centre to the
/// longest deadlines of the deployments, each about twice the one before.
const BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// How often new samples are put into their buckets; until then each takes memory of its own.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The process's recorder, installed when first asked for.
pub(crate) fn handle() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    RECORDER.get_or_init(install).clone()
}

fn install() -> PrometheusHandle {
    let builder = builder().expect("there are buckets");
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Fails only if the host program has installed its own, which then gets the figures.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

fn builder() -> Result<PrometheusBuilder, BuildError> {
    PrometheusBuilder::new().set_buckets(&BUCKETS_S)
}

/// Keeps the memory of samples bounded until `stop`.
pub(crate) async fn run_maintenance(stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(UPKEEP_INTERVAL) => handle().run_upkeep(),
        }
    }
}
