//! Replacing a primary without losing an acknowledged commit.
//!
//! A commit is acknowledged by the primary once one other member has received
//! it. So before a successor is chosen, either the primary has stepped down or
//! all the others have stopped receiving: then nothing more is acknowledged.

use crate::prelude::*;

/// What a member answered when it was fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced {
    /// Last position received.
    pub received: Position,
}

/// A member of the group whose primary is replaced.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id.
    pub member: Name,
    /// Whether it is the primary that is replaced.
    pub is_primary: bool,
    /// Whether it is leaving: its log goes with it.
    pub is_leaving: bool,
    /// Whether the platform says that it is gone for good.
    pub is_gone: bool,
    /// Its answer, once it stepped down or stopped receiving.
    pub fenced: Option<Fenced>,
}

/// Decision about a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Promote this member.
    Promote(Name),
    /// Acknowledged commits may be missing from all members that answered.
    Wait(WaitReason),
}

/// Why no successor is chosen yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum WaitReason {
    /// Nobody answered.
    NobodyFenced,
    /// The primary and a member that was not heard may still acknowledge.
    PrimaryMayAcknowledge,
    /// Members that answered lack commits that the primary may have acknowledged.
    ReplicasBehind,
}

/// Chooses the successor from what the members answered.
///
/// - The primary stepped down: all that was acknowledged is in its log. A
///   member as advanced is chosen, else the primary itself, unless all others
///   answered: then what none of them received was never acknowledged.
/// - The primary is silent: all others must have answered, or be gone.
pub fn choose(candidates: &[Candidate]) -> Choice {
    let others = || candidates.iter().filter(|c| !c.is_primary);
    let heard = || others().filter(|c| c.fenced.is_some());
    let all_heard = others().all(|c| c.fenced.is_some() || c.is_gone);
    let primary = candidates.iter().find(|c| c.is_primary);
    let primary_fenced = primary.and_then(|p| p.fenced);
    let best = heard().max_by_key(|c| (c.fenced.map(received), !c.is_leaving));
    let Some(best) = best else {
        return match (primary, primary_fenced) {
            (Some(primary), Some(_)) if !all_heard || others().next().is_none() => {
                Choice::Promote(primary.member.clone())
            }
            _ => Choice::Wait(WaitReason::NobodyFenced),
        };
    };
    if all_heard {
        return Choice::Promote(prefer_staying(candidates, best, primary_fenced));
    }
    let Some(at_primary) = primary_fenced else {
        return Choice::Wait(WaitReason::PrimaryMayAcknowledge);
    };
    let is_level = best.fenced.map(received) >= Some(at_primary.received);
    match (is_level, primary) {
        (true, _) => Choice::Promote(best.member.clone()),
        (false, Some(primary)) => Choice::Promote(primary.member.clone()),
        (false, None) => Choice::Wait(WaitReason::ReplicasBehind),
    }
}

/// The most advanced member, or one as advanced that stays.
fn prefer_staying(
    candidates: &[Candidate],
    best: &Candidate,
    primary_fenced: Option<Fenced>,
) -> Name {
    if !best.is_leaving {
        return best.member.clone();
    }
    // A primary that stepped down holds all that its replicas hold.
    let primary = candidates.iter().find(|c| c.is_primary && !c.is_leaving);
    match (primary, primary_fenced) {
        (Some(primary), Some(_)) => primary.member.clone(),
        _ => best.member.clone(),
    }
}

fn received(fenced: Fenced) -> Position {
    fenced.received
}

/// What is known of a group's primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryHealth {
    /// Whether a primary is known at all.
    pub is_known: bool,
    /// Whether it is leaving or gone from the platform's list.
    pub is_leaving: bool,
    /// Time since which it has not answered, in milliseconds.
    pub silent_ms: u64,
    /// Questions in a row that it did not answer.
    pub failures: u32,
    /// Time since which commits wait while it answers, in milliseconds.
    pub stuck_ms: u64,
    /// Time since which the replicas do not receive, held by an earlier
    /// attempt, in milliseconds.
    pub held_ms: u64,
    /// Time since which no primary is known, in milliseconds.
    pub missing_ms: u64,
    /// Whether the other members answer: otherwise this VM is cut off itself.
    pub others_answer: bool,
    /// Whether this VM is to go to the primary itself. Silence at the end of
    /// another VM's connections may be that VM's.
    pub connects_to_primary: bool,
    /// Whether this VM is to go to any of the members itself: many others only
    /// go through such VMs, and leave the service to them.
    pub connects_to_any_member: bool,
}

/// A commit that waits at a primary which answers.
///
/// It is stuck only once a replica was seen to lack what the primary holds. A
/// late answer alone may be lost, or the primary may have much to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StuckCommit {
    position: Option<Position>,
    lacking_since_ms: Option<u64>,
}

impl StuckCommit {
    /// Takes the position that the primary reported while the commit waits.
    pub fn note_primary(&mut self, received: Position) {
        self.position.get_or_insert(received);
    }

    /// Takes what a replica reported at `now_ms`; `true` if that proves that
    /// commits go on.
    pub fn note_replica(&mut self, received: Position, now_ms: u64) -> bool {
        let Some(position) = self.position else {
            return false;
        };
        if received >= position {
            return true;
        }
        self.lacking_since_ms.get_or_insert(now_ms);
        false
    }

    /// Time since which a replica is known to lack the commit, in milliseconds.
    pub fn stuck_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.lacking_since_ms;
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Whether a replica is known to lack the commit.
    pub fn is_lacking(&self) -> bool {
        self.lacking_since_ms.is_some()
    }
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It is leaving.
    Leaving,
    /// It does not answer.
    Silent,
    /// It answers but its commits are not received by any replica.
    Stuck,
    /// An earlier attempt was left unfinished.
    Unfinished,
    /// No member leads.
    NoPrimary,
}

/// Limits of the decision to replace a primary.
#[derive(Clone, Copy, Debug)]
pub struct TakeoverSettings {
    /// Silence after which a primary counts as failed, in milliseconds.
    pub silent_ms: u64,
    /// Unanswered questions that must have been sent meanwhile.
    pub failures: u32,
    /// Time after which commits that wait count as stuck, in milliseconds.
    pub stuck_ms: u64,
    /// Time after which an attempt counts as left unfinished, in milliseconds.
    pub unfinished_ms: u64,
    /// Time after which a group without a primary gets one, in milliseconds.
    pub missing_ms: u64,
}

/// Decides whether the primary is to be replaced.
pub fn replacement_reason(health: &PrimaryHealth, settings: &TakeoverSettings) -> Option<Reason> {
    if !health.others_answer || !health.connects_to_any_member {
        return None;
    }
    if !health.is_known {
        return (health.missing_ms >= settings.missing_ms).then_some(Reason::NoPrimary);
    }
    let is_silent = health.failures >= settings.failures && health.silent_ms >= settings.silent_ms;
    if is_silent && health.connects_to_primary {
        return Some(Reason::Silent);
    }
    if health.is_leaving {
        return Some(Reason::Leaving);
    }
    if health.stuck_ms >= settings.stuck_ms {
        return Some(Reason::Stuck);
    }
    (health.held_ms >= settings.unfinished_ms).then_some(Reason::Unfinished)
}
