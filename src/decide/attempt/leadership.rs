//! Whether a promoted member leads.

/// What the promoted member reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// It does not lead, or did not report.
    No,
    /// It leads, in a term that may be older than the order: a primary that crashed comes
    /// back as primary.
    SameTerm,
    /// It leads a term that began after the order was recorded.
    LaterTerm,
}
