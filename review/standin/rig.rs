//! Test rig of the review: stand-ins of the platform (store, promotion service), of one
//! database service with three members, and of clients. It starts the real program as
//! separate processes on loopback, plays a scenario and checks one rule.
//!
//! usage: rig SCENARIO RECORD   (in the root of the repository)
//! TROUBLE=0 plays the same without the disruption.
//!
//! Exit status: 0 the rule held, 1 the rule was broken, 2 the scenario could not run.
//! Only the standard library is used; `review/build.sh` compiles this file.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod json;
use json::Json;

const SERVICE: &str = "ledger";
const DATABASE: &str = "orders";
/// A promoted member leads 1,000 ms after the call, on both sites below.
const PROMOTE_MS: u64 = 1_000;
const LAG_SPREAD: f64 = 0.6;
/// Interval of the members' liveness reports.
const HEARTBEAT_MS: u64 = 1_200;
/// Usual time of an answer of the promotion service.
const DUTY_ANSWER_MS: u64 = 20;

/// Figures of a site.
#[derive(Clone, Copy)]
struct Site {
    /// How far replicas are behind, in milliseconds: mean and maximum.
    lag_mean_ms: f64,
    lag_max_ms: f64,
    connections_max: u64,
    config_apply_ms: u64,
    drain_ms: u64,
    memory_mb: u64,
    descriptors_max: u64,
    /// Window of the limits of client accounts, as JSON; empty without accounts.
    quota_window_s: &'static str,
    contracts: &'static str,
}

const HTPTA_POOL_GROWN: Site = Site {
    lag_mean_ms: 90.0,
    lag_max_ms: 540.0,
    connections_max: 65,
    config_apply_ms: 6_000,
    drain_ms: 10_000,
    // As on 88 of its 100 machines.
    memory_mb: 112,
    descriptors_max: 3_080,
    quota_window_s: "",
    contracts: r#"["base","drain","config","cost","recover","health","pool","sql","platform"]"#,
};

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- record

struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

// ---------------------------------------------------------------- random numbers

/// SplitMix64, to draw lags and pauses.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn unit(x: u64) -> f64 {
    (mix(x) >> 11) as f64 / (1u64 << 53) as f64
}

/// Lag of one entry at one replica: log-normal, as the site file gives it.
fn lag_ms(site: &Site, seed: u64) -> f64 {
    let (a, b) = (unit(seed).max(1e-12), unit(seed ^ 0x5555));
    let normal = (-2.0 * a.ln()).sqrt() * (2.0 * std::f64::consts::PI * b).cos();
    let mu = site.lag_mean_ms.ln() - LAG_SPREAD * LAG_SPREAD / 2.0;
    (mu + LAG_SPREAD * normal).exp().min(site.lag_max_ms)
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    removed: bool,
}

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<(String, String, String), Row>,
    ver: u64,
}

struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    fn put(&self, table: &str, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.ver += 1;
        let row = Row {
            value: base64(text.as_bytes()),
            ver: state.ver,
            removed: false,
        };
        state.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        if let Some(row) = state.rows.get_mut(&(table.into(), String::new(), key.into())) {
            row.ver = ver;
            row.removed = true;
        }
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        1_000_000 + self.start.elapsed().as_millis() as u64
    }

    fn page(&self, rows: Vec<String>, ver: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{ver},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }

    fn call(&self, request: &HttpRequest) -> (u16, String) {
        sleep_ms(4);
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/api/rows-get" => {
                let (table, part, from) = (field("table"), field("part"), field("from"));
                let state = self.state.lock().unwrap();
                let rows = state.rows.iter().filter(|((t, p, k), row)| {
                    *t == table && *p == part && *k >= from && !row.removed
                });
                let rows = rows.map(|(key, row)| row_json(key, row)).collect();
                (200, self.page(rows, state.ver))
            }
            "/api/rows-feed" => {
                let table = field("table");
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait_ms: u64 = field("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait_ms);
                let mut state = self.state.lock().unwrap();
                loop {
                    let rows = state.rows.iter();
                    let mut rows: Vec<_> = rows
                        .filter(|((t, _, _), row)| *t == table && row.ver > after)
                        .collect();
                    rows.sort_by_key(|(_, row)| row.ver);
                    let rows: Vec<String> =
                        rows.into_iter().map(|(key, row)| row_json(key, row)).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return (200, self.page(rows, state.ver));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/api/rows-tx" => {
                sleep_ms(2);
                let Some(body) = json::parse(&request.body) else {
                    return (400, "{}".into());
                };
                let mut state = self.state.lock().unwrap();
                for expected in body.list("expected_rev") {
                    let current = state.rows.get(&row_key(expected)).filter(|row| !row.removed);
                    if current.map_or(0, |row| row.ver) != expected.number("ver") {
                        return (412, self.page(Vec::new(), state.ver));
                    }
                }
                state.ver += 1;
                let ver = state.ver;
                for set in body.list("set_keys") {
                    let row = Row {
                        value: set.text("value"),
                        ver,
                        removed: false,
                    };
                    state.rows.insert(row_key(set), row);
                }
                self.changed.notify_all();
                (200, self.page(Vec::new(), ver))
            }
            _ => (404, "{}".into()),
        }
    }
}

