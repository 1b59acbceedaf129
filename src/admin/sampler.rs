//! Takes a sample of the core at each full interval of the wall clock, so that the samples of
//! several routers have the same times.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::daemon::control::ControlLink;
use crate::peers::mesh::PeerMesh;
use crate::report::samples::RouterSample;
use crate::report::samples::SAMPLE_INTERVAL_S;
use crate::report::unix_seconds;

use super::records::RouterRecords;

/// Takes samples until `closing` is cancelled or the control thread ends.
pub async fn sample(
    control: ControlLink,
    records: Arc<RouterRecords>,
    mesh: Option<PeerMesh>,
    closing: CancellationToken,
) {
    loop {
        let pause = SAMPLE_INTERVAL_S - unix_seconds() % SAMPLE_INTERVAL_S;
        tokio::select! {
            () = closing.cancelled() => return,
            () = sleep(Duration::from_secs(pause)) => {}
        }
        let control_bytes = mesh
            .as_ref()
            .map_or(0, |mesh| mesh.counters().control_sent());
        let sample =
            control.inspect(move |state| RouterSample::of(state, unix_seconds(), control_bytes));
        let Some(sample) = sample.await else {
            return;
        };
        records.samples.push(sample);
    }
}
