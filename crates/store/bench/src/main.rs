//! The store beside redb and fjall, in one run on one directory.
//!
//! ```sh
//! cargo run --release --manifest-path crates/store/bench/Cargo.toml -- writes
//! ```

mod crashes;
mod rivals;

use clap::{Parser, Subcommand};
use rivals::{KINDS, Kind, Rival, open};
use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Barrier;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

#[derive(Parser)]
struct Arguments {
    /// Where the files go: a directory of their own is made in it, and removed
    #[arg(long, global = true, default_value = ".")]
    dir: PathBuf,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Acknowledged durable writes a second, beside the floor of one fdatasync a group
    Writes {
        #[arg(long, value_delimiter = ',', default_values_t = [1, 16, 256])]
        writers: Vec<usize>,
        /// Each of the stores in turn, so often
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
    },
    /// Time and memory to open a store of so many keys
    Recovery {
        #[arg(long, value_delimiter = ',', default_values_t = [10_000, 100_000, 1_000_000])]
        keys: Vec<u64>,
    },
    /// Bytes on the disk over live bytes, at the worst moment of many overwrites
    Space {
        #[arg(long, default_value_t = 100_000)]
        keys: u64,
        #[arg(long, default_value_t = 3_000_000)]
        writes: u64,
    },
    /// What each does with a bit flipped in the middle of what was flushed
    Damage,
    /// redb on the disk in memory, through a crash at every operation
    Crashes,
    /// Makes a store of so many keys, and leaves it
    Fill {
        kind: Kind,
        path: PathBuf,
        keys: u64,
    },
    /// Opens a store and says how long it took and what memory it takes; runs on its own, for `recovery`
    #[command(hide = true)]
    Open {
        kind: Kind,
        path: PathBuf,
        keys: u64,
    },
}

fn main() -> Outcome<()> {
    let arguments = Arguments::parse();
    let dir = tempfile::Builder::new()
        .prefix("store-bench")
        .tempdir_in(&arguments.dir)?;
    match arguments.what {
        What::Writes {
            writers,
            rounds,
            seconds,
        } => writes(dir.path(), &writers, rounds, seconds),
        What::Recovery { keys } => recovery(dir.path(), &keys),
        What::Space { keys, writes } => space(dir.path(), keys, writes),
        What::Damage => damage(dir.path()),
        What::Crashes => crashes::run(),
        What::Fill { kind, path, keys } => fill(kind, &path, keys),
        What::Open { kind, path, keys } => open_alone(kind, &path, keys),
    }
}

pub fn key(i: u64) -> [u8; 16] {
    // Scattered, each once.
    let mixed = i.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut key = [0; 16];
    key[..8].copy_from_slice(&mixed.to_be_bytes());
    key[8..].copy_from_slice(&i.to_be_bytes());
    key
}

const VALUE: [u8; 100] = [0x5a; 100];

fn percentile(sorted: &[u64], part: f64) -> f64 {
    let at = ((sorted.len() as f64 - 1.0) * part).round() as usize;
    sorted.get(at).map_or(f64::NAN, |us| *us as f64 / 1e3)
}

fn median(values: &mut [f64]) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    (
        values[values.len() / 2],
        values[0],
        values[values.len() - 1],
    )
}

/// One fdatasync for each write of one record, behind it at the end of a file: growing, and reserved with zeros.
fn floor(dir: &Path, reserved: bool, span: Duration) -> Outcome<(f64, Vec<u64>)> {
    let file = File::create(dir.join("floor"))?;
    let record = [1; 163];
    if reserved {
        file.write_all_at(&vec![0; 16 << 20], 0)?;
        file.sync_all()?;
    }
    let (began, mut at, mut times) = (Instant::now(), 0, Vec::new());
    while began.elapsed() < span {
        let one = Instant::now();
        file.write_all_at(&record, at)?;
        file.sync_data()?;
        at = (at + record.len() as u64) % (15 << 20);
        times.push(one.elapsed().as_micros() as u64);
    }
    let rate = times.len() as f64 / began.elapsed().as_secs_f64();
    std::fs::remove_file(dir.join("floor"))?;
    Ok((rate, times))
}

fn measure(rival: &dyn Rival, writers: usize, span: Duration) -> Outcome<(f64, Vec<u64>)> {
    let (stop, ready) = (AtomicBool::new(false), Barrier::new(writers + 1));
    let mut times = Vec::new();
    let mut rate = 0.0;
    std::thread::scope(|scope| -> Outcome<()> {
        let write = |writer: usize| {
            let mut times = Vec::new();
            ready.wait();
            let mut i = 0;
            while !stop.load(Ordering::Relaxed) {
                let began = Instant::now();
                rival.put(&key((writer as u64) << 32 | i), &VALUE)?;
                times.push(began.elapsed().as_micros() as u64);
                i += 1;
            }
            Outcome::Ok(times)
        };
        let threads: Vec<_> = (0..writers)
            .map(|w| scope.spawn(move || write(w)))
            .collect();
        ready.wait();
        let began = Instant::now();
        std::thread::sleep(span);
        stop.store(true, Ordering::Relaxed);
        for thread in threads {
            times.extend(thread.join().map_err(|_| "a writer panicked")??);
        }
        rate = times.len() as f64 / began.elapsed().as_secs_f64();
        Ok(())
    })?;
    Ok((rate, times))
}

