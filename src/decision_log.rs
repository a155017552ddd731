//! Log lines of decisions: limited in rate, and counted when left out.

use std::cell::RefCell;

use crate::{clock, prelude::*};

/// Lines of one kind in a second.
const LINES_PER_S: u64 = 50;

#[derive(Default)]
struct Window {
    second: u64,
    lines: u64,
    left_out: u64,
}

thread_local! {
    static WINDOWS: RefCell<BTreeMap<&'static str, Window>> = const { RefCell::new(BTreeMap::new()) };
}

/// Whether a line of this kind may be written now, and how many of its kind
/// were left out since the last one.
pub fn permit(kind: &'static str) -> Option<u64> {
    let second = clock::now_ms() / 1_000;
    WINDOWS.with_borrow_mut(|windows| {
        let window = windows.entry(kind).or_default();
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= LINES_PER_S {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.left_out))
    })
}

/// Writes a line for a decision unless too many of its kind were written.
macro_rules! decision {
    ($kind:literal, $($field:tt)*) => {
        if let Some(left_out) = $crate::decision_log::permit($kind) {
            log::info!(target: $kind, left_out = left_out, $($field)*);
        }
    };
}

pub(crate) use decision;
