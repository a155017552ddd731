//! Stand-ins of the members of a service: one primary, and replicas that receive commits at
//! once and apply them after a time.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

/// Time that a commit takes to reach a replica and to be confirmed.
const RECEIVE_TIME: Duration = Duration::from_millis(1);

struct Commit {
    term: u64,
    at: Instant,
    items: BTreeMap<String, String>,
}

/// Time after which a replica applies what it has received, in calm.
pub const CALM_LAG: Duration = Duration::from_millis(8);

/// Most connections to a member, from all VMs together.
pub const CONNECTIONS_MAX: usize = 48;
/// One in this many answers is lost while the primary loses answers.
const LOST_ONE_IN: usize = 5;

struct State {
    term: u64,
    primary: usize,
    log: Vec<Commit>,
    lag: Duration,
    runs: usize,
    /// Whether the primary loses answers of statements that it has run.
    loses_answers: bool,
    lost: usize,
    /// Open connections to each member.
    connections: Vec<usize>,
    /// Terms for which replicas receive nothing; zero if they receive.
    held: Vec<u64>,
    /// Commits that each member has received.
    received: Vec<usize>,
    /// Whether the primary of the term has stepped down.
    has_stepped_down: bool,
}

/// A member.
pub struct Member {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
}

/// A service's members.
pub struct Group {
    pub service: String,
    pub members: Vec<Member>,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Group {
    /// Starts a primary and two replicas.
    pub fn start(service: &str, ip: &str, record: &Arc<Record>) -> Arc<Group> {
        let mut listeners = Vec::new();
        let mut members = Vec::new();
        for (index, zone) in ["za", "zb", "zc"].iter().enumerate() {
            let listener = TcpListener::bind((ip, 0)).expect("member listens");
            members.push(Member {
                id: format!("i-{service}-{index}"),
                zone: (*zone).into(),
                address: listener.local_addr().expect("address"),
            });
            listeners.push(listener);
        }
        let group = Arc::new(Group {
            service: service.into(),
            members,
            state: Mutex::new(State {
                term: 1,
                primary: 0,
                log: Vec::new(),
                lag: CALM_LAG,
                runs: 0,
                loses_answers: false,
                lost: 0,
                connections: vec![0; 3],
                held: vec![0; 3],
                received: vec![0; 3],
                has_stepped_down: false,
            }),
            record: record.clone(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || {
                        // The connection has ended.
                        let _ = Connection::new(group, index).serve(stream);
                    });
                }
            });
        }
        group
    }

    /// The entry with which a member registers in the store.
    pub fn entry(&self, index: usize) -> String {
        let member = &self.members[index];
        let state = self.state.lock().expect("state");
        let role = if state.primary == index { "primary" } else { "replica" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":3,\"state\":\"ready\",\"cold_left_ms\":0,\"db_role\":\"{role}\",\
             \"seq\":1,\"born\":1000}}",
            self.service, member.address, member.zone
        )
    }

    /// Makes a member the primary of the next term.
    pub fn promote(&self, id: &str) -> u16 {
        let Some(index) = self.members.iter().position(|m| m.id == id) else {
            return 409;
        };
        let mut state = self.state.lock().expect("state");
        if state.primary != index || state.has_stepped_down {
            (state.term, state.primary) = (state.term + 1, index);
            // What it has not received is rolled back; all others follow it.
            let kept = state.received[index];
            state.log.truncate(kept);
            state.received = vec![kept; 3];
            (state.held, state.has_stepped_down) = (vec![0; 3], false);
            self.record.line(&format!("promotion service={} member={id}", self.service));
        }
        200
    }

    /// Lets replicas apply what they receive after another time.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().expect("state").lag = lag;
        self.record.line(&format!("lag service={} ms={}", self.service, lag.as_millis()));
    }

    /// Lets the primary lose answers, or no more; returns how many it has lost.
    pub fn lose_answers(&self, loses_answers: bool) -> usize {
        let mut state = self.state.lock().expect("state");
        state.loses_answers = loses_answers;
        self.record.line(&format!("answers lost={loses_answers} so far={}", state.lost));
        state.lost
    }

    /// Counts a statement that a member has run; whether its answer is lost.
    fn ran(&self, index: usize) -> bool {
        let mut state = self.state.lock().expect("state");
        state.runs += 1;
        let is_lost =
            state.loses_answers && state.primary == index && state.runs % LOST_ONE_IN == 0;
        state.lost += usize::from(is_lost);
        is_lost
    }
}

struct Connection {
    group: Arc<Group>,
    index: usize,
    values: BTreeMap<String, String>,
    /// Whether each prepared statement writes.
    prepared: BTreeMap<String, bool>,
    /// Writes of the open transaction.
    transaction: Option<BTreeMap<String, String>>,
    has_failed: bool,
    /// Whether it counts as open.
    is_open: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_open {
            self.group.state.lock().expect("state").connections[self.index] -= 1;
        }
    }
}

