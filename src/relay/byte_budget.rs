//! Memory that is shared by all callers of a VM for large messages and answers.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use futures::channel::oneshot;

use crate::prelude::*;

struct Waiting {
    bytes: u64,
    granted: oneshot::Sender<Reservation>,
}

struct Inner {
    free_bytes: Cell<u64>,
    waiting: RefCell<VecDeque<Waiting>>,
}

/// Bytes that may be reserved. Clones share them.
#[derive(Clone)]
pub struct ByteBudget(Rc<Inner>);

/// Reserved bytes; given back when dropped.
#[derive(derive_more::Debug)]
pub struct Reservation {
    #[debug(skip)]
    budget: ByteBudget,
    bytes: u64,
}

impl ByteBudget {
    /// Creates a budget.
    pub fn new(bytes: u64) -> ByteBudget {
        ByteBudget(Rc::new(Inner {
            free_bytes: Cell::new(bytes),
            waiting: RefCell::default(),
        }))
    }

    /// Reserves bytes if they are free now and nobody waits for some.
    pub fn try_reserve(&self, bytes: u64) -> Option<Reservation> {
        let free_bytes = self.0.free_bytes.get();
        if free_bytes < bytes || !self.0.waiting.borrow().is_empty() {
            return None;
        }
        self.0.free_bytes.set(free_bytes - bytes);
        Some(Reservation {
            budget: self.clone(),
            bytes,
        })
    }

    /// Reserves bytes, in the order of requests; `None` if that takes longer than `limit`.
    pub async fn reserve(&self, bytes: u64, limit: Duration) -> Option<Reservation> {
        if let Some(reservation) = self.try_reserve(bytes) {
            return Some(reservation);
        }
        let (granted, reserved) = oneshot::channel();
        let waiting = Waiting { bytes, granted };
        self.0.waiting.borrow_mut().push_back(waiting);
        let reserved = compio::time::timeout(limit, reserved).await;
        reserved.ok()?.ok()
    }

    fn give_back(&self, bytes: u64) {
        self.0.free_bytes.set(self.0.free_bytes.get() + bytes);
        loop {
            let free_bytes = self.0.free_bytes.get();
            let mut waiting = self.0.waiting.borrow_mut();
            // Those that have stopped waiting make room at once.
            while waiting.front().is_some_and(|w| w.granted.is_canceled()) {
                waiting.pop_front();
            }
            let Some(next) = waiting.pop_front_if(|next| next.bytes <= free_bytes) else {
                return;
            };
            drop(waiting);
            self.0.free_bytes.set(free_bytes - next.bytes);
            let reservation = Reservation {
                budget: self.clone(),
                bytes: next.bytes,
            };
            // If the receiver is gone, the reservation is dropped and given back.
            let _ = next.granted.send(reservation);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}
