//! The floor of a session, and the group whose log it is a position in.
//!
//! A service may get members of another group, and later those of the first one again. Positions
//! of one group say nothing about the log of another, however they compare.

use super::route::Floor;
use crate::{group_id::GroupId, prelude::*};

/// Minimum position that a session must see, and the group that it holds for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupFloor {
    floor: Floor,
    /// `None` if the floor holds for any group.
    group: Option<GroupId>,
}

impl GroupFloor {
    /// Floor of a session that may have written anything.
    pub const UNKNOWN: GroupFloor = GroupFloor {
        floor: Floor::Unknown,
        group: None,
    };

    /// Floor of a session that has written nothing.
    pub fn new_session() -> GroupFloor {
        GroupFloor {
            floor: Floor::Known(Position::default()),
            group: None,
        }
    }

    /// Floor of a session that has reached a position in the log of a group.
    pub fn known(position: Position, group: GroupId) -> GroupFloor {
        GroupFloor {
            floor: Floor::Known(position),
            group: Some(group),
        }
    }

    /// Position and its group, if both are known.
    pub fn position(&self) -> Option<(Position, GroupId)> {
        match self.floor {
            Floor::Known(position) => Some((position, self.group?)),
            Floor::Unknown => None,
        }
    }

    /// Whether the session has written nothing.
    pub fn is_new(&self) -> bool {
        *self == GroupFloor::new_session()
    }

    /// Floor of reads in `group`. Unknown, if what the session knows is of another one.
    pub fn within(&self, group: GroupId) -> Floor {
        match self.group {
            Some(known) if known != group => Floor::Unknown,
            _ => self.floor,
        }
    }

    /// Raises the floor to a position in the log of `group`, which covers all that the session
    /// has written there; returns whether it changes.
    pub fn raise(&mut self, position: Position, group: GroupId) -> bool {
        let before = *self;
        let position = match self.within(group) {
            Floor::Known(known) => position.max(known),
            Floor::Unknown => position,
        };
        *self = GroupFloor::known(position, group);
        *self != before
    }
}
