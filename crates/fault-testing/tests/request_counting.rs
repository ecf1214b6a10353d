//! A server counts each request that reaches it, whatever happens to the connection.

use madderloom_fault_testing::{Server, wait_until};
use std::io::Write;
use std::net::TcpStream;

/// Number of clients that write a request and close immediately.
const CLIENTS: usize = 200;

/// All connections are opened before anything is written, so that the server sees a request and the end of its connection
/// at the same time.
#[test]
fn a_request_whose_client_closes_immediately_is_counted() {
    let server = Server::new("w0");
    let open = |_| TcpStream::connect(server.address).expect("the server accepts");
    let clients: Vec<TcpStream> = (0..CLIENTS).map(open).collect();
    for (number, mut client) in clients.into_iter().enumerate() {
        let request =
            format!("POST /submit HTTP/1.1\r\nx-trace-id: r{number}\r\ncontent-length: 0\r\n\r\n");
        client
            .write_all(request.as_bytes())
            .expect("the server reads");
    }
    wait_until("all requests to be counted", || {
        (server.request_counts().len() == CLIENTS).then_some(())
    });
}
