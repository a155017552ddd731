//! Runs the stand-in for the platform.

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
