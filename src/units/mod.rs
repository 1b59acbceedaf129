//! Newtypes for names, ids, sizes, rates and times.

mod moment;
mod number;
mod text;

pub use moment::Moment;
pub use moment::TimeSpan;
pub use number::AttemptNumber;
pub use number::ByteSize;
pub use number::ConfigRevision;
pub use number::EndpointId;
pub use number::FenceNumber;
pub use number::PoolId;
pub use number::RequestFingerprint;
pub use number::RequestId;
pub use number::RouterIncarnation;
pub use number::ServiceUnits;
pub use number::ShareWeight;
pub use number::SlotCount;
pub use number::TeamId;
pub use text::DomainName;
pub use text::EndpointName;
pub use text::HostName;
pub use text::KindName;
pub use text::NAME_PATTERN;
pub use text::NameError;
pub use text::PoolName;
pub use text::TeamName;
pub use text::TemplateName;
