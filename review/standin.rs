//! Stand-ins for the cases of this folder: store, engines, callers, and the cases themselves.
//!
//! `review-standin engine ID SERVICE VERSION` is one engine in a process of its own, so that it can
//! be killed. `review-standin case NAME FOLDER` plays one case with real gateway processes and
//! writes `record.txt` into the folder. Only the standard library is used.

use std::collections::BTreeMap;
use std::env;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdin;
use std::process::Command;
use std::process::Stdio;
use std::process::exit;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

/// Exit codes that the issue asks for.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// Longest time of a case; the limit is 120 s.
const CASE_LIMIT: Duration = Duration::from_secs(90);

/// Host name and key in the published configuration.
const ROUTE_HOST: &str = "clinic.example";
const KEY: &str = "key-of-nadi";
const REVOKED_KEY: &str = "old-key-of-nadi";

/// Events of a stream and the time between two of them.
const EVENTS: u64 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Events of a short stream.
const SHORT_EVENTS: u64 = 4;

/// Gap after which a caller abandons a stream: four times its objective of 800 ms is longer than two
/// seconds and than eight times the pause of 250 ms.
const LONGEST_GAP: Duration = Duration::from_millis(3_200);

/// Pieces of a plain answer without a length and the time between two of them.
const PIECES: u64 = 20;
const PIECE_PAUSE: Duration = Duration::from_millis(40);

/// As above in a long answer.
const LONG_PIECE_PAUSE: Duration = Duration::from_millis(250);

/// Time that an engine works on an order.
const ORDER_WORK: Duration = Duration::from_millis(30);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// One message as read: start line, header fields, body.
#[derive(Debug, Default, Clone)]
struct Message {
    start: String,
    fields: Vec<(String, String)>,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads a head; `None` if the channel ended before one.
fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        match read_line(reader)? {
            None => return Ok(None),
            Some(line) if line.is_empty() => return Ok(Some(message)),
            Some(line) => {
                if let Some((name, value)) = line.split_once(':') {
                    let field = (name.to_owned(), value.trim().to_owned());
                    message.fields.push(field);
                }
            }
        }
    }
}

/// Reads a body with a length.
fn read_sized(reader: &mut impl Read, message: &Message) -> io::Result<String> {
    let length = message.field("Content-Length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

// ---------------------------------------------------------------------------------------------
// The engine, a process of its own

#[derive(Debug)]
struct Engine {
    id: String,
    service: String,
    version: String,
    leaving: AtomicBool,
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    // The case that reads this may have ended.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

fn run_engine(id: &str, service: &str, version: &str) -> ! {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    say(&format!("listening {address}"));
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        service: service.to_owned(),
        version: version.to_owned(),
        leaving: AtomicBool::new(false),
    });
    let told = Arc::clone(&engine);
    thread::spawn(move || {
        for line in io::stdin().lines().map_while(Result::ok) {
            match line.as_str() {
                "leave" => told.leaving.store(true, Ordering::SeqCst),
                _ => exit(0),
            }
        }
        exit(0);
    });
    for channel in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        thread::spawn(move || {
            let _ = engine.serve(channel);
        });
    }
    exit(0);
}

