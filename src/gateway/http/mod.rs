//! Low-level HTTP/1.1: heads parsed with `httparse`, framing rules that refuse request smuggling,
//! and connections whose unread bytes stay accessible.
//!
//! A general HTTP library hides what a router must see: bytes after a complete answer, an answer to
//! an earlier request, a message with two lengths. The first two decide whether a request may have
//! run, the last one is refused as ambiguous.

pub mod connection;
pub mod events;
pub mod framing;
pub mod head;
pub mod overdue;

pub use connection::WireStream;
pub use events::EventSplitter;
pub use framing::BodyDecoder;
pub use framing::BodyFraming;
pub use framing::FramingFault;
pub use head::HeadFault;
pub use head::HeaderField;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use overdue::OverdueReads;
