//! What operators read: service-level burn, and fairness, utilisation and control traffic over
//! time.
//!
//! A router counts what it saw itself, in bounded memory, and forgets it when it ends. The
//! reports add up the counts of the routers that were asked; nothing of this is sent between
//! routers.

pub mod answers;
pub mod burn;
pub mod calls;
pub mod fairness;
pub mod html;
pub mod samples;
pub mod shares;

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Seconds since 1970, to put the counts of several routers side by side.
#[must_use]
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