impl Engine {
    fn serve(&self, channel: TcpStream) -> io::Result<()> {
        channel.set_nodelay(true)?;
        let mut writer = channel.try_clone()?;
        let mut reader = BufReader::new(channel);
        while let Some(request) = read_message(&mut reader)? {
            read_sized(&mut reader, &request)?;
            let id = request.field("X-Attempt-Id").unwrap_or_default().to_owned();
            if request.target() == "/healthz" {
                let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\n", self.id);
                write!(writer, "{head}Content-Length: 0\r\n\r\n")?;
                continue;
            }
            if request.field("X-Target-Instance") != Some(&self.id) {
                let head = format!("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n");
                write!(
                    writer,
                    "{head}X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            let last = request.field("Last-Event-Id").unwrap_or("-");
            say(&format!("runs {id} {} last_event={last}", request.start));
            let answered = self.answer(&mut writer, &request, &id);
            let result = if answered.is_ok() { "ends" } else { "drops" };
            say(&format!("{result} {id}"));
            if !answered? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request. Returns whether the channel stays open.
    fn answer(&self, writer: &mut TcpStream, request: &Message, id: &str) -> io::Result<bool> {
        let leaving = if self.leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: {}.{id}\r\n{leaving}",
            self.id
        );
        match self.service.as_str() {
            "engine" => {
                let last = request.field("Last-Event-Id");
                let last: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
                let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                writer.write_all(format!("{head}{kind}").as_bytes())?;
                let events = if request.target().starts_with("/short/") {
                    SHORT_EVENTS
                } else {
                    EVENTS
                };
                for event in last + 1..=events {
                    sleep(EVENT_PAUSE);
                    let text = format!("id: {event}\ndata: piece {event} by {}\n\n", self.version);
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    writer.write_all(chunk.as_bytes())?;
                }
                writer.write_all(b"0\r\n\r\n")?;
                Ok(true)
            }
            "report" => {
                // Neither a length nor chunks: the answer ends with its channel.
                writer.write_all(format!("{head}\r\n").as_bytes())?;
                for piece in 1..=PIECES {
                    writer.write_all(report_piece(id, piece).as_bytes())?;
                    let is_long = request.target().ends_with("/long");
                    sleep(if is_long {
                        LONG_PIECE_PAUSE
                    } else {
                        PIECE_PAUSE
                    });
                }
                Ok(false)
            }
            _ => {
                sleep(ORDER_WORK);
                let body = format!("done {id}\n");
                let length = body.len();
                let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
                writer.write_all(text.as_bytes())?;
                Ok(true)
            }
        }
    }
}

fn report_piece(id: &str, piece: u64) -> String {
    format!("line {piece} of the report for {id}\n")
}

fn whole_report(id: &str) -> String {
    (1..=PIECES).map(|piece| report_piece(id, piece)).collect()
}

// ---------------------------------------------------------------------------------------------
// The record

/// What was sent, answered and run, with the seconds since the start of the case.
#[derive(Debug)]
struct Record {
    begun: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    fn add(&self, line: impl Into<String>) {
        let at = self.begun.elapsed();
        self.lines.lock().expect("record").push((at, line.into()));
    }

    /// Times of the lines that hold this text.
    fn times_of(&self, text: &str) -> Vec<Duration> {
        let lines = self.lines.lock().expect("record");
        let found = lines.iter().filter(|(_, line)| line.contains(text));
        found.map(|(at, _)| *at).collect()
    }

    fn wait_for(&self, text: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if !self.times_of(text).is_empty() {
                return true;
            }
            sleep(ms(5));
        }
        false
    }

    fn text(&self) -> String {
        let lines = self.lines.lock().expect("record");
        let mut text = String::new();
        for (at, line) in lines.iter() {
            let _ = writeln!(text, "{:8.3} s  {line}", at.as_secs_f64());
        }
        text
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Debug, Default, Clone)]
struct StoreCopy {
    items: BTreeMap<String, (String, u64)>,
    revision: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    now: StoreCopy,
    history: Vec<(u64, String, Option<String>)>,
    oldest: u64,
    era: u64,
    is_away: bool,
}

#[derive(Debug)]
struct Store {
    address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut state = StoreState {
            oldest: 101,
            era: 1,
            ..StoreState::default()
        };
        state.now.revision = 100;
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(state),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for channel in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = store.serve(channel);
                });
            }
        });
        store
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.state.lock().expect("store");
        state.now.revision += 1;
        let revision = state.now.revision;
        match &value {
            Some(value) => {
                let item = (value.clone(), revision);
                state.now.items.insert(key.to_owned(), item);
            }
            None => {
                state.now.items.remove(key);
            }
        }
        let what = if value.is_some() { "holds" } else { "removed" };
        self.record
            .add(format!("store: {what} {key} at revision {revision}"));
        state.history.push((revision, key.to_owned(), value));
        self.changed.notify_all();
    }

    fn copy(&self) -> StoreCopy {
        self.state.lock().expect("store").now.clone()
    }

    /// While it is away it answers nothing and closes each channel.
    fn set_away(&self, is_away: bool) {
        self.record.add(format!("store: away={is_away}"));
        self.state.lock().expect("store").is_away = is_away;
        self.changed.notify_all();
    }

    /// Comes back from a copy: revisions go back and are given out again.
    fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock().expect("store");
        state.era += 1;
        state.oldest = copy.revision + 1;
        state.history.clear();
        self.record.add(format!(
            "store: restored to revision {}, era {}, with {:?}",
            copy.revision,
            state.era,
            copy.items.keys().collect::<Vec<_>>()
        ));
        state.now = copy;
        self.changed.notify_all();
    }

    fn serve(&self, channel: TcpStream) -> io::Result<()> {
        channel.set_nodelay(true)?;
        let mut writer = channel.try_clone()?;
        let mut reader = BufReader::new(channel);
        while let Some(request) = read_message(&mut reader)? {
            let Some((status, body)) = self.answer(request.target()) else {
                return Ok(());
            };
            let era = self.state.lock().expect("store").era;
            let length = body.len();
            write!(
                writer,
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            )?;
        }
        Ok(())
    }

    fn answer(&self, target: &str) -> Option<(u16, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decoded(value)))
            .collect();
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        match path {
            "/api/kv-range" => {
                let state = self.state.lock().expect("store");
                if state.is_away {
                    return None;
                }
                let items = state.now.items.iter();
                let items: Vec<String> = items
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, (value, revision))| item(key, Some(value), *revision))
                    .collect();
                let (items, as_of) = (items.join(","), state.now.revision);
                let body = format!("{{\"items\":[{items}],\"truncated\":false,\"as_of\":{as_of}}}");
                Some((200, body))
            }
            "/api/kv-watch" => {
                let after = query.get("after_revision")?.parse().ok()?;
                let wait = query.get("wait_ms")?.parse().ok()?;
                self.watch(&prefix, after, ms(wait))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("store");
        let era = state.era;
        loop {
            // A watch that waits is cut by an outage and by a restore.
            if state.is_away || state.era != era {
                return None;
            }
            if after + 1 < state.oldest || after > state.now.revision {
                return Some((410, "{}".to_owned()));
            }
            let news = state.history.iter();
            let news: Vec<String> = news
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| item(key, value.as_deref(), *revision))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let (events, as_of) = (news.join(","), state.now.revision);
                let body = format!("{{\"events\":[{events}],\"as_of\":{as_of}}}");
                return Some((200, body));
            }
            state = self.changed.wait_timeout(state, left).expect("store").0;
        }
    }
}

fn item(key: &str, value: Option<&str>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\
             \"lease\":1}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for place in 0..3 {
            bits = bits << 8 | u32::from(group.get(place).copied().unwrap_or(0));
        }
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
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

fn route(prefix: &str, kind: &str, service: &str, attempts: u32, resumable: bool) -> String {
    format!(
        "{{\"name\":\"r-{service}-{kind}\",\"host\":\"{ROUTE_HOST}\",\"path_prefix\":\"{prefix}\",\
         \"type\":\"{kind}\",\"timeout_ms\":15000,\"latency_goal_ms\":800,\"priority\":1,\
         \"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\
         \"sticky\":{resumable},\"resumable\":{resumable},\"gap_target_ms\":250}}"
    )
}

