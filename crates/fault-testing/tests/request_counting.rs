//! A server counts each request that reaches it, whatever becomes of the connection.

use madderloom_fault_testing::{Server, wait_until};
use std::io::Write;
use std::net::TcpStream;

/// How many clients write a request and close at once.
const CLIENTS: usize = 200;

/// The connections stand before anything is written, so that the server meets a request and the end behind it at once.
#[test]
fn a_request_whose_client_closes_behind_it_has_come() {
    let server = Server::new("w0");
    let open = |_| TcpStream::connect(server.address).expect("it accepts");
    let clients: Vec<TcpStream> = (0..CLIENTS).map(open).collect();
    for (number, mut client) in clients.into_iter().enumerate() {
        let request =
            format!("POST /submit HTTP/1.1\r\nx-trace-id: r{number}\r\ncontent-length: 0\r\n\r\n");
        client.write_all(request.as_bytes()).expect("it reads");
    }
    wait_until("all are counted", || {
        (server.request_counts().len() == CLIENTS).then_some(())
    });
}
