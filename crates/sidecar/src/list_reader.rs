//! Splits the response body of a discovery watch into JSON objects.

use bytes::{Bytes, BytesMut};

/// The longest object that is read: about 6,000 servers as discovery lists them.
pub(super) const MAX_OBJECT_BYTES: usize = 1 << 20;

const NOT_AN_OBJECT: &str = "invalid endpoint list: expected a JSON object";

/// Splits a stream of bytes into JSON objects. Discovery writes each object on one line, or indented over several lines. White
/// space between and within objects is ignored, except that a blank line within an object means that the object is truncated.
#[derive(Default)]
pub(super) struct ListReader {
    buffer: BytesMut,
    /// The number of bytes at the front of `buffer` that have been scanned.
    scanned: usize,
    /// The number of braces and brackets that are open at that position.
    depth: u32,
    /// That position is within a string.
    in_string: bool,
    /// The last scanned byte is a backslash that escapes the next one.
    escaped: bool,
    /// Only white space has been scanned since the last line break.
    line_is_blank: bool,
}

impl ListReader {
    /// Whether an object has begun and is not complete yet.
    pub(super) fn is_within_object(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete object, or none until more bytes are received. After an error nothing more can be read.
    pub(super) fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        self.skip_whitespace();
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.scanned > MAX_OBJECT_BYTES {
                return Err("endpoint list is too long");
            }
            if self.scan(byte)? {
                let object = self.buffer.split_to(self.scanned).freeze();
                self.scanned = 0;
                self.skip_whitespace();
                return Ok(Some(object));
            }
        }
        Ok(None)
    }

    /// Drops the white space before an object. Discovery sends blank lines there as heartbeats.
    fn skip_whitespace(&mut self) {
        if self.scanned == 0 {
            let whitespace = self
                .buffer
                .iter()
                .take_while(|byte| byte.is_ascii_whitespace())
                .count();
            let _ = self.buffer.split_to(whitespace);
        }
    }

    /// Scans one byte and returns whether it ends the object.
    fn scan(&mut self, byte: u8) -> Result<bool, &'static str> {
        if self.in_string {
            return self.scan_in_string(byte).map(|()| false);
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.checked_sub(1).ok_or(NOT_AN_OBJECT)?,
            b'\n' if self.line_is_blank => return Err("endpoint list is truncated"),
            _ => {}
        }
        self.line_is_blank = byte == b'\n' || self.line_is_blank && byte.is_ascii_whitespace();
        match self.depth {
            0 if byte == b'}' => Ok(true),
            0 => Err(NOT_AN_OBJECT),
            _ => Ok(false),
        }
    }

    fn scan_in_string(&mut self, byte: u8) -> Result<(), &'static str> {
        match byte {
            b'\n' => return Err("endpoint list is truncated within a string"),
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

    /// Returns all objects in these pieces, or the first error.
    fn read(pieces: &[&[u8]]) -> Result<Vec<String>, &'static str> {
        let mut reader = ListReader::default();
        let mut objects = Vec::new();
        for piece in pieces {
            reader.push(piece);
            while let Some(object) = reader.next()? {
                objects.push(String::from_utf8_lossy(&object).into_owned());
            }
        }
        Ok(objects)
    }

    #[test]
    fn objects_are_found_wherever_the_stream_is_split() {
        const TEXT: &str = "\n\n  {\"a\": \"}{\\\"\", \"b\": [{}, [1]]}\n\t{\n  \"c\": {\n    \"d\": \"\\\\\"\n  }\n}\n\n{}\r\n";
        let objects = read(&[TEXT.as_bytes()]).expect("valid objects");
        assert_eq!(objects.len(), 3);
        assert!(
            objects[1].starts_with("{\n  \"c\"") && objects[1].ends_with("}\n}"),
            "{objects:?}"
        );
        for split in 0..TEXT.len() {
            let (front, back) = TEXT.as_bytes().split_at(split);
            assert_eq!(
                read(&[front, back]),
                Ok(objects.clone()),
                "split at {split}"
            );
        }
        let bytes: Vec<&[u8]> = TEXT.as_bytes().chunks(1).collect();
        assert_eq!(read(&bytes), Ok(objects));
    }

    #[rstest::rstest]
    #[case::no_object(b"nonsense\n")]
    #[case::an_array(b"[]\n")]
    #[case::a_closing_brace_only(b"}\n")]
    #[case::truncated_before_a_blank_line(b"{\"a\": [\n\n")]
    #[case::truncated_before_a_line_of_spaces(b"{\"a\": [\n  \r\n")]
    #[case::a_line_break_in_a_string(b"{\"a\": \"b\n")]
    fn anything_but_a_complete_object_is_an_error(#[case] text: &[u8]) {
        assert!(read(&[text]).is_err());
    }

    #[test]
    fn an_object_of_8_000_servers_is_read_and_a_longer_one_is_an_error() {
        let server = r#"{"name":"s-5be2a07c","address":"10.1.0.18:5000","zone":"a","type":"m2","group":3,"status":"ready"},"#;
        let list = |servers: usize| format!("{{\"endpoints\":[{}0]}}", server.repeat(servers));
        assert_eq!(
            read(&[list(8_000).as_bytes()]).map(|objects| objects.len()),
            Ok(1)
        );
        assert!(read(&[list(12_000).as_bytes()]).is_err());
    }
}
