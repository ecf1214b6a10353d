//! The number that the name of an instance ends in.

/// Longer numbers are no ordinals, but dates or hashes.
const MAX_DIGITS: usize = 6;

/// The number of an instance whose name has it behind the last separator, alone or behind letters: `reports-17`, `n22`. None in
/// names like `reports-x2k9`, which are drawn.
pub(super) fn ordinal_in_name(name: &str) -> Option<u32> {
    let last_part = name.rsplit(|c: char| !c.is_ascii_alphanumeric()).next()?;
    let digits = last_part.trim_start_matches(|c: char| c.is_ascii_alphabetic());
    let is_ordinal = digits.len() <= MAX_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_ordinal.then(|| digits.parse().ok())?
}
