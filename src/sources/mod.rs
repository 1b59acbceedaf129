//! The external sources of a router: the configuration service and the host list.
//!
//! Each is a small read-only trait with an HTTP and a file implementation. [`follow`] has the tasks
//! that read them for a daemon.

pub mod error;
pub mod file;
pub mod follow;
pub mod hosts;
pub mod http;

use std::future::Future;

use bytes::Bytes;
use error_stack::Report;

use crate::settings::SourceSettings;
use crate::units::ConfigRevision;

pub use self::error::SourceError;
pub use self::error::SourceFault;
use self::file::FileConfigSource;
use self::file::FileHostSource;
pub use self::hosts::HostList;
use self::http::HttpConfigSource;
use self::http::HttpHostSource;

/// A publication as read, not yet validated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigText {
    /// The revision that the source gave it; never 0.
    pub revision: ConfigRevision,
    /// The published text, at most [`crate::publication::MAX_PUBLICATION_BYTES`] bytes.
    pub text: Bytes,
}

/// A source of publications.
pub trait ConfigSource {
    /// Reads the newest publication.
    ///
    /// # Errors
    /// When the source can't be reached, does not answer in time or answers something else.
    fn read(&self) -> impl Future<Output = Result<ConfigText, Report<SourceError>>> + Send;

    /// Waits for a publication newer than `after`; returns `None` if there is none while the watch
    /// is held open.
    ///
    /// # Errors
    /// As for `read`, and when the source answers with an older revision.
    fn watch(
        &self,
        after: ConfigRevision,
    ) -> impl Future<Output = Result<Option<ConfigText>, Report<SourceError>>> + Send;
}

/// A source of host lists.
pub trait HostSource {
    /// Reads the host list, which may lag behind the actual state.
    ///
    /// # Errors
    /// When the source can't be reached, does not answer in time or answers something else.
    fn read(&self) -> impl Future<Output = Result<HostList, Report<SourceError>>> + Send;
}

/// A source of publications of either kind.
#[derive(Debug)]
pub enum AnyConfigSource {
    /// The configuration service.
    Http(Box<HttpConfigSource>),
    /// A file.
    File(FileConfigSource),
}

/// A source of host lists of either kind.
#[derive(Debug)]
pub enum AnyHostSource {
    /// A service.
    Http(Box<HttpHostSource>),
    /// A file.
    File(FileHostSource),
}

impl AnyConfigSource {
    /// Creates the source that the validated settings name.
    #[must_use]
    pub fn new(settings: &SourceSettings) -> Self {
        match (&settings.config_url, &settings.config_file) {
            (Some(url), _) => Self::Http(Box::new(HttpConfigSource::new(url, &settings.timing))),
            (None, file) => {
                let file = file.clone().unwrap_or_default();
                Self::File(FileConfigSource::new(file, &settings.timing))
            }
        }
    }
}

impl AnyHostSource {
    /// Creates the source that the validated settings name.
    #[must_use]
    pub fn new(settings: &SourceSettings) -> Self {
        match (&settings.hosts_url, &settings.hosts_file) {
            (Some(url), _) => Self::Http(Box::new(HttpHostSource::new(url, &settings.timing))),
            (None, file) => Self::File(FileHostSource::new(file.clone().unwrap_or_default())),
        }
    }
}

impl ConfigSource for AnyConfigSource {
    async fn read(&self) -> Result<ConfigText, Report<SourceError>> {
        match self {
            Self::Http(source) => source.read().await,
            Self::File(source) => source.read().await,
        }
    }

    async fn watch(
        &self,
        after: ConfigRevision,
    ) -> Result<Option<ConfigText>, Report<SourceError>> {
        match self {
            Self::Http(source) => source.watch(after).await,
            Self::File(source) => source.watch(after).await,
        }
    }
}

impl HostSource for AnyHostSource {
    async fn read(&self) -> Result<HostList, Report<SourceError>> {
        match self {
            Self::Http(source) => source.read().await,
            Self::File(source) => source.read().await,
        }
    }
}
