//! How much the callers of a VM may make it hold.
//!
//! Answers load of callers that send much, read slowly or stop half-way. The limits
//! follow from the memory and descriptors of the VM.

/// Memory of a VM whose settings name none, in bytes.
const MEMORY_DEFAULT_BYTES: u64 = 256 << 20;
/// Descriptors of a VM whose settings name none.
const DESCRIPTORS_DEFAULT: usize = 4_096;
/// Part of the memory for large messages.
const MESSAGE_SHARE: f64 = 0.25;
/// Part of the memory for large answers. It is separate, since callers whose messages wait
/// for memory must not keep others from their answers.
const ANSWER_SHARE: f64 = 0.15;
/// Part of the memory for what each session holds in any case.
const SESSION_SHARE: f64 = 0.4;
/// What a session holds in any case, in bytes: its task, a message that is being read,
/// one that waits, one that runs, and few variables.
const SESSION_BYTES: u64 = 32 << 10;
/// Part of the descriptors for callers; the others are for members, other VMs, the store
/// and files.
const DESCRIPTOR_SHARE: f64 = 0.6;
/// Part of the callers that may be without an opened session.
const UNOPENED_SHARE: f64 = 0.25;
/// Memory that a large message takes, as a multiple of its size: its buffer, which
/// doubles as it grows, and a copy for the member, which does as well.
const LARGE_COPIES: u64 = 4;

/// Limits on what callers make a VM hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most callers at once.
    pub callers_max: usize,
    /// Most of them that have not opened their session.
    pub unopened_max: usize,
    /// Memory for large messages together, in bytes.
    pub messages_bytes: u64,
    /// Memory for large answers together, in bytes.
    pub answers_bytes: u64,
}

impl CallerLimits {
    /// Limits of a VM, by its memory in bytes and its number of descriptors, where known.
    pub fn new(memory_bytes: Option<u64>, descriptors: Option<usize>) -> CallerLimits {
        let memory_bytes = memory_bytes.unwrap_or(MEMORY_DEFAULT_BYTES) as f64;
        let descriptors = descriptors.unwrap_or(DESCRIPTORS_DEFAULT) as f64;
        let by_memory = (memory_bytes * SESSION_SHARE) as u64 / SESSION_BYTES;
        let by_descriptors = (descriptors * DESCRIPTOR_SHARE) as usize;
        let callers_max = by_descriptors.min(by_memory as usize).max(1);
        CallerLimits {
            callers_max,
            unopened_max: ((callers_max as f64 * UNOPENED_SHARE) as usize).max(1),
            messages_bytes: (memory_bytes * MESSAGE_SHARE) as u64,
            answers_bytes: (memory_bytes * ANSWER_SHARE) as u64,
        }
    }

    /// Memory that is reserved for a large message of up to `max_bytes`, or for an answer.
    /// At least one fits, however little memory there is.
    pub fn large_cost_bytes(&self, max_bytes: usize) -> u64 {
        let cost_bytes = max_bytes as u64 * LARGE_COPIES;
        cost_bytes.min(self.messages_bytes).min(self.answers_bytes)
    }
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits::new(None, None)
    }
}

/// What a connected caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerPhase {
    /// It has not opened its session.
    Opening,
    /// It waits for nothing, since a time in milliseconds.
    Idle(u64),
    /// It runs a statement or a transaction.
    Busy,
}

/// Whom to close so that another caller can connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is room.
    Free,
    /// The caller with this id goes: it waits for nothing, and can come again.
    Close(u64),
    /// Nobody can go.
    Full,
}

/// Decides whether another caller may connect, while `closing` callers are being closed.
/// `callers` are the other ones by id, in order of their arrival.
pub fn room_for_caller<'a>(
    limits: &CallerLimits,
    closing: usize,
    callers: impl Iterator<Item = (&'a u64, CallerPhase)> + Clone,
) -> Room {
    if closing >= limits.unopened_max {
        return Room::Full;
    }
    let opening = callers.clone();
    let opening = opening.filter(|(_, phase)| *phase == CallerPhase::Opening);
    let is_full = callers.clone().count() >= limits.callers_max;
    let first_opening = opening.clone().next();
    if opening.count() >= limits.unopened_max {
        return first_opening.map_or(Room::Full, |(id, _)| Room::Close(*id));
    }
    if !is_full {
        return Room::Free;
    }
    let idle = callers.filter_map(|(id, phase)| match phase {
        CallerPhase::Idle(since_ms) => Some((since_ms, id)),
        _ => None,
    });
    match (idle.min(), first_opening) {
        (Some((_, id)), _) | (None, Some((id, _))) => Room::Close(*id),
        (None, None) => Room::Full,
    }
}
