//! Validation of a tree against its JSON schema; reports all faults at once.
//!
//! Supports the subset of JSON Schema that `schemars` generates for this crate's documents: `$ref`,
//! `type`, `properties`, `required`, `additionalProperties`, `patternProperties`, `items`,
//! `enum`, `const`, `oneOf` of constants, `anyOf` with null, `minimum`, `maximum`, `minItems`,
//! `maxItems`, `pattern` and `format`.

use std::net::SocketAddr;

use serde_json::Map;
use serde_json::Value;

use super::fault::DocumentFault;
use super::fault::join;
use crate::units::NAME_PATTERN;
use crate::units::TeamName;

/// Schema pattern of a SHA-256 hash in lower-case hexadecimal digits.
pub const HASH_PATTERN: &str = "^[0-9a-f]{64}$";

/// Schema format of an IP number and a port, such as `10.0.0.1:8080`.
pub const ADDRESS_FORMAT: &str = "ip-port";

/// Validates a tree against a root schema and returns all faults.
#[must_use]
pub fn check(schema: &Value, tree: &Value) -> Vec<DocumentFault> {
    let mut checker = ShapeChecker {
        root: schema,
        faults: Vec::new(),
    };
    checker.value("", schema, tree);
    checker.faults
}

/// Resolves `schema` if it is a reference into the root schema; otherwise returns it unchanged.
#[must_use]
pub fn resolve<'a>(root: &'a Value, schema: &'a Value) -> &'a Value {
    let target = schema
        .get("$ref")
        .and_then(Value::as_str)
        .and_then(|reference| reference.strip_prefix('#'))
        .and_then(|pointer| root.pointer(pointer));
    target.unwrap_or(schema)
}

/// Returns the non-null alternative of a nullable schema; otherwise returns it unchanged.
#[must_use]
pub fn not_null(schema: &Value) -> &Value {
    schema
        .get("anyOf")
        .and_then(Value::as_array)
        .and_then(|options| options.iter().find(|option| !allows_null(option)))
        .unwrap_or(schema)
}

/// Returns the strings that a schema of constants allows; empty for any other schema.
#[must_use]
pub fn constants(schema: &Value) -> Vec<&str> {
    if let Some(values) = schema.get("enum").and_then(Value::as_array) {
        return values.iter().filter_map(Value::as_str).collect();
    }
    if let Some(value) = schema.get("const").and_then(Value::as_str) {
        return vec![value];
    }
    let options = schema.get("oneOf").and_then(Value::as_array);
    options.into_iter().flatten().flat_map(constants).collect()
}

fn types(schema: &Value) -> Vec<&str> {
    match schema.get("type") {
        Some(Value::String(name)) => vec![name],
        Some(Value::Array(names)) => names.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    }
}

fn allows_null(schema: &Value) -> bool {
    let options = schema.get("anyOf").and_then(Value::as_array);
    types(schema).contains(&"null") || options.is_some_and(|all| all.iter().any(allows_null))
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}

struct ShapeChecker<'a> {
    root: &'a Value,
    faults: Vec<DocumentFault>,
}

impl<'a> ShapeChecker<'a> {
    fn fault(&mut self, path: &str, message: impl Into<String>) {
        self.faults.push(DocumentFault::new(path, message));
    }

    fn value(&mut self, path: &str, schema: &'a Value, value: &Value) {
        if value.is_null() && allows_null(schema) {
            return;
        }
        let schema = resolve(self.root, not_null(schema));
        let allowed = constants(schema);
        if !allowed.is_empty() {
            return self.constant(path, &allowed, value);
        }
        let kind = types(schema).into_iter().find(|name| *name != "null");
        match (kind, value) {
            (Some("object"), Value::Object(map)) => self.object(path, schema, map),
            (Some("array"), Value::Array(items)) => self.array(path, schema, items),
            (Some("string"), Value::String(text)) => self.text(path, schema, text),
            (Some("integer"), Value::Number(_)) => self.integer(path, schema, value),
            (Some("boolean"), Value::Bool(_)) | (Some("number"), Value::Number(_)) | (None, _) => {}
            (Some(kind), _) => {
                let wanted = match kind {
                    "object" => "an object",
                    "array" => "an array",
                    "string" => "a string",
                    "boolean" => "true or false",
                    "integer" => "a whole number",
                    _ => "a number",
                };
                self.fault(path, format!("is {}; use {wanted}", type_name(value)));
            }
        }
    }

