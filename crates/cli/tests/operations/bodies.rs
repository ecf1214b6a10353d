//! Bodies and answers of any length and framing.

use super::asked;
use crate::rig::{Conn, ScriptedServer, head_with_framing, request};
use rstest::rstest;

/// The head of a request whose body is to follow.
fn head(class: &str, framing: &str) -> String {
    head_with_framing(&request(class, 15_000, ""), framing)
}

/// Reads a head, up to its empty line.
fn read_head(conn: &mut Conn) -> Vec<String> {
    let mut lines = Vec::new();
    while let Some(line) = conn.line().filter(|line| !line.is_empty()) {
        lines.push(line.to_ascii_lowercase());
    }
    lines
}

#[test]
fn a_chunked_body_with_extensions_and_trailers_in_single_bytes_arrives_whole() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let mut client = sidecar.client();
    let text = head("submit-check", "Transfer-Encoding: chunked")
        + "5;a=\"b\"\r\npaper\r\n1\r\n!\r\n0\r\nX-Sum: 1\r\n\r\n";
    for byte in text.as_bytes() {
        client.write([*byte]);
    }
    let mut conn = node.accept();
    assert_eq!(conn.read().expect("a request").body, b"paper!");
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").status(), 200);
}

#[test]
fn a_client_that_waits_for_100_continue_is_told_to_go_on() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let mut client = sidecar.client();
    client.write(head(
        "submit-check",
        "Expect: 100-continue\r\nContent-Length: 5",
    ));
    assert_eq!(client.read().expect("a word").status(), 100);
    client.write("paper");
    let mut conn = node.accept();
    assert_eq!(conn.read().expect("a request").body, b"paper");
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").status(), 200);
}

#[rstest]
#[case::both("Transfer-Encoding: chunked\r\nContent-Length: 5")]
#[case::two_lengths("Content-Length: 5\r\nContent-Length: 6")]
#[case::other_coding("Transfer-Encoding: gzip, chunked")]
#[case::two_codings("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")]
#[case::folded("X-A: 1\r\n 2\r\nContent-Length: 5")]
fn what_two_readers_would_read_differently_goes_no_further(#[case] framing: &str) {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let mut client = sidecar.client();
    // To a reader of chunks it is whole.
    client.write(
        head("submit-check", framing)
            + if framing.contains("chunked") {
                "0\r\n\r\n"
            } else {
                "paper"
            },
    );
    assert_eq!(client.read().expect("an answer").status(), 400);
    while client.line().is_some() {}
    assert!(node.try_accept().is_none());
    sidecar.serves(&[&node]);
}

/// Neither is held whole: the server has the beginning before the client has written the end.
#[rstest]
#[case::length(false)]
#[case::chunks(true)]
fn a_long_body_goes_on_as_it_comes(#[case] chunked: bool) {
    const PIECE: usize = 1 << 18;
    const PIECES: usize = 12;
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let mut client = sidecar.client();
    let framing = if chunked {
        "Transfer-Encoding: chunked".into()
    } else {
        format!("Content-Length: {}", PIECE * PIECES)
    };
    client.write(head("submit-check", &framing));
    let piece = move |number: usize| {
        let bytes = vec![b'a' + number as u8; PIECE];
        if chunked {
            [
                format!("{PIECE:x}\r\n").into_bytes(),
                bytes,
                b"\r\n".to_vec(),
            ]
            .concat()
        } else {
            bytes
        }
    };
    let writer = std::thread::spawn(move || {
        (0..PIECES - 1).for_each(|number| client.write(piece(number)));
        client
    });
    let mut conn = node.accept();
    let told = read_head(&mut conn);
    let expected = if chunked {
        "transfer-encoding: chunked".into()
    } else {
        framing.to_ascii_lowercase()
    };
    assert!(told.contains(&expected), "{told:?}");
    let mut client = writer.join().expect("it is read");
    client.write(
        [
            piece(PIECES - 1),
            if chunked {
                b"0\r\n\r\n".to_vec()
            } else {
                Vec::new()
            },
        ]
        .concat(),
    );
    let mut got = 0;
    let mut read = |conn: &mut Conn, size: usize| {
        let mut bytes = vec![0; size];
        conn.read_exact(&mut bytes);
        for byte in bytes {
            assert_eq!(byte, b'a' + (got / PIECE) as u8, "at {got}");
            got += 1;
        }
    };
    if chunked {
        loop {
            let line = conn.line().expect("a chunk");
            let size = usize::from_str_radix(&line, 16).expect("a size");
            if size == 0 {
                assert_eq!(conn.line().as_deref(), Some(""));
                break;
            }
            read(&mut conn, size);
            assert_eq!(conn.line().as_deref(), Some(""));
        }
    } else {
        read(&mut conn, PIECE * PIECES);
    }
    assert_eq!(got, PIECE * PIECES);
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").status(), 200);
    // On a machine that is busy the next request would come late enough to go over this connection.
    drop(conn);
    sidecar.serves(&[&node]);
}

