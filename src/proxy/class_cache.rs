//! Cache of statement classes, so that a repeated statement is parsed once.

use std::cell::RefCell;

use crate::{
    decide::classify::{Class, classify},
    prelude::*,
};

/// Maximum number of cached statements; the cache is cleared when it is full.
const CAPACITY: usize = 4_096;
/// Longest cached statement, in bytes.
const LENGTH_MAX: usize = 2_048;

thread_local! {
    static CACHE: RefCell<BTreeMap<Box<str>, Class>> = const { RefCell::new(BTreeMap::new()) };
}

/// Class of a statement, from the cache if possible.
pub fn class_of(sql: &str) -> Class {
    CACHE.with_borrow_mut(|cache| {
        if let Some(class) = cache.get(sql) {
            return *class;
        }
        let class = classify(sql);
        if sql.len() <= LENGTH_MAX {
            if cache.len() >= CAPACITY {
                cache.clear();
            }
            cache.insert(sql.into(), class);
        }
        class
    })
}
