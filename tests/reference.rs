//! Checks that the committed schemas and reference pages match the code.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Map;
use serde_json::Value;

use verbenaturn::ctl::exit::ExitKind;
use verbenaturn::ctl::reference::REFERENCE_DOCUMENTS;
use verbenaturn::ctl::reference::reference_text;
use verbenaturn::ctl::schemas::schema_named;
use verbenaturn::ctl::schemas::schema_text;
use verbenaturn::daemon::process::EXIT_CUT;
use verbenaturn::document::shape::HASH_PATTERN;
use verbenaturn::units::NAME_PATTERN;

/// Schema keywords that `document::shape` checks or that do not constrain a value.
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

/// Fails at the first line in which a committed file differs from what the code generates.
fn assert_up_to_date(file: &str, made: &str) {
    let committed = fs::read_to_string(docs(file)).unwrap_or_default();
    let longest = committed.lines().count().max(made.lines().count());
    for line in 0..longest {
        let (old, new) = (committed.lines().nth(line), made.lines().nth(line));
        let advice = "run .ci/make-reference and commit what it writes";
        assert_eq!(old, new, "docs/{file}, line {}: {advice}", line + 1);
    }
}

#[test]
fn schemas_and_pages_match_the_code() {
    for document in REFERENCE_DOCUMENTS {
        let schema = schema_text(document).unwrap();
        assert_up_to_date(&format!("reference/{document}.schema.json"), &schema);
        let page = reference_text(document).unwrap();
        assert_up_to_date(&format!("reference/{document}.md"), &page);
    }
}

#[test]
fn every_setting_has_an_effect() {
    for document in REFERENCE_DOCUMENTS {
        let page = reference_text(document).unwrap();
        let bare: Vec<&str> = page.lines().filter(|line| line.ends_with("|  |")).collect();
        assert!(bare.is_empty(), "without effect: {bare:#?}");
    }
}

// Guards against a constraint that the schema library expresses in a keyword that the shape check
// does not support: the schema would contain it, but it would never be enforced.
#[test]
fn the_shape_check_knows_every_keyword() {
    for document in REFERENCE_DOCUMENTS {
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
fn exit_codes_match_the_code() {
    let page = fs::read_to_string(docs("reference/exit-codes.md")).unwrap();
    for kind in ExitKind::ALL {
        let row = format!("| {} | {} |", kind.code(), kind.meaning());
        assert!(page.contains(&row), "missing row: {row}");
    }
    assert!(page.contains(&format!("| {EXIT_CUT} | A second signal")));
}

/// Checks the output of commands that need no router on the first-day page against the tool.
#[test]
fn first_day_page_matches_the_output_of_the_tool() {
    let page = fs::read_to_string(docs("operators/first-day.md")).unwrap();
    let commands = page
        .lines()
        .filter(|line| line.starts_with("$ verbenactl check"));
    let mut run = 0;
    for command in commands {
        let words: Vec<&str> = command.split_whitespace().skip(2).collect();
        let output = Command::new(env!("CARGO_BIN_EXE_verbenactl"))
            .args(words)
            .current_dir(docs("operators/first-day"))
            .output()
            .unwrap();
        let shown = format!("{command}\n{}", String::from_utf8_lossy(&output.stdout));
        assert!(page.contains(&shown), "the page lacks:\n{shown}");
        run += 1;
    }
    assert_eq!(run, 4);
}