fn writes(dir: &Path, writers: &[usize], rounds: usize, seconds: f64) -> Outcome<()> {
    let span = Duration::from_secs_f64(seconds);
    println!(
        "durable writes of 116 bytes; median of {rounds} rounds of {seconds} s (least to most), latency in ms"
    );
    for &count in writers {
        let mut rates = vec![Vec::new(); KINDS.len() + 2];
        let mut times = vec![Vec::new(); KINDS.len() + 2];
        for round in 0..rounds {
            for (i, kind) in KINDS.iter().enumerate() {
                let path = dir.join(format!("{kind:?}-{count}-{round}"));
                let rival = open(*kind, &path)?;
                let (rate, latencies) = measure(&*rival, count, span)?;
                rates[i].push(rate);
                times[i].extend(latencies);
                drop(rival);
                std::fs::remove_dir_all(&path)?;
            }
            for reserved in [false, true] {
                let (rate, latencies) = floor(dir, reserved, span)?;
                rates[KINDS.len() + usize::from(reserved)].push(rate);
                times[KINDS.len() + usize::from(reserved)].extend(latencies);
            }
        }
        println!("\n{count} writers");
        let names = KINDS.iter().map(|k| k.name()).chain([
            "one fdatasync, growing file",
            "one fdatasync, reserved file",
        ]);
        for ((name, rates), times) in names.zip(&mut rates).zip(&mut times) {
            times.sort_unstable();
            let (middle, least, most) = median(rates);
            println!(
                "  {name:<36} {middle:>9.0}/s ({least:.0} to {most:.0})  p50 {:.2}  p99 {:.2}",
                percentile(times, 0.5),
                percentile(times, 0.99)
            );
        }
    }
    Ok(())
}

fn size(path: &Path) -> u64 {
    use std::os::unix::fs::MetadataExt;
    let Ok(entries) = std::fs::read_dir(path) else {
        return 0;
    };
    let of = |e: std::fs::DirEntry| match e.metadata() {
        Ok(m) if m.is_dir() => size(&e.path()),
        Ok(m) => m.blocks() * 512,
        Err(_) => 0,
    };
    entries.flatten().map(of).sum()
}

fn memory(field: &str) -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(field));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(f64::NAN) / 1024.0
}

fn open_alone(kind: Kind, path: &Path, keys: u64) -> Outcome<()> {
    let before = memory("VmRSS");
    let began = Instant::now();
    let rival = open(kind, path)?;
    let found = rival.has(&key(keys / 2))?;
    let took = began.elapsed().as_secs_f64();
    if !found {
        return Err("a key is missing".into());
    }
    println!(
        "{took:>9.3} s  {:>8.1} MiB resident  {:>8.1} MiB at most",
        memory("VmRSS") - before,
        memory("VmHWM") - before
    );
    Ok(())
}

fn fill(kind: Kind, path: &Path, keys: u64) -> Outcome<()> {
    let mut rival = open(kind, path)?;
    for from in (0..keys).step_by(1000) {
        let puts: Vec<_> = (from..(from + 1000).min(keys))
            .map(|i| (key(i), VALUE))
            .collect();
        rival.put_all(&puts)?;
    }
    rival.settle()
}

fn recovery(dir: &Path, keys: &[u64]) -> Outcome<()> {
    let this = std::env::current_exe()?;
    println!(
        "to open a store and find one key; keys of 16 bytes, values of 100; files in the page cache"
    );
    for &count in keys {
        for kind in [Kind::Store, Kind::Redb, Kind::Fjall] {
            let path = dir.join(format!("{kind:?}-{count}"));
            fill(kind, &path, count)?;
            let arguments = ["open", kind.code()];
            let told = Command::new(&this)
                .args(arguments)
                .arg(&path)
                .arg(count.to_string())
                .output()?;
            let text = String::from_utf8_lossy(&told.stdout);
            let problem = String::from_utf8_lossy(&told.stderr);
            println!(
                "{count:>9} keys  {:<28} {}{problem}  {:>8.1} MiB on disk",
                kind.name(),
                text.trim_end(),
                size(&path) as f64 / (1 << 20) as f64
            );
            std::io::stdout().flush()?;
            std::fs::remove_dir_all(&path)?;
        }
    }
    Ok(())
}

