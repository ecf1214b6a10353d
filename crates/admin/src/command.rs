//! Commands on the control address: one line for each connection.

use std::fmt;

/// The longest line in bytes, without its line ending.
pub const MAX_LINE_BYTES: usize = 64;

/// A command of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reports whether this process can serve.
    Ping,
    /// Reports the statistics of this process.
    Info,
    /// Starts draining.
    LameDuck,
    /// Ends draining and serves again.
    Rejoin,
}

/// Why a line is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The line is empty.
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// The line contains bytes that are not printable ASCII.
    NotPrintable,
    /// The command is unknown.
    Unknown,
    /// The caller closed the connection or stopped sending before the line feed.
    Unterminated,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
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

/// Parses the first line of the bytes received so far; `None` while the line is incomplete. Bytes after it are ignored.
pub fn read(received: &[u8]) -> Option<Result<Command, CommandError>> {
    let end = received
        .iter()
        .take(MAX_LINE_BYTES + 2)
        .position(|byte| *byte == b'\n');
    match end {
        Some(end) => Some(parse(&received[..end])),
        // One more byte allows for the carriage return.
        None if received.len() > MAX_LINE_BYTES + 1 => Some(Err(CommandError::TooLong)),
        None => None,
    }
}

/// Parses a line without its line feed.
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
    fn commands_end_with_a_line_feed_with_or_without_a_carriage_return() {
        assert_eq!(read(b"PING\n"), Some(Ok(Command::Ping)));
        assert_eq!(read(b"INFO\r\n"), Some(Ok(Command::Info)));
        assert_eq!(read(b"LAMEDUCK\nREJOIN\n"), Some(Ok(Command::LameDuck)));
        assert_eq!(read(b" REJOIN \n"), Some(Ok(Command::Rejoin)));
        assert_eq!(read(b"PING"), None);
        assert_eq!(read(b""), None);
    }

    #[test]
    fn a_line_that_is_not_a_command_is_rejected_with_its_error() {
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
        /// The result is the same whether the bytes arrive at once or in fragments, and no more than one line is buffered.
        #[test]
        fn fragmentation_does_not_change_the_result(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
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
