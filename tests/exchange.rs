//! Guards against a false report that a write may have run: a slot holder that
//! is stopping refuses the request, before or after its answer to the preamble,
//! without running it.

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

/// What the holder answers before it refuses the request.
#[derive(Clone, Copy)]
enum AnsweredFirst {
    Nothing,
    Preamble,
}

/// Starts a holder that reads a request and refuses it because it is stopping.
fn start_holder(answered_first: AnsweredFirst) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 512];
        assert!(stream.read(&mut request).unwrap() > 0);
        let mut answer = BytesMut::new();
        if let AnsweredFirst::Preamble = answered_first {
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
    instead_of_any_answer = { AnsweredFirst::Nothing },
    after_the_preamble = { AnsweredFirst::Preamble },
)]
fn write_to_a_stopping_holder_is_reported_as_not_run(answered_first: AnsweredFirst) {
    let address = start_holder(answered_first);
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
