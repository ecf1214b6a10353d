//! JSON as it is needed here: bounded, with every name of an object seen, also one that is given twice.

use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;

/// Names that an object which is looked into may have.
const MOST_NAMES: usize = 10_000;

/// Whether nothing is nested deeper than `most`. Told before a parser sees it; on text that is no JSON the answer
/// is of no use, and does no harm.
pub(crate) fn is_shallow(text: &[u8], most: usize) -> bool {
    let (mut depth, mut at) = (0usize, 0usize);
    while let Some(byte) = text.get(at) {
        at += 1;
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            b'"' => at = end_of_string(text, at),
            _ => {}
        }
        if depth > most {
            return false;
        }
    }
    true
}

fn end_of_string(text: &[u8], mut at: usize) -> usize {
    while let Some(rest) = text.get(at..) {
        match memchr::memchr2(b'"', b'\\', rest) {
            Some(found) if rest[found] == b'"' => return at + found + 1,
            Some(found) => at += found + 2,
            None => break,
        }
    }
    text.len()
}

/// A string, copied only where it holds escapes.
pub(crate) struct Text<'a>(pub Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Text<'a> {
    fn deserialize<D: Deserializer<'de>>(reader: D) -> Result<Self, D::Error> {
        struct Read;
        impl<'de> Visitor<'de> for Read {
            type Value = Text<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a string")
            }

            fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Text<'de>, E> {
                Ok(Text(Cow::Borrowed(text)))
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<Text<'de>, E> {
                Ok(Text(Cow::Owned(text.to_string())))
            }
        }
        reader.deserialize_str(Read)
    }
}

/// An object's names and values in their order, a name as often as it is given.
pub(crate) struct Pairs<'a>(pub Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Pairs<'a> {
    fn deserialize<D: Deserializer<'de>>(reader: D) -> Result<Self, D::Error> {
        struct Read;
        impl<'de> Visitor<'de> for Read {
            type Value = Pairs<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Pairs<'de>, A::Error> {
                let mut pairs = Vec::new();
                while let Some(Text(name)) = map.next_key()? {
                    if pairs.len() >= MOST_NAMES {
                        return Err(A::Error::custom("an object has too many names"));
                    }
                    pairs.push((name, map.next_value()?));
                }
                Ok(Pairs(pairs))
            }
        }
        reader.deserialize_map(Read)
    }
}

impl<'a> Pairs<'a> {
    pub fn read(json: &'a str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(json)
    }
}

/// A value found in JSON or in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// Nothing, or null.
    Absent,
    /// This.
    Is(Scalar),
    /// Something, but not one string or whole number that all servers read alike.
    Uncertain,
}

/// A string or a whole number. The string `"7"` and the number 7 are the same: so an `ID` may be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Scalar {
    pub hash: u64,
    pub number: Option<u64>,
}

impl Scalar {
    pub fn of(text: &str) -> Self {
        use std::hash::BuildHasher;
        // The same at every instance.
        let hash = foldhash::quality::FixedState::with_seed(0).hash_one(text);
        Scalar {
            hash,
            number: text.parse().ok(),
        }
    }
}

/// The value at a path into an object.
pub(crate) fn find(json: &str, path: &[Box<str>]) -> Found {
    let Some((name, rest)) = path.split_first() else {
        return scalar(json);
    };
    if json == "null" {
        return Found::Absent;
    }
    let Ok(Pairs(pairs)) = Pairs::read(json) else {
        return Found::Uncertain;
    };
    let mut named = pairs
        .iter()
        .filter(|(n, _)| **n == **name)
        .map(|(_, value)| value.get());
    match (named.next(), named.next()) {
        (None, _) => Found::Absent,
        (Some(value), None) => find(value, rest),
        (Some(_), Some(_)) => Found::Uncertain,
    }
}

fn scalar(json: &str) -> Found {
    match json.as_bytes().first() {
        Some(b'n') => Found::Absent,
        Some(b'"') => match serde_json::from_str::<Text>(json) {
            Ok(Text(text)) if text.is_empty() => Found::Absent,
            Ok(Text(text)) => Found::Is(Scalar::of(&text)),
            Err(_) => Found::Uncertain,
        },
        Some(b'-' | b'0'..=b'9') if json.bytes().skip(1).all(|b| b.is_ascii_digit()) => {
            Found::Is(Scalar::of(json))
        }
        _ => Found::Uncertain,
    }
}
