//! Reads the files that the settings name: keys, certificates and the admin credential.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;

use crate::configs::peers::PeersConfig;
use crate::peers::keys::PeerKeys;
use crate::peers::tls::PeerTls;
use crate::settings::AdminSettings;
use crate::settings::PeerSettings;

use super::router::PeerParts;

/// A setting whose file can't be used.
#[derive(Debug)]
pub struct FileError {
    /// Name of the setting.
    pub setting: &'static str,
    /// Path of the file.
    pub file: PathBuf,
}

impl fmt::Display for FileError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (setting, file) = (self.setting, self.file.display());
        write!(formatter, "{setting}: the file {file} can't be used")
    }
}

impl std::error::Error for FileError {}

fn read(setting: &'static str, file: &Path) -> Result<Vec<u8>, Report<FileError>> {
    fs::read(file).change_context_lazy(|| FileError {
        setting,
        file: file.to_owned(),
    })
}

/// Reads a key file, without the trailing line end that editors add.
fn read_key(file: &Path) -> Result<Vec<u8>, Report<FileError>> {
    let mut key = read("peers.key_files", file)?;
    while key.last().is_some_and(u8::is_ascii_whitespace) {
        key.pop();
    }
    Ok(key)
}

/// Reads the credential that operators must send.
///
/// # Errors
/// Names the setting and the file, if it can't be read or is empty. An empty credential would
/// admit everybody.
pub fn admin_credential(settings: &AdminSettings) -> Result<String, Report<FileError>> {
    let setting = "admin.credential_file";
    let file = &settings.credential_file;
    let text = read(setting, file)?;
    let credential = String::from_utf8_lossy(&text).trim().to_owned();
    if credential.is_empty() {
        let file = file.clone();
        return Err(Report::new(FileError { setting, file }).attach("the file is empty"));
    }
    Ok(credential)
}

/// Reads the keys and certificates that the peer settings name.
///
/// # Errors
/// Names the setting and the file that can't be read or parsed.
pub fn peer_parts(
    settings: &PeerSettings,
    config: PeersConfig,
) -> Result<PeerParts, Report<FileError>> {
    let keys: Result<Vec<_>, _> = settings
        .key_files
        .iter()
        .map(|file| read_key(file))
        .collect();
    let first = settings.key_files.first().cloned().unwrap_or_default();
    let keys = PeerKeys::new(keys?).change_context_lazy(|| FileError {
        setting: "peers.key_files",
        file: first,
    })?;
    let tls = match &settings.tls {
        None => None,
        Some(tls) => {
            let chain = read("peers.tls.certificate_file", &tls.certificate_file)?;
            let key = read("peers.tls.private_key_file", &tls.private_key_file)?;
            let authorities = read("peers.tls.authority_file", &tls.authority_file)?;
            let parsed = PeerTls::from_pem(&chain, &key, &authorities);
            Some(parsed.change_context_lazy(|| FileError {
                setting: "peers.tls",
                file: tls.certificate_file.clone(),
            })?)
        }
    };
    Ok(PeerParts {
        listen: settings.listen,
        advertised: settings.advertised,
        keys,
        tls,
        config,
    })
}