/// Whoever reads on behind the error would find the end of the body there, and send half of it as the whole.
#[test]
fn a_long_body_that_breaks_off_is_never_sent_as_a_whole_one() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let sidecar = asked(&[&nodes[0], &nodes[1]]);
    let mut client = sidecar.client();
    let chunk = [
        b"100000\r\n".to_vec(),
        vec![b'x'; 1 << 20],
        b"\r\n1\r\nx\r\nodd\r\n".to_vec(),
    ]
    .concat();
    client.write(
        [
            head("submit-check", "Transfer-Encoding: chunked").into_bytes(),
            chunk,
        ]
        .concat(),
    );
    assert_eq!(client.read().expect("an answer").status(), 400);
    for node in &nodes {
        while let Some(mut conn) = node.try_accept() {
            let mut got = Vec::new();
            conn.read_to_end(&mut got);
            assert!(
                !got.ends_with(b"0\r\n\r\n"),
                "it was ended as if it were whole"
            );
        }
    }
    assert_eq!(sidecar.figure("app.relayed"), 0);
}

#[rstest]
#[case::length(false)]
#[case::chunks(true)]
fn a_long_answer_goes_on_as_it_comes_and_its_end_is_the_servers(#[case] chunked: bool) {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    for whole in [true, false] {
        let mut client = sidecar.ask("submit-check", 5000);
        let mut conn = node.accept();
        assert!(conn.read().is_some());
        let framing = if chunked {
            "Transfer-Encoding: chunked"
        } else {
            "Content-Length: 200000"
        };
        conn.write(format!(
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n{framing}\r\n\r\n"
        ));
        let piece = |conn: &mut Conn| {
            let bytes = vec![b'x'; 100_000];
            match chunked {
                true => conn.write([b"186a0;odd\r\n".to_vec(), bytes, b"\r\n".to_vec()].concat()),
                false => conn.write(bytes),
            }
        };
        piece(&mut conn);
        // The first bytes are with the client before the server has made the last.
        let head = read_head(&mut client);
        assert!(head[0].starts_with("http/1.1 200"), "{head:?}");
        assert_eq!(sidecar.figure("app.open_requests"), 1);
        if !whole {
            drop(conn);
            let mut rest = Vec::new();
            client.read_to_end(&mut rest);
            assert!(
                !rest.ends_with(b"0\r\n\r\n") && rest.len() < 200_000,
                "it looks whole"
            );
            break;
        }
        piece(&mut conn);
        if chunked {
            conn.write("0\r\nX-Sum: 1\r\n\r\n");
        }
        let mut got = 0;
        while got < 200_000 {
            let size = match chunked {
                true => {
                    usize::from_str_radix(&client.line().expect("a chunk"), 16).expect("a size")
                }
                false => 200_000,
            };
            let mut bytes = vec![0; size];
            client.read_exact(&mut bytes);
            assert!(bytes.iter().all(|byte| *byte == b'x'));
            got += size;
            if chunked {
                assert_eq!(client.line().as_deref(), Some(""));
            }
        }
    }
    super::until("both are counted", || {
        sidecar.figure("app.operations.submit-check.faulted") == 1
            && sidecar.figure("app.operations.submit-check.fulfilled") == 1
            && sidecar.figure("app.open_requests") == 0
    });
}

/// Long answers to clients that have stopped reading, and to one that reads.
#[test]
fn many_long_answers_to_readers_that_have_stopped_are_held_by_a_buffer_each() {
    const MANY: usize = 40;
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let mut stopped = Vec::new();
    for _ in 0..MANY {
        let client = sidecar.ask("submit-check", 15_000);
        let mut conn = node.accept();
        assert!(conn.read().is_some());
        conn.write("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
        let writer = std::thread::spawn(move || conn.write_repeatedly(vec![b'x'; 1 << 20], 32));
        stopped.push((client, writer));
    }
    sidecar.serves(&[&node]);
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id())).expect("it lives");
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("a line");
    let peak: u64 = peak
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number");
    assert!(peak < 40_000, "{peak} kB at {MANY} answers of 32 MiB");
    for (client, writer) in stopped {
        drop(client);
        let _ = writer.join();
    }
}