    fn constant(&mut self, path: &str, allowed: &[&str], value: &Value) {
        if !value.as_str().is_some_and(|text| allowed.contains(&text)) {
            let list = allowed.join("\", \"");
            self.fault(path, format!("is {value}; use one of \"{list}\""));
        }
    }

    fn object(&mut self, path: &str, schema: &'a Value, map: &Map<String, Value>) {
        let properties = schema.get("properties").and_then(Value::as_object);
        for (key, value) in map {
            let below = join(path, key);
            match properties.and_then(|known| known.get(key)) {
                Some(part) => self.value(&below, part, value),
                None => self.undeclared_field(&below, schema, key, value),
            }
        }
        let required = schema.get("required").and_then(Value::as_array);
        for name in required.into_iter().flatten().filter_map(Value::as_str) {
            if !map.contains_key(name) {
                self.fault(&join(path, name), "is missing");
            }
        }
    }

    fn undeclared_field(&mut self, path: &str, schema: &'a Value, key: &str, value: &Value) {
        if let Some(patterns) = schema.get("patternProperties").and_then(Value::as_object) {
            for (pattern, part) in patterns {
                self.pattern(path, pattern, key);
                self.value(path, part, value);
            }
            return;
        }
        match schema.get("additionalProperties") {
            Some(Value::Bool(false)) => {
                let properties = schema.get("properties").and_then(Value::as_object);
                let names: Vec<&str> = properties
                    .into_iter()
                    .flat_map(Map::keys)
                    .map(String::as_str)
                    .collect();
                let names = names.join(", ");
                self.fault(path, format!("is an unknown field; known fields: {names}"));
            }
            Some(part @ Value::Object(_)) => self.value(path, part, value),
            _ => {}
        }
    }

    fn array(&mut self, path: &str, schema: &'a Value, items: &[Value]) {
        let least = schema.get("minItems").and_then(Value::as_u64).unwrap_or(0);
        if (items.len() as u64) < least {
            self.fault(path, format!("has too few entries; use at least {least}"));
        }
        let most = schema.get("maxItems").and_then(Value::as_u64);
        if let Some(most) = most.filter(|most| items.len() as u64 > *most) {
            self.fault(path, format!("has too many entries; use at most {most}"));
        }
        let Some(part) = schema.get("items") else {
            return;
        };
        for (index, item) in items.iter().enumerate() {
            self.value(&join(path, &index.to_string()), part, item);
        }
    }

    fn text(&mut self, path: &str, schema: &Value, text: &str) {
        if let Some(pattern) = schema.get("pattern").and_then(Value::as_str) {
            self.pattern(path, pattern, text);
        }
        let format = schema.get("format").and_then(Value::as_str);
        if format == Some(ADDRESS_FORMAT) && text.parse::<SocketAddr>().is_err() {
            let message = format!("\"{text}\" is not an address; use an IP number and a port");
            self.fault(path, message);
        }
    }

    /// Checks a text against a pattern. The crate's types use only two patterns, so each is checked
    /// by equivalent code instead of a regular expression engine.
    fn pattern(&mut self, path: &str, pattern: &str, text: &str) {
        if pattern == NAME_PATTERN {
            if let Err(error) = text.parse::<TeamName>() {
                self.fault(path, error.to_string());
            }
        } else if pattern == HASH_PATTERN && !is_hash(text) {
            self.fault(path, "is not a SHA-256 hash; use 64 of 0-9 and a-f");
        }
    }

    fn integer(&mut self, path: &str, schema: &Value, value: &Value) {
        let bound = |name: &str| schema.get(name).and_then(Value::as_i64).map(i128::from);
        let least = bound("minimum").unwrap_or(i128::from(i64::MIN));
        let most = bound("maximum").unwrap_or(match schema.get("format").and_then(Value::as_str) {
            Some("uint32") => i128::from(u32::MAX),
            Some("uint64") => i128::from(u64::MAX),
            _ => i128::from(i64::MAX),
        });
        let number = value
            .as_i64()
            .map(i128::from)
            .or_else(|| value.as_u64().map(i128::from));
        if !number.is_some_and(|number| (least..=most).contains(&number)) {
            let message = format!("is {value}; use a whole number from {least} to {most}");
            self.fault(path, message);
        }
    }
}

fn is_hash(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
