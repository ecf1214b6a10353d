//! The ordinal of an instance, taken from its name.

/// Longer numbers are assumed to be dates or hashes rather than ordinals.
const MAX_DIGITS: usize = 6;

/// The number in the part of the name after the last separator, if that part consists of digits, optionally after letters:
/// `reports-17`, `n22`. None for names with a generated suffix, such as `reports-x2k9`.
pub(super) fn ordinal_in_name(name: &str) -> Option<u32> {
    let last_part = name.rsplit(|c: char| !c.is_ascii_alphanumeric()).next()?;
    let digits = last_part.trim_start_matches(|c: char| c.is_ascii_alphabetic());
    let is_ordinal = digits.len() <= MAX_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_ordinal.then(|| digits.parse().ok())?
}
