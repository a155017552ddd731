//! Processor time and memory of a process, from `/proc`.

use std::fs;

/// Clock ticks per second; the value is the same on every Linux that Rust
/// supports.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time used so far, in microseconds.
    pub cpu_us: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process.
    pub fn of(id: u32) -> Option<Usage> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The process name, in parentheses, may contain spaces.
        let after_name = stat.rsplit_once(") ")?.1;
        let fields: Vec<&str> = after_name.split(' ').collect();
        let ticks = |i: usize| fields.get(i)?.parse::<f64>().ok();
        let memory = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        let pages: u64 = memory.split(' ').nth(1)?.parse().ok()?;
        Some(Usage {
            cpu_us: (ticks(11)? + ticks(12)?) / TICKS_PER_S * 1e6,
            memory_bytes: pages * PAGE_BYTES,
        })
    }

    /// Reads the usage of this process.
    pub fn own() -> Option<Usage> {
        Usage::of(std::process::id())
    }
}
