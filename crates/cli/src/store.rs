//! `madderloom store`: an embedded store looked at, compacted, and saved from damage, while nothing else has it open.

use clap::{Args, Subcommand, ValueEnum};
use madderloom_store::{Error, Options, RealDisk, Store as Opened, VerifyReport, salvage, verify};
use serde_json::{Value, json};
use std::io::{BufWriter, IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// Looks at an embedded store, compacts it, or saves what can be read of a damaged one.
///
/// The program that uses the store must not run meanwhile. Exits with 0 where all is well, with 1 where the store is
/// damaged or can't be opened.
#[derive(Args)]
#[command(
    after_help = "Examples:\n  madderloom store verify /var/lib/madderloom\n  \
    madderloom store dump /var/lib/madderloom --prefix drain/\n  \
    madderloom store salvage /var/lib/madderloom /var/lib/madderloom.saved"
)]
pub(crate) struct Store {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Reads all of it, changes nothing, and names the first damaged byte
    Verify(Directory),
    /// Says what it holds and what it takes
    Stat(Directory),
    /// Writes its keys and values, in the order of the keys, those that have expired and not been dropped yet included
    Dump(Dump),
    /// Writes what is live anew, and removes the rest
    Compact(Compact),
    /// Copies all that can be read of a damaged store into a new one, and says what was lost
    Salvage(Salvage),
}

#[derive(Args)]
struct Directory {
    /// The store's directory
    directory: PathBuf,
    /// How the outcome is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

#[derive(Args)]
struct Dump {
    #[command(flatten)]
    of: Directory,
    /// Only keys that begin with this
    #[arg(long, default_value = "")]
    prefix: String,
    /// Keys without their values
    #[arg(long)]
    keys: bool,
}

#[derive(Args)]
struct Compact {
    #[command(flatten)]
    of: Directory,
    /// Drops what has expired by this time, on the clock of the program that wrote it
    #[arg(long, value_name = "TIME", default_value_t = 0)]
    expired_by: u64,
}

#[derive(Args)]
struct Salvage {
    #[command(flatten)]
    of: Directory,
    /// The new store's directory: it is made, or is empty
    into: PathBuf,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Output {
    /// Lines for people.
    Text,
    /// Objects for programs, one on a line.
    Json,
}

impl Store {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        match self.command {
            Command::Verify(of) => of.verify(),
            Command::Stat(of) => of.stat(),
            Command::Dump(dump) => dump.run(),
            Command::Compact(compact) => compact.run(),
            Command::Salvage(salvage) => salvage.run(),
        }
    }
}

/// Nobody may read it: the exit code still tells.
fn tell(text: impl std::fmt::Display) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

impl Directory {
    fn disk(&self) -> Result<RealDisk, String> {
        RealDisk::open(&self.directory).map_err(|e| format!("{}: {e}", self.directory.display()))
    }

    fn refused(&self, error: &Error) -> String {
        let at = self.directory.display();
        match error {
            Error::Corrupted(_) => {
                format!("{at}: {error}; what can be read of it: madderloom store salvage {at} NEW")
            }
            _ => format!("{at}: {error}"),
        }
    }

    fn open(&self, read_only: bool) -> Result<Opened<RealDisk>, String> {
        let options = Options {
            create: false,
            read_only,
            ..Options::default()
        };
        Opened::open(self.disk()?, options).map_err(|e| self.refused(&e))
    }

