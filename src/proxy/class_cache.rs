//! Classes of statements seen lately, so that each is parsed once.

use std::cell::RefCell;

use crate::{
    decide::classify::{Class, classify},
    prelude::*,
};

/// Most statements remembered.
const CAPACITY: usize = 4_096;
/// Longest statement remembered, in bytes.
const LENGTH_MAX: usize = 2_048;

thread_local! {
    static SEEN: RefCell<BTreeMap<Box<str>, Class>> = const { RefCell::new(BTreeMap::new()) };
}

/// Class of a statement.
pub fn class_of(sql: &str) -> Class {
    SEEN.with_borrow_mut(|seen| {
        if let Some(class) = seen.get(sql) {
            return *class;
        }
        let class = classify(sql);
        if sql.len() <= LENGTH_MAX {
            if seen.len() >= CAPACITY {
                seen.clear();
            }
            seen.insert(sql.into(), class);
        }
        class
    })
}
