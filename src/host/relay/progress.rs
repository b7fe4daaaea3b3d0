//! Reports of the progress of transfers to the core.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest interval between two reports of one transfer.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a callback that passes on the number of received bytes, at most once per [`PROGRESS_INTERVAL`].
pub fn throttled(mut report: impl FnMut(usize)) -> impl FnMut(usize) {
    let mut reported: Option<Instant> = None;
    move |bytes| {
        let now = Instant::now();
        if reported.is_none_or(|at| now.duration_since(at) >= PROGRESS_INTERVAL) {
            reported = Some(now);
            report(bytes);
        }
    }
}
