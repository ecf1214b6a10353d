//! What the pages promise, against the program: each sample file is loaded by the code that reads it in service, and each
//! option of a page is in the program's help and the other way round.

mod pages;
use pages::{helped, options};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// All files below a folder.
fn files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)
        .expect("it is there")
        .map(|entry| entry.expect("an entry").path())
    {
        if entry.is_dir() {
            found.extend(files(&entry))
        } else {
            found.push(entry)
        }
    }
    found
}

fn told(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
    let done = command
        .current_dir(root())
        .args(arguments)
        .output()
        .expect("it runs");
    assert!(done.status.success(), "{arguments:?}: {done:?}");
    String::from_utf8(done.stdout).expect("text")
}

/// A site has classes whose effects and windows a sidecar could keep to, under rules that name its three spans; what lies
/// beside it is JSON.
fn is_a_site(text: &str, name: &str) {
    if name.ends_with(".json") {
        let parsed: serde_json::Value =
            serde_json::from_str(text).unwrap_or_else(|e| panic!("{name}: {e}"));
        return assert_eq!(parsed["v"], 1, "{name}");
    }
    if name.ends_with("unlock.txt") {
        return;
    }
    let site: toml::Table = text.parse().unwrap_or_else(|e| panic!("{name}: {e}"));
    for span in ["drain_grace_ms", "fall_ms"] {
        assert!(
            site["rules"][span]
                .as_integer()
                .is_some_and(|span| span > 0),
            "{name}: {span}"
        );
    }
    let classes = site["class"]
        .as_array()
        .unwrap_or_else(|| panic!("{name}: classes"));
    assert!(!classes.is_empty(), "{name}");
    for class in classes {
        let keyed = match class["effect"].as_str() {
            Some("keyed") => true,
            Some("safe" | "unsafe") => false,
            other => panic!("{name}: {other:?}"),
        };
        let spans = ["aim_ms", "deadline_ms"].map(|span| class[span].as_integer().unwrap_or(0));
        assert!(0 < spans[0] && spans[0] < spans[1], "{name}: {spans:?}");
        assert_eq!(class.get("window_ms").is_some(), keyed, "{name}: {class}");
    }
}

/// A file that is added without a reader that says yes fails this.
#[test]
fn every_sample_file_is_taken_by_the_code_that_reads_it() {
    let mut seen = 0;
    for file in ["examples", "deploy"]
        .into_iter()
        .flat_map(|folder| files(&root().join(folder)))
    {
        let name = file
            .strip_prefix(root())
            .expect("below it")
            .display()
            .to_string();
        match name.as_str() {
            // What a change says is read by the agent's machine.
            "examples/fleet/calm.toml" | "examples/fleet/slow-w7.toml" => {
                let change = madderloom_control_plane::change_file::read(&read(&file), Some(0));
                assert!(change.is_ok(), "{name}: {change:?}");
            }
            // The platform's: what its commands name is there.
            "deploy/balancer.toml" => {
                let text = read(&file);
                assert!(
                    text.contains("run = \"exec target/release/madderloom serve\""),
                    "{text}"
                );
                for (list, of) in [("policy", 3), ("node", 2)] {
                    let line = text
                        .lines()
                        .find_map(|line| line.strip_prefix(list))
                        .expect("it is there");
                    let paths: Vec<&str> = line.split('"').skip(1).step_by(2).collect();
                    assert_eq!(paths.len(), of, "{line}");
                    assert!(
                        paths.iter().all(|path| root().join(path).exists()),
                        "{line}"
                    );
                }
            }
            "examples/operations/ask.sh" => {}
            // Sites for the operators' bench, which is not here. What the sidecar's settings are made of is there, and sound.
            site if site.starts_with("deploy/sites/") => is_a_site(&read(&file), site),
            _ => assert!(told(&["check", &name]).contains("makes sense"), "{name}"),
        }
        seen += 1;
    }
    assert!(seen >= 11, "{seen} files were found");
}

/// Of other programs that pages use: cargo, curl, and the lab, whose own test sees to its page.
const OTHERS: [&str; 6] = [
    "release",
    "bin",
    "example",
    "locked",
    "workspace",
    "ignored",
];

#[test]
fn each_option_of_a_page_is_in_the_help_and_the_other_way_round() {
    let help = helped(env!("CARGO_BIN_EXE_madderloom"), &[]);
    let mut paged = BTreeSet::new();
    let pages = std::fs::read_dir(root().join("docs")).expect("it is there");
    let pages = pages
        .map(|page| page.expect("an entry").path())
        .filter(|page| page.is_file());
    for page in pages.chain([root().join("README.md")]) {
        let name = page
            .file_name()
            .and_then(|name| name.to_str())
            .expect("text")
            .to_string();
        let text = read(&page);
        let of_lab = |line: &&str| {
            line.contains("lab ") || line.contains("madderloom-lab") || line.contains("--fault")
        };
        let lines = text
            .lines()
            .filter(|line| !of_lab(line))
            .collect::<Vec<_>>()
            .join("\n");
        let named = options(&lines);
        let of_program = !matches!(
            name.as_str(),
            "lab.md"
                | "connections.md"
                | "large-fleets.md"
                | "lab-results.md"
                | "ROADMAP.md"
                | "audit-findings.md"
        );
        let unknown: Vec<_> = named
            .iter()
            .filter(|n| !help.contains(*n) && !OTHERS.contains(&n.as_str()))
            .collect();
        assert!(
            !of_program || unknown.is_empty(),
            "{name} names {unknown:?}, which no command has"
        );
        paged.extend(named);
    }
    let usual = ["help", "version"];
    let untold: Vec<_> = help
        .iter()
        .filter(|n| !paged.contains(*n) && !usual.contains(&n.as_str()))
        .collect();
    assert!(untold.is_empty(), "no page tells of {untold:?}");
}

/// The answer that the page on services shows.
#[test]
fn the_route_that_a_page_explains_is_the_one_that_is_taken() {
    let page = read(&root().join("docs/services.md"));
    let block = page
        .split("```")
        .find(|block| block.contains("$ madderloom route explain"))
        .expect("it is there");
    let (command, shown) = block
        .trim()
        .split_once('\n')
        .expect("a command and what it tells");
    let arguments: Vec<&str> = command
        .split(' ')
        .skip_while(|word| *word != "route")
        .collect();
    let squeezed = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
    assert_eq!(squeezed(&told(&arguments)), squeezed(shown));
}

#[test]
fn the_script_that_asks_the_second_address_gets_an_answer() {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let port = listener
        .local_addr()
        .expect("it is bound")
        .port()
        .to_string();
    let asking = Command::new("bash")
        .arg(root().join("examples/operations/ask.sh"))
        .args(["127.0.0.1", &port, "PING"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("bash is there");
    let (mut caller, _) = listener.accept().expect("it calls");
    let mut call = [0; 5];
    caller.read_exact(&mut call).expect("a line");
    caller.write_all(b"ok\n").expect("it reads");
    drop(caller);
    let done = asking.wait_with_output().expect("it ends");
    assert_eq!((&call, &done.stdout[..]), (b"PING\n", &b"ok\n"[..]));
}
