//! The publication: its document, validation and rendering into a catalog.
//!
//! A publication is accepted or refused as a whole. [`read_publication`] parses and validates the
//! text into a [`document::PublicationDocument`]; [`render`](render::render) turns that into a
//! [`FleetCatalog`]. Both are pure: the same text and revision give the same catalog on every
//! router.

pub mod document;
pub mod render;
pub mod rendered;
pub mod rules;

use serde_json::Map;
use serde_json::Value;

use crate::catalog::FleetCatalog;
use crate::document::DocumentFault;
use crate::document::FaultList;
use crate::document::deserialize_tree;
use crate::document::fault::join;
use crate::document::schema_of;
use crate::document::shape;
use crate::document::tree;
use crate::units::ConfigRevision;

use self::document::PublicationDocument;
use self::rules::DeclaredNames;

/// Maximum size of a publication, in bytes: the configuration service's limit for one value.
pub const MAX_PUBLICATION_BYTES: usize = 1_048_576;

/// Reads and validates a publication.
///
/// # Errors
/// Returns every fault, each with its path, such as `teams.nadi-clinic.share`. For a text that is
/// too long or not valid JSON, that is the only fault.
pub fn read_publication(text: &[u8]) -> Result<PublicationDocument, FaultList> {
    if text.len() > MAX_PUBLICATION_BYTES {
        let message = format!(
            "has {} bytes; a publication has at most {MAX_PUBLICATION_BYTES}",
            text.len()
        );
        return Err(FaultList::from(vec![DocumentFault::new("", message)]));
    }
    let mut tree = tree::parse(text)?;
    let schema = schema_of::<PublicationDocument>();
    let mut faults = shape::check(&schema, &tree);
    let declared = DeclaredNames::of(&tree);
    prune(&mut tree, &schema, &faults);
    match deserialize_tree::<PublicationDocument>(tree) {
        Ok(document) => {
            faults.extend(rules::check(&document, &declared));
            if faults.is_empty() {
                return Ok(document);
            }
        }
        Err(error) => faults.extend(error.faults().iter().cloned()),
    }
    Err(FaultList::from(faults))
}

/// Reads, validates and renders a publication.
///
/// # Errors
/// Returns every fault, as [`read_publication`] does.
pub fn adopt(revision: ConfigRevision, text: &[u8]) -> Result<FleetCatalog, FaultList> {
    read_publication(text).map(|document| render::render(revision, &document))
}

/// Removes values that do not match the schema, so that the rules can be checked on the rest and
/// an operator gets all faults at once: first the faulty values themselves, then the entries that
/// can't be deserialised without them.
fn prune(tree: &mut Value, schema: &Value, faults: &[DocumentFault]) {
    if !tree.is_object() {
        *tree = Value::Object(Map::new());
    }
    remove_faulty("", tree, faults);
    let rest = shape::check(schema, tree);
    let entries = tree.as_object_mut().into_iter().flatten();
    for (section, value) in entries {
        if let Some(entries) = value.as_object_mut() {
            entries.retain(|key, _| !has_fault_within(&rest, &join(section, key)));
        }
    }
}

/// Removes values that have a fault. An array with a faulty item is removed as a whole, because
/// removing the item would shift the indexes of the others. A faulty kind is emptied but kept, so
/// that it is not reported as missing as well.
fn remove_faulty(path: &str, value: &mut Value, faults: &[DocumentFault]) {
    let Some(map) = value.as_object_mut() else {
        return;
    };
    let has_fault = |path: &str| faults.iter().any(|fault| fault.path == path);
    map.retain(|key, part| {
        let below = join(path, key);
        let is_faulty = match part {
            Value::Array(_) => has_fault_within(faults, &below),
            _ => has_fault(&below),
        };
        if is_faulty && path.rsplit('.').next() == Some("kinds") {
            *part = Value::Object(Map::new());
            return true;
        }
        remove_faulty(&below, part, faults);
        !is_faulty
    });
}

/// Returns true if a fault is at a path or below it.
fn has_fault_within(faults: &[DocumentFault], path: &str) -> bool {
    faults.iter().any(|fault| {
        let rest = fault.path.strip_prefix(path);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    })
}
