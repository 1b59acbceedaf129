//! The sources as files, for small sites.
//!
//! The publication's `revision` is a field of the file: a counter kept by each router would
//! restart with the process, and two routers would number the same text differently. A file must be
//! replaced by renaming a new one over it; one that is written in place may be read half-written
//! and is then reported as faulty until the next poll.

use std::fs::Metadata;
use std::io::ErrorKind;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use error_stack::Report;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::fs;
use tokio::io::AsyncReadExt;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::document::DocumentFault;
use crate::document::FaultList;
use crate::publication::MAX_PUBLICATION_BYTES;
use crate::settings::SourceTiming;
use crate::units::ConfigRevision;

use super::ConfigSource;
use super::ConfigText;
use super::HostSource;
use super::error::SourceError;
use super::error::SourceFault;
use super::error::SourceStep;
use super::hosts::HostList;
use super::hosts::MAX_HOSTS_BYTES;

/// Age of a modification time that can be relied on. A change shortly after another one may leave
/// the modification time as it was, so a file modified more recently is read again at each poll.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// File metadata that detects a change without reading the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    bytes: u64,
    modified: SystemTime,
}

impl FileStamp {
    fn of(metadata: &Metadata) -> Self {
        Self {
            inode: metadata.ino(),
            bytes: metadata.len(),
            modified: metadata.modified().unwrap_or(SystemTime::UNIX_EPOCH),
        }
    }

    /// Returns true once the modification time is older than [`SETTLED_AFTER`]. A modification time
    /// in the future isn't, so such a file is read at each poll.
    fn settled(&self) -> bool {
        let age = SystemTime::now().duration_since(self.modified);
        age.is_ok_and(|age| age > SETTLED_AFTER)
    }
}

/// Reads a file up to a size limit.
#[derive(Debug)]
struct FileReader {
    path: PathBuf,
    max_bytes: usize,
}

impl FileReader {
    fn error(&self, step: SourceStep, fault: SourceFault) -> Report<SourceError> {
        Report::new(SourceError {
            step,
            source: SmolStr::new(self.path.to_string_lossy()),
            fault,
        })
    }

    async fn read(&self, step: SourceStep) -> Result<Bytes, Report<SourceError>> {
        let text = read_bounded(&self.path, self.max_bytes).await;
        let text = text.map_err(|error| {
            self.error(step, SourceFault::Unreadable)
                .attach(error.to_string())
        })?;
        if text.len() > self.max_bytes {
            return Err(self.error(step, SourceFault::TooLarge(self.max_bytes)));
        }
        Ok(Bytes::from(text))
    }
}

/// Reads a file, but at most one byte more than the limit.
async fn read_bounded(path: &Path, max_bytes: usize) -> Result<Vec<u8>, std::io::Error> {
    let file = fs::File::open(path).await?;
    if file.metadata().await?.is_dir() {
        return Err(ErrorKind::IsADirectory.into());
    }
    let mut text = Vec::new();
    file.take(max_bytes as u64 + 1)
        .read_to_end(&mut text)
        .await?;
    Ok(text)
}

/// Reads publications from a file.
#[derive(Debug)]
pub struct FileConfigSource {
    reader: FileReader,
    hold: Duration,
    poll: Duration,
    seen: Mutex<Option<SeenFile>>,
}

/// The newest publication that was read from a file.
#[derive(Debug, Clone)]
struct SeenFile {
    stamp: Option<FileStamp>,
    latest: ConfigText,
}

#[derive(Debug, Deserialize)]
struct RevisionField {
    revision: Option<u64>,
}

impl FileConfigSource {
    /// Creates a source that reads the file at `path`.
    #[must_use]
    pub fn new(path: PathBuf, timing: &SourceTiming) -> Self {
        Self {
            reader: FileReader {
                path,
                max_bytes: MAX_PUBLICATION_BYTES,
            },
            hold: Duration::from_secs(timing.watch_s),
            poll: Duration::from_millis(timing.file_poll_ms),
            seen: Mutex::new(None),
        }
    }

