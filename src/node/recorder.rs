//! Recorder of the process's metrics, which `GET /metrics` renders as Prometheus text.

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use tokio_util::sync::CancellationToken;

/// Upper bounds of the histogram buckets, in seconds. They range from a fast response within a data centre to the
/// longest deadlines of the deployments, each about twice the previous one.
const BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Interval at which new samples are sorted into their buckets. Until then each sample takes memory of its own.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Returns the handle of the process's recorder, which the first call installs.
pub(crate) fn handle() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    RECORDER.get_or_init(install).clone()
}

fn install() -> PrometheusHandle {
    let builder = builder().expect("the list of buckets is not empty");
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Fails only if the program that embeds this library has installed its own recorder, which then receives
    // the metrics.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

fn builder() -> Result<PrometheusBuilder, BuildError> {
    PrometheusBuilder::new().set_buckets(&BUCKETS_S)
}

/// Sorts new samples into their buckets every [`UPKEEP_INTERVAL`], which bounds their memory, until `stop` is
/// cancelled.
pub(crate) async fn run_maintenance(stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(UPKEEP_INTERVAL) => handle().run_upkeep(),
        }
    }
}
