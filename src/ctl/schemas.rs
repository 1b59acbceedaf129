//! JSON schemas of the documents that operators write.

use clap::ArgMatches;
use serde_json::Value;

use crate::document::schema_of;
use crate::gateway::config::GatewaySettings;
use crate::publication::document::PublicationDocument;
use crate::settings::ProcessSettings;
use crate::sources::HostList;

use super::exit::CtlError;
use super::exit::ExitKind;
use super::output::OutputWriter;
use super::reference::reference_text;

/// Returns the schema of a document: `publication`, `settings`, `hosts` or `gateway`.
#[must_use]
pub fn schema_named(document: &str) -> Option<Value> {
    match document {
        "publication" => Some(schema_of::<PublicationDocument>()),
        "settings" => Some(schema_of::<ProcessSettings>()),
        "hosts" => Some(schema_of::<HostList>()),
        "gateway" => Some(schema_of::<GatewaySettings>()),
        _ => None,
    }
}

/// Returns a schema as formatted text, as it is printed and committed to the repository.
#[must_use]
pub fn schema_text(document: &str) -> Option<String> {
    let schema = schema_named(document)?;
    serde_json::to_string_pretty(&schema)
        .ok()
        .map(|text| text + "\n")
}

/// Prints the schema or the reference page of a document.
///
/// # Errors
/// If standard output is closed.
pub fn schema(matches: &ArgMatches, writer: &mut OutputWriter) -> Result<ExitKind, CtlError> {
    let document = matches.get_one::<String>("document").map(String::as_str);
    let text = if matches.get_flag("markdown") {
        document.and_then(reference_text)
    } else {
        document.and_then(schema_text)
    };
    let Some(text) = text else {
        return Ok(ExitKind::Usage);
    };
    writer.print(&text)?;
    Ok(ExitKind::Good)
}
