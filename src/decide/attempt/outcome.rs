//! Outcomes of promotion orders.

/// Outcome of an order to promote a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PromoteOutcome {
    /// The member will become the primary.
    Accepted,
    /// The member can't become the primary.
    Refused,
    /// Turned away by a rate limit; it was not carried out.
    Rejected,
    /// Answered, but not whether it is carried out.
    Unknown,
    /// Not answered yet; its connection is open.
    Open,
    /// Its connection has failed without an answer; it may still be carried out.
    Lost,
    /// The order was not sent: its time had passed, or nobody answered at the address.
    NotSent,
}
