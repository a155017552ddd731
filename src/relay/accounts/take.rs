//! Request for tokens of an account.

use crate::{decide::load::account::RateLimit, prelude::*};

/// A request for tokens, from one VM to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Take {
    /// Name of the asking VM.
    pub from: Name,
    /// Name of the account.
    pub account: Name,
    /// Tokens asked for.
    pub tokens: u32,
    /// Limit of the account in the asking VM's configuration.
    pub limit: RateLimit,
    /// Rank of the asked VM among the account's counters; zero for the first.
    pub rank: usize,
}
