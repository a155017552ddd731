//! Replacement of a primary without loss of acknowledged commits.
//!
//! The primary acknowledges a commit once one other member has received it. So
//! before a successor is chosen, either the primary must have stepped down or
//! all the other members must have stopped receiving. After that no further
//! commit is acknowledged.

use crate::prelude::*;

/// Answer of a member that was fenced: it stepped down as primary, or stopped
/// receiving from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced {
    /// Last position received.
    pub received: Position,
}

/// A member of the group whose primary is being replaced.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id.
    pub member: Name,
    /// Whether it is the primary that is being replaced.
    pub is_primary: bool,
    /// Whether it is leaving and will take its log with it.
    pub is_leaving: bool,
    /// Whether the platform reports it as permanently gone.
    pub is_gone: bool,
    /// Whether it has restarted under its id shortly before: it may have received, and
    /// forgotten, what nobody else has.
    pub is_restarted: bool,
    /// Its answer, once it has stepped down or stopped receiving.
    pub fenced: Option<Fenced>,
}

/// Decision about a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Promote this member.
    Promote(Name),
    /// Wait, because all members that answered may lack acknowledged commits.
    Wait(WaitReason),
}

/// Why no successor is chosen yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum WaitReason {
    /// No member answered.
    NobodyFenced,
    /// The primary may still acknowledge commits with a member that did not
    /// answer.
    PrimaryMayAcknowledge,
    /// A member that may have received commits may not be listed yet.
    ListIncomplete,
}

/// What the VM that chooses knows besides the members' answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// Whether it has known the group for so long that it would know of a member that
    /// left the list and may come back.
    pub knows_departed: bool,
    /// Whether every member that may have received commits is listed.
    pub is_list_complete: bool,
}

/// Chooses the successor by the answers of the members.
///
/// - If the primary stepped down, its log has every acknowledged commit. Another member
///   that is as advanced is chosen. Otherwise the most advanced one is, provided that
///   all have answered and are listed, because a commit that none of them received was
///   never acknowledged. Otherwise the primary itself is.
/// - If the primary did not answer, all the others must be listed, and must have answered
///   or be gone.
pub fn choose(candidates: &[Candidate], knowledge: Knowledge) -> Choice {
    let others = || candidates.iter().filter(|c| !c.is_primary);
    let answered = || others().filter(|c| c.fenced.is_some());
    let primary = candidates.iter().find(|c| c.is_primary);
    // What a restarted member has forgotten, the primary may still hold.
    let has_forgotten = |c: &Candidate| c.is_restarted && primary.is_some_and(|p| !p.is_gone);
    let has_answered = |c: &Candidate| (c.fenced.is_some() && !has_forgotten(c)) || c.is_gone;
    let all_answered = knowledge.knows_departed && others().all(has_answered);
    let knows_all = all_answered && knowledge.is_list_complete;
    let primary_fenced = primary.and_then(|p| p.fenced);
    // Without its log it has nothing of what it acknowledged before it stepped down.
    let stays_usable = primary.is_some_and(|p| p.fenced.is_some() && !p.is_restarted);
    let best = answered().max_by_key(|c| (c.fenced.map(received), !c.is_leaving));
    let Some(best) = best else {
        return match primary.filter(|_| stays_usable) {
            Some(primary) if !knows_all || others().next().is_none() => {
                Choice::Promote(primary.member.clone())
            }
            _ => Choice::Wait(WaitReason::NobodyFenced),
        };
    };
    let is_as_advanced = primary_fenced
        .is_some_and(|at_primary| best.fenced.map(received) >= Some(at_primary.received));
    if knows_all || is_as_advanced {
        return Choice::Promote(prefer_staying(best, primary.filter(|_| stays_usable)));
    }
    match primary.filter(|_| stays_usable) {
        Some(primary) => Choice::Promote(primary.member.clone()),
        None if all_answered => Choice::Wait(WaitReason::ListIncomplete),
        None => Choice::Wait(WaitReason::PrimaryMayAcknowledge),
    }
}

/// Returns `best`, or if it is leaving, the primary, provided that it stepped
/// down and stays.
fn prefer_staying(best: &Candidate, stepped_down: Option<&Candidate>) -> Name {
    if !best.is_leaving {
        return best.member.clone();
    }
    // A primary that stepped down has everything that its replicas have.
    let chosen = stepped_down.filter(|primary| !primary.is_leaving);
    chosen.unwrap_or(best).member.clone()
}

fn received(fenced: Fenced) -> Position {
    fenced.received
}

/// Health of a group's primary, as seen by this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryHealth {
    /// Whether a primary is known at all.
    pub is_known: bool,
    /// Whether it is leaving or no longer in the platform's list.
    pub is_leaving: bool,
    /// Time for which it has not answered, in milliseconds.
    pub silent_ms: u64,
    /// Number of consecutive probes that it did not answer.
    pub failures: u32,
    /// Time for which commits have been stuck although it answers, in
    /// milliseconds.
    pub stuck_ms: u64,
    /// Time for which replicas have been fenced by an earlier attempt, in
    /// milliseconds.
    pub fenced_ms: u64,
    /// Time for which no primary has been known, in milliseconds.
    pub missing_ms: u64,
    /// Whether another member answers; if none does, this VM is cut off itself.
    pub others_answer: bool,
    /// Whether this VM connects to the primary directly. Through another VM,
    /// missing answers may be that VM's fault.
    pub connects_to_primary: bool,
    /// Whether this VM connects to any member directly. Only such VMs replace a
    /// primary; the many others, which go through them, do not.
    pub connects_to_any_member: bool,
}

/// A commit that waits on a primary that answers.
///
/// It counts as stuck only once a replica is known to lack it. A late answer
/// alone proves nothing: it may have been lost, or the primary may be busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StuckCommit {
    position: Option<Position>,
    lacking_since_ms: Option<u64>,
}

impl StuckCommit {
    /// Records the position that the primary reported while the commit waits.
    pub fn note_primary(&mut self, received: Position) {
        self.position.get_or_insert(received);
    }

    /// Records the position that a replica reported at `now_ms`. Returns `true`
    /// if the replica has the commit, so that commits make progress.
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

    /// Time for which a replica has been known to lack the commit, in
    /// milliseconds.
    pub fn stuck_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.lacking_since_ms;
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Whether a replica is known to lack the commit.
    pub fn is_lacking(&self) -> bool {
        self.lacking_since_ms.is_some()
    }
}

/// Reason for replacing a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It is leaving.
    Leaving,
    /// It does not answer.
    Silent,
    /// It answers, but no replica receives its commits.
    Stuck,
    /// An earlier replacement was left unfinished.
    Unfinished,
    /// No member is primary.
    NoPrimary,
}

/// Limits of the decision to replace a primary.
#[derive(Clone, Copy, Debug)]
pub struct TakeoverSettings {
    /// Time without an answer after which a primary counts as failed, in
    /// milliseconds.
    pub silent_ms: u64,
    /// Minimum number of unanswered probes before a primary counts as failed.
    pub failures: u32,
    /// Time after which waiting commits count as stuck, in milliseconds.
    pub stuck_ms: u64,
    /// Time after which an attempt counts as unfinished, in milliseconds.
    pub unfinished_ms: u64,
    /// Time without a primary after which one is promoted, in milliseconds.
    pub missing_ms: u64,
}

/// Decides whether to replace the primary, and returns the reason.
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
    (health.fenced_ms >= settings.unfinished_ms).then_some(Reason::Unfinished)
}
