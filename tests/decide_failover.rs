//! Scripted failover scenarios with simulated time.

use std::{error::Error, fmt::Write};

use foxtailknot::{
    decide::{
        failover::{Action, Event, Failover, FailoverSettings},
        member::{MemberStatus, Role},
    },
    lsn::Lsn,
};
use goldenscript::Context;

#[derive(goldenscript::Command)]
enum Command {
    /// `report member=0 role=replica term=1 lsn=5 seen=20`
    Report {
        #[arg(key)]
        member: usize,
        #[arg(key)]
        role: String,
        #[arg(key)]
        term: u64,
        #[arg(key)]
        lsn: u64,
        #[arg(key)]
        seen: u64,
    },
    /// `silent member=0`
    Silent {
        #[arg(key)]
        member: usize,
    },
    /// `raised member=0 term=2 lsn=5`
    Raised {
        #[arg(key)]
        member: usize,
        #[arg(key)]
        term: u64,
        #[arg(key)]
        lsn: u64,
    },
    /// `promoted member=1 term=2`
    Promoted {
        #[arg(key)]
        member: usize,
        #[arg(key)]
        term: u64,
    },
    /// `reachability reaches=false`
    Reachability {
        #[arg(key)]
        reaches: bool,
    },
    /// `reserved from=2 until=18`
    Reserved {
        #[arg(key)]
        from: u64,
        #[arg(key)]
        until: u64,
    },
    /// `order preferred=2`
    Order {
        #[arg(key)]
        preferred: usize,
    },
    /// `traffic_failed`
    #[command(name = "traffic_failed")]
    TrafficFailed,
    /// `advance ms=100`
    Advance {
        #[arg(key)]
        ms: u64,
    },
}

struct Runner {
    failover: Failover,
    now_ms: u64,
}

impl Runner {
    fn new() -> Runner {
        let settings = FailoverSettings::builder().build();
        Runner {
            failover: Failover::new(settings, 3, 0),
            now_ms: 0,
        }
    }
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let event = match command {
            Command::Report {
                member,
                role,
                term,
                lsn,
                seen,
            } => Event::Probed {
                member: *member,
                status: Some(status(role.parse()?, *term, *term, *lsn, *seen)),
            },
            Command::Silent { member } => Event::Probed {
                member: *member,
                status: None,
            },
            Command::Raised { member, term, lsn } => Event::Raised {
                member: *member,
                status: Some(status(Role::Replica, *term, 1, *lsn, 0)),
            },
            Command::Promoted { member, term } => Event::Promoted {
                member: *member,
                status: Some(status(Role::Primary, *term, *term, 9, 0)),
            },
            Command::Reachability { reaches } => Event::Reachability {
                reaches_primary: *reaches,
            },
            Command::Reserved { from, until } => Event::Reserved {
                from: *from,
                until: *until,
            },
            Command::Order { preferred } => Event::Order {
                preferred: *preferred,
            },
            Command::TrafficFailed => Event::TrafficFailed,
            Command::Advance { ms } => {
                self.now_ms += ms;
                Event::Tick
            }
        };
        let actions = self.failover.step(self.now_ms, event);
        let mut output = format!("{}", self.failover.phase());
        for action in actions.iter().filter(|a| !matches!(a, Action::Probe(_))) {
            write!(output, ", {action:?}")?;
        }
        Ok(output + "\n")
    }
}

fn status(role: Role, term: u64, synced_term: u64, lsn: u64, seen: u64) -> MemberStatus {
    MemberStatus {
        role,
        term,
        synced_term,
        received_lsn: Lsn(lsn),
        replayed_lsn: Lsn(lsn),
        primary_seen_ms: seen,
    }
}

macro_rules! scripts {
    ($($name:ident),* $(,)?) => {
        $(
            #[test]
            fn $name() -> std::io::Result<()> {
                let path = concat!("tests/scripts/failover/", stringify!($name));
                goldenscript::run(&mut Runner::new(), path)
            }
        )*
    };
}

scripts! {
    killed_primary,
    cut_primary_is_not_chosen_again,
    delegate_cut_off_from_primary,
    lost_promotion_answer_uses_a_higher_term,
    no_reserved_term,
    order,
    no_majority,
    order_after_a_restart,
    suspicion_after_a_restart,
}