    fn verify(&self) -> Result<ExitCode, String> {
        let verified = verify(&self.disk()?).map_err(|e| self.refused(&e))?;
        let VerifyReport {
            corruption,
            segments,
            frames,
            records,
            bytes,
            torn_bytes,
            unlisted_segments,
        } = &verified;
        if self.output == Output::Json {
            let place = |d: &madderloom_store::Corruption| json!({"file": d.file, "offset": d.offset, "problem": d.problem});
            tell(json!({
                "directory": self.directory, "sound": corruption.is_none(), "damage": corruption.as_ref().map(place),
                "files": segments, "batches": frames, "records": records, "bytes": bytes, "torn": torn_bytes,
                "strays": unlisted_segments,
            }));
        } else {
            let read =
                format!("{segments} segments, {frames} batches, {records} records, {bytes} bytes");
            match corruption {
                Some(corruption) => tell(
                    self.refused(&Error::Corrupted(corruption.clone()))
                        + &format!("; read before it: {read}"),
                ),
                None => tell(format_args!("{}: sound: {read}", self.directory.display())),
            }
            if *torn_bytes > 0 {
                tell(format_args!(
                    "a torn end of {torn_bytes} bytes, never acknowledged, is cut at the next opening"
                ));
            }
            if *unlisted_segments > 0 {
                tell(format_args!(
                    "{unlisted_segments} files that a crash left are removed at the next opening"
                ));
            }
        }
        Ok(if corruption.is_none() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }

    fn stat(&self) -> Result<ExitCode, String> {
        self.tell_stat(&self.open(true)?);
        Ok(ExitCode::SUCCESS)
    }

    fn tell_stat(&self, store: &Opened<RealDisk>) {
        let statistics = store.statistics(0);
        let rows = [
            ("keys", statistics.keys),
            ("live_bytes", statistics.live_bytes),
            ("log_bytes", statistics.log_bytes),
            ("segments", statistics.segments),
            ("batches", statistics.next_sequence),
            ("manifests", statistics.manifest_generation),
            ("torn_bytes", statistics.truncated_bytes),
        ];
        if self.output == Output::Json {
            let mut object: serde_json::Map<String, Value> = rows
                .iter()
                .map(|(name, value)| ((*name).to_owned(), json!(value)))
                .collect();
            object.insert("directory".into(), json!(self.directory));
            tell(Value::Object(object));
        } else {
            rows.iter().for_each(|(name, value)| {
                tell(format_args!("{:<11} {value:>16}", name.replace('_', " ")))
            });
        }
    }
}

impl Dump {
    fn run(self) -> Result<ExitCode, String> {
        let snapshot = self.of.open(true)?.snapshot();
        let mut out = BufWriter::new(std::io::stdout().lock());
        let mut line = |key: &[u8], expires: Option<u64>, value: Option<&[u8]>| {
            let text = |bytes: &[u8]| bytes.escape_ascii().to_string();
            if self.of.output == Output::Json {
                let mut object = json!({"key": text(key), "expires": expires});
                if let Some(value) = value {
                    object["value"] = json!(text(value));
                }
                return writeln!(out, "{object}");
            }
            write!(out, "{}", text(key))?;
            if let Some(value) = value {
                write!(out, "\t{}", text(value))?;
            }
            expires.map_or(Ok(()), |expires| write!(out, "\texpires {expires}"))?;
            writeln!(out)
        };
        for entry in snapshot.keys(self.prefix.as_bytes(), 0) {
            let value = if self.keys {
                None
            } else {
                snapshot
                    .get(entry.key, 0)
                    .map_err(|e| self.of.refused(&e))?
            };
            if line(entry.key, entry.expires_at, value.as_deref()).is_err() {
                // Whoever read it has seen enough.
                return Ok(ExitCode::SUCCESS);
            }
        }
        let _ = out.flush();
        Ok(ExitCode::SUCCESS)
    }
}

/// Bytes between two lines of progress.
const PROGRESS: usize = 64 << 20;

impl Compact {
    fn run(self) -> Result<ExitCode, String> {
        let of = &self.of;
        let mut store = of.open(false)?;
        let before = store.statistics(0).log_bytes;
        let compacted = store
            .begin_compaction(self.expired_by)
            .and_then(|mut compaction| {
                let mut done = 0;
                while !compaction.step(PROGRESS)? {
                    done += PROGRESS;
                    if std::io::stderr().is_terminal() {
                        let _ = writeln!(
                            std::io::stderr(),
                            "{} MiB of {} at most",
                            done >> 20,
                            before >> 20
                        );
                    }
                }
                store.finish_compaction(compaction)?;
                store.relocate_entries(usize::MAX);
                Ok(())
            });
        compacted.map_err(|e| of.refused(&e))?;
        if of.output == Output::Text {
            tell(format_args!(
                "{}: {before} bytes before",
                of.directory.display()
            ));
        }
        of.tell_stat(&store);
        Ok(ExitCode::SUCCESS)
    }
}

impl Salvage {
    fn run(self) -> Result<ExitCode, String> {
        let (from, into) = (&self.of.directory, &self.into);
        let disk = self.of.disk()?;
        // Asked first: a directory is not made for a store that is not there, is in use or is newer.
        verify(&disk).map_err(|e| self.of.refused(&e))?;
        let to = RealDisk::create(into).map_err(|e| format!("{}: {e}", into.display()))?;
        let salvaged = salvage(&disk, to).map_err(|e| format!("{}: {e}", from.display()))?;
        if self.of.output == Output::Json {
            let lost = salvaged.lost.iter().map(|lost| {
                let batches = lost.sequences.as_ref().map(|s| [s.start, s.end]);
                let place = &lost.corruption;
                json!({"file": place.file, "offset": place.offset, "problem": place.problem, "bytes": lost.bytes,
                    "batches": batches})
            });
            tell(
                json!({"directory": from, "into": into, "batches": salvaged.frames, "records": salvaged.records,
                "torn": salvaged.torn_bytes, "lost": lost.collect::<Vec<_>>()}),
            );
        } else {
            let into = into.display();
            tell(format_args!(
                "{into}: {} batches, {} records copied",
                salvaged.frames, salvaged.records
            ));
            for lost in &salvaged.lost {
                let batches = lost.sequences.as_ref();
                let batches = batches
                    .map(|s| format!(", batches {} to {}", s.start, s.end.saturating_sub(1)));
                tell(format_args!(
                    "lost: {}: {} bytes{}",
                    lost.corruption,
                    lost.bytes,
                    batches.unwrap_or_default()
                ));
            }
            if salvaged.lost.is_empty() {
                tell("nothing was lost");
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
