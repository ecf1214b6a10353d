//! Serial numbers as hexadecimal digits.

/// The digits of some bytes, two for each, in lower case.
pub(crate) fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of some digits. Pairs that are not digits are left out.
pub(crate) fn decode(digits: &str) -> Vec<u8> {
    let byte = |index: usize| {
        let pair = digits.get(index * 2..index * 2 + 2)?;
        u8::from_str_radix(pair, 16).ok()
    };
    (0..digits.len() / 2).filter_map(byte).collect()
}
