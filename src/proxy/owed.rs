//! Answers that a connection still owes for an extended request.

use std::collections::VecDeque;

use super::frame::from_endpoint as tag;
use crate::prelude::*;

/// An answer that is owed or that the proxy gives itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owed {
    /// `ParseComplete` of a statement under this key.
    Parse {
        /// Key on the connection; `None` for the unnamed statement.
        key: Option<Name>,
        /// Whether the caller asked for it.
        is_callers: bool,
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
pub enum Verdict {
    /// Pass it on.
    Pass,
    /// The caller did not ask for it.
    Drop,
}

/// The answers in order.
#[derive(Clone, Debug, Default)]
pub struct OwedList {
    list: VecDeque<Owed>,
}

impl OwedList {
    /// Adds an answer.
    pub fn push(&mut self, owed: Owed) {
        self.list.push_back(owed);
    }

    /// Whether nothing is owed.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Takes an answer that the proxy gives itself and that is next.
    pub fn take_own(&mut self) -> Option<Owed> {
        match self.list.front() {
            Some(Owed::OwnParse | Owed::OwnClose) => self.list.pop_front(),
            _ => None,
        }
    }

    /// Matches a message with the next answer. Returns what to do with it and
    /// the key of a statement that the connection knows from now on.
    pub fn settle(&mut self, message_tag: u8) -> (Verdict, Option<Name>) {
        let is_settled = match self.list.front() {
            Some(Owed::Parse { .. }) => message_tag == tag::PARSE_COMPLETE,
            Some(Owed::Bind) => message_tag == tag::BIND_COMPLETE,
            Some(Owed::Describe) => matches!(message_tag, tag::ROW_DESCRIPTION | tag::NO_DATA),
            Some(Owed::Execute) => {
                matches!(message_tag, tag::COMPLETE | tag::SUSPENDED | tag::EMPTY)
            }
            Some(Owed::Close) => message_tag == tag::CLOSE_COMPLETE,
            _ => false,
        };
        if !is_settled {
            return (Verdict::Pass, None);
        }
        match self.list.pop_front() {
            Some(Owed::Parse { key, is_callers }) => {
                let verdict = match is_callers {
                    true => Verdict::Pass,
                    false => Verdict::Drop,
                };
                (verdict, key)
            }
            _ => (Verdict::Pass, None),
        }
    }

    /// Forgets all: after an error the endpoint skips to the next `Sync`.
    /// Returns the keys of the statements that it did not get to know.
    pub fn clear(&mut self) -> Vec<Name> {
        let keys = self.list.drain(..).filter_map(|owed| match owed {
            Owed::Parse { key, .. } => key,
            _ => None,
        });
        keys.collect()
    }
}
