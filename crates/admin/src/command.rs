//! Calls at the second address: one line to a connection.

use std::fmt;

/// The longest line, in bytes, without its end.
pub const MAX_LINE_BYTES: usize = 64;

/// What is called for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
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
pub enum CommandError {
    /// There is nothing on it.
    Empty,
    /// It goes on beyond [`MAX_LINE_BYTES`].
    TooLong,
    /// It holds bytes that are not printable ASCII.
    NotPrintable,
    /// It is none of the calls.
    Unknown,
    /// The caller ended, or said nothing more, before its end.
    Unterminated,
}

impl fmt::Display for CommandError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            CommandError::Empty => "the line is empty; call PING, INFO, LAMEDUCK or REJOIN",
            CommandError::TooLong => "the line is too long; call PING, INFO, LAMEDUCK or REJOIN",
            CommandError::NotPrintable => {
                "the line is no text; call PING, INFO, LAMEDUCK or REJOIN"
            }
            CommandError::Unknown => "there is no such call; call PING, INFO, LAMEDUCK or REJOIN",
            CommandError::Unterminated => "the line has no end; end it with a line feed",
        })
    }
}

/// Finds the first line in what has come so far. None while more must come. Behind the line nothing is looked at.
pub fn read(come: &[u8]) -> Option<Result<Command, CommandError>> {
    let end = come
        .iter()
        .take(MAX_LINE_BYTES + 2)
        .position(|byte| *byte == b'\n');
    match end {
        Some(end) => Some(parse(&come[..end])),
        // One more is room for the carriage return.
        None if come.len() > MAX_LINE_BYTES + 1 => Some(Err(CommandError::TooLong)),
        None => None,
    }
}

/// Reads a line without its line feed.
pub fn parse(line: &[u8]) -> Result<Command, CommandError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.len() > MAX_LINE_BYTES {
        return Err(CommandError::TooLong);
    }
    if line.iter().any(|byte| !matches!(byte, b'\t' | b' '..=b'~')) {
        return Err(CommandError::NotPrintable);
    }
    match line.trim_ascii() {
        b"" => Err(CommandError::Empty),
        b"PING" => Ok(Command::Ping),
        b"INFO" => Ok(Command::Info),
        b"LAMEDUCK" => Ok(Command::LameDuck),
        b"REJOIN" => Ok(Command::Rejoin),
        _ => Err(CommandError::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn calls_end_with_a_line_feed_with_or_without_a_carriage_return() {
        assert_eq!(read(b"PING\n"), Some(Ok(Command::Ping)));
        assert_eq!(read(b"INFO\r\n"), Some(Ok(Command::Info)));
        assert_eq!(read(b"LAMEDUCK\nREJOIN\n"), Some(Ok(Command::LameDuck)));
        assert_eq!(read(b" REJOIN \n"), Some(Ok(Command::Rejoin)));
        assert_eq!(read(b"PING"), None);
        assert_eq!(read(b""), None);
    }

    #[test]
    fn what_is_no_call_is_a_fault_by_its_kind() {
        assert_eq!(read(b"\n"), Some(Err(CommandError::Empty)));
        assert_eq!(read(b"\r\n"), Some(Err(CommandError::Empty)));
        assert_eq!(read(b"ping\n"), Some(Err(CommandError::Unknown)));
        assert_eq!(read(b"PING PING\n"), Some(Err(CommandError::Unknown)));
        assert_eq!(read(b"PI\0NG\n"), Some(Err(CommandError::NotPrintable)));
        assert_eq!(read(b"\xff\xfe\n"), Some(Err(CommandError::NotPrintable)));
        assert_eq!(
            read(&[b'A'; MAX_LINE_BYTES + 2]),
            Some(Err(CommandError::TooLong))
        );
        assert_eq!(read(&[b'A'; 4096]), Some(Err(CommandError::TooLong)));
    }

    proptest! {
        /// A caller that writes in pieces gets what one gets that writes at once, and never more is kept than a line.
        #[test]
        fn pieces_make_no_difference(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let at_once = read(&bytes);
            let first = (0..=bytes.len()).find_map(|end| read(&bytes[..end]).map(|found| (end, found)));
            prop_assert_eq!(at_once, first.map(|(_, found)| found));
            if let Some((end, _)) = first {
                prop_assert!(end <= MAX_LINE_BYTES + 2);
            } else {
                prop_assert!(bytes.len() <= MAX_LINE_BYTES + 1);
            }
        }
    }
}
