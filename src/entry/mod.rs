//! The entry side: calls come in, are checked, wait for the core's decision and get answers.
//!
//! One task a request ([`task`]) carries out what the core decides for it. [`front`] takes calls
//! from callers; forwarded calls from peers go through the same [`admit::answer`].

pub mod admit;
pub mod answers;
pub mod body;
pub mod call;
pub mod caller;
pub mod catalog;
pub mod context;
pub mod forwarding;
pub mod front;
pub mod headers;
pub mod refusal;
pub mod route;
pub mod task;