fn space(dir: &Path, keys: u64, writes: u64) -> Outcome<()> {
    let live = keys as f64 * 116.0;
    println!(
        "{writes} overwrites of {keys} keys in batches of 100, by chance, flushed after 50 batches; bytes on the disk over {live} live ones"
    );
    for kind in [Kind::Store, Kind::Redb, Kind::Fjall] {
        let path = dir.join(format!("{kind:?}"));
        let mut rival = open(kind, &path)?;
        let (mut worst, mut seed, began) = (0.0_f64, 1_u64, Instant::now());
        for i in 0..writes / 100 {
            let puts: Vec<_> = (0..100)
                .map(|_| {
                    seed = seed
                        .wrapping_mul(6_364_136_223_846_793_005)
                        .wrapping_add(1_442_695_040_888_963_407);
                    (key((seed >> 33) % keys), VALUE)
                })
                .collect();
            rival.put_all(&puts)?;
            if i % 50 == 0 {
                rival.settle()?;
            }
            if i % 50 == 0 && i * 100 > keys {
                worst = worst.max(size(&path) as f64 / live);
            }
        }
        let end = size(&path) as f64 / live;
        println!(
            "  {:<28} at worst {worst:>6.2}  in the end {end:>6.2}  {:>6.1} s",
            kind.name(),
            began.elapsed().as_secs_f64()
        );
        drop(rival);
        std::fs::remove_dir_all(&path)?;
    }
    Ok(())
}

/// 1,000 acknowledged writes and an end of the process; then a bit flips in what was flushed long ago, or a part of the
/// last write is missing, as where its pages reached the disk in another order.
fn damage(dir: &Path) -> Outcome<()> {
    for kind in [Kind::Store, Kind::Redb, Kind::Fjall] {
        let path = dir.join(format!("{kind:?}"));
        let rival = open(kind, &path)?;
        let value = |i: u64| format!("<<<{i:05}>>>").repeat(9);
        for i in 0..1_000 {
            rival.put(&key(i), value(i).as_bytes())?;
        }
        // As a killed process would leave it.
        let copy = dir.join(format!("{kind:?}-copy"));
        copy_all(&path, &copy)?;
        drop(rival);
        let torn = dir.join(format!("{kind:?}-torn"));
        copy_all(&copy, &torn)?;
        let flipped = damaged(&copy, value(500).as_bytes(), |hit| hit[40] ^= 1)?;
        println!(
            "  {:<12} a bit flipped in {flipped} copy of the 500th value: {}",
            kind.name(),
            found(kind, &copy, &value)
        );
        let torn_at = damaged(&torn, value(999).as_bytes(), |hit| hit[20..60].fill(0))?;
        println!(
            "  {:<12} bytes missing in {torn_at} copy of the last value, as a torn write leaves it: {}",
            kind.name(),
            found(kind, &torn, &value)
        );
    }
    Ok(())
}

fn found(kind: Kind, path: &Path, value: &dyn Fn(u64) -> String) -> String {
    match open(kind, path) {
        Err(error) => format!("refuses to open: {error}"),
        Ok(rival) => {
            let found = (0..1_000).map(|i| rival.get(&key(i)));
            let (mut right, mut wrong, mut gone, mut failed) = (0, 0, 0, 0);
            for (i, found) in (0..).zip(found) {
                match found {
                    Ok(Some(found)) if found == value(i).as_bytes() => right += 1,
                    Ok(Some(_)) => wrong += 1,
                    Ok(None) => gone += 1,
                    Err(_) => failed += 1,
                }
            }
            format!(
                "opens; of 1,000 acknowledged: {right} as written, {wrong} wrong, {gone} gone, {failed} refused"
            )
        }
    }
}

fn copy_all(from: &Path, to: &Path) -> Outcome<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.metadata()?.is_dir() {
            copy_all(&entry.path(), &to.join(entry.file_name()))?;
        } else {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

/// Changes every copy of a value in the files; says how many there were.
fn damaged(path: &Path, value: &[u8], change: fn(&mut [u8])) -> Outcome<usize> {
    let mut hit = 0;
    for entry in std::fs::read_dir(path)? {
        let path = entry?.path();
        if path.is_dir() {
            hit += damaged(&path, value, change)?;
            continue;
        }
        let mut bytes = std::fs::read(&path)?;
        let found = bytes
            .windows(value.len())
            .enumerate()
            .filter(|(_, w)| *w == value);
        let places: Vec<usize> = found.map(|(i, _)| i).collect();
        places
            .iter()
            .for_each(|place| change(&mut bytes[*place..place + value.len()]));
        hit += places.len();
        std::fs::write(&path, bytes)?;
    }
    Ok(hit)
}
