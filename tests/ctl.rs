//! Runs `verbenactl` as an operator does, against two routers with stand-in endpoints.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::process::Command;

#[path = "../examples/shared/mod.rs"]
mod shared;

use self::shared::endpoint::EndpointRole;
use self::shared::endpoint::StandinEndpoint;
use self::shared::fleet::LocalFleet;
use self::shared::site::Site;
use self::shared::site::key_of;

const CREDENTIAL: &str = "what operators show";

/// A fleet with admin listeners, and a directory with the keys and the publication.
struct OperatorFixture {
    fleet: LocalFleet,
    admins: Vec<SocketAddr>,
    directory: PathBuf,
    _engine: StandinEndpoint,
    _portal: StandinEndpoint,
}

/// Result of a run of the tool.
#[derive(Debug)]
struct ToolRun {
    code: Option<i32>,
    out: String,
    err: String,
}

impl ToolRun {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

async fn tool(arguments: &[&str]) -> ToolRun {
    let output = Command::new(env!("CARGO_BIN_EXE_verbenactl"))
        .args(arguments)
        .output()
        .await
        .unwrap();
    ToolRun {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

impl OperatorFixture {
    async fn start(name: &str) -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let engine = EndpointRole::Engine {
            model: "luma".to_owned(),
            token: Duration::from_millis(1),
            resumes: false,
            checks_fence: true,
        };
        let engine = StandinEndpoint::start(listen, engine, 4).await.unwrap();
        let portal = EndpointRole::Plain {
            pool: "portal".to_owned(),
            work: Duration::ZERO,
        };
        let portal = StandinEndpoint::start(listen, portal, 4).await.unwrap();
        let site = Site::default()
            .team("nadi", 1)
            .endpoint("engine-1", &engine, 4)
            .endpoint("portal-1", &portal, 4);
        let fleet = LocalFleet::start(2, &site).await;
        let mut admins = Vec::new();
        for router in &fleet.routers {
            admins.push(router.serve_admin(listen, CREDENTIAL).await.unwrap());
        }
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("admin.key"), format!("{CREDENTIAL}\n")).unwrap();
        std::fs::write(directory.join("nadi.key"), key_of("nadi")).unwrap();
        let publication = site.publication(1).to_string();
        std::fs::write(directory.join("publication.json"), publication).unwrap();
        Self {
            fleet,
            admins,
            directory,
            _engine: engine,
            _portal: portal,
        }
    }

    fn path(&self, file: &str) -> String {
        self.directory.join(file).display().to_string()
    }

    /// Runs the tool with the admin listener of one router, or those of all routers.
    async fn ask(&self, admin: Option<usize>, arguments: &[&str]) -> ToolRun {
        let admins: Vec<String> = match admin {
            Some(index) => vec![self.admins[index].to_string()],
            None => self.admins.iter().map(ToString::to_string).collect(),
        };
        let (admins, key) = (admins.join(","), self.path("admin.key"));
        let mut all = arguments.to_vec();
        all.extend(["--admin", &admins, "--credential-file", &key]);
        tool(&all).await
    }

    async fn send(&self, arguments: &[&str]) -> ToolRun {
        let to = self.fleet.routers[0].callers.to_string();
        let key = self.path("nadi.key");
        let mut all = vec!["send", "--to", &to, "--key-file", &key, "--json"];
        all.extend(arguments);
        tool(&all).await
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_reports_and_send_work_against_a_running_fleet() {
    let fixture = OperatorFixture::start("fleet").await;
    let prompt = json!({"model": "luma", "prompt": "a night", "max_tokens": 3}).to_string();
    let sent = fixture.send(&["/v1/completions", "--data", &prompt]).await;
    assert_eq!(sent.code, Some(0), "{sent:?}");
    let logged = fixture.send(&["/portal/log", "--data", "{}"]).await;
    assert_eq!(logged.code, Some(0), "{logged:?}");
    assert_eq!(logged.json()["sends"], 2);
    assert!(logged.json()["ticket"].is_string());
    let status = fixture.ask(None, &["status", "--json"]).await;
    assert_eq!(status.code, Some(0), "{status:?}");
    let routers = status.json()["routers"].as_array().unwrap().clone();
    assert_eq!(routers.len(), 2);
    assert_eq!(routers[0]["publication"]["revision"], 1);
    assert_eq!(routers[0]["members"].as_array().unwrap().len(), 2);
    let burn = fixture
        .ask(None, &["report", "burn", "--json"])
        .await
        .json();
    let good: u64 = burn["rows"]
        .as_array()
        .unwrap()
        .iter()
        .map(|row| row["spans"]["300"]["good"].as_u64().unwrap())
        .sum();
    assert_eq!(good, 2, "{burn}");
    let page = fixture.path("burn.html");
    let plain = fixture
        .ask(None, &["report", "burn", "--html", &page])
        .await;
    assert!(plain.out.starts_with("team\tkind\t"), "{plain:?}");
    assert!(std::fs::read_to_string(&page).unwrap().contains("nadi"));
    let fairness = fixture.ask(None, &["report", "fairness", "--json"]).await;
    assert_eq!(fairness.json()["routers"].as_array().unwrap().len(), 2);
    let team = fixture.ask(None, &["team", "nadi", "--json"]).await;
    assert_eq!(team.json()["routers"][0]["pools"][0]["waiting"], 0);
    assert_eq!(fixture.ask(None, &["team", "nobody"]).await.code, Some(1));
    for part in ["teams", "endpoints", "members"] {
        let shown = fixture
            .ask(None, &["status", part, "--format", "table"])
            .await;
        assert_eq!(shown.code, Some(0), "{shown:?}");
        assert!(shown.out.lines().count() > 1, "{shown:?}");
    }
    fixture.fleet.stop().await;
}

// A publication with a fault is published. The routers must keep the last valid publication, and
// `status` must show the fault and its path, so that operators see why nothing changed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_publication_is_shown_and_the_last_good_one_stays() {
    let fixture = OperatorFixture::start("refused").await;
    let text = std::fs::read_to_string(fixture.path("publication.json")).unwrap();
    let next = text.replace("\"share\":1,\"template\"", "\"share\":0,\"template\"");
    assert_ne!(next, text);
    std::fs::write(fixture.path("next.json"), &next).unwrap();
    let checked = tool(&["check", &fixture.path("next.json")]).await;
    assert_eq!(checked.code, Some(1));
    assert!(checked.out.contains("teams.nadi.share"), "{checked:?}");
    fixture.fleet.sources.publish(next);
    let status = loop {
        let status = fixture.ask(None, &["status"]).await;
        if status.code == Some(1) {
            break status;
        }
    };
    assert!(
        status.out.contains("revision 2 refused: teams.nadi.share"),
        "{status:?}"
    );
    let mended = text.replace("\"share\":1,\"template\"", "\"share\":5,\"template\"");
    std::fs::write(fixture.path("mended.json"), mended).unwrap();
    let diff = fixture
        .ask(Some(0), &["diff", &fixture.path("mended.json")])
        .await;
    assert_eq!(diff.code, Some(1), "{diff:?}");
    assert_eq!(diff.out, "path\tbefore\tafter\nteams.nadi.share\t1\t5\n");
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_router_is_reported_and_a_wrong_credential_is_refused() {
    let fixture = OperatorFixture::start("drain").await;
    let level = fixture.ask(Some(0), &["log-level", "warn"]).await;
    assert_eq!(level.code, Some(0), "{level:?}");
    let drained = fixture.ask(Some(0), &["drain", "--wait", "--json"]).await;
    assert_eq!(drained.json()["readiness"]["ready"], false);
    let status = fixture.ask(None, &["status"]).await;
    assert_eq!(status.code, Some(1));
    assert!(status.out.contains("no: draining"), "{status:?}");
    assert_eq!(fixture.ask(None, &["drain"]).await.code, Some(2));
    let wrong = fixture.path("wrong.key");
    std::fs::write(Path::new(&wrong), "a guess").unwrap();
    let admin = fixture.admins[1].to_string();
    let arguments = ["status", "--admin", &admin, "--credential-file", &wrong];
    let refused = tool(&arguments).await;
    assert_eq!(refused.code, Some(4));
    assert!(refused.err.contains("401"), "{refused:?}");
    assert!(refused.out.is_empty(), "{refused:?}");
    fixture.fleet.stop().await;
}

// The configuration service allows about two thousand reads a second for all readers together.
// Routers that read it for each request, or in a loop, would exhaust this limit for the whole
// fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_publication_costs_at_most_two_reads_per_router() {
    let fixture = OperatorFixture::start("reads").await;
    let routers = u64::try_from(fixture.fleet.routers.len()).unwrap();
    let before = fixture.fleet.sources.config_calls();
    let text = std::fs::read_to_string(fixture.path("publication.json")).unwrap();
    fixture.fleet.sources.publish(text);
    for router in &fixture.fleet.routers {
        let mut catalog = router.control().catalog.clone();
        let newest = catalog.wait_for(|catalog| catalog.revision().0 == 2);
        newest.await.unwrap();
    }
    for _ in 0..5 {
        let sent = fixture.send(&["/portal/night"]).await;
        assert_eq!(sent.code, Some(0), "{sent:?}");
    }
    // One watch ends with the publication, and the next one begins.
    let calls = fixture.fleet.sources.config_calls() - before;
    assert!(calls <= 2 * routers, "{calls} calls");
    fixture.fleet.stop().await;
}
