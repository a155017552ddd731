//! Log lines of decisions, rate-limited per kind; suppressed lines are counted.

use std::cell::RefCell;

use crate::{clock, prelude::*};

/// Most lines of one kind that are written per second.
const LINES_PER_S: u64 = 50;

#[derive(Default)]
struct Window {
    second: u64,
    lines: u64,
    suppressed: u64,
}

thread_local! {
    static WINDOWS: RefCell<BTreeMap<&'static str, Window>> = const { RefCell::new(BTreeMap::new()) };
}

/// Returns `None` when the limit for this kind is reached, otherwise the number
/// of lines of this kind suppressed since the last one was written.
pub fn permit(kind: &'static str) -> Option<u64> {
    let second = clock::now_ms() / 1_000;
    WINDOWS.with_borrow_mut(|windows| {
        let window = windows.entry(kind).or_default();
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= LINES_PER_S {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    })
}

/// Logs a decision unless the rate limit for its kind is reached.
macro_rules! decision {
    ($kind:literal, $($field:tt)*) => {
        if let Some(suppressed) = $crate::decision_log::permit($kind) {
            log::info!(target: $kind, left_out = suppressed, $($field)*);
        }
    };
}

pub(crate) use decision;
