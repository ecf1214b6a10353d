//! What the examples that measure have in common.
#![allow(dead_code, reason = "each of them uses a part")]

use std::io::{BufRead, BufReader, Read, Result};
use std::net::TcpStream;
use std::process::Child;

/// A program that is ended with what measures it.
pub struct Program(pub Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The median of some values, with the least and the most.
pub fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: usize| values[part * (values.len() - 1) / 2];
    format!("{:.2} ({:.2} to {:.2})", at(1), at(0), at(2))
}

/// Reads a message whole, and gives its first line; none where the connection has ended.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<String>> {
    let (mut first, mut line, mut length) = (String::new(), String::new(), 0);
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    std::io::copy(&mut reader.by_ref().take(length), &mut std::io::sink())?;
    Ok(Some(first))
}