enum Outcome {
    Rows(Vec<String>),
    Error(&'static str),
}

impl Connection {
    fn new(group: Arc<Group>, index: usize) -> Connection {
        Connection {
            group,
            index,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            has_failed: false,
            is_open: false,
        }
    }

    fn serve(mut self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut line = Vec::new();
        loop {
            line.clear();
            // Lines end with CR LF; a lone LF belongs to the line.
            while !line.ends_with(b"\r\n") {
                if reader.read_until(b'\n', &mut line)? == 0 {
                    return Ok(());
                }
            }
            let text = String::from_utf8_lossy(&line[..line.len() - 2]).into_owned();
            let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
            let answer = match word {
                "OPEN" => match self.open(rest) {
                    None => self.ready(),
                    Some(code) => {
                        writer.write_all(format!("ERROR {code} refused\r\n").as_bytes())?;
                        return Ok(());
                    }
                },
                "QUERY" => match self.query(rest) {
                    Some(answer) => answer,
                    // It is lost; the connection stays open.
                    None => continue,
                },
                _ => return Ok(()),
            };
            writer.write_all(answer.as_bytes())?;
        }
    }

    /// Opens a connection; the code of an error if it is refused.
    fn open(&mut self, rest: &str) -> Option<&'static str> {
        let fields: Vec<&str> = rest.split(' ').collect();
        let id = &*self.group.members[self.index].id;
        if fields[0] != self.group.service || fields.get(2).is_some_and(|named| *named != id) {
            return Some("WRONGNODE");
        }
        let mut state = self.group.state.lock().expect("state");
        if state.connections[self.index] >= CONNECTIONS_MAX {
            return Some("CONNLIMIT");
        }
        state.connections[self.index] += 1;
        self.is_open = true;
        None
    }

    /// Number of commits that this member has applied.
    fn applied(&self) -> usize {
        let state = self.group.state.lock().expect("state");
        if state.primary == self.index {
            return state.log.len();
        }
        let now = Instant::now();
        state.log.iter().take(state.received[self.index]).take_while(|commit| commit.at + state.lag <= now).count()
    }

    fn is_primary(&self) -> bool {
        let state = self.group.state.lock().expect("state");
        state.primary == self.index && !state.has_stepped_down
    }

    fn ready(&self) -> String {
        let state = match (&self.transaction, self.has_failed) {
            (Some(_), true) => "E",
            (Some(_), false) => "T",
            _ => "I",
        };
        let term = self.group.state.lock().expect("state").term;
        format!("READY {state} {term}.{}\r\n", self.applied())
    }

