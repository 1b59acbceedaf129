//! One router as a process: the control thread, the traffic tasks and what joins them.

pub mod control;
pub mod message;
pub mod outside;
pub mod router;