/// Version 7 has two keys, version 8 only one of them.
fn configuration(version: u64) -> String {
    let keys = if version == 7 {
        format!("\"{KEY}\",\"{REVOKED_KEY}\"")
    } else {
        format!("\"{KEY}\"")
    };
    let routes = [
        route("/stream/", "streaming", "engine", 2, true),
        route("/short/", "streaming", "engine", 2, true),
        route("/read/", "safe", "report", 2, false),
        route("/write/", "unsafe", "report", 1, false),
        route("/order/", "unsafe", "order", 1, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"engine\",\"health_path\":\"/healthz\",\"max_connections\":240,\
         \"engine\":{{\"slots\":32,\"kv_capacity\":529507}}}},\
         {{\"name\":\"report\",\"health_path\":\"/healthz\",\"max_connections\":110}},\
         {{\"name\":\"order\",\"health_path\":\"/healthz\",\"max_connections\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":450000}},\
         \"tenants\":[{{\"name\":\"nadi\",\"api_keys\":[{keys}],\"priority\":1}}]}}",
        routes.join(",")
    )
}

// ---------------------------------------------------------------------------------------------
// The deployment: store, engines, gateways

/// An engine's process. It is killed when this is dropped.
struct EngineProcess {
    id: String,
    service: String,
    version: String,
    address: SocketAddr,
    born: u128,
    child: Child,
    orders: ChildStdin,
}

impl EngineProcess {
    fn start(record: &Arc<Record>, id: &str, service: &str, version: &str) -> Self {
        let program = env::current_exe().expect("own path");
        let mut child = Command::new(program)
            .args(["engine", id, service, version])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("an engine");
        let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let first = lines.next().expect("a line").expect("a line");
        let address = first.trim_start_matches("listening ").parse();
        let (name, record) = (
            format!("engine {id} ({service} {version})"),
            Arc::clone(record),
        );
        record.add(format!("{name}: {first}"));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.add(format!("{name}: {line}"));
            }
            record.add(format!("{name}: its process has ended"));
        });
        let orders = child.stdin.take().expect("a pipe");
        let since = std::time::UNIX_EPOCH.elapsed().expect("the time of day");
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address: address.expect("an address"),
            born: since.as_millis(),
            child,
            orders,
        }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The engine's own entry in the store.
    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"suva-a\",\"version\":\"{}\",\
             \"slots\":32,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\
             \"born\":{}}}",
            self.service, self.address, self.version, self.born
        )
    }

    fn register(&self, store: &Store) {
        store.change(&self.key(), Some(self.entry("ready")));
    }

    fn tell(&mut self, order: &str) {
        // The engine may have ended.
        let _ = writeln!(self.orders, "{order}").and_then(|()| self.orders.flush());
    }

    fn kill(&mut self, record: &Record) {
        record.add(format!("fault: SIGKILL of engine {}", self.id));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Processes of gateways that run, to be ended if the case itself does not.
static GATEWAY_IDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Addresses of a gateway.
#[derive(Debug, Clone, Copy)]
struct Gateway {
    callers: SocketAddr,
    ready: SocketAddr,
}

/// The fleet of gateways, each on a loopback address of its own.
struct Fleet {
    folder: PathBuf,
    port: u16,
    ips: Vec<Ipv4Addr>,
    store: SocketAddr,
    record: Arc<Record>,
    children: Vec<Option<Child>>,
    starts: u32,
}

impl Fleet {
    fn start(count: u8, store: &Store, record: &Arc<Record>) -> Self {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ips: Vec<Ipv4Addr> = (1..=count)
            .map(|last| Ipv4Addr::new(127, 60 + high % 60, low, last))
            .collect();
        let folder = env::temp_dir().join(format!("verbenaturn-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let port = free_port(&ips);
        let mut fleet = Self {
            folder,
            port,
            children: ips.iter().map(|_| None).collect(),
            ips,
            store: store.address,
            record: Arc::clone(record),
            starts: 0,
        };
        fleet.start_all();
        fleet
    }

    fn address(&self, gateway: usize, offset: u16) -> SocketAddr {
        SocketAddr::from((self.ips[gateway], self.port + offset))
    }

    fn callers(&self, gateway: usize) -> SocketAddr {
        self.address(gateway, 0)
    }

    fn gateways(&self) -> Vec<Gateway> {
        let gateways = 0..self.ips.len();
        gateways
            .map(|gateway| Gateway {
                callers: self.address(gateway, 0),
                ready: self.address(gateway, 1),
            })
            .collect()
    }

    /// Starts all gateways, with the settings that the template of the deploy file gives.
    fn start_all(&mut self) {
        for gateway in 0..self.ips.len() {
            let settings = self.folder.join(format!("gateway-{gateway}.json"));
            fs::write(&settings, self.settings(gateway)).expect("settings");
            let log = self.folder.join(format!("gateway-{gateway}.log"));
            let log = fs::File::options().create(true).append(true).open(log);
            let child = Command::new("target/release/verbenaturn-platform")
                .env("VERBENATURN_CONFIG", &settings)
                .stdin(Stdio::null())
                .stdout(log.expect("a log file"))
                .spawn();
            match child {
                Ok(child) => {
                    GATEWAY_IDS.lock().expect("ids").push(child.id());
                    self.children[gateway] = Some(child);
                }
                Err(fault) => {
                    eprintln!("target/release/verbenaturn-platform: {fault}");
                    exit(NOT_RUN);
                }
            }
        }
        self.starts += 1;
        self.record
            .add(format!("fleet: {} gateways started", self.ips.len()));
    }

    fn settings(&self, gateway: usize) -> String {
        let seeds: Vec<String> = self.ips.iter().map(|ip| format!("\"{ip}:1\"")).collect();
        let first = if self.starts == 0 {
            "\"first_start\":true,"
        } else {
            ""
        };
        format!(
            "{{\"host\":\"edge-{gateway}\",\"domain\":\"suva-a\",\
             \"callers\":{{\"listen\":\"{}\"}},\"readiness\":{{\"listen\":\"{}\"}},\
             \"metrics\":{{\"listen\":\"{}\"}},\
             \"peers\":{{\"listen\":\"{}\",\"seeds\":[{}]}},\"store\":{{\"address\":\"{}\"}},\
             \"gateway\":{{\"link_mbps\":1000.0,\"leave_bound_ms\":2000,\"change_bound_ms\":2000,\
             \"descriptors\":4100,\"retry_ratio\":0.2,\"retry_slack\":56,\"retry_window_s\":10,\
             {first}\"share_window_s\":4}}}}",
            self.address(gateway, 0),
            self.address(gateway, 1),
            self.address(gateway, 2),
            self.address(gateway, 3),
            seeds.join(","),
            self.store,
        )
    }

    /// Waits until all gateways are ready.
    fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut gateways = 0..self.ips.len();
        gateways.all(|gateway| {
            while Instant::now() < until {
                if is_ready(self.address(gateway, 1)) {
                    self.record
                        .add(format!("fleet: gateway {gateway} is ready"));
                    return true;
                }
                sleep(ms(20));
            }
            false
        })
    }

    /// Sends a signal to a gateway's process.
    fn signal(&self, gateway: usize, name: &str) {
        self.record
            .add(format!("fault: SIG{name} to gateway {gateway}"));
        let id = self.children[gateway].as_ref().map_or(0, Child::id);
        if id > 0 {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &id.to_string()])
                .status();
        }
    }

    fn kill_all(&mut self) {
        self.record.add("fault: SIGKILL of all gateways");
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
        }
        for child in self.children.iter_mut().flatten() {
            let _ = child.wait();
        }
        GATEWAY_IDS.lock().expect("ids").clear();
    }

    /// Lines of the gateways' logs that hold one of these texts.
    fn log_lines(&self, texts: &[&str]) -> String {
        let mut found = String::new();
        for gateway in 0..self.ips.len() {
            let log = self.folder.join(format!("gateway-{gateway}.log"));
            let log = fs::read_to_string(log).unwrap_or_default();
            for line in log.lines() {
                if texts.iter().any(|text| line.contains(text)) {
                    let _ = writeln!(found, "log of gateway {gateway}: {line}");
                }
            }
        }
        found
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the first of four ports that are free at all these addresses.
fn free_port(ips: &[Ipv4Addr]) -> u16 {
    for _ in 0..100 {
        let Ok(probe) = TcpListener::bind((ips[0], 0)) else {
            continue;
        };
        let port = probe.local_addr().expect("an address").port();
        drop(probe);
        let is_free = port < 65_000
            && ips.iter().all(|ip| {
                (0..4).all(|offset| {
                    TcpListener::bind((*ip, port + offset)).is_ok()
                        && UdpSocket::bind((*ip, port + offset)).is_ok()
                })
            });
        if is_free {
            return port;
        }
    }
    eprintln!("no free ports");
    exit(NOT_RUN);
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut channel) = TcpStream::connect_timeout(&address, ms(200)) else {
        return false;
    };
    let _ = channel.set_read_timeout(Some(ms(500)));
    if channel
        .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
        .is_err()
    {
        return false;
    }
    let answer = read_message(&mut BufReader::new(channel));
    answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
}

