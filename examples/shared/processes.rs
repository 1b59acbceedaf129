//! Routers as separate processes, each on its own loopback address.

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
/// Longest wait for a process to start or to exit.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// A fleet of router processes with its sources.
pub struct ProcessFleet {
    /// Stand-in for the configuration service and the host list.
    pub sources: StandinSources,
    /// The router processes.
    pub routers: Vec<RouterProcess>,
    folder: PathBuf,
}

/// One router process; it is killed on drop.
pub struct RouterProcess {
    /// Address of its caller listener.
    pub callers: SocketAddr,
    child: Child,
}

/// Returns a loopback address that no other test process uses, so that ports can be fixed. A free
/// port that is probed and released could be taken before the router listens on it.
fn loopback_address_of(index: usize) -> Ipv4Addr {
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
    /// Starts `count` routers of `program` and publishes nothing yet.
    pub async fn start(program: &str, count: usize) -> Self {
        Self::start_with(program, count, 60).await
    }

    /// Like `start`, with a shutdown deadline in seconds.
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
                "callers": {"listen": SocketAddr::from((loopback_address_of(index), CALLER_PORT))},
                "peers": {
                    "listen": SocketAddr::from((loopback_address_of(index), PEER_PORT)),
                    "key_files": [key],
                },
                "admin": {
                    "listen": SocketAddr::from((loopback_address_of(index), ADMIN_PORT)),
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
                callers: SocketAddr::from((loopback_address_of(index), CALLER_PORT)),
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

    /// Lists `count` routers and marks the router with the index `leaving` as leaving.
    pub fn list_hosts(&self, count: usize, leaving: Option<usize>) {
        let rows: Vec<_> = (0..count)
            .map(|index| {
                json!({
                    "host": host(index),
                    "address": SocketAddr::from((loopback_address_of(index), PEER_PORT)),
                    "domain": domain(index),
                    "leaving": leaving == Some(index),
                })
            })
            .collect();
        let list = json!({"routers": rows, "endpoints": []});
        self.sources.list_hosts(list.to_string());
    }

    /// Waits until each of `routers` answers a call of `team`; panics after a minute.
    pub async fn wait_serving(&self, routers: &[SocketAddr], team: &str) {
        for router in routers {
            let call = Call::new(&key_of(team), "GET", "/portal/ready", "");
            let serves = async {
                while call.send(*router).await.status() != Some(StatusCode::OK) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            let waited = tokio::time::timeout(WAIT_TIMEOUT, serves).await;
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
    /// Returns the process id, or 0 after the process has exited.
    pub fn id(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Kills the process with SIGKILL.
    pub async fn kill(&mut self) {
        self.child.kill().await.unwrap();
    }

    /// Sends SIGTERM, which makes the router drain and exit.
    pub async fn terminate(&self) {
        self.signal("-TERM").await;
    }

    /// Sends SIGHUP, which makes the router reload its settings.
    pub async fn signal_reload(&self) {
        self.signal("-HUP").await;
    }

    async fn signal(&self, name: &str) {
        let id = self.child.id().expect("the process is running").to_string();
        let sent = Command::new("kill").args([name, &id]).status().await;
        assert!(sent.unwrap().success());
    }

    /// Waits for the process to exit; panics after a minute.
    pub async fn ended(&mut self) -> ExitStatus {
        let ended = tokio::time::timeout(WAIT_TIMEOUT, self.child.wait()).await;
        ended.expect("the process did not exit in time").unwrap()
    }
}
