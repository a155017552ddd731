//! A broken rule.

use std::fmt;

/// A broken rule and what broke it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Rule of the users' pages.
    pub rule: &'static str,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.text)
    }
}