    fn seen(&self) -> Option<SeenFile> {
        let seen = self.seen.lock();
        seen.unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn load(&self, step: SourceStep) -> Result<ConfigText, Report<SourceError>> {
        let stamp = fs::metadata(&self.reader.path).await;
        let stamp = stamp.ok().map(|metadata| FileStamp::of(&metadata));
        let seen = self.seen();
        if let (Some(stamp), Some(seen)) = (stamp, &seen)
            && seen.stamp == Some(stamp)
            && stamp.settled()
        {
            return Ok(seen.latest.clone());
        }
        let text = self.reader.read(step).await?;
        let revision = self.revision(step, &text)?;
        let latest = ConfigText { revision, text };
        if let Some(seen) = seen {
            self.check_revision(step, &seen.latest, &latest)?;
        }
        *self.seen.lock().unwrap_or_else(PoisonError::into_inner) = Some(SeenFile {
            stamp,
            latest: latest.clone(),
        });
        Ok(latest)
    }

    fn revision(
        &self,
        step: SourceStep,
        text: &[u8],
    ) -> Result<ConfigRevision, Report<SourceError>> {
        let field: RevisionField = serde_json::from_slice(text).map_err(|error| {
            let fault = DocumentFault::new("", format!("not a publication: {error}"));
            self.reader
                .error(step, SourceFault::Faulty(FaultList::from(vec![fault])))
        })?;
        match field.revision {
            Some(number) if number > 0 => Ok(ConfigRevision(number)),
            _ => Err(self.reader.error(step, SourceFault::NoRevision)),
        }
    }

    /// Refuses an older revision, and a changed text under the same revision. If an operator edits
    /// the file and forgets its revision, or restores an old copy, routers that were restarted
    /// since would otherwise use another text than the others.
    fn check_revision(
        &self,
        step: SourceStep,
        seen: &ConfigText,
        latest: &ConfigText,
    ) -> Result<(), Report<SourceError>> {
        if latest.revision < seen.revision {
            let fault = SourceFault::OldRevision {
                received: latest.revision,
                seen: seen.revision,
            };
            return Err(self.reader.error(step, fault));
        }
        if latest.revision == seen.revision && latest.text != seen.text {
            let fault = SourceFault::SameRevision(latest.revision);
            return Err(self.reader.error(step, fault));
        }
        Ok(())
    }
}

impl ConfigSource for FileConfigSource {
    async fn read(&self) -> Result<ConfigText, Report<SourceError>> {
        self.load(SourceStep::ReadConfig).await
    }

    async fn watch(
        &self,
        after: ConfigRevision,
    ) -> Result<Option<ConfigText>, Report<SourceError>> {
        let step = SourceStep::WatchConfig;
        let end = Instant::now() + self.hold;
        loop {
            let latest = self.load(step).await?;
            if latest.revision > after {
                return Ok(Some(latest));
            }
            if latest.revision < after {
                let fault = SourceFault::OldRevision {
                    received: latest.revision,
                    seen: after,
                };
                return Err(self.reader.error(step, fault));
            }
            if Instant::now() + self.poll > end {
                sleep(self.poll.min(self.hold)).await;
                return Ok(None);
            }
            sleep(self.poll).await;
        }
    }
}

/// Reads the host list from a file.
#[derive(Debug)]
pub struct FileHostSource {
    reader: FileReader,
}

impl FileHostSource {
    /// Creates a source that reads the file at `path`.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        Self {
            reader: FileReader {
                path,
                max_bytes: MAX_HOSTS_BYTES,
            },
        }
    }
}

impl HostSource for FileHostSource {
    async fn read(&self) -> Result<HostList, Report<SourceError>> {
        let step = SourceStep::ReadHosts;
        let text = self.reader.read(step).await?;
        HostList::read(&text).map_err(|faults| self.reader.error(step, SourceFault::Faulty(faults)))
    }
}
