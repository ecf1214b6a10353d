//! Times and sizes as people write them.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use std::fmt;
use std::str::FromStr;

/// A span of time in whole microseconds, written with its unit: `"250ms"`, `"1m 30s"`, `"50us"`; a bare `0` needs
/// none. At most a hundred years, so that sums of a few of them never overflow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub u64);

/// The longest span.
const LONGEST: u64 = 100 * 365 * 86_400 * 1_000_000;

impl Span {
    /// So many milliseconds.
    pub const fn ms(ms: u64) -> Self {
        Span(ms * 1_000)
    }

    /// So many seconds.
    pub const fn s(s: u64) -> Self {
        Span(s * 1_000_000)
    }

    /// In whole microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// In seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let text = text.trim();
        if text == "0" {
            return Ok(Span(0));
        }
        // Decimals ("1.5s") are not known to the library: a plain number with one unit is read here.
        let unit_at = text
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(text.len());
        let (number, unit) = text.split_at(unit_at);
        let micros = match (number.contains('.'), number.parse::<f64>(), unit) {
            (true, Ok(number), "us" | "ms" | "s" | "m" | "min" | "h") => {
                let scale = match unit {
                    "us" => 1.0,
                    "ms" => 1e3,
                    "s" => 1e6,
                    "h" => 3.6e9,
                    _ => 6e7,
                };
                (number * scale).round() as u64
            }
            _ => {
                let span = humantime::parse_duration(text).map_err(|_| wanted(text))?;
                u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
            }
        };
        if micros > LONGEST {
            Err(format!("{text} is more than a hundred years"))
        } else {
            Ok(Span(micros))
        }
    }
}

fn wanted(text: &str) -> String {
    format!(
        "{text:?} is no span of time; write a number with its unit, such as \"250ms\" or \"1.5s\""
    )
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}",
            humantime::format_duration(std::time::Duration::from_micros(self.0))
        )
    }
}

impl<'a> Deserialize<'a> for Span {
    fn deserialize<D: Deserializer<'a>>(reader: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl serde::de::Visitor<'_> for Visitor {
            type Value = Span;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a span of time with its unit, such as \"250ms\"")
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
                text.parse().map_err(E::custom)
            }

            fn visit_i64<E: Error>(self, number: i64) -> Result<Span, E> {
                if number == 0 {
                    Ok(Span(0))
                } else {
                    Err(E::custom(wanted(&number.to_string())))
                }
            }

            fn visit_u64<E: Error>(self, number: u64) -> Result<Span, E> {
                if number == 0 {
                    Ok(Span(0))
                } else {
                    Err(E::custom(wanted(&number.to_string())))
                }
            }
        }
        reader.deserialize_any(Visitor)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        writer.collect_str(self)
    }
}

/// A number of bytes, written with its unit (`"64KiB"`, `"1.5 MB"`) or as a bare number. At most 2^53.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(pub u64);

const UNITS: [(&str, u64); 9] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
    ("kB", 1_000),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
];

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wanted = || {
            format!(
                "{text:?} is no size; write a number with its unit, such as \"64KiB\" or \"1.5MB\""
            )
        };
        let trimmed = text.trim();
        let unit_at = trimmed
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(trimmed.len());
        let (number, unit) = trimmed.split_at(unit_at);
        let unit = unit.trim();
        let scale = if unit.is_empty() {
            Some(1)
        } else {
            UNITS.iter().find(|u| u.0 == unit).map(|u| u.1)
        };
        let bytes = number
            .parse::<f64>()
            .ok()
            .zip(scale)
            .map(|(number, scale)| number * scale as f64);
        match bytes {
            Some(bytes) if bytes <= (1u64 << 53) as f64 => Ok(Size(bytes.round() as u64)),
            Some(_) => Err(format!("{text:?} is more than 8 PiB")),
            None => Err(wanted()),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = UNITS[..5]
            .iter()
            .rev()
            .find(|(_, scale)| self.0 >= *scale && self.0.is_multiple_of(*scale));
        match whole {
            Some((unit, scale)) => write!(f, "{}{unit}", self.0 / scale),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl<'a> Deserialize<'a> for Size {
    fn deserialize<D: Deserializer<'a>>(reader: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl serde::de::Visitor<'_> for Visitor {
            type Value = Size;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a size with its unit, such as \"64KiB\"")
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<Size, E> {
                text.parse().map_err(E::custom)
            }

            fn visit_i64<E: Error>(self, number: i64) -> Result<Size, E> {
                u64::try_from(number)
                    .map(Size)
                    .map_err(|_| E::custom("a size is not negative"))
            }

            fn visit_u64<E: Error>(self, number: u64) -> Result<Size, E> {
                Ok(Size(number))
            }
        }
        reader.deserialize_any(Visitor)
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        writer.collect_str(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn spans_and_sizes_are_read_with_their_units() {
        for (text, micros) in [
            ("250ms", 250_000),
            ("1.5s", 1_500_000),
            ("0", 0),
            ("1m 30s", 90_000_000),
        ] {
            assert_eq!(text.parse(), Ok(Span(micros)), "{text}");
        }
        for text in [
            "",
            "5",
            "-1s",
            "soon",
            "1.5.5s",
            "99999999999 years",
            "1e300s",
        ] {
            assert!(text.parse::<Span>().is_err(), "{text}");
        }
        for (text, bytes) in [
            ("64KiB", 65_536),
            ("1.5 MB", 1_500_000),
            ("7", 7),
            ("0B", 0),
        ] {
            assert_eq!(text.parse(), Ok(Size(bytes)), "{text}");
        }
        for text in ["", "-1", "KiB", "5 furlongs", "9999999999TiB", "1.5.5MB"] {
            assert!(text.parse::<Size>().is_err(), "{text}");
        }
    }

    proptest! {
        #[test]
        fn what_is_written_is_read_again(micros in 0..LONGEST, bytes in 0u64..1 << 53) {
            prop_assert_eq!(Span(micros).to_string().parse(), Ok(Span(micros)));
            prop_assert_eq!(Size(bytes).to_string().parse(), Ok(Size(bytes)));
        }

        #[test]
        fn no_text_is_too_odd(text in "\\PC{0,40}") {
            let _ = (text.parse::<Span>(), text.parse::<Size>());
        }
    }
}
