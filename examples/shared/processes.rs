//! Routers as processes of their own, each on a loopback number of its own.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::process::Child;
use tokio::process::Command;

use super::caller::Call;
use super::site::key_of;
use super::sources::StandinSources;

const CALLER_PORT: u16 = 8_080;
const PEER_PORT: u16 = 7_400;
const ADMIN_PORT: u16 = 7_401;
/// Longest wait for a process to start, or to end.
const PATIENCE: Duration = Duration::from_mins(1);

/// A fleet of processes.
pub struct ProcessFleet {
    /// The sources.
    pub sources: StandinSources,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    folder: PathBuf,
}

/// One router process. Killed when it is dropped.
pub struct RouterProcess {
    /// Where callers reach it.
    pub callers: SocketAddr,
    child: Child,
}

/// A loopback number that no other test process uses, so that ports can be fixed: a port that
/// is picked free and given back could be taken before the router listens on it.
fn number_of(index: usize) -> Ipv4Addr {
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 100 + high % 100, low, u8::try_from(index + 1).unwrap())
}

fn host(index: usize) -> String {
    format!("entry-{index}")
}

fn domain(index: usize) -> String {
    format!("suva-{}", index % 3)
}

impl ProcessFleet {
    /// Starts so many routers of `program`; nothing is published yet.
    pub async fn start(program: &str, count: usize) -> Self {
        Self::start_with(program, count, 60).await
    }

    /// The same, with so many seconds for a shutdown.
    pub async fn start_with(program: &str, count: usize, deadline_s: u64) -> Self {
        let sources = StandinSources::start(None).await.unwrap();
        let folder = std::env::temp_dir().join(format!("verbenaturn-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let key = folder.join("key");
        fs::write(&key, "a key that all routers of this fleet share\n").unwrap();
        let routers = (0..count).map(|index| {
            let settings = folder.join(format!("{}.json", host(index)));
            let text = json!({
                "host": host(index),
                "domain": domain(index),
                "callers": {"listen": SocketAddr::from((number_of(index), CALLER_PORT))},
                "peers": {
                    "listen": SocketAddr::from((number_of(index), PEER_PORT)),
                    "key_files": [key],
                },
                "admin": {
                    "listen": SocketAddr::from((number_of(index), ADMIN_PORT)),
                    "credential_file": key,
                },
                "sources": {
                    "config_url": sources.config_url(),
                    "hosts_url": sources.hosts_url(),
                    "timing": {"hosts_poll_ms": 200},
                },
                "log": {"level": "warn"},
                "shutdown": {"deadline_s": deadline_s, "linger_ms": 1_000},
            });
            fs::write(&settings, text.to_string()).unwrap();
            let child = Command::new(program)
                .arg("--settings")
                .arg(&settings)
                .stdin(Stdio::null())
                .kill_on_drop(true)
                .spawn()
                .unwrap();
            RouterProcess {
                callers: SocketAddr::from((number_of(index), CALLER_PORT)),
                child,
            }
        });
        let fleet = Self {
            routers: routers.collect(),
            sources,
            folder,
        };
        fleet.list_hosts(count, None);
        fleet
    }

    /// Lists so many routers, `leaving` as leaving.
    pub fn list_hosts(&self, count: usize, leaving: Option<usize>) {
        let rows: Vec<_> = (0..count)
            .map(|index| {
                json!({
                    "host": host(index),
                    "address": SocketAddr::from((number_of(index), PEER_PORT)),
                    "domain": domain(index),
                    "leaving": leaving == Some(index),
                })
            })
            .collect();
        let list = json!({"routers": rows, "endpoints": []});
        self.sources.list_hosts(list.to_string());
    }

    /// Waits until every one of `routers` answers a call of `team`.
    pub async fn wait_serving(&self, routers: &[SocketAddr], team: &str) {
        for router in routers {
            let call = Call::new(&key_of(team), "GET", "/portal/ready", "");
            let serves = async {
                while call.send(*router).await.status() != Some(StatusCode::OK) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            let waited = tokio::time::timeout(PATIENCE, serves).await;
            waited.unwrap_or_else(|_| panic!("{router} does not serve {team}"));
        }
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl RouterProcess {
    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Kills it at once.
    pub async fn kill(&mut self) {
        self.child.kill().await.unwrap();
    }

    /// Asks it to drain and end.
    pub async fn terminate(&self) {
        self.signal("-TERM").await;
    }

    /// Tells it that its settings changed.
    pub async fn hang_up(&self) {
        self.signal("-HUP").await;
    }

    async fn signal(&self, name: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args([name, &id]).status().await;
        assert!(sent.unwrap().success());
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> ExitStatus {
        let ended = tokio::time::timeout(PATIENCE, self.child.wait()).await;
        ended.expect("it does not end").unwrap()
    }
}
