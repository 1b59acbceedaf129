//! Reference pages of the documents that operators write, generated from their JSON schemas.

use std::fmt::Write;

use serde_json::Value;

use crate::document::fault::join;
use crate::document::shape::constants;
use crate::document::shape::not_null;
use crate::document::shape::resolve;

use super::schemas::schema_named;

/// One row of a reference table.
struct ReferenceRow {
    path: String,
    values: String,
    unit: &'static str,
    default: String,
    effect: String,
}

/// Returns the reference page of a document as Markdown; `None` for an unknown document.
#[must_use]
pub fn reference_text(document: &str) -> Option<String> {
    let schema = schema_named(document)?;
    let mut rows = Vec::new();
    push_object(&schema, &schema, "", &mut rows);
    let title = schema.get("description").and_then(Value::as_str);
    let mut text = format!(
        "# Reference: {document}\n\n{}\n\nMade from the schema by \
         `verbenactl schema {document} --markdown`; a test compares them. \"needed\" in the column \
         of defaults means that there is none. NAME stands for a name that you choose.\n\n\
         | Path | Values | Unit | Default | Effect |\n|---|---|---|---|---|\n",
        one_line(title.unwrap_or_default())
    );
    for row in rows {
        let _ = writeln!(
            text,
            "| `{}` | {} | {} | {} | {} |",
            row.path, row.values, row.unit, row.default, row.effect
        );
    }
    Some(text)
}

fn push_object(root: &Value, schema: &Value, path: &str, rows: &mut Vec<ReferenceRow>) {
    let required: Vec<&str> = schema
        .get("required")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let properties = schema.get("properties").and_then(Value::as_object);
    for (name, part) in properties.into_iter().flatten() {
        let path = join(path, name);
        push_part(root, part, &path, required.contains(&name.as_str()), rows);
    }
}

fn push_part(root: &Value, part: &Value, path: &str, required: bool, rows: &mut Vec<ReferenceRow>) {
    let target = resolve(root, not_null(part));
    let below = entries(target).map(|entry| resolve(root, entry));
    let items = target.get("items").map(|items| resolve(root, items));
    if target.get("properties").is_some() {
        push_object(root, target, path, rows);
    } else if let Some(entry) = below {
        push_object(root, entry, &join(path, "NAME"), rows);
    } else if let Some(items) = items.filter(|items| items.get("properties").is_some()) {
        push_object(root, items, &join(path, "0"), rows);
    } else {
        rows.push(row(root, part, target, path, required));
    }
}

/// Returns the schema of a map's values.
fn entries(schema: &Value) -> Option<&Value> {
    let patterns = schema.get("patternProperties").and_then(Value::as_object);
    patterns.and_then(|patterns| patterns.values().next())
}

fn row(root: &Value, part: &Value, target: &Value, path: &str, required: bool) -> ReferenceRow {
    let description = |schema: &Value| {
        let text = schema.get("description").and_then(Value::as_str);
        text.map(one_line)
    };
    let effect = description(part).or_else(|| description(target));
    let default = match part.get("default") {
        Some(Value::Null) => "none".to_owned(),
        Some(default) => format!("`{default}`"),
        None if required => "needed".to_owned(),
        None => "none".to_owned(),
    };
    ReferenceRow {
        path: path.to_owned(),
        values: values(root, target),
        unit: unit(path),
        default,
        effect: effect.unwrap_or_default(),
    }
}

fn values(root: &Value, schema: &Value) -> String {
    let allowed = constants(schema);
    if !allowed.is_empty() {
        let quoted: Vec<String> = allowed.iter().map(|text| format!("`\"{text}\"`")).collect();
        return quoted.join(", ");
    }
    let kind = match schema.get("type") {
        Some(Value::String(kind)) => kind.as_str(),
        Some(Value::Array(kinds)) => kinds.first().and_then(Value::as_str).unwrap_or_default(),
        _ => "",
    };
    match kind {
        "integer" => integer_values(schema),
        "boolean" => "true, false".to_owned(),
        "number" => "number".to_owned(),
        "string" => text_values(schema).to_owned(),
        "array" => {
            let items = schema.get("items").map(|items| resolve(root, items));
            let items = items.map_or_else(String::new, |items| values(root, items));
            format!("list of {items}")
        }
        other => other.to_owned(),
    }
}

fn integer_values(schema: &Value) -> String {
    let bound = |name: &str| schema.get(name).and_then(Value::as_u64);
    match (bound("minimum"), bound("maximum")) {
        (Some(least), Some(most)) => format!("{least} to {most}"),
        (Some(least), None) => format!("{least} or more"),
        _ => "whole number".to_owned(),
    }
}

fn text_values(schema: &Value) -> &'static str {
    let pattern = schema.get("pattern").and_then(Value::as_str);
    match (pattern, schema.get("format")) {
        (Some(crate::units::NAME_PATTERN), _) => "name",
        (Some(_), _) => "SHA-256 hash",
        (None, Some(_)) => "IP number and port",
        (None, None) => "text",
    }
}

/// Returns the unit of a setting, which is the suffix of its name.
fn unit(path: &str) -> &'static str {
    let ends = [
        ("_bytes_per_s", "bytes/s"),
        ("_per_s", "1/s"),
        ("_ms", "ms"),
        ("_us", "µs"),
        ("_s", "s"),
        ("_bytes", "bytes"),
        ("_per_mille", "per mille"),
        ("_percent", "%"),
        ("_units", "service units"),
    ];
    let end = ends.iter().find(|(end, _)| path.ends_with(end));
    end.map_or("", |(_, unit)| unit)
}

fn one_line(text: &str) -> String {
    text.split_whitespace()
        .collect::<Vec<_>>()
        .join(" ")
        .replace('|', "\\|")
}

/// Names of the documents with a schema and a reference page.
pub const REFERENCE_DOCUMENTS: [&str; 4] = ["publication", "settings", "hosts", "gateway"];
