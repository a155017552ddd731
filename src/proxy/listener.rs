//! Accepts callers' connections.

use std::{cell::Cell, rc::Rc};

use compio::net::TcpListener;

use super::{
    caller::{ListenerKind, serve},
    context::Context,
};
use crate::prelude::*;

/// Delay before the next attempt after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers until the VM stops. `count` is the number of connected callers
/// on all listeners.
pub async fn accept(
    context: Context,
    listener: TcpListener,
    listener_kind: ListenerKind,
    count: Rc<Cell<usize>>,
) {
    let mut draining = context.draining.clone();
    loop {
        let accepted = {
            let next = std::pin::pin!(listener.accept());
            let stopping = std::pin::pin!(draining.wait_for(|is_draining| *is_draining));
            match futures::future::select(next, stopping).await {
                futures::future::Either::Left((accepted, _)) => accepted,
                futures::future::Either::Right(_) => return,
            }
        };
        let Ok((stream, _)) = accepted else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if count.get() >= context.settings.callers_max {
            // Over the limit the connection is closed without an answer, which
            // costs the least.
            continue;
        }
        // Nagle's algorithm would hold back small answers until the caller
        // acknowledges earlier packets.
        let _ = stream.set_nodelay(true);
        count.set(count.get() + 1);
        let context = context.clone();
        let count = count.clone();
        compio::runtime::spawn(async move {
            serve(context, stream, listener_kind).await;
            count.set(count.get() - 1);
        })
        .detach();
    }
}
