//! Reports for operators: service-level burn rates, and fairness, utilisation and control traffic
//! over time.
//!
//! Each router counts its own requests in bounded memory and loses the counts when it exits. The
//! reports sum the counts of all queried routers; routers don't exchange them with each other.

pub mod answers;
pub mod burn;
pub mod calls;
pub mod fairness;
pub mod html;
pub mod samples;
pub mod shares;

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the current time in seconds since 1970, by which counts of several routers are aligned.
#[must_use]
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