// ---------------------------------------------------------------------------------------------
// Callers

/// An answer as a caller got it.
#[derive(Debug, Default)]
struct Answer {
    /// 0 if the channel ended without an answer.
    status: u16,
    retry_after: Option<f64>,
    body: String,
    /// Whether the whole answer came, by its length or chunks.
    is_whole: bool,
    is_signed: bool,
}

static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

fn call_id(name: &str) -> String {
    format!("{name}-{}", NEXT_CALL.fetch_add(1, Ordering::SeqCst))
}

/// Sends one request on a new channel and reads the answer. `None` if no channel was made.
fn call(
    gateway: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    fields: &str,
    left: Duration,
) -> Option<Answer> {
    call_with_key(gateway, method, path, id, fields, left, KEY)
}

/// As [`call`], with this key.
fn call_with_key(
    gateway: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    fields: &str,
    left: Duration,
    key: &str,
) -> Option<Answer> {
    let mut channel = TcpStream::connect_timeout(&gateway, ms(1_000)).ok()?;
    // A stream that is silent for too long is abandoned.
    let is_stream = path.starts_with("/stream/") || path.starts_with("/short/");
    let gap = if is_stream {
        left.min(LONGEST_GAP)
    } else {
        left
    };
    let _ = channel.set_read_timeout(Some(gap));
    let body = if method == "POST" {
        "{\"night\":12}"
    } else {
        ""
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nAuthorization: Token {key}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        left.as_millis(),
        body.len()
    );
    let mut answer = Answer::default();
    if channel.write_all(text.as_bytes()).is_err() {
        return Some(answer);
    }
    // What arrived before a break counts, so errors only end the reading.
    let _ = read_answer(&mut BufReader::new(channel), &mut answer);
    Some(answer)
}

