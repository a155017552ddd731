//! The platform stand-in as a process.

use std::net::SocketAddr;

use bpaf::Bpaf;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address to listen on.
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = args().run();
    standin::platform::serve(args.listen).await
}
