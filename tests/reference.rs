//! The committed schemas and reference pages against the code.

use std::fs;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

use verbenaturn::ctl::reference::REFERENCED;
use verbenaturn::ctl::reference::reference_text;
use verbenaturn::ctl::schemas::schema_named;
use verbenaturn::ctl::schemas::schema_text;
use verbenaturn::document::shape::HASH_PATTERN;
use verbenaturn::publication::adopt;
use verbenaturn::units::ConfigRevision;
use verbenaturn::units::NAME_PATTERN;

/// Keywords that `document::shape` checks, or that say nothing about a value.
const KNOWN_KEYWORDS: [&str; 18] = [
    "$ref",
    "$schema",
    "additionalProperties",
    "const",
    "description",
    "enum",
    "format",
    "items",
    "maxItems",
    "maximum",
    "minItems",
    "minimum",
    "patternProperties",
    "properties",
    "required",
    "default",
    "title",
    "type",
];

fn docs(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(path)
}

/// Fails at the first line in which a committed file is not what the code makes.
fn assert_fresh(file: &str, made: &str) {
    let committed = fs::read_to_string(docs(file)).unwrap_or_default();
    let longest = committed.lines().count().max(made.lines().count());
    for line in 0..longest {
        let (old, new) = (committed.lines().nth(line), made.lines().nth(line));
        let advice = "run .ci/make-reference and commit what it writes";
        assert_eq!(old, new, "docs/{file}, line {}: {advice}", line + 1);
    }
}

#[test]
fn schemas_and_pages_are_those_of_the_code() {
    for document in REFERENCED {
        let schema = schema_text(document).unwrap();
        assert_fresh(&format!("reference/{document}.schema.json"), &schema);
        let page = reference_text(document).unwrap();
        assert_fresh(&format!("reference/{document}.md"), &page);
    }
}

#[test]
fn every_setting_has_an_effect() {
    for document in REFERENCED {
        let page = reference_text(document).unwrap();
        let bare: Vec<&str> = page.lines().filter(|line| line.ends_with("|  |")).collect();
        assert!(bare.is_empty(), "without effect: {bare:#?}");
    }
}

// A type gains a rule that the library writes in a keyword which the shape check does not know.
// The rule would stand in the schema and hold nowhere.
#[test]
fn the_shape_check_knows_every_keyword() {
    for document in REFERENCED {
        let mut found = Vec::new();
        collect_keywords(&schema_named(document).unwrap(), &mut found);
        assert!(found.is_empty(), "{document}: {found:?}");
    }
}

fn collect_keywords(schema: &Value, found: &mut Vec<String>) {
    let Some(map) = schema.as_object() else {
        return;
    };
    for (key, value) in map {
        match key.as_str() {
            "properties" | "$defs" | "patternProperties" => {
                let parts = value.as_object().into_iter().flat_map(Map::values);
                parts.for_each(|part| collect_keywords(part, found));
            }
            "anyOf" | "oneOf" => {
                let parts = value.as_array().into_iter().flatten();
                parts.for_each(|part| collect_keywords(part, found));
            }
            "pattern" => {
                let known = [NAME_PATTERN, HASH_PATTERN]
                    .map(Value::from)
                    .contains(value);
                found.extend((!known).then(|| value.to_string()));
            }
            "items" | "additionalProperties" => collect_keywords(value, found),
            known if KNOWN_KEYWORDS.contains(&known) => {}
            other => found.push(other.to_owned()),
        }
    }
}

#[test]
fn the_first_days_publication_is_good() {
    let text = fs::read(docs("operators/first-day/publication.json")).unwrap();
    let catalog = adopt(ConfigRevision(1), &text).unwrap();
    assert_eq!(catalog.teams.len(), 2);
}