fn read_answer(reader: &mut impl BufRead, answer: &mut Answer) -> io::Result<()> {
    let Some(head) = read_message(reader)? else {
        return Ok(());
    };
    answer.status = head.status();
    let wait = head.field("Retry-After");
    answer.retry_after = wait.and_then(|text| text.parse().ok());
    answer.is_signed = head.field("X-Engine-Signature").is_some();
    let chunked = head.field("Transfer-Encoding");
    if chunked.is_none_or(|coding| !coding.eq_ignore_ascii_case("chunked")) {
        answer.body = read_sized(reader, &head)?;
        answer.is_whole = head.field("Content-Length").is_some();
        return Ok(());
    }
    loop {
        let Some(size) = read_line(reader)? else {
            return Ok(());
        };
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return Ok(());
        };
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        answer.body.push_str(&String::from_utf8_lossy(&chunk));
        if read_line(reader)?.is_none() {
            return Ok(());
        }
        if size == 0 {
            answer.is_whole = true;
            return Ok(());
        }
    }
}

/// The events that a caller has of one stream: id and version that wrote it.
type Events = Vec<(u64, String)>;

fn events_of(body: &str) -> Events {
    let mut events = Vec::new();
    // The text after the last blank line is no whole event.
    for event in body
        .split_inclusive("\n\n")
        .filter(|text| text.ends_with("\n\n"))
    {
        let mut lines = event.lines();
        let id = lines.find_map(|line| line.strip_prefix("id: "));
        let Some(id) = id.and_then(|id| id.parse().ok()) else {
            continue;
        };
        let version = event.trim_end().rsplit(' ').next().unwrap_or_default();
        events.push((id, version.to_owned()));
    }
    events
}