fn row_key(row: &Json) -> (String, String, String) {
    (row.text("table"), row.text("part"), row.text("key"))
}

fn row_json((table, part, key): &(String, String, String), row: &Row) -> String {
    let removed = if row.removed { ",\"removed\":true" } else { "" };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{}\",\"ver\":{}{removed}}}",
        row.value, row.ver
    )
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = (0..3).fold(0u32, |n, i| n << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let part = (n >> (18 - 6 * i)) & 63;
            text.push(if i <= chunk.len() { SET[part as usize] as char } else { '=' });
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- HTTP

struct HttpRequest {
    method: String,
    path: String,
    headers: HashMap<String, String>,
    body: String,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(HttpRequest {
        method,
        path,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Serves HTTP with connections that stay open.
fn serve_http(
    listener: TcpListener,
    handle: impl Fn(&HttpRequest) -> (u16, String) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let (status, body) = handle(&request);
                    let answer = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

// ---------------------------------------------------------------- members

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct Entry {
    term: u64,
    number: u64,
    id: String,
}

struct Member {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    /// Number of the process at this address; sessions of earlier ones are closed.
    epoch: u64,
    draining: bool,
    seq: u64,
    born: u64,
    primary: bool,
    term: u64,
    held: u64,
    paused: bool,
    log: Vec<(Entry, Instant)>,
    connections: usize,
}

impl Member {
    fn position(&self) -> String {
        match self.log.last() {
            Some((entry, _)) => format!("{}.{}", entry.term, entry.number),
            None => "1.0".into(),
        }
    }
}

#[derive(Default)]
struct Group {
    members: Vec<Member>,
    /// Commits that a primary has acknowledged.
    acked: BTreeSet<Entry>,
    /// Acknowledged commits that a promoted member lacked.
    lost: BTreeSet<Entry>,
    promotions: Vec<(f64, String)>,
}

impl Group {
    fn primary(&self) -> Option<usize> {
        self.members.iter().position(|m| m.primary)
    }
}

struct Members {
    site: Site,
    group: Mutex<Group>,
    changed: Condvar,
    record: Arc<Record>,
    store: Arc<Store>,
    next: AtomicU64,
}

impl Members {
    fn entry_text(member: &Member) -> String {
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\"state\":\"{}\",\"cold_left_ms\":0,\"db_role\":\"{}\",\"seq\":{},\"born\":{}}}",
            member.address,
            member.zone,
            if member.draining { "draining" } else { "ready" },
            if member.primary { "primary" } else { "replica" },
            member.seq,
            member.born,
        )
    }

    /// Writes the entry of a member, as its liveness report does.
    fn report(&self, group: &mut Group, index: usize) {
        let member = &mut group.members[index];
        member.seq += 1;
        self.store.put("servers", &member.id, &Members::entry_text(member));
    }

    fn new_id(&self) -> String {
        format!("i-{:06x}", mix(self.next.fetch_add(1, Ordering::Relaxed)) & 0xff_ffff)
    }

    /// Delivers log entries to the replicas, and acknowledges what one of them received.
    fn replicate(&self) {
        loop {
            sleep_ms(1);
            let mut group = self.group.lock().unwrap();
            let Some(primary) = group.primary() else { continue };
            let now = Instant::now();
            let log = group.members[primary].log.clone();
            let term = group.members[primary].term;
            let mut received = 0;
            for index in 0..group.members.len() {
                if index == primary {
                    continue;
                }
                let replica = &mut group.members[index];
                if replica.term == term && !replica.paused {
                    while let Some((entry, at)) = log.get(replica.log.len()) {
                        let seed = entry.number << 20 ^ entry.term << 10 ^ index as u64;
                        if now < *at + Duration::from_micros((lag_ms(&self.site, seed) * 1_000.0) as u64) {
                            break;
                        }
                        replica.log.push((entry.clone(), *at));
                    }
                }
                if replica.term == term {
                    received = received.max(replica.log.len().min(log.len()));
                }
            }
            let mut has_acked = false;
            for (entry, _) in &log[..received] {
                if entry.term == term {
                    has_acked |= group.acked.insert(entry.clone());
                }
            }
            if has_acked {
                self.changed.notify_all();
            }
        }
    }

    /// The named member leads the next term with what it has received.
    fn promote(&self, id: &str) {
        let mut group = self.group.lock().unwrap();
        let Some(index) = group.members.iter().position(|m| m.id == id) else { return };
        if group.members[index].primary {
            return;
        }
        let term = group.members.iter().map(|m| m.term).max().unwrap_or(0) + 1;
        let log: Vec<_> = group.members[index].log.clone();
        let held: BTreeSet<&Entry> = log.iter().map(|(entry, _)| entry).collect();
        let missing = group.acked.iter().filter(|e| !held.contains(e) && !group.lost.contains(e));
        let missing: Vec<Entry> = missing.cloned().collect();
        let before = group.primary().map(|p| group.members[p].id.clone());
        self.record.line(&format!(
            "promote in effect: {id} leads term {term}, log up to {}, primary before {}",
            group.members[index].position(),
            before.as_deref().unwrap_or("none"),
        ));
        for entry in missing {
            self.record.line(&format!(
                "acknowledged commit {}.{} of request {} is not in the log of {id}",
                entry.term, entry.number, entry.id
            ));
            group.lost.insert(entry);
        }
        for (other, member) in group.members.iter_mut().enumerate() {
            member.term = term;
            member.held = 0;
            member.paused = false;
            member.primary = other == index;
            let same = member.log.iter().zip(&log).take_while(|(a, b)| a.0 == b.0).count();
            member.log.truncate(same);
        }
        let at = self.record.start.elapsed().as_secs_f64();
        group.promotions.push((at, id.to_owned()));
        for index in 0..group.members.len() {
            self.report(&mut group, index);
        }
        self.changed.notify_all();
    }

    /// The process at an address ends, and a new one starts there with its log, as a replica.
    fn replace(&self, index: usize) {
        let id = self.new_id();
        let mut group = self.group.lock().unwrap();
        let member = &mut group.members[index];
        self.record.line(&format!("member {} has ended; {id} starts with its log", member.id));
        self.store.remove("servers", &member.id);
        member.id = id;
        member.epoch += 1;
        member.born += 1_000;
        member.draining = false;
        member.primary = false;
        member.paused = false;
        member.held = 0;
        self.report(&mut group, index);
        self.changed.notify_all();
    }

    fn serve(self: &Arc<Self>, index: usize, listener: TcpListener) {
        let members = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let members = members.clone();
                thread::spawn(move || {
                    let _ = members.session(index, stream);
                    let mut group = members.group.lock().unwrap();
                    group.members[index].connections -= 1;
                });
            }
        });
    }

    fn session(&self, index: usize, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let (epoch, is_over_limit) = {
            let mut group = self.group.lock().unwrap();
            let member = &mut group.members[index];
            member.connections += 1;
            (member.epoch, member.connections as u64 > self.site.connections_max)
        };
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        sleep_ms(12);
        let is_right = {
            let group = self.group.lock().unwrap();
            let member = &group.members[index];
            words.len() >= 3
                && words[0] == "OPEN"
                && words[1] == SERVICE
                && words.get(3).is_none_or(|id| *id == member.id)
        };
        if !is_right {
            writer.write_all(b"ERROR WRONGNODE another member\r\n").ok()?;
            return None;
        }
        if is_over_limit {
            self.record.line(&format!("{} has too many connections: CONNLIMIT to {}", words[3..].join(" "), words[2]));
            writer.write_all(b"ERROR CONNLIMIT too many connections\r\n").ok()?;
            return None;
        }
        let position = self.group.lock().unwrap().members[index].position();
        writer.write_all(format!("READY I {position}\r\n").as_bytes()).ok()?;
        let closer = writer.try_clone().ok()?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if self.group.lock().unwrap().members[index].epoch != epoch {
                let _ = closer.shutdown(Shutdown::Both);
                return None;
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let mut words = line.splitn(3, ' ');
            let (word, id, text) = (words.next()?, words.next().unwrap_or(""), words.next().unwrap_or(""));
            if word == "BYE" {
                return None;
            }
            let answer = self.run(index, epoch, id, text)?;
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    /// Runs one request; `None` if the connection breaks without an answer.
    fn run(&self, index: usize, epoch: u64, id: &str, text: &str) -> Option<String> {
        let mut words: Vec<&str> = text.split(' ').collect();
        if words[0] == "AFTER" {
            words.drain(..2);
        }
        let mut group = self.group.lock().unwrap();
        let number = |text: Option<&&str>| text.and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
        match words[0] {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                let member = &mut group.members[index];
                match words[0] {
                    "PAUSE" if number(words.get(1)) > member.term && !member.primary => {
                        member.paused = true;
                        member.held = member.held.max(number(words.get(1)));
                    }
                    "RESUME" => {
                        member.paused = false;
                        member.held = 0;
                    }
                    "STEPDOWN" if member.primary && number(words.get(1)) > member.term => {
                        member.primary = false;
                        self.changed.notify_all();
                    }
                    _ => {}
                }
                let member = &group.members[index];
                let row = format!(
                    "ROW {} {} {} {} 0 0 {}\r\nCOMPLETE -\r\nREADY I {}\r\n",
                    if member.primary { "primary" } else { "replica" },
                    member.term,
                    member.position(),
                    member.held,
                    member.connections,
                    member.position(),
                );
                if words[0] != "STATUS" {
                    self.record.line(&format!(
                        "{} answers {text}: {}",
                        member.id,
                        row.lines().next().unwrap_or("")
                    ));
                    if words[0] == "STEPDOWN" {
                        self.report(&mut group, index);
                    }
                }
                Some(row)
            }
            "SET" | "RESET" | "ROLLBACK" | "PREPARE" => {
                Some(format!("COMPLETE -\r\nREADY I {}\r\n", group.members[index].position()))
            }
            "READ" => Some(format!(
                "ROW none\r\nCOMPLETE d.{id}\r\nREADY I {}\r\n",
                group.members[index].position()
            )),
            "WRITE" => {
                let member = &mut group.members[index];
                if !member.primary {
                    let position = member.position();
                    return Some(format!("ERROR READONLY {}\r\nREADY E {position}\r\n", member.id));
                }
                let (term, last) = (member.term, member.log.last().map_or(0, |(e, _)| e.number));
                let entry = Entry {
                    term,
                    number: last + 1,
                    id: id.to_owned(),
                };
                member.log.push((entry.clone(), Instant::now()));
                let at = &group.members[index].id;
                self.record.line(&format!("{at} runs {id}: {text}, commit {term}.{}", last + 1));
                let end = Instant::now() + Duration::from_secs(5);
                loop {
                    if group.acked.contains(&entry) {
                        let position = format!("{}.{}", entry.term, entry.number);
                        return Some(format!("COMPLETE d.{id}\r\nREADY I {position}\r\n"));
                    }
                    let member = &group.members[index];
                    let leads = member.primary && member.term == term && member.epoch == epoch;
                    let left = end.saturating_duration_since(Instant::now());
                    if !leads || left.is_zero() {
                        return None;
                    }
                    group = self.changed.wait_timeout(group, left).unwrap().0;
                }
            }
            _ => Some(format!(
                "ERROR MALFORMED unknown\r\nREADY I {}\r\n",
                group.members[index].position()
            )),
        }
    }
}

// ---------------------------------------------------------------- promotion service

struct Duty {
    members: Arc<Members>,
    record: Arc<Record>,
    /// Time of an answer, in milliseconds.
    answer_ms: AtomicU64,
    /// Highest fencing token seen.
    fence: Mutex<u64>,
    /// Orders with a lower token than one seen before.
    lower: AtomicU64,
}

impl Duty {
    /// Carries an order out at once, and answers after `answer_ms`.
    fn call(&self, request: &HttpRequest) -> (u16, String) {
        if request.method != "POST" || request.path != "/promotion" {
            return (404, "{}".into());
        }
        let Some(body) = json::parse(&request.body) else {
            return (400, "{}".into());
        };
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let (holder, id) = (header("duty-holder"), body.text("id"));
        let fence: u64 = header("fence-token").parse().unwrap_or(0);
        let mut seen = self.fence.lock().unwrap();
        let is_lower = fence < *seen;
        self.record.line(&format!(
            "promotion of {id} ordered by {holder} with token {fence}{}",
            if is_lower { format!(", LOWER than {seen}") } else { String::new() }
        ));
        *seen = fence.max(*seen);
        drop(seen);
        if is_lower {
            self.lower.fetch_add(1, Ordering::Relaxed);
        }
        let group = self.members.group.lock().unwrap();
        let member = group.members.iter().find(|m| m.id == id);
        let (is_known, is_primary) = (member.is_some(), member.is_some_and(|m| m.primary));
        drop(group);
        if is_known && !is_primary {
            let members = self.members.clone();
            let id = id.clone();
            thread::spawn(move || {
                sleep_ms(PROMOTE_MS);
                members.promote(&id);
            });
        }
        sleep_ms(self.answer_ms.load(Ordering::Relaxed));
        (if is_known { 200 } else { 409 }, "{}".into())
    }
}

/// Path of one VM to the promotion service, which can be cut. While it is, bytes that are
/// sent on open connections are held up, also after their sender has closed the connection,
/// and new connections are not established.
struct Path {
    listener: TcpListener,
    address: SocketAddr,
    service: SocketAddr,
    name: String,
    record: Arc<Record>,
    cut: Mutex<Option<Instant>>,
    healed: Condvar,
    /// Connections that fill the listener's queue during a cut, so that the kernel drops
    /// the opening packets of others.
    fillers: Mutex<Vec<TcpStream>>,
    is_cut: AtomicBool,
    held: AtomicU64,
}

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

impl Path {
    fn start(name: String, service: SocketAddr, record: Arc<Record>) -> Arc<Path> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let path = Arc::new(Path {
            listener,
            address,
            service,
            name,
            record,
            cut: Mutex::new(None),
            healed: Condvar::new(),
            fillers: Mutex::default(),
            is_cut: AtomicBool::new(false),
            held: AtomicU64::new(0),
        });
        let accepting = path.clone();
        thread::spawn(move || accepting.accept());
        path
    }

    fn accept(self: Arc<Path>) {
        self.listener.set_nonblocking(true).unwrap();
        loop {
            if self.is_cut.load(Ordering::Relaxed) {
                sleep_ms(2);
                continue;
            }
            let Ok((stream, peer)) = self.listener.accept() else {
                sleep_ms(2);
                continue;
            };
            let is_filler = self.fillers.lock().unwrap().iter().any(|f| f.local_addr().ok() == Some(peer));
            if is_filler {
                continue;
            }
            let _ = stream.set_nonblocking(false);
            let path = self.clone();
            thread::spawn(move || path.forward(stream));
        }
    }

    fn forward(self: Arc<Path>, mut from: TcpStream) {
        let Ok(mut to) = TcpStream::connect(self.service) else { return };
        let (mut back_from, mut back_to) = (to.try_clone().unwrap(), from.try_clone().unwrap());
        thread::spawn(move || {
            let mut buffer = [0; 4096];
            while let Ok(n @ 1..) = back_from.read(&mut buffer) {
                if back_to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            let _ = back_to.shutdown(Shutdown::Both);
        });
        let mut buffer = [0; 4096];
        while let Ok(n) = from.read(&mut buffer) {
            self.wait_while_cut(n);
            if n == 0 {
                break;
            }
            if to.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        // Let the service read and answer what has been delivered.
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Waits until bytes that were sent now arrive: at the first repetition by the sender's
    /// kernel (0.2 s after the sending, then at doubled intervals) after the cut.
    fn wait_while_cut(&self, count: usize) {
        let sent = Instant::now();
        let mut cut = self.cut.lock().unwrap();
        if cut.is_none() {
            return;
        }
        if count > 0 {
            self.held.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("{}: {count} bytes to the promotion service are held up", self.name));
        }
        while let Some(end) = *cut {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            cut = self.healed.wait_timeout(cut, left).unwrap().0;
        }
        drop(cut);
        let mut due = sent + Duration::from_millis(200);
        let mut pause = Duration::from_millis(400);
        while due < Instant::now() {
            due += pause;
            pause *= 2;
        }
        thread::sleep(due - Instant::now());
        if count > 0 {
            self.record.line(&format!("{}: held-up bytes arrive", self.name));
        }
    }

    fn cut_for(self: &Arc<Path>, ms: u64) {
        let end = Instant::now() + Duration::from_millis(ms);
        *self.cut.lock().unwrap() = Some(end);
        self.is_cut.store(true, Ordering::Relaxed);
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        sleep_ms(5);
        let filler = TcpStream::connect(self.address);
        self.fillers.lock().unwrap().extend(filler);
        let path = self.clone();
        thread::spawn(move || {
            thread::sleep(end.saturating_duration_since(Instant::now()));
            unsafe { listen(path.listener.as_raw_fd(), 128) };
            *path.cut.lock().unwrap() = None;
            path.healed.notify_all();
            path.is_cut.store(false, Ordering::Relaxed);
        });
    }
}

// ---------------------------------------------------------------- VMs

struct Vm {
    callers: SocketAddr,
    ready: SocketAddr,
    settings: std::path::PathBuf,
    log: std::path::PathBuf,
    child: Child,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds a run of free ports on loopback, for one VM: below those that the kernel gives to
/// outgoing connections, in a range that no other VM of the scenario uses.
fn free_ports(count: u16, index: usize) -> u16 {
    for attempt in 0..200u64 {
        let seed = attempt << 32 | u64::from(std::process::id());
        let base = 12_000 + 6_000 * index as u16 + (mix(seed) % 5_900) as u16;
        let bound: Vec<_> = (base..base + count)
            .map_while(|port| TcpListener::bind(("127.0.0.1", port)).ok())
            .collect();
        if bound.len() == usize::from(count) {
            return base;
        }
    }
    fail("no free ports")
}

/// Ends the scenario; the unwinding ends the processes that were started.
fn fail(text: &str) -> ! {
    eprintln!("the case can't run: {text}");
    std::panic::resume_unwind(Box::new(()));
}

/// Fills in the template of the deploy file.
fn render(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

const ZONES: [(&str, &str); 3] = [("z1", "r1"), ("z2", "r2"), ("z3", "r3")];

fn start_vm(
    folder: &std::path::Path,
    index: usize,
    site: &Site,
    store: SocketAddr,
    promotion: SocketAddr,
) -> Vm {
    let base = free_ports(8, index);
    let address = |port: u16| format!("\"127.0.0.1:{port}\"");
    let name = format!("front-{}-1", ZONES[index].0);
    let zones: Vec<String> = ZONES.iter().map(|(z, r)| format!("\"{z}\":\"{r}\"")).collect();
    let fields = BTreeMap::from([
        ("node_name|json", format!("\"{name}\"")),
        ("zone|json", format!("\"{}\"", ZONES[index].0)),
        ("zones|json", format!("{{{}}}", zones.join(","))),
        ("limits.cpu_share|json", "0.17".to_owned()),
        ("listen.front|json", address(base)),
        ("listen.ready|json", address(base + 1)),
        ("ip", "127.0.0.1".to_owned()),
        ("inner_ports.0", (base + 2).to_string()),
        ("inner_ports.1", (base + 7).to_string()),
        ("inner_ports|json", format!("[{},{}]", base + 2, base + 7)),
        ("bootstrap|json", "true".to_owned()),
        ("platform.address|json", format!("\"{store}\"")),
        ("cloud_api.address|json", format!("\"{promotion}\"")),
        ("bounds.config_apply_ms|json", site.config_apply_ms.to_string()),
        ("bounds.drain_ms|json", site.drain_ms.to_string()),
        ("bounds.grace_s|json", "6".to_owned()),
        ("bounds.quota_window_s|json", site.quota_window_s.to_owned()),
        ("limits.memory_mb|json", site.memory_mb.to_string()),
        ("limits.max_fds|json", site.descriptors_max.to_string()),
        ("contracts|json", site.contracts.to_owned()),
    ]);
    let template = std::fs::read_to_string("deploy/settings.yaml")
        .unwrap_or_else(|_| fail("deploy/settings.yaml not found; run in the repository"));
    let settings = folder.join(format!("{name}.yaml"));
    std::fs::write(&settings, render(&template, &fields)).unwrap();
    let log = folder.join(format!("{name}.log"));
    let child = spawn_vm(&settings, &log);
    Vm {
        callers: SocketAddr::from(([127, 0, 0, 1], base)),
        ready: SocketAddr::from(([127, 0, 0, 1], base + 1)),
        settings,
        log,
        child,
    }
}

fn spawn_vm(settings: &std::path::Path, log: &std::path::Path) -> Child {
    let deploy = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let program = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
    let program = program.and_then(|rest| rest.split('"').next());
    let program = program.unwrap_or_else(|| fail("no command in deploy/system.toml"));
    let output = File::options().create(true).append(true).open(log).unwrap();
    let mut command = Command::new(program);
    command
        .env_clear()
        .env("FOXTAILKNOT_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().unwrap())
        .stderr(output);
    // A VM must not outlive this process, however it ends.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .spawn()
        .unwrap_or_else(|_| fail("the program isn't built: run the build of the deploy file"))
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let _ = stream.write_all(b"GET /api/readiness HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.starts_with("HTTP/1.1 200")
}

// ---------------------------------------------------------------- clients

#[derive(Default)]
struct Outcomes {
    success: Mutex<BTreeSet<String>>,
    /// Promises that nothing is kept.
    refused: Mutex<BTreeSet<String>>,
    other: AtomicU64,
}

fn client(
    number: u64,
    address: SocketAddr,
    pause_ms: u64,
    record: Arc<Record>,
    outcomes: Arc<Outcomes>,
    stop: Arc<AtomicBool>,
) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let _ = client_session(number, &mut count, address, pause_ms, &record, &outcomes, &stop);
        sleep_ms(100);
    }
}

fn client_session(
    number: u64,
    count: &mut u64,
    address: SocketAddr,
    pause_ms: u64,
    record: &Record,
    outcomes: &Outcomes,
    stop: &AtomicBool,
) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    stream.write_all(format!("OPEN {DATABASE} u{number}\r\n").as_bytes()).ok()?;
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    if !line.starts_with("READY") {
        return None;
    }
    while !stop.load(Ordering::Relaxed) {
        *count += 1;
        let id = format!("{number:04x}{count:08x}");
        record.line(&format!("client sends {id}: WRITE item{number} v{count}"));
        stream.write_all(format!("QUERY {id} WRITE item{number} v{count}\r\n").as_bytes()).ok()?;
        let mut result = String::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok().unwrap_or(0) == 0 {
                record.line(&format!("no answer to {id}: the connection ended"));
                outcomes.other.fetch_add(1, Ordering::Relaxed);
                return None;
            }
            if line.starts_with("READY") {
                break;
            }
            result = line;
        }
        record.line(&format!("answer to {id}: {}", result.trim_end()));
        let words: Vec<&str> = result.split_whitespace().collect();
        match (words.first(), words.get(1)) {
            (Some(&"COMPLETE"), Some(digest)) if *digest == format!("d.{id}") => {
                outcomes.success.lock().unwrap().insert(id);
            }
            (Some(&"ERROR"), Some(&("BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "WRONGNODE" | "CONNLIMIT"))) => {
                outcomes.refused.lock().unwrap().insert(id);
            }
            _ => {
                outcomes.other.fetch_add(1, Ordering::Relaxed);
            }
        }
        sleep_ms(pause_ms / 2 + (unit(number << 32 | *count) * pause_ms as f64) as u64);
    }
    let _ = stream.write_all(b"BYE\r\n");
    Some(())
}

// ---------------------------------------------------------------- scenarios

struct World {
    record: Arc<Record>,
    members: Arc<Members>,
    duty: Arc<Duty>,
    paths: Vec<Arc<Path>>,
    vms: Vec<Vm>,
    outcomes: Arc<Outcomes>,
    stop: Arc<AtomicBool>,
    folder: std::path::PathBuf,
    is_trouble: bool,
}

impl World {
    fn start(record: Arc<Record>, site: Site, clients: u64, pause_ms: u64) -> World {
        let is_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let store_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store_address = store_listener.local_addr().unwrap();
        let serving = store.clone();
        serve_http(store_listener, move |request| serving.call(request));
        let manifest = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{DATABASE}\",\"prefix\":\"/\",\"route_type\":\"primary\",\"timeout_ms\":800,\"target_latency_ms\":600,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":{},\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":262144,\"header_ms\":3000,\"idle_ms\":15000,\"tx_idle_ms\":3000}}}}",
            site.connections_max
        );
        store.put("op", "config", &manifest);
        let members = Arc::new(Members {
            site,
            group: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
            store,
            next: AtomicU64::new(u64::from(std::process::id()) << 16),
        });
        for (index, (zone, _)) in ZONES.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let id = members.new_id();
            let member = Member {
                id,
                address: listener.local_addr().unwrap(),
                zone,
                epoch: 0,
                draining: false,
                seq: 0,
                born: 1_790_000_000_000,
                primary: index == 0,
                term: 1,
                held: 0,
                paused: false,
                log: Vec::new(),
                connections: 0,
            };
            let mut group = members.group.lock().unwrap();
            group.members.push(member);
            members.report(&mut group, index);
            drop(group);
            members.serve(index, listener);
        }
        let replicating = members.clone();
        thread::spawn(move || replicating.replicate());
        let beating = members.clone();
        thread::spawn(move || loop {
            sleep_ms(HEARTBEAT_MS);
            let mut group = beating.group.lock().unwrap();
            for index in 0..group.members.len() {
                beating.report(&mut group, index);
            }
        });
        let duty = Arc::new(Duty {
            members: members.clone(),
            record: record.clone(),
            answer_ms: AtomicU64::new(DUTY_ANSWER_MS),
            fence: Mutex::new(0),
            lower: AtomicU64::new(0),
        });
        let duty_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let duty_address = duty_listener.local_addr().unwrap();
        let serving = duty.clone();
        serve_http(duty_listener, move |request| serving.call(request));
        let mut paths = Vec::new();
        let mut vms = Vec::new();
        for index in 0..ZONES.len() {
            let name = format!("front-{}-1", ZONES[index].0);
            let path = Path::start(name, duty_address, record.clone());
            vms.push(start_vm(&folder, index, &site, store_address, path.address));
            paths.push(path);
        }
        let mut world = World {
            record,
            members,
            duty,
            paths,
            vms,
            outcomes: Arc::default(),
            stop: Arc::default(),
            folder,
            is_trouble,
        };
        let deadline = Instant::now() + Duration::from_secs(15);
        while !world.vms.iter().all(|vm| is_ready(vm.ready)) {
            if Instant::now() > deadline {
                fail("the VMs don't become ready");
            }
            sleep_ms(100);
        }
        for vm in &mut world.vms {
            if !matches!(vm.child.try_wait(), Ok(None)) {
                fail("a VM has ended");
            }
        }
        world.record.line("all VMs are ready");
        for number in 0..clients {
            let address = world.vms[number as usize % ZONES.len()].callers;
            let (outcomes, stop) = (world.outcomes.clone(), world.stop.clone());
            let record = world.record.clone();
            thread::spawn(move || client(number, address, pause_ms, record, outcomes, stop));
        }
        // The VMs connect to members once they know one another.
        let deadline = Instant::now() + Duration::from_secs(15);
        while world.outcomes.success.lock().unwrap().len() < 100 {
            if Instant::now() > deadline {
                fail("no write succeeds");
            }
            sleep_ms(100);
        }
        world.record.line("writes succeed");
        world
    }

    /// The primary reports that it is draining, before a planned shutdown. Returns its
    /// index, or `None` while there is none.
    fn drain_primary(&self) -> Option<usize> {
        let mut group = self.members.group.lock().unwrap();
        let index = group.primary()?;
        group.members[index].draining = true;
        let id = group.members[index].id.clone();
        self.members.report(&mut group, index);
        self.record.line(&format!("primary {id} reports that it is draining"));
        Some(index)
    }

    /// Another caller of the database opens connections to the replica with the higher id
    /// up to its limit, and closes them after `ms`.
    fn use_up_connections(&self, ms: u64) {
        let group = self.members.group.lock().unwrap();
        let replicas = group.members.iter().filter(|m| !m.primary);
        let Some(replica) = replicas.max_by_key(|m| m.id.clone()) else { return };
        let (id, address) = (replica.id.clone(), replica.address);
        drop(group);
        self.record.line(&format!("another caller uses up the connections of {id} for {ms} ms"));
        let mut open = Vec::new();
        for _ in 0..self.members.site.connections_max {
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            let _ = stream.write_all(format!("OPEN {SERVICE} report {id}\r\n").as_bytes());
            open.push(stream);
        }
        sleep_ms(30);
        thread::spawn(move || {
            sleep_ms(ms);
            drop(open);
        });
    }

    fn end(self) -> (BTreeSet<Entry>, u64) {
        self.stop.store(true, Ordering::Relaxed);
        sleep_ms(1_500);
        let success = self.outcomes.success.lock().unwrap().clone();
        let refused = self.outcomes.refused.lock().unwrap().clone();
        let group = self.members.group.lock().unwrap();
        // Only commits whose clients were told of the success count.
        let lost = group.lost.iter().filter(|e| success.contains(&e.id));
        let lost: BTreeSet<Entry> = lost.cloned().collect();
        self.record.line(&format!(
            "writes: {} done, {} refused, {} of unknown outcome; promotions in effect: {}",
            success.len(),
            refused.len(),
            self.outcomes.other.load(Ordering::Relaxed),
            group.promotions.len()
        ));
        for entry in &lost {
            self.record.line(&format!(
                "LOST: request {} was answered with success, its commit {}.{} is gone",
                entry.id, entry.term, entry.number
            ));
        }
        let lower = self.duty.lower.load(Ordering::Relaxed);
        drop(group);
        if std::env::var_os("KEEP").is_none() {
            for vm in &self.vms {
                let _ = std::fs::remove_file(&vm.settings);
                let _ = std::fs::remove_file(&vm.log);
            }
            let _ = std::fs::remove_dir(&self.folder);
        } else {
            eprintln!("logs kept in {}", self.folder.display());
        }
        (lost, lower)
    }
}

/// Planned shutdowns of the primary, one after the other, while the promotion service is
/// slow: its answers take 50 times as long.
fn slow_promotions(record: Arc<Record>) -> bool {
    let world = World::start(record, HTPTA_POOL_GROWN, 30, 80);
    sleep_ms(6_000);
    for _ in 0..6 {
        if world.is_trouble {
            world.duty.answer_ms.store(50 * DUTY_ANSWER_MS, Ordering::Relaxed);
            world.record.line("the promotion service is slow: answers take 1,000 ms");
        }
        world.use_up_connections(600);
        let Some(index) = world.drain_primary() else { continue };
        sleep_ms(4_500);
        world.duty.answer_ms.store(DUTY_ANSWER_MS, Ordering::Relaxed);
        sleep_ms(7_000);
        world.members.replace(index);
        sleep_ms(2_500);
    }
    let (lost, _) = world.end();
    !lost.is_empty()
}

/// Planned shutdowns of the primary; from the third on the promotion service is cut off
/// from the VMs for some seconds each time.
fn held_promotions(record: Arc<Record>) -> bool {
    let world = World::start(record, HTPTA_POOL_GROWN, 30, 80);
    sleep_ms(5_000);
    for round in 1..=6 {
        let is_cut = round > 2;
        if is_cut && world.is_trouble {
            world.record.line("the promotion service is cut off from all VMs for 5.5 s");
            for path in &world.paths {
                path.cut_for(5_500);
            }
        }
        let Some(index) = world.drain_primary() else { continue };
        sleep_ms(if is_cut { 13_000 } else { 11_000 });
        world.members.replace(index);
        sleep_ms(1_500);
    }
    let held: u64 = world.paths.iter().map(|p| p.held.load(Ordering::Relaxed)).sum();
    world.record.line(&format!("orders held up: {held}"));
    let (_, lower) = world.end();
    lower > 0
}

fn play(scenario: &str, record: &Arc<Record>) -> bool {
    match scenario {
        "slow-promotions" => slow_promotions(record.clone()),
        "held-promotions" => held_promotions(record.clone()),
        _ => fail("unknown scenario"),
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = &args[..] else {
        eprintln!("usage: rig SCENARIO RECORD");
        std::process::exit(2);
    };
    let Ok(file) = File::create(record) else {
        eprintln!("the record can't be written");
        std::process::exit(2);
    };
    let record = Arc::new(Record {
        file: Mutex::new(file),
        start: Instant::now(),
    });
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(scenario, &record)));
    let Ok(is_broken) = played else {
        record.line("the case could not run");
        std::process::exit(2);
    };
    record.line(if is_broken { "the rule was BROKEN" } else { "the rule held" });
    std::process::exit(i32::from(is_broken));
}
