//! Drives decision modules from lines on standard input, with replies on standard output.

use madderloom_simulator_adapter::Adapter;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("madderloom-simhost: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> io::Result<()> {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let (mut bytes, mut reply) = (Vec::new(), Vec::new());
    let mut number = 0u64;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            break;
        }
        number += 1;
        let line = String::from_utf8_lossy(&bytes);
        let line = line.trim_end_matches(['\n', '\r']);
        if line.is_empty() {
            continue;
        }
        match adapter.line(line, &mut reply) {
            Ok(true) => {
                output.write_all(&reply)?;
                output.flush()?;
                reply.clear();
            }
            Ok(false) => {}
            Err(problem) => eprintln!("line {number}: {problem}"),
        }
    }
    if adapter.in_batch() {
        return Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "input ends inside a batch",
        ));
    }
    Ok(())
}
