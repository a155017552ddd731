//! Stand-ins of the platform: its store and its promotion service, over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::json::{Json, base64, parse, quote};

type Key = (String, String, String);

#[derive(Clone)]
struct Change {
    version: u64,
    key: Key,
    /// Content in base64; `None` for a row that was dropped.
    value: Option<String>,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    changes: Vec<Change>,
}

/// The store: versioned rows, transactions and a feed of changes.
pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Store {
    /// Starts a store at a free port of an address.
    pub fn start(ip: &str) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).expect("store listens");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("address"),
            started: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        serve(listener, move |request| serving.answer(request));
        store
    }

    /// Writes a row, as the operator and the members do; returns its version.
    pub fn put(&self, table: &str, key: &str, content: &str) -> u64 {
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let key = (table.into(), String::new(), key.into());
        rows.set(key, Some(base64(content.as_bytes())));
        self.changed.notify_all();
        rows.version
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match (&*request.method, &*request.path) {
            ("GET", "/api/rows-get") => self.read(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            ("POST", "/api/rows-tx") => self.transact(request),
            _ => (404, "{}".into()),
        }
    }

    fn now_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let rows = self.rows.lock().expect("rows");
        let (table, part) = (request.field("table"), request.field("part"));
        let (from, until) = (request.field("from"), request.field("target"));
        let limit: usize = request.field("limit").parse().unwrap_or(500);
        let found = rows.rows.iter().filter(|((t, p, k), _)| {
            *t == table && *p == part && *k >= from && (until.is_empty() || *k < until)
        });
        let found: Vec<String> = found
            .map(|(key, (value, version))| row_text(key, Some(value), *version))
            .collect();
        let has_more = found.len() > limit;
        let page = found[..found.len().min(limit)].join(",");
        let (version, now_ms) = (rows.version, self.now_ms());
        let body = format!(
            "{{\"rows\":[{page}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{now_ms}}}"
        );
        (200, body)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.field("table");
        let after: u64 = request.field("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.field("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().expect("rows");
        loop {
            let mut newest: BTreeMap<&Key, &Change> = BTreeMap::new();
            for change in &rows.changes {
                if change.version > after && change.key.0 == table {
                    newest.insert(&change.key, change);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut newest: Vec<&Change> = newest.into_values().collect();
                newest.sort_by_key(|change| change.version);
                let page: Vec<String> = newest
                    .iter()
                    .map(|c| row_text(&c.key, c.value.as_ref(), c.version))
                    .collect();
                let (version, now_ms) = (rows.version, self.now_ms());
                let page = page.join(",");
                let body = format!("{{\"rows\":[{page}],\"ver\":{version},\"now_ms\":{now_ms}}}");
                return (200, body);
            }
            rows = self.changed.wait_timeout(rows, left).expect("rows").0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = parse(&request.body) else {
            return (400, "{}".into());
        };
        let entries = |name: &str| body.get(name).map_or(Vec::new(), |list| list.list().to_vec());
        let key = |entry: &Json| -> Key {
            let field = |name: &str| entry.get(name).map_or(String::new(), |f| f.text().into());
            (field("table"), field("part"), field("key"))
        };
        let mut rows = self.rows.lock().expect("rows");
        let written = entries("set_keys").into_iter().chain(entries("delete_keys"));
        if written.map(|e| key(&e).0).any(|table| table == "op" || table == "servers") {
            return (403, "{}".into());
        }
        let holds = entries("expected_rev").iter().all(|entry| {
            let version = rows.rows.get(&key(entry)).map_or(0, |row| row.1);
            version == entry.get("ver").map_or(0, Json::number)
        });
        if !holds {
            let (version, now_ms) = (rows.version, self.now_ms());
            return (412, format!("{{\"rows\":[],\"ver\":{version},\"now_ms\":{now_ms}}}"));
        }
        rows.version += 1;
        for entry in entries("set_keys") {
            let value = entry.get("value").map_or(String::new(), |v| v.text().into());
            rows.set(key(&entry), Some(value));
        }
        for entry in entries("delete_keys") {
            rows.set(key(&entry), None);
        }
        self.changed.notify_all();
        let (version, now_ms) = (rows.version, self.now_ms());
        (200, format!("{{\"ver\":{version},\"now_ms\":{now_ms}}}"))
    }
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), version)),
            None => self.rows.remove(&key),
        };
        let change = Change { version, key, value };
        self.changes.push(change);
    }
}

fn row_text((table, part, key): &Key, value: Option<&String>, version: u64) -> String {
    let (table, part, key) = (quote(table), quote(part), quote(key));
    let rest = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"removed\":true".into(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{rest},\"ver\":{version}}}")
}

/// The promotion service, which passes each order on.
pub struct Promotions {
    pub address: SocketAddr,
}

impl Promotions {
    /// Starts it; `promote` gets service and member, and returns the status.
    pub fn start(ip: &str, promote: impl Fn(&str, &str) -> u16 + Send + Sync + 'static) -> Promotions {
        let listener = TcpListener::bind((ip, 0)).expect("promotions listen");
        let address = listener.local_addr().expect("address");
        serve(listener, move |request| {
            let body = parse(&request.body).unwrap_or(Json::Null);
            let field = |name: &str| body.get(name).map_or("", Json::text);
            (promote(field("service"), field("id")), "{}".into())
        });
        Promotions { address }
    }
}

struct Request {
    method: String,
    path: String,
    fields: BTreeMap<String, String>,
    body: String,
}

impl Request {
    fn field(&self, name: &str) -> String {
        self.fields.get(name).cloned().unwrap_or_default()
    }
}

fn serve(listener: TcpListener, answer: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                // The connection has ended.
                let _ = serve_connection(stream, &*answer);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    answer: &dyn Fn(&Request) -> (u16, String),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut head = String::new();
        if reader.read_line(&mut head)? == 0 {
            return Ok(());
        }
        let mut words = head.split_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header)?;
            let header = header.trim().to_ascii_lowercase();
            if header.is_empty() {
                break;
            }
            if let Some(value) = header.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let request = Request {
            method: method.into(),
            path: path.into(),
            fields: fields.map(|(name, value)| (name.into(), decode(value))).collect(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let (status, body) = answer(&request);
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes())?;
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
