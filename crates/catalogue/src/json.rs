//! A JSON parser that reports duplicate object members, and helpers for JSON pointers.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

/// A parsed JSON text, with the pointers of all duplicate members.
///
/// `value` holds the last of several duplicates.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ParsedJson {
    pub(crate) value: Value,
    pub(crate) duplicates: Vec<String>,
}

/// Parses `text`, which must be a single JSON value.
pub(crate) fn parse(text: &str) -> serde_json::Result<ParsedJson> {
    let mut duplicates = Vec::new();
    let mut de = serde_json::Deserializer::from_str(text);
    let value = ValueSeed {
        pointer: String::new(),
        duplicates: &mut duplicates,
    }
    .deserialize(&mut de)?;
    de.end()?;
    Ok(ParsedJson { value, duplicates })
}

/// Appends `segment` to a JSON pointer, with `~` and `/` escaped.
pub(crate) fn join(pointer: &str, segment: &str) -> String {
    let escaped = segment.replace('~', "~0").replace('/', "~1");
    format!("{pointer}/{escaped}")
}

/// Removes the object member at a JSON pointer, if it exists.
pub(crate) fn remove(value: &mut Value, pointer: &str) {
    let Some((parent, name)) = pointer.rsplit_once('/') else {
        return;
    };
    let name = name.replace("~1", "/").replace("~0", "~");
    if let Some(Value::Object(members)) = value.pointer_mut(parent) {
        members.shift_remove(&name);
    }
}

/// Deserializes the value at `pointer` and records duplicate members in it.
struct ValueSeed<'a> {
    pointer: String,
    duplicates: &'a mut Vec<String>,
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
        formatter.write_str("any JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Value, E> {
        Ok(Value::Bool(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Value, E> {
        Ok(Value::from(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Value, E> {
        Ok(Value::from(v))
    }

    fn visit_f64<E: serde::de::Error>(self, v: f64) -> Result<Value, E> {
        let number = Number::from_f64(v).ok_or_else(|| E::custom("number is not finite"))?;
        Ok(Value::Number(number))
    }

    fn visit_str<E>(self, v: &str) -> Result<Value, E> {
        Ok(Value::from(v))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            let seed = ValueSeed {
                pointer: format!("{}/{}", self.pointer, items.len()),
                duplicates: &mut *self.duplicates,
            };
            let Some(item) = seq.next_element_seed(seed)? else {
                return Ok(Value::Array(items));
            };
            items.push(item);
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut members = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            let pointer = join(&self.pointer, &name);
            if members.contains_key(&name) {
                self.duplicates.push(pointer.clone());
            }
            let seed = ValueSeed {
                pointer,
                duplicates: &mut *self.duplicates,
            };
            let value = map.next_value_seed(seed)?;
            members.insert(name, value);
        }
        Ok(Value::Object(members))
    }
}
