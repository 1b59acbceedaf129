//! Reading and validation of hand-written JSON documents: settings and publications.
//!
//! A document is read in three steps: the text is parsed into a tree ([`tree`]), the tree is
//! validated against the JSON schema of its type ([`shape`]), and then it is deserialised. All
//! faults of a step are reported at once, each with its path.

pub mod fault;
pub mod shape;
pub mod tree;

use schemars::JsonSchema;
use schemars::SchemaGenerator;
use serde::de::DeserializeOwned;
use serde_json::Value;

pub use self::fault::DocumentFault;
pub use self::fault::FaultList;

/// Returns the JSON schema of a document type.
#[must_use]
pub fn schema_of<T: JsonSchema>() -> Value {
    SchemaGenerator::default()
        .into_root_schema_for::<T>()
        .into()
}

/// Reads and validates a document.
///
/// # Errors
/// Returns all faults of the first step that finds any.
pub fn read_document<T>(text: &[u8]) -> Result<T, FaultList>
where
    T: JsonSchema + DeserializeOwned,
{
    let tree = tree::parse(text)?;
    let faults = shape::check(&schema_of::<T>(), &tree);
    if faults.is_empty() {
        deserialize_tree(tree)
    } else {
        Err(FaultList::from(faults))
    }
}

/// Deserialises a tree that matches the schema of its type.
///
/// # Errors
/// Returns the first value that the type rejects although the schema allows it.
pub fn deserialize_tree<T: DeserializeOwned>(tree: Value) -> Result<T, FaultList> {
    serde_json::from_value(tree)
        .map_err(|error| FaultList::from(vec![DocumentFault::new("", error.to_string())]))
}
