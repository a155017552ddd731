//! A VM of the proxy.

use foxtailknot::prelude::*;

use super::run::Run;

/// A member as a VM knows it from the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    /// Whether its entry says that it is leaving.
    pub is_leaving: bool,
    /// Time since which it is missing from the list, in milliseconds.
    pub unlisted_since_ms: Option<u64>,
    /// Its last report.
    pub report: Option<Report>,
    /// Highest position that it has reported.
    pub highest_received: Option<Position>,
}

impl Known {
    /// A member that was known before the trouble.
    fn first(member: usize) -> Known {
        let report = Report {
            leads: member == 0,
            term: 1,
            held_term: 0,
        };
        Known {
            report: Some(report),
            ..Known::default()
        }
    }
}

/// What a member has last told of itself.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Whether it leads.
    pub leads: bool,
    /// Its term.
    pub term: u64,
    /// Term of the PAUSE in force there.
    pub held_term: u64,
}

/// A VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name.
    pub name: Name,
    /// Whether its process runs.
    pub is_running: bool,
    /// Time since which it is suspended, in milliseconds.
    pub frozen_from_ms: u64,
    /// Time until which it is suspended, in milliseconds.
    pub frozen_until_ms: u64,
    /// Members that it knows.
    pub known: BTreeMap<usize, Known>,
    /// Member that it takes for the primary.
    pub primary: Option<usize>,
    /// Member that led last, and its term.
    pub last_primary: Option<(usize, u64)>,
    /// Time since which the primary has not answered, in milliseconds.
    pub silent_since_ms: Option<u64>,
    /// Time since which no primary is known, in milliseconds.
    pub missing_since_ms: u64,
    /// Time of the last call that the store did not serve, in milliseconds.
    pub away_at_ms: Option<u64>,
    /// Time at which a scheduled attempt starts, in milliseconds.
    pub start_ms: Option<u64>,
    /// Time until which it pauses after an attempt, in milliseconds.
    pub pause_until_ms: u64,
    /// Whether it knows of members that left the list.
    pub knows_departed: bool,
    /// Attempt that it runs.
    pub run: Option<Run>,
}

impl Vm {
    /// Creates a VM that has known the group for long.
    pub fn new(index: usize) -> Vm {
        Vm {
            name: format!("vm-{index}").into(),
            is_running: true,
            frozen_from_ms: 0,
            frozen_until_ms: 0,
            known: (0..3)
                .map(|member| (member, Known::first(member)))
                .collect(),
            primary: Some(0),
            last_primary: Some((0, 1)),
            silent_since_ms: None,
            missing_since_ms: 0,
            away_at_ms: None,
            start_ms: None,
            pause_until_ms: 0,
            knows_departed: true,
            run: None,
        }
    }

    /// Highest term that a member has reported, or was fenced for.
    pub fn highest_term(&self) -> u64 {
        let reports = self.known.values().filter_map(|known| known.report);
        let terms = reports.map(|report| report.term.max(report.held_term));
        terms.max().unwrap_or(0)
    }

    /// Highest term that a member has reported.
    pub fn highest_reported_term(&self) -> u64 {
        let reports = self.known.values().filter_map(|known| known.report);
        reports.map(|report| report.term).max().unwrap_or(0)
    }

    /// The primary, or the member that has led the present term and has stepped down.
    pub fn replaced_primary(&self) -> Option<usize> {
        let highest_term = self.highest_reported_term();
        let last = self.last_primary.filter(|(_, term)| *term == highest_term);
        self.primary.or(last.map(|(member, _)| member))
    }

    /// The member that leads the highest term of which a member has reported.
    pub fn find_primary(&self) -> Option<usize> {
        let reports = self.known.iter();
        let reports = reports.filter_map(|(member, known)| Some((*member, known.report?)));
        let highest = reports.clone().map(|(_, report)| report.term).max()?;
        let mut leading = reports.filter(|(_, report)| report.leads && report.term >= highest);
        leading.next().map(|(member, _)| member)
    }

    /// Puts a list in force.
    pub fn apply_list(&mut self, list: &BTreeMap<usize, bool>, now_ms: u64) {
        for (member, known) in &mut self.known {
            if !list.contains_key(member) {
                known.unlisted_since_ms.get_or_insert(now_ms);
            }
        }
        for (member, is_leaving) in list {
            let known = self.known.entry(*member).or_default();
            known.is_leaving = *is_leaving;
            known.unlisted_since_ms = None;
        }
    }
}
