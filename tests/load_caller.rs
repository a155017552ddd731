//! The load tool's caller, against a server that ends sessions.

use standin::load::caller::Caller;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Answer to a startup message: authenticated, ready.
const WELCOME: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";
/// A fatal error with which a server that stops ends a session.
const STOPPING: &[u8] = b"E\0\0\0\x24SFATAL\0VFATAL\0C57P01\0Mstopping\0\0";
/// Answer to a statement without rows.
const DONE: &[u8] = b"C\0\0\0\x0dINSERT 0\0Z\0\0\0\x05I";

async fn accept(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    read(&mut stream).await;
    stream.write_all(WELCOME).await.unwrap();
    stream
}

async fn read(stream: &mut TcpStream) {
    let mut buffer = [0; 1_024];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
}

/// After a fatal error the session is over, also if the connection ends later: the
/// next statement needs another one.
#[tokio::test]
async fn fatal_error_ends_the_callers_session() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let mut first = accept(&listener).await;
        read(&mut first).await;
        first.write_all(STOPPING).await.unwrap();
        // The first connection stays open.
        let mut second = accept(&listener).await;
        read(&mut second).await;
        second.write_all(DONE).await.unwrap();
        (first, second)
    });
    let mut caller = Caller::new(&[address], "service", 0);
    let failed = caller.run("INSERT").await.unwrap_err();
    assert_eq!(failed.code, "57P01");
    let limit = std::time::Duration::from_secs(5);
    let next = tokio::time::timeout(limit, caller.run("INSERT")).await;
    assert!(
        next.expect("the statement was sent on the old session")
            .is_ok()
    );
    server.await.unwrap();
}