/// Asks for one stream, and takes it up again at the next gateway when its channel breaks.
///
/// Gateways that are not ready get no new channel, as at the platform's ingress.
fn call_stream(
    record: &Record,
    gateways: &[Gateway],
    name: usize,
    first: usize,
    path: &str,
    most_tries: usize,
) -> (Events, bool) {
    let until = Instant::now() + ms(15_000);
    let fields = format!(
        "X-Model: m\r\nX-Token-Usage: 826,400\r\nX-Prefix-Hash: 5c1e07a2:198,{:x}:628\r\n",
        0x00ab_0000 + name
    );
    let mut events = Events::new();
    let mut begun_by: Option<String> = None;
    let mut tries = 0;
    let mut at = first;
    while tries < most_tries {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let Gateway { callers, ready } = gateways[at % gateways.len()];
        at += 1;
        if !is_ready(ready) {
            sleep(ms(50));
            continue;
        }
        let id = call_id(&format!("stream-{name}"));
        let mut all = fields.clone();
        if let (Some((last, _)), Some(first)) = (events.last(), &begun_by) {
            let _ = write!(all, "Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        }
        let Some(answer) = call(callers, "POST", path, &id, &all, left) else {
            // No channel: the request was not sent, so this is no try.
            sleep(ms(100));
            continue;
        };
        tries += 1;
        let got = events_of(&answer.body);
        record.add(format!(
            "caller: {id} to {callers} [{}] gets {} whole={} events={:?}..{:?} by {:?}",
            all.replace("\r\n", "; "),
            answer.status,
            answer.is_whole,
            got.first().map(|(id, _)| id),
            got.last().map(|(id, _)| id),
            versions_of(&got)
        ));
        if !got.is_empty() {
            begun_by.get_or_insert(id);
        }
        events.extend(got);
        if answer.is_whole && answer.status == 200 {
            return (events, true);
        }
        if answer.status == 503 || answer.status == 429 {
            sleep(Duration::from_secs_f64(answer.retry_after.unwrap_or(0.3)));
        }
    }
    (events, false)
}

fn versions_of(events: &Events) -> Vec<&str> {
    let mut versions: Vec<&str> = events.iter().map(|(_, by)| by.as_str()).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

// ---------------------------------------------------------------------------------------------
// Cases

fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Seven engines of a service: one of them is less than the usual share of 0.15 for a crash or for
/// leaving.
fn seven_engines(record: &Arc<Record>, service: &str) -> Vec<EngineProcess> {
    (1..=7)
        .map(|number| EngineProcess::start(record, &format!("i-a{number}"), service, "v1"))
        .collect()
}

/// Two releases replace one engine each, so that all engines are replaced; then all gateways are
/// killed and start again, and the callers take their streams up.
fn case_versions(record: &Arc<Record>) -> (i32, String) {
    let store = Store::start(record);
    store.change("op/config", Some(configuration(7)));
    let old: Vec<EngineProcess> = ["i-a1", "i-a2"]
        .map(|id| EngineProcess::start(record, id, "engine", "v1"))
        .into();
    for engine in &old {
        engine.register(&store);
    }
    let mut fleet = Fleet::start(3, &store, record);
    if !fleet.wait_ready(ms(10_000)) {
        return (NOT_RUN, "gateways did not become ready".to_owned());
    }
    sleep(ms(1_000));
    let gateways = fleet.gateways();
    let streams: Vec<JoinHandle<(Events, bool)>> = (0..9)
        .map(|name| {
            let (record, gateways) = (Arc::clone(record), gateways.clone());
            thread::spawn(move || call_stream(&record, &gateways, name, name, "/stream/2f", 3))
        })
        .collect();
    sleep(ms(700));
    let mut old = old;
    let mut new = Vec::new();
    for (engine, id) in old.iter_mut().zip(["i-b1", "i-b2"]) {
        // The new engine starts first; the old one never reports `draining`: its entry is removed,
        // and it serves on for longer than `drain_ms`.
        let fresh = EngineProcess::start(record, id, "engine", "v2");
        fresh.register(&store);
        new.push(fresh);
        sleep(ms(300));
        engine.tell("leave");
        store.change(&engine.key(), None);
        sleep(ms(500));
    }
    if has_trouble() {
        fleet.kill_all();
        sleep(ms(500));
        fleet.start_all();
    }
    let results: Vec<(Events, bool)> = streams
        .into_iter()
        .map(|stream| stream.join().unwrap_or_default())
        .collect();
    drop(old);
    let mixed = results
        .iter()
        .filter(|(events, _)| versions_of(events).len() > 1)
        .count();
    let begun = results.iter().filter(|(events, _)| !events.is_empty());
    let begun = begun.count();
    let whole = results.iter().filter(|(_, is_whole)| *is_whole).count();
    let verdict = format!(
        "{begun} of 9 streams began, {whole} came whole, {mixed} hold events of two versions \
         (more than two break ORDER)\n{}",
        fleet.log_lines(&["takes up", "goes on", "in force"])
    );
    if begun < 9 {
        return (NOT_RUN, verdict);
    }
    (if mixed > 2 { BROKEN } else { HELD }, verdict)
}

/// One gateway stands still. Meanwhile a release begins, and the callers of the gateway's streams
/// abandon them and take them up at the other gateways.
fn case_frozen(record: &Arc<Record>) -> (i32, String) {
    let store = Store::start(record);
    store.change("op/config", Some(configuration(7)));
    let mut old: Vec<EngineProcess> = seven_engines(record, "engine");
    for engine in &old {
        engine.register(&store);
    }
    let fleet = Fleet::start(10, &store, record);
    if !fleet.wait_ready(ms(10_000)) {
        return (NOT_RUN, "gateways did not become ready".to_owned());
    }
    sleep(ms(1_000));
    let gateways = fleet.gateways();
    let streams: Vec<JoinHandle<(Events, bool)>> = (0..24)
        .map(|name| {
            let record = Arc::clone(record);
            // The first try goes to the first gateway, the others to the rest.
            let rest = gateways[1 + name % 9];
            let gateways = vec![gateways[0], rest, rest, rest, rest, rest];
            thread::spawn(move || call_stream(&record, &gateways, name, 0, "/stream/2f", 3))
        })
        .collect();
    sleep(ms(1_000));
    if has_trouble() {
        fleet.signal(0, "STOP");
    }
    let stopped = Instant::now();
    sleep(ms(1_000));
    let fresh = EngineProcess::start(record, "i-b1", "engine", "v2");
    fresh.register(&store);
    sleep(ms(300));
    old[0].tell("leave");
    store.change(&old[0].key(), Some(old[0].entry("draining")));
    // New streams at the gateways that run, for as long as the others are taken up.
    let begins: Vec<JoinHandle<(Events, bool)>> = (100..124)
        .map(|name| {
            let (record, gateways) = (Arc::clone(record), gateways[1..].to_vec());
            thread::spawn(move || {
                sleep(ms(100) * (name as u32 - 100));
                call_stream(&record, &gateways, name, name, "/short/2f", 1)
            })
        })
        .collect();
    sleep((stopped + ms(4_000)).saturating_duration_since(Instant::now()));
    if has_trouble() {
        fleet.signal(0, "CONT");
    }
    let results = streams.into_iter().filter_map(|stream| stream.join().ok());
    let results: Vec<(Events, bool)> = results.collect();
    let begins = begins.into_iter().filter_map(|stream| stream.join().ok());
    let new = begins.filter(|(events, _)| !events.is_empty()).count();
    let text = record.text();
    let taken_up = (0..24).filter(|name| {
        let mut tries = text.lines();
        tries.any(|line| line.contains(&format!(": stream-{name}-")) && line.contains("Resumes"))
    });
    let taken_up: Vec<usize> = taken_up.collect();
    let went_on = taken_up.iter().filter(|name| {
        let (events, _) = &results[**name];
        events.last().is_some_and(|(last, _)| *last == EVENTS)
    });
    let went_on = went_on.count();
    let mixed = results
        .iter()
        .filter(|(events, _)| versions_of(events).len() > 1)
        .count();
    let verdict = format!(
        "{} of 24 streams were taken up at the other gateways and {went_on} of them went on; {new} of \
         24 new streams began there (12 or more taken up, and a share under half of the latter, break \
         LOST); {mixed} hold events of two versions\n{}",
        taken_up.len(),
        fleet.log_lines(&["takes up", "goes on"])
    );
    if new < 20 || results.iter().any(|(events, _)| events.is_empty()) {
        return (NOT_RUN, verdict);
    }
    let is_broken = taken_up.len() >= 12 && 2 * went_on * 24 < new * taken_up.len();
    (if is_broken { BROKEN } else { HELD }, verdict)
}

/// Why an engine's process ends while it writes answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineEnd {
    /// It crashes.
    Crash,
    /// It leaves: it reports `draining` and exits a little after `drain_ms`.
    Leaving,
}

/// An engine's process ends while it writes answers that have neither a length nor chunks.
fn case_unframed(record: &Arc<Record>, end: EngineEnd) -> (i32, String) {
    let store = Store::start(record);
    store.change("op/config", Some(configuration(7)));
    let mut engines: Vec<EngineProcess> = seven_engines(record, "report");
    for engine in &engines {
        engine.register(&store);
    }
    let fleet = Fleet::start(2, &store, record);
    if !fleet.wait_ready(ms(10_000)) {
        return (NOT_RUN, "gateways did not become ready".to_owned());
    }
    sleep(ms(1_000));
    let calls: Vec<JoinHandle<(String, Option<Answer>)>> = (0..42)
        .map(|number| {
            let gateway = fleet.callers(number % 2);
            let record = Arc::clone(record);
            let (method, path) = match (number % 4 < 2, end) {
                (true, EngineEnd::Crash) => ("GET", "/read/2f"),
                (false, EngineEnd::Crash) => ("POST", "/write/2f"),
                (true, EngineEnd::Leaving) => ("GET", "/read/long"),
                (false, EngineEnd::Leaving) => ("POST", "/write/long"),
            };
            thread::spawn(move || {
                let id = call_id(&path[1..5]);
                record.add(format!("caller: {id} {method} {path} sent to {gateway}"));
                let answer = call(gateway, method, path, &id, "", ms(10_000));
                record.add(format!("caller: {id} gets {answer:?}"));
                (id, answer)
            })
        })
        .collect();
    let runs_there = record.wait_for("engine i-a1 (report v1): runs", ms(5_000));
    sleep(PIECE_PAUSE * 8);
    if has_trouble() && end == EngineEnd::Crash {
        engines[0].kill(record);
    }
    if has_trouble() && end == EngineEnd::Leaving {
        engines[0].tell("leave");
        store.change(&engines[0].key(), Some(engines[0].entry("draining")));
        sleep(ms(2_500));
        record.add("engine i-a1 exits");
        engines[0].tell("exit");
    }
    let answers: Vec<(String, Option<Answer>)> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    let (mut short, mut whole, mut failed) = (0, 0, 0);
    for (id, answer) in &answers {
        match answer {
            Some(answer) if (200..300).contains(&answer.status) && answer.is_whole => {
                if answer.body == whole_report(id) {
                    whole += 1;
                } else {
                    short += 1;
                }
            }
            _ => failed += 1,
        }
    }
    let verdict = format!(
        "{whole} answers are the engine's whole body, {short} look whole, are signed and are not \
         (any breaks MIXED), {failed} failed"
    );
    if !runs_there || answers.len() < 42 {
        return (NOT_RUN, verdict);
    }
    (if short > 0 { BROKEN } else { HELD }, verdict)
}

/// Callers that send orders until they are told to stop; they can be paused.
struct OrderLoad {
    goes_on: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl OrderLoad {
    fn start(fleet: &Fleet, record: &Arc<Record>) -> Self {
        let goes_on = Arc::new(AtomicBool::new(true));
        let paused = Arc::new(AtomicBool::new(false));
        let callers = (0..16).map(|number| {
            let gateway = fleet.callers(number % 2);
            let (goes_on, paused) = (Arc::clone(&goes_on), Arc::clone(&paused));
            let record = Arc::clone(record);
            thread::spawn(move || {
                while goes_on.load(Ordering::SeqCst) {
                    if !paused.load(Ordering::SeqCst) {
                        let id = call_id("order");
                        let answer = call(gateway, "POST", "/order/2f", &id, "", ms(1_500));
                        let status = answer.map_or(0, |answer| answer.status);
                        record.add(format!("caller: {id} to {gateway} gets {status}"));
                    }
                    sleep(ms(60));
                }
            })
        });
        Self {
            callers: callers.collect(),
            goes_on,
            paused,
        }
    }

    fn pause(&self, is_paused: bool) {
        self.paused.store(is_paused, Ordering::SeqCst);
    }

    fn end(self) {
        self.goes_on.store(false, Ordering::SeqCst);
        for caller in self.callers {
            let _ = caller.join();
        }
    }
}

/// Judges the requests that reached engine i-a1, whose leaving the store acknowledged at `left`.
fn judge_leaving(record: &Record, fleet: &Fleet, left: Duration) -> (i32, String) {
    let runs = record.times_of("engine i-a1 (order v1): runs");
    let before = runs.iter().filter(|at| **at < left).count();
    let bound = left + ms(2_000);
    let within = runs.iter().filter(|at| **at >= left && **at < bound);
    let within = within.count();
    let late = runs.iter().filter(|at| **at >= bound).count();
    let verdict = format!(
        "engine i-a1 got {before} requests before the store acknowledged at {:.3} s that it \
         leaves, {within} within drain_ms of that and {late} later (any breaks DRAIN)\n{}",
        left.as_secs_f64(),
        fleet.log_lines(&["store:", "peers: endpoints", "said=leaving"])
    );
    if before == 0 {
        return (NOT_RUN, verdict);
    }
    (if late > 0 { BROKEN } else { HELD }, verdict)
}

/// The store loses the answer to an engine's heartbeat and does it late. Long after that, with the
/// store stable again, the engine reports `draining`; then the heartbeat is done.
fn case_late_write(record: &Arc<Record>) -> (i32, String) {
    let store = Store::start(record);
    store.change("op/config", Some(configuration(7)));
    let mut engines: Vec<EngineProcess> = seven_engines(record, "order");
    for engine in &engines {
        engine.register(&store);
    }
    let fleet = Fleet::start(2, &store, record);
    if !fleet.wait_ready(ms(10_000)) {
        return (NOT_RUN, "gateways did not become ready".to_owned());
    }
    sleep(ms(1_000));
    let load = OrderLoad::start(&fleet, record);
    sleep(ms(1_500));
    let sent = Instant::now();
    let wait_until = |after: u64| sleep((sent + ms(after)) - Instant::now());
    let heartbeat = |state: &str| record.add(format!("engine i-a1 sends a heartbeat: {state}"));
    heartbeat("ready (the store does not answer it)");
    // A quiet moment around its leaving: none of its answers tells that it leaves.
    wait_until(2_700);
    load.pause(true);
    wait_until(3_200);
    heartbeat("draining");
    engines[0].tell("leave");
    store.change(&engines[0].key(), Some(engines[0].entry("draining")));
    let left = record.begun.elapsed();
    wait_until(3_900);
    load.pause(false);
    // Its heartbeats 1.2 s and 2.4 s after that change nothing.
    wait_until(5_700);
    if has_trouble() {
        record.add("fault: the store does the heartbeat of 5.7 s ago");
        store.change(&engines[0].key(), Some(engines[0].entry("ready")));
    }
    wait_until(6_800);
    heartbeat("draining");
    if has_trouble() {
        store.change(&engines[0].key(), Some(engines[0].entry("draining")));
    }
    wait_until(8_000);
    load.end();
    judge_leaving(record, &fleet, left)
}

/// An engine leaves without reporting `draining`; later the store comes back from a copy made
/// before the engine's entry was removed.
fn case_restore(record: &Arc<Record>) -> (i32, String) {
    let store = Store::start(record);
    store.change("op/config", Some(configuration(7)));
    let mut engines: Vec<EngineProcess> = seven_engines(record, "order");
    for engine in &engines {
        engine.register(&store);
    }
    let fleet = Fleet::start(2, &store, record);
    if !fleet.wait_ready(ms(10_000)) {
        return (NOT_RUN, "gateways did not become ready".to_owned());
    }
    sleep(ms(1_000));
    let load = OrderLoad::start(&fleet, record);
    sleep(ms(1_500));
    let copy = store.copy();
    sleep(ms(1_000));
    // A quiet moment: no answer of the engine tells that it leaves.
    load.pause(true);
    sleep(ms(500));
    engines[0].tell("leave");
    store.change(&engines[0].key(), None);
    let left = record.begun.elapsed();
    sleep(ms(700));
    load.pause(false);
    sleep(ms(1_800));
    load.pause(true);
    sleep(ms(100));
    if has_trouble() {
        store.set_away(true);
        sleep(ms(300));
        store.restore(copy);
        store.set_away(false);
    }
    // Nobody asks until the store has been stable for longer than `stable_window_ms` again.
    sleep(ms(3_100));
    load.pause(false);
    sleep(ms(500));
    if has_trouble() {
        // The engine is silent, so its entry lapses after three heartbeats of 1.2 s.
        store.change(&engines[0].key(), None);
    }
    sleep(ms(1_000));
    load.end();
    judge_leaving(record, &fleet, left)
}

/// A key is revoked; later the store comes back from a copy made before that.
fn case_restore_key(record: &Arc<Record>) -> (i32, String) {
    let store = Store::start(record);
    store.change("op/config", Some(configuration(7)));
    let engines: Vec<EngineProcess> = seven_engines(record, "order");
    for engine in &engines {
        engine.register(&store);
    }
    let fleet = Fleet::start(2, &store, record);
    if !fleet.wait_ready(ms(10_000)) {
        return (NOT_RUN, "gateways did not become ready".to_owned());
    }
    sleep(ms(1_000));
    let ask = |count: usize| {
        let statuses = (0..count).map(|number| {
            sleep(ms(20));
            let (gateway, id) = (fleet.callers(number % 2), call_id("revoked"));
            let left = ms(1_500);
            let answer = call_with_key(gateway, "POST", "/order/2f", &id, "", left, REVOKED_KEY);
            let status = answer.map_or(0, |answer| answer.status);
            record.add(format!(
                "caller: {id} to {gateway} with the revoked key gets {status}"
            ));
            status
        });
        let served = statuses.filter(|status| *status != 401);
        served.count()
    };
    let before = ask(20);
    let copy = store.copy();
    store.change("op/config", Some(configuration(8)));
    sleep(ms(3_500));
    if has_trouble() {
        store.set_away(true);
        sleep(ms(300));
        store.restore(copy);
        store.set_away(false);
    }
    let within = ask(40);
    store.change("op/config", Some(configuration(8)));
    let after = ask(40);
    let verdict = format!(
        "requests with the revoked key that were not refused: {before} of 20 before, {within} of 40 \
         after the restore, {after} of 40 after the operator wrote again (any of these break CONFIG)\n{}",
        fleet.log_lines(&["store:"])
    );
    if before < 20 {
        return (NOT_RUN, verdict);
    }
    (if within + after > 0 { BROKEN } else { HELD }, verdict)
}

fn run_case(name: &str, folder: &str) -> ! {
    let record = Arc::new(Record {
        begun: Instant::now(),
        lines: Mutex::default(),
    });
    thread::spawn(|| {
        sleep(CASE_LIMIT);
        eprintln!("the case did not end in time");
        // Engines end when their pipe closes, gateways don't.
        for id in GATEWAY_IDS.lock().expect("ids").iter() {
            let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
        }
        exit(NOT_RUN);
    });
    record.add(format!("case {name}, trouble={}", has_trouble()));
    let (code, verdict) = match name {
        "versions" => case_versions(&record),
        "unframed" => case_unframed(&record, EngineEnd::Crash),
        "unframed-leaving" => case_unframed(&record, EngineEnd::Leaving),
        "frozen" => case_frozen(&record),
        "late-write" => case_late_write(&record),
        "restore-key" => case_restore_key(&record),
        "restore" => case_restore(&record),
        _ => (NOT_RUN, "no such case".to_owned()),
    };
    let text = format!("{}\nexit {code}: {verdict}\n", record.text());
    if let Err(fault) = fs::write(PathBuf::from(folder).join("record.txt"), text) {
        eprintln!("record.txt: {fault}");
        exit(NOT_RUN);
    }
    println!(
        "exit {code}: {}",
        verdict.lines().next().unwrap_or_default()
    );
    exit(code);
}

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["engine", id, service, version] => run_engine(id, service, version),
        ["case", name, folder] => run_case(name, folder),
        _ => exit(NOT_RUN),
    }
}
