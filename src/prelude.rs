//! Types that most modules use.

pub use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

pub use crate::{code::Code, lsn::Lsn, position::Position};

/// An immutable name that is cheap to clone.
pub type Name = Arc<str>;