    /// The answer to a query; `None` if it is lost.
    fn query(&mut self, rest: &str) -> Option<String> {
        let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, text) = rest.split_once(' ').unwrap_or((rest, ""));
                let number = position.split_once('.').and_then(|(_, n)| n.parse().ok());
                (number.unwrap_or(0), text)
            }
            None => (0, text),
        };
        let applied = self.applied();
        let outcome = match after > applied {
            true => Outcome::Error("LAGGING"),
            false => self.run(text),
        };
        let is_client = id != "-";
        let mut answer = String::new();
        let result = match &outcome {
            Outcome::Rows(rows) => {
                for row in rows {
                    answer.push_str(&format!("ROW {row}\r\n"));
                }
                let digest = match is_client {
                    true => format!("{}.{}.{id}", self.index, self.group.service),
                    false => "-".into(),
                };
                answer.push_str(&format!("COMPLETE {digest}\r\n"));
                "done"
            }
            Outcome::Error(code) => {
                answer.push_str(&format!("ERROR {code} {}\r\n", self.group.members[self.index].id));
                code
            }
        };
        let is_lost = is_client && self.group.ran(self.index);
        if is_client {
            let text: String = text.chars().take(60).collect();
            self.group.record.line(&format!(
                "run id={id} text='{text}' member={} after={after} applied={applied} result={result} \
                 lost={is_lost}",
                self.group.members[self.index].id
            ));
        }
        (!is_lost).then(|| answer + &self.ready())
    }

    fn run(&mut self, text: &str) -> Outcome {
        let words: Vec<&str> = text.splitn(4, ' ').collect();
        if self.has_failed && words[0] != "ROLLBACK" && words[0] != "COMMIT" {
            return Outcome::Error("MALFORMED");
        }
        let outcome = match (words[0], words.get(1), words.get(2), words.get(3)) {
            ("STATUS", ..) => return self.status(),
            ("PAUSE" | "RESUME" | "STEPDOWN", term, ..) => {
                let term = term.and_then(|term| term.parse().ok()).unwrap_or(0);
                self.obey(words[0], term);
                return self.status();
            }
            ("RESET", ..) => {
                self.values.clear();
                self.prepared.clear();
                Outcome::Rows(Vec::new())
            }
            ("SET", Some(name), value, rest) => {
                let rest = rest.map_or(String::new(), |rest| format!(" {rest}"));
                let value = format!("{}{rest}", value.unwrap_or(&""));
                self.values.insert((*name).into(), value);
                Outcome::Rows(Vec::new())
            }
            ("PREPARE", Some(name), Some(access), Some(_)) => {
                self.prepared.insert((*name).into(), *access == "WRITE");
                Outcome::Rows(Vec::new())
            }
            ("BEGIN", read, ..) => match read.is_none() && !self.is_primary() {
                true => Outcome::Error("READONLY"),
                false => {
                    self.transaction = Some(BTreeMap::new());
                    Outcome::Rows(Vec::new())
                }
            },
            ("ROLLBACK", ..) => {
                (self.transaction, self.has_failed) = (None, false);
                Outcome::Rows(Vec::new())
            }
            ("COMMIT", ..) => {
                let written = self.transaction.take();
                match std::mem::take(&mut self.has_failed) {
                    true => Outcome::Error("ABORTED"),
                    false => self.commit(written.unwrap_or_default()),
                }
            }
            ("READ", Some(item), ..) => self.read(item),
            ("WRITE", Some(item), data, _) => self.write(item, data.unwrap_or(&"")),
            ("EXECUTE", Some(name), Some(item), data) => match self.prepared.get(*name) {
                None => Outcome::Error("NOSTMT"),
                Some(true) => self.write(item, data.unwrap_or(&"")),
                Some(false) => self.read(item),
            },
            _ => Outcome::Error("MALFORMED"),
        };
        if matches!(outcome, Outcome::Error(_)) && self.transaction.is_some() {
            self.has_failed = true;
        }
        outcome
    }

    /// Carries out an order of a takeover.
    fn obey(&self, order: &str, term: u64) {
        let is_primary = self.is_primary();
        let mut state = self.group.state.lock().expect("state");
        let is_later = term > state.term;
        match order {
            "PAUSE" if is_later && !is_primary => state.held[self.index] = term,
            "RESUME" => {
                state.held[self.index] = 0;
                state.received[self.index] = state.log.len();
            }
            "STEPDOWN" if is_later && is_primary => state.has_stepped_down = true,
            _ => {}
        }
        self.group.record.line(&format!("order {order} {term} member={}", self.index));
    }

    fn status(&self) -> Outcome {
        let role = if self.is_primary() { "primary" } else { "replica" };
        let state = self.group.state.lock().expect("state");
        Outcome::Rows(vec![format!(
            "{role} {} {}.{} {} {} 0 {}",
            state.term,
            state.log[..state.received[self.index]].last().map_or(state.term, |c| c.term),
            state.received[self.index],
            state.held[self.index],
            state.lag.as_millis(),
            state.connections[self.index]
        )])
    }

    fn read(&self, item: &str) -> Outcome {
        if let Some(data) = self.transaction.as_ref().and_then(|written| written.get(item)) {
            return Outcome::Rows(vec![data.clone()]);
        }
        let applied = self.applied();
        let state = self.group.state.lock().expect("state");
        let newest = state.log[..applied].iter().rev().find_map(|commit| commit.items.get(item));
        Outcome::Rows(vec![newest.cloned().unwrap_or_else(|| "none".into())])
    }

    fn write(&mut self, item: &str, data: &str) -> Outcome {
        if !self.is_primary() {
            return Outcome::Error("READONLY");
        }
        if let Some(written) = &mut self.transaction {
            written.insert(item.into(), data.into());
            return Outcome::Rows(Vec::new());
        }
        self.commit(BTreeMap::from([(item.to_owned(), data.to_owned())]))
    }

    fn commit(&self, items: BTreeMap<String, String>) -> Outcome {
        if items.is_empty() {
            return Outcome::Rows(Vec::new());
        }
        if !self.is_primary() {
            return Outcome::Error("READONLY");
        }
        let number = {
            let mut state = self.group.state.lock().expect("state");
            let (term, at) = (state.term, Instant::now());
            state.log.push(Commit { term, at, items });
            let number = state.log.len();
            for index in 0..state.received.len() {
                if index == state.primary || state.held[index] == 0 {
                    state.received[index] = number;
                }
            }
            number
        };
        thread::sleep(RECEIVE_TIME);
        // It is confirmed once a replica has received it.
        loop {
            let state = self.group.state.lock().expect("state");
            let replicas = (0..state.received.len()).filter(|index| *index != state.primary);
            if replicas.into_iter().any(|index| state.received[index] >= number) {
                break;
            }
            if state.primary != self.index || state.has_stepped_down {
                return Outcome::Error("FAILED");
            }
            drop(state);
            thread::sleep(RECEIVE_TIME);
        }
        Outcome::Rows(Vec::new())
    }
}
