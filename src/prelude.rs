//! Types that most modules use.

pub use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

pub use crate::{code::Code, lsn::Lsn, position::Position};

/// A name that is shared and never changes.
pub type Name = Arc<str>;
