//! Purpose of a connection, for logs and metrics.

/// Why a connection to a member is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum OpenPurpose {
    /// Requests wait for a connection.
    Request,
    /// A probe has no idle connection.
    Probe,
}
