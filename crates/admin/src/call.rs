//! Calls at the second address: one line to a connection.

use std::fmt;

/// The longest line, in bytes, without its end.
pub const LONGEST: usize = 64;

/// What is called for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Ping,
    /// Its figures.
    Info,
    /// It is to drain.
    LameDuck,
    /// It is to go back to work.
    Rejoin,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// There is nothing on it.
    Empty,
    /// It goes on beyond [`LONGEST`].
    TooLong,
    /// It holds bytes that are not printable ASCII.
    NotText,
    /// It is none of the calls.
    Unknown,
    /// The caller ended, or said nothing more, before its end.
    Cut,
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Fault::Empty => "the line is empty; call PING, INFO, LAMEDUCK or REJOIN",
            Fault::TooLong => "the line is too long; call PING, INFO, LAMEDUCK or REJOIN",
            Fault::NotText => "the line is no text; call PING, INFO, LAMEDUCK or REJOIN",
            Fault::Unknown => "there is no such call; call PING, INFO, LAMEDUCK or REJOIN",
            Fault::Cut => "the line has no end; end it with a line feed",
        })
    }
}

/// Finds the first line in what has come so far. None while more must come. Behind the line nothing is looked at.
pub fn read(come: &[u8]) -> Option<Result<Call, Fault>> {
    let end = come
        .iter()
        .take(LONGEST + 2)
        .position(|byte| *byte == b'\n');
    match end {
        Some(end) => Some(parse(&come[..end])),
        // One more is room for the carriage return.
        None if come.len() > LONGEST + 1 => Some(Err(Fault::TooLong)),
        None => None,
    }
}

/// Reads a line without its line feed.
pub fn parse(line: &[u8]) -> Result<Call, Fault> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.len() > LONGEST {
        return Err(Fault::TooLong);
    }
    if line.iter().any(|byte| !matches!(byte, b'\t' | b' '..=b'~')) {
        return Err(Fault::NotText);
    }
    match line.trim_ascii() {
        b"" => Err(Fault::Empty),
        b"PING" => Ok(Call::Ping),
        b"INFO" => Ok(Call::Info),
        b"LAMEDUCK" => Ok(Call::LameDuck),
        b"REJOIN" => Ok(Call::Rejoin),
        _ => Err(Fault::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn calls_end_with_a_line_feed_with_or_without_a_carriage_return() {
        assert_eq!(read(b"PING\n"), Some(Ok(Call::Ping)));
        assert_eq!(read(b"INFO\r\n"), Some(Ok(Call::Info)));
        assert_eq!(read(b"LAMEDUCK\nREJOIN\n"), Some(Ok(Call::LameDuck)));
        assert_eq!(read(b" REJOIN \n"), Some(Ok(Call::Rejoin)));
        assert_eq!(read(b"PING"), None);
        assert_eq!(read(b""), None);
    }

    #[test]
    fn what_is_no_call_is_a_fault_by_its_kind() {
        assert_eq!(read(b"\n"), Some(Err(Fault::Empty)));
        assert_eq!(read(b"\r\n"), Some(Err(Fault::Empty)));
        assert_eq!(read(b"ping\n"), Some(Err(Fault::Unknown)));
        assert_eq!(read(b"PING PING\n"), Some(Err(Fault::Unknown)));
        assert_eq!(read(b"PI\0NG\n"), Some(Err(Fault::NotText)));
        assert_eq!(read(b"\xff\xfe\n"), Some(Err(Fault::NotText)));
        assert_eq!(read(&[b'A'; LONGEST + 2]), Some(Err(Fault::TooLong)));
        assert_eq!(read(&[b'A'; 4096]), Some(Err(Fault::TooLong)));
    }

    proptest! {
        /// A caller that writes in pieces gets what one gets that writes at once, and never more is kept than a line.
        #[test]
        fn pieces_make_no_difference(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let at_once = read(&bytes);
            let first = (0..=bytes.len()).find_map(|end| read(&bytes[..end]).map(|found| (end, found)));
            prop_assert_eq!(at_once, first.map(|(_, found)| found));
            if let Some((end, _)) = first {
                prop_assert!(end <= LONGEST + 2);
            } else {
                prop_assert!(bytes.len() <= LONGEST + 1);
            }
        }
    }
}
