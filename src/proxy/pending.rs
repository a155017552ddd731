//! Answers that a connection still owes for an extended request.

use std::collections::VecDeque;

use super::frame::from_endpoint;
use crate::prelude::*;

/// An answer that is pending or that the proxy gives itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingResponse {
    /// `ParseComplete` of a statement under this key.
    Parse {
        /// Key on the connection; `None` for the unnamed statement.
        key: Option<Name>,
        /// Whether the caller asked for it.
        is_requested: bool,
    },
    /// `ParseComplete` that the proxy gives.
    OwnParse,
    /// `CloseComplete` that the proxy gives.
    OwnClose,
    /// `BindComplete`.
    Bind,
    /// `RowDescription` or `NoData`.
    Describe,
    /// `CommandComplete`, `PortalSuspended` or `EmptyQueryResponse`.
    Execute,
    /// `CloseComplete`.
    Close,
}

/// What to do with a message from the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pass it on.
    Forward,
    /// The caller did not ask for it.
    Discard,
}

/// The answers in order.
#[derive(Clone, Debug, Default)]
pub struct PendingResponses {
    list: VecDeque<PendingResponse>,
}

impl PendingResponses {
    /// Adds an answer.
    pub fn push(&mut self, pending: PendingResponse) {
        self.list.push_back(pending);
    }

    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Takes an answer that the proxy gives itself and that is next.
    pub fn pop_own(&mut self) -> Option<PendingResponse> {
        match self.list.front() {
            Some(PendingResponse::OwnParse | PendingResponse::OwnClose) => self.list.pop_front(),
            _ => None,
        }
    }

    /// Matches a message with the next answer. Returns what to do with it and
    /// the key of a statement that the connection knows from now on.
    pub fn match_response(&mut self, tag: u8) -> (Action, Option<Name>) {
        let is_match = match self.list.front() {
            Some(PendingResponse::Parse { .. }) => tag == from_endpoint::PARSE_COMPLETE,
            Some(PendingResponse::Bind) => tag == from_endpoint::BIND_COMPLETE,
            Some(PendingResponse::Describe) => {
                matches!(tag, from_endpoint::ROW_DESCRIPTION | from_endpoint::NO_DATA)
            }
            Some(PendingResponse::Execute) => {
                matches!(
                    tag,
                    from_endpoint::COMPLETE | from_endpoint::SUSPENDED | from_endpoint::EMPTY
                )
            }
            Some(PendingResponse::Close) => tag == from_endpoint::CLOSE_COMPLETE,
            _ => false,
        };
        if !is_match {
            return (Action::Forward, None);
        }
        match self.list.pop_front() {
            Some(PendingResponse::Parse { key, is_requested }) => {
                let action = match is_requested {
                    true => Action::Forward,
                    false => Action::Discard,
                };
                (action, key)
            }
            _ => (Action::Forward, None),
        }
    }

    /// Forgets all: after an error the endpoint skips to the next `Sync`.
    /// Returns the keys of the statements that it did not get to know.
    pub fn clear(&mut self) -> Vec<Name> {
        let keys = self.list.drain(..).filter_map(|pending| match pending {
            PendingResponse::Parse { key, .. } => key,
            _ => None,
        });
        keys.collect()
    }
}
