//! Responses that are still pending for a request of the extended protocol.

use std::collections::VecDeque;

use super::frame::from_endpoint as tag;
use crate::prelude::*;

/// A response that the connection is to send or that the proxy gives itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingResponse {
    /// `ParseComplete` of a statement under this key.
    Parse {
        /// Name on the connection; `None` for the unnamed statement.
        key: Option<Name>,
        /// Whether the caller sent the `Parse`; otherwise the proxy did.
        is_requested: bool,
    },
    /// `ParseComplete` that the proxy gives, for a statement that the connection
    /// has prepared already.
    OwnParse,
    /// `CloseComplete` that the proxy gives: the statement stays prepared on the
    /// connection.
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
    /// Send it to the caller.
    Forward,
    /// Drop it: the caller sent no message that it answers.
    Discard,
}

/// Pending responses in order.
#[derive(Clone, Debug, Default)]
pub struct PendingResponses {
    list: VecDeque<PendingResponse>,
}

impl PendingResponses {
    /// Adds a response.
    pub fn push(&mut self, pending: PendingResponse) {
        self.list.push_back(pending);
    }

    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Takes the next response if the proxy gives it itself.
    pub fn pop_own(&mut self) -> Option<PendingResponse> {
        match self.list.front() {
            Some(PendingResponse::OwnParse | PendingResponse::OwnClose) => self.list.pop_front(),
            _ => None,
        }
    }

    /// Matches a message with the next pending response. Returns what to do with
    /// the message and the key of a statement that is now prepared.
    pub fn match_response(&mut self, message_tag: u8) -> (Action, Option<Name>) {
        let is_match = match self.list.front() {
            Some(PendingResponse::Parse { .. }) => message_tag == tag::PARSE_COMPLETE,
            Some(PendingResponse::Bind) => message_tag == tag::BIND_COMPLETE,
            Some(PendingResponse::Describe) => {
                matches!(message_tag, tag::ROW_DESCRIPTION | tag::NO_DATA)
            }
            Some(PendingResponse::Execute) => {
                matches!(message_tag, tag::COMPLETE | tag::SUSPENDED | tag::EMPTY)
            }
            Some(PendingResponse::Close) => message_tag == tag::CLOSE_COMPLETE,
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

    /// Removes all: after an error the endpoint skips to the next `Sync`. Returns
    /// the keys of the statements that it has not prepared.
    pub fn clear(&mut self) -> Vec<Name> {
        let keys = self.list.drain(..).filter_map(|pending| match pending {
            PendingResponse::Parse { key, .. } => key,
            _ => None,
        });
        keys.collect()
    }
}
