//! A scenario that breaks a rule.

use std::fmt;

use super::{scenario::Scenario, world::World};

/// A scenario that breaks a rule, for a class of them.
#[derive(Debug)]
pub struct Found {
    /// Number of scenarios of the class.
    pub count: u64,
    /// The first of the shortest ones.
    pub scenario: Scenario,
    /// Seed of the walk that led to it.
    pub seed: Option<u64>,
}

impl Found {
    /// Creates a scenario that was found once.
    pub fn new(scenario: Scenario) -> Found {
        Found {
            count: 1,
            scenario,
            seed: None,
        }
    }
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let world = World::play(&self.scenario, true);
        if let Some(seed) = self.seed {
            writeln!(f, "seed {seed}, {:?}", self.scenario.timing)?;
        }
        writeln!(f, "{:?}", self.scenario.disturbances)?;
        let trace = world.trace.unwrap_or_default();
        for (index, line) in trace.iter().enumerate() {
            // Of a row of acknowledged commits the first and the last are enough.
            let around = [index.checked_sub(1), Some(index), Some(index + 1)];
            let around = around.map(|at| at.and_then(|at| trace.get(at)));
            let is_commit =
                |line: Option<&String>| line.is_some_and(|l| l.contains(" acknowledged through "));
            if !around.into_iter().all(is_commit) {
                writeln!(f, "{line}")?;
            }
        }
        Ok(())
    }
}
