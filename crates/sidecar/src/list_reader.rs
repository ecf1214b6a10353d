//! The JSON objects of a watch, as their bytes come in pieces.

use bytes::{Bytes, BytesMut};

/// The longest object that is read, in bytes: some 6,000 servers as discovery lists them.
pub(super) const MAX_OBJECT_BYTES: usize = 1 << 20;

const NO_OBJECT: &str = "makes no sense: no object begins";

/// Splits a stream of bytes into JSON objects. Discovery writes each on a line of its own, or indented over several; white space
/// between and within them does not matter, but a blank line within an object says that the rest of it never comes.
#[derive(Default)]
pub(super) struct ListReader {
    unread: BytesMut,
    /// Bytes at the front of `unread` that have been looked at.
    seen: usize,
    /// Braces and brackets that are open there.
    depth: u32,
    /// The place there is within a string, or behind a backslash of one.
    in_string: bool,
    escaped: bool,
    /// Nothing but white space has come since the last line ended.
    blank: bool,
}

impl ListReader {
    /// Whether an object has begun and has not ended.
    pub(super) fn is_within(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Takes in what has come.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// The next whole object; none until more has come. Behind an error nothing more can be read.
    pub(super) fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        self.skip_between();
        while let Some(byte) = self.unread.get(self.seen).copied() {
            self.seen += 1;
            if self.seen > MAX_OBJECT_BYTES {
                return Err("a list is too long");
            }
            if self.ends_object(byte)? {
                let object = self.unread.split_to(self.seen).freeze();
                self.seen = 0;
                self.skip_between();
                return Ok(Some(object));
            }
        }
        Ok(None)
    }

    /// Drops the white space before an object. A blank line there only says that discovery is there.
    fn skip_between(&mut self) {
        if self.seen == 0 {
            let space = self
                .unread
                .iter()
                .take_while(|byte| byte.is_ascii_whitespace())
                .count();
            let _ = self.unread.split_to(space);
        }
    }

    fn ends_object(&mut self, byte: u8) -> Result<bool, &'static str> {
        if self.in_string {
            return self.within_string(byte).map(|()| false);
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.checked_sub(1).ok_or(NO_OBJECT)?,
            b'\n' if self.blank => return Err("a list breaks off"),
            _ => {}
        }
        self.blank = byte == b'\n' || self.blank && byte.is_ascii_whitespace();
        match self.depth {
            0 if byte == b'}' => Ok(true),
            0 => Err(NO_OBJECT),
            _ => Ok(false),
        }
    }

    fn within_string(&mut self, byte: u8) -> Result<(), &'static str> {
        match byte {
            b'\n' => return Err("a list breaks off in a string"),
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All objects of these pieces, or why there are no more.
    fn read(pieces: &[&[u8]]) -> Result<Vec<String>, &'static str> {
        let mut reader = ListReader::default();
        let mut found = Vec::new();
        for piece in pieces {
            reader.push(piece);
            while let Some(object) = reader.next()? {
                found.push(String::from_utf8_lossy(&object).into_owned());
            }
        }
        Ok(found)
    }

    #[test]
    fn objects_are_found_wherever_the_stream_is_cut() {
        const TEXT: &str = "\n\n  {\"a\": \"}{\\\"\", \"b\": [{}, [1]]}\n\t{\n  \"c\": {\n    \"d\": \"\\\\\"\n  }\n}\n\n{}\r\n";
        let whole = read(&[TEXT.as_bytes()]).expect("it is sound");
        assert_eq!(whole.len(), 3);
        assert!(
            whole[1].starts_with("{\n  \"c\"") && whole[1].ends_with("}\n}"),
            "{whole:?}"
        );
        for cut in 0..TEXT.len() {
            let (front, back) = TEXT.as_bytes().split_at(cut);
            assert_eq!(read(&[front, back]), Ok(whole.clone()), "cut at {cut}");
        }
        let bytes: Vec<&[u8]> = TEXT.as_bytes().chunks(1).collect();
        assert_eq!(read(&bytes), Ok(whole));
    }

    #[rstest::rstest]
    #[case::no_object(b"nonsense\n")]
    #[case::an_array(b"[]\n")]
    #[case::an_end_alone(b"}\n")]
    #[case::half_and_a_blank_line(b"{\"a\": [\n\n")]
    #[case::half_and_a_blank_line_with_spaces(b"{\"a\": [\n  \r\n")]
    #[case::a_line_that_ends_in_a_string(b"{\"a\": \"b\n")]
    fn what_is_no_object_or_never_ends_is_an_error(#[case] text: &[u8]) {
        assert!(read(&[text]).is_err());
    }

    #[test]
    fn an_object_that_goes_on_for_too_long_is_an_error_and_one_of_8_000_servers_is_not() {
        let server = r#"{"name":"s-5be2a07c","address":"10.1.0.18:5000","zone":"a","type":"m2","group":3,"status":"ready"},"#;
        let list = |servers: usize| format!("{{\"endpoints\":[{}0]}}", server.repeat(servers));
        assert_eq!(
            read(&[list(8_000).as_bytes()]).map(|found| found.len()),
            Ok(1)
        );
        assert!(read(&[list(12_000).as_bytes()]).is_err());
    }
}
