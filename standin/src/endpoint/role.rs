//! Role of a member in its group.

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows a primary.
    Replica,
}
