//! One member of a database group as a process.

use standin::endpoint::{Member, endpoint_settings, serve};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let settings = endpoint_settings().run();
    serve(Member::new(settings)).await
}
