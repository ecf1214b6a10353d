//! Durations and sizes written with a unit.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use std::fmt;
use std::str::FromStr;

/// A duration in whole microseconds, written with a unit: `"250ms"`, `"1m 30s"`, `"50us"`. A bare `0` needs no unit. At
/// most 100 years, so that the sum of a few durations cannot overflow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub u64);

/// The longest duration: 100 years.
const MAX_MICROS: u64 = 100 * 365 * 86_400 * 1_000_000;

impl Span {
    /// Creates a duration from milliseconds.
    pub const fn ms(ms: u64) -> Self {
        Span(ms * 1_000)
    }

    /// Creates a duration from seconds.
    pub const fn s(s: u64) -> Self {
        Span(s * 1_000_000)
    }

    /// The duration in whole microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The duration in seconds.
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
        // humantime does not accept decimals ("1.5s"), so a decimal number with one unit is parsed here.
        let unit_start = text
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(text.len());
        let (number, unit) = text.split_at(unit_start);
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
                let span = humantime::parse_duration(text).map_err(|_| invalid_duration(text))?;
                u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
            }
        };
        if micros > MAX_MICROS {
            Err(format!("{text} is longer than 100 years"))
        } else {
            Ok(Span(micros))
        }
    }
}

fn invalid_duration(text: &str) -> String {
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
    fn deserialize<D: Deserializer<'a>>(deserializer: D) -> Result<Self, D::Error> {
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
                    Err(E::custom(invalid_duration(&number.to_string())))
                }
            }

            fn visit_u64<E: Error>(self, number: u64) -> Result<Span, E> {
                if number == 0 {
                    Ok(Span(0))
                } else {
                    Err(E::custom(invalid_duration(&number.to_string())))
                }
            }
        }
        deserializer.deserialize_any(Visitor)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// A number of bytes, written with a unit (`"64KiB"`, `"1.5 MB"`) or as a bare number. At most 2^53.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(pub u64);

/// Units of sizes with their number of bytes. The first five, in ascending order, are used to format a size.
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
        let invalid_size = || {
            format!(
                "{text:?} is not a size; write a number with its unit, such as \"64KiB\" or \"1.5MB\""
            )
        };
        let trimmed = text.trim();
        let unit_start = trimmed
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(trimmed.len());
        let (number, unit) = trimmed.split_at(unit_start);
        let unit = unit.trim();
        let scale = if unit.is_empty() {
            Some(1)
        } else {
            UNITS
                .iter()
                .find(|known| known.0 == unit)
                .map(|known| known.1)
        };
        let bytes = number
            .parse::<f64>()
            .ok()
            .zip(scale)
            .map(|(number, scale)| number * scale as f64);
        match bytes {
            Some(bytes) if bytes <= (1u64 << 53) as f64 => Ok(Size(bytes.round() as u64)),
            Some(_) => Err(format!("{text:?} is more than 8 PiB")),
            None => Err(invalid_size()),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let largest_exact_unit = UNITS[..5]
            .iter()
            .rev()
            .find(|(_, scale)| self.0 >= *scale && self.0.is_multiple_of(*scale));
        match largest_exact_unit {
            Some((unit, scale)) => write!(f, "{}{unit}", self.0 / scale),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl<'a> Deserialize<'a> for Size {
    fn deserialize<D: Deserializer<'a>>(deserializer: D) -> Result<Self, D::Error> {
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
                    .map_err(|_| E::custom("a size cannot be negative"))
            }

            fn visit_u64<E: Error>(self, number: u64) -> Result<Size, E> {
                Ok(Size(number))
            }
        }
        deserializer.deserialize_any(Visitor)
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn durations_and_sizes_are_parsed_with_their_units() {
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
        fn formatted_values_are_parsed_back(micros in 0..MAX_MICROS, bytes in 0u64..1 << 53) {
            prop_assert_eq!(Span(micros).to_string().parse(), Ok(Span(micros)));
            prop_assert_eq!(Size(bytes).to_string().parse(), Ok(Size(bytes)));
        }

        #[test]
        fn no_text_causes_a_panic(text in "\\PC{0,40}") {
            let _ = (text.parse::<Span>(), text.parse::<Size>());
        }
    }
}
