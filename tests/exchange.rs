//! A request on a connection to a holder that stops: it was not run there.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use bytes::BytesMut;
use compio::net::TcpStream;
use foxtailknot::{
    decide::classify::Class,
    prelude::Code,
    proxy::{
        connection::{Connection, ConnectionTarget},
        error::{ProxyError, Refusal},
        exchange::{Exchange, ExchangeError},
        frame::Frame,
        message,
        request::{Ending, Request},
        session::Session,
        wire::Wire,
    },
};

/// Messages that a holder answers before it says that it stops.
#[derive(Clone, Copy)]
enum Before {
    Nothing,
    Preamble,
}

/// Starts a holder that reads a request and says that it is stopping.
fn start_holder(before: Before) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 512];
        assert!(stream.read(&mut request).unwrap() > 0);
        let mut answer = BytesMut::new();
        if let Before::Preamble = before {
            message::put_ready(&mut answer);
        }
        let refusal = Refusal::new(Code::Stopping, "this VM is stopping");
        message::put_refusal(&mut answer, "FATAL", &refusal);
        stream.write_all(&answer).unwrap();
    });
    address
}

fn write_request() -> Request {
    let sql = "INSERT INTO shades VALUES (1)";
    let mut bytes = BytesMut::new();
    message::put_query(&mut bytes, sql);
    let bytes = bytes.freeze();
    Request {
        frames: vec![Frame { bytes }],
        ending: Ending::Query,
        class: Class::Write,
        is_executed: true,
        sql: Some(sql.into()),
        refusal: None,
    }
}

async fn connect_to(address: SocketAddr) -> Connection {
    Connection {
        wire: Wire::new(TcpStream::connect(address).await.unwrap(), 1 << 20),
        target: ConnectionTarget::Vm { vm: "vm-1".into() },
        address,
        prepared: Default::default(),
        unnamed: None,
        parameters: Arc::default(),
        key: (0, 0),
        permit: None,
    }
}

async fn caller_wire() -> Wire {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    Wire::new(TcpStream::connect(address).await.unwrap(), 1 << 20)
}

#[yare::parameterized(
    instead_of_any_answer = { Before::Nothing },
    after_the_preamble = { Before::Preamble },
)]
fn write_that_meets_a_stop_was_not_run(before: Before) {
    let address = start_holder(before);
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut connection = connect_to(address).await;
        let mut caller = caller_wire().await;
        let mut session = Session::new("ledger".into());
        let exchange = Exchange::new(&mut connection, &mut caller, &mut session);
        let outcome = exchange.run(&write_request(), false, async || false).await;
        let error = outcome.expect_err("the holder ran nothing");
        let is_not_run = matches!(
            error,
            ExchangeError::Connection(ProxyError::NotRun { .. }, false)
        );
        assert!(is_not_run, "{error:?}");
    });
}
