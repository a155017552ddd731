//! Runs the stand-in for one member of a database group.

use standin::endpoint::{Member, endpoint_settings, serve};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let settings = endpoint_settings().run();
    serve(Member::new(settings)).await
}
