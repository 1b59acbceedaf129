//! One router as a process: the control thread, the traffic tasks and the code that connects them.

pub mod control;
pub mod files;
pub mod log_sink;
pub mod logs;
pub mod mesh;
pub mod message;
pub mod process;
pub mod router;
pub mod router_commands;
pub mod signals;
pub mod sources;
