//! The publication: what operators write, how it is checked and how it becomes a catalog.
//!
//! A publication is taken whole or refused whole. The way of one:
//! [`read_publication`] (text to checked [`document::PublicationDocument`]), then
//! [`render`](render::render) (to [`FleetCatalog`]). Both are pure; the same text and revision give the
//! same catalog on every router.

pub mod document;
pub mod render;
pub mod rules;

use serde_json::Value;

use crate::catalog::FleetCatalog;
use crate::document::DocumentFault;
use crate::document::FaultList;
use crate::document::fault::join;
use crate::document::schema_of;
use crate::document::shape;
use crate::document::tree;
use crate::document::typed;
use crate::units::ConfigRevision;

use self::document::PublicationDocument;
use self::rules::DeclaredNames;

/// Largest publication, in bytes: what the platform's service holds in one value.
pub const MAX_PUBLICATION_BYTES: usize = 1_048_576;

const SECTIONS: [&str; 5] = ["limits", "templates", "teams", "pools", "endpoints"];

/// Reads and checks a publication.
///
/// # Errors
/// Every fault of the text, each with its path, such as `teams.nadi-clinic.share`. A text that is
/// too long or no JSON has that one fault.
pub fn read_publication(text: &[u8]) -> Result<PublicationDocument, FaultList> {
    if text.len() > MAX_PUBLICATION_BYTES {
        let message = format!(
            "has {} bytes; a publication has at most {MAX_PUBLICATION_BYTES}",
            text.len()
        );
        return Err(FaultList::from(vec![DocumentFault::new("", message)]));
    }
    let mut tree = tree::parse(text)?;
    let mut faults = shape::check(&schema_of::<PublicationDocument>(), &tree);
    let declared = DeclaredNames::of(&tree);
    prune(&mut tree, &faults);
    match typed::<PublicationDocument>(tree) {
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

/// Reads, checks and renders a publication.
///
/// # Errors
/// Every fault of the text.
pub fn adopt(revision: ConfigRevision, text: &[u8]) -> Result<FleetCatalog, FaultList> {
    read_publication(text).map(|document| render::render(revision, &document))
}

/// Takes out the entries whose shape is wrong, so that the rules can be checked on the rest and
/// an operator learns of all faults in one go.
fn prune(tree: &mut Value, faults: &[DocumentFault]) {
    let Some(root) = tree.as_object_mut() else {
        *tree = Value::Object(serde_json::Map::new());
        return;
    };
    let within = |path: &str| {
        faults.iter().any(|fault| {
            let rest = fault.path.strip_prefix(path);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    };
    root.retain(|key, _| !within(key) || SECTIONS.contains(&key.as_str()));
    for (section, value) in root.iter_mut() {
        match value.as_object_mut() {
            Some(entries) => entries.retain(|key, _| !within(&join(section, key))),
            None if SECTIONS.contains(&section.as_str()) => {
                *value = Value::Object(serde_json::Map::new());
            }
            None => {}
        }
    }
}
