//! Accepting callers.

use std::{cell::Cell, rc::Rc};

use compio::net::TcpListener;

use super::{
    caller::{ListenerKind, serve},
    context::Context,
};
use crate::prelude::*;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the VM stops. `count` holds the callers served now.
pub async fn accept(
    context: Context,
    listener: TcpListener,
    entry: ListenerKind,
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
            compio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if count.get() >= context.settings.callers_max {
            // Closing is all that can be afforded for one caller too many.
            continue;
        }
        // Without it small answers would wait for the other side's receipt.
        let _ = stream.set_nodelay(true);
        count.set(count.get() + 1);
        let context = context.clone();
        let count = count.clone();
        compio::runtime::spawn(async move {
            serve(context, stream, entry).await;
            count.set(count.get() - 1);
        })
        .detach();
    }
}
