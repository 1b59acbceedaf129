//! Parsing of JSON text into a tree of values; duplicate names in an object are rejected.

use std::cell::RefCell;
use std::fmt;

use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_json::Map;
use serde_json::Number;
use serde_json::Value;

use super::fault::DocumentFault;
use super::fault::FaultList;
use super::fault::join;

/// Parses JSON text.
///
/// # Errors
/// Returns the position of the first syntax error, or all names that are duplicated within an
/// object.
pub fn parse(text: &[u8]) -> Result<Value, FaultList> {
    let duplicate_faults = RefCell::new(Vec::new());
    let seed = ValueSeed {
        path: String::new(),
        duplicate_faults: &duplicate_faults,
    };
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = seed
        .deserialize(&mut deserializer)
        .and_then(|value| deserializer.end().map(|()| value))
        .map_err(|error| {
            let message = format!("not valid JSON: {error}");
            FaultList::from(vec![DocumentFault::new("", message)])
        })?;
    let duplicate_faults = duplicate_faults.into_inner();
    if duplicate_faults.is_empty() {
        Ok(value)
    } else {
        Err(FaultList::from(duplicate_faults))
    }
}

/// Deserialises one value and records duplicate names. The `Deserialize` implementation of `Value`
/// silently keeps the last of two equal names, so the first of two teams with the same name would
/// be lost.
struct ValueSeed<'a> {
    path: String,
    duplicate_faults: &'a RefCell<Vec<DocumentFault>>,
}

impl ValueSeed<'_> {
    fn below(&self, part: &str) -> ValueSeed<'_> {
        ValueSeed {
            path: join(&self.path, part),
            duplicate_faults: self.duplicate_faults,
        }
    }
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element_seed(self.below(&items.len().to_string()))? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(key) = access.next_key::<String>()? {
            let seed = self.below(&key);
            let path = seed.path.clone();
            let value = access.next_value_seed(seed)?;
            if map.insert(key, value).is_some() {
                let fault = DocumentFault::new(path, "is a duplicate name; keep one");
                self.duplicate_faults.borrow_mut().push(fault);
            }
        }
        Ok(Value::Object(map))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn duplicate_names_are_reported() {
        let faults = parse(br#"{"a": {"b": 1, "b": 2}, "a": []}"#).unwrap_err();
        let paths: Vec<&str> = faults.faults().iter().map(|f| f.path.as_str()).collect();
        assert_eq!(paths, ["a", "a.b"]);
    }

    #[test]
    fn truncated_text_reports_its_position() {
        let faults = parse(br#"{"a": "#).unwrap_err();
        assert!(faults.to_string().contains("line 1 column 6"), "{faults}");
    }
}
