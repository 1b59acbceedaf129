//! The router's sources when the configuration service, the host list or a file is faulty.

#[allow(dead_code)]
#[path = "../examples/shared/sources.rs"]
mod standin;

use std::path::PathBuf;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::standin::PublishedValue;
use crate::standin::ServiceMode;
use crate::standin::StandinSources;
use verbenaturn::publication::MAX_PUBLICATION_BYTES;
use verbenaturn::settings::SourceTiming;
use verbenaturn::sources::ConfigSource;
use verbenaturn::sources::HostSource;
use verbenaturn::sources::SourceFault;
use verbenaturn::sources::file::FileConfigSource;
use verbenaturn::sources::follow::ConfigUpdate;
use verbenaturn::sources::follow::WatchCommand;
use verbenaturn::sources::follow::follow_config;
use verbenaturn::sources::http::HttpConfigSource;
use verbenaturn::sources::http::HttpHostSource;
use verbenaturn::units::ConfigRevision;

fn quick() -> SourceTiming {
    SourceTiming {
        watch_s: 1,
        timeout_ms: 300,
        retry_ms: 40,
        file_poll_ms: 20,
        hosts_poll_ms: 50,
    }
}

async fn standin() -> (StandinSources, HttpConfigSource) {
    let sources = StandinSources::start(None).await.unwrap();
    let source = HttpConfigSource::new(&sources.config_url(), &quick());
    (sources, source)
}

async fn open_watches(sources: &StandinSources, count: i64) {
    while sources.open_watches() != count {
        sleep(Duration::from_millis(2)).await;
    }
}

fn value(revision: u64, text: &str) -> PublishedValue {
    PublishedValue {
        revision,
        text: text.to_owned().into(),
    }
}

#[tokio::test]
async fn a_watch_brings_the_next_publication() {
    let (sources, source) = standin().await;
    let fault = source.read().await.unwrap_err();
    assert_eq!(fault.current_context().fault, SourceFault::Status(404));
    sources.publish("{}");
    let first = source.read().await.unwrap();
    assert_eq!(first.revision, ConfigRevision(1));
    let (news, _) = tokio::join!(source.watch(first.revision), async {
        open_watches(&sources, 1).await;
        sources.publish("{ }")
    });
    let news = news.unwrap().unwrap();
    assert_eq!(news.revision, ConfigRevision(2));
    assert_eq!(&news.text[..], b"{ }");
    assert_eq!(source.watch(news.revision).await.unwrap(), None);
    assert_eq!(sources.config_calls(), 4);
}

// The configuration service accepts the connection and never answers. Without a timeout the router
// would wait forever and keep its old publication after the service has recovered.
#[tokio::test]
async fn a_hanging_service_times_out() {
    let (sources, source) = standin().await;
    sources.publish("{}");
    sources.set_mode(ServiceMode::Hanging);
    let read = source.read().await.unwrap_err();
    assert_eq!(read.current_context().fault, SourceFault::TimedOut);
    let watch = source.watch(ConfigRevision(1)).await.unwrap_err();
    assert_eq!(watch.current_context().fault, SourceFault::TimedOut);
    sources.set_mode(ServiceMode::Healthy);
    assert!(source.read().await.is_ok());
}

// A lagging replica of the service answers a watch with an older revision. If it were accepted, it
// would bring back shares that operators have changed since.
#[tokio::test]
async fn an_older_revision_is_an_error() {
    let (sources, source) = standin().await;
    sources.set_mode(ServiceMode::Old(value(3, "{}")));
    let fault = source.watch(ConfigRevision(5)).await.unwrap_err();
    let old = SourceFault::OldRevision {
        received: ConfigRevision(3),
        seen: ConfigRevision(5),
    };
    assert_eq!(fault.current_context().fault, old);
    assert_eq!(source.watch(ConfigRevision(3)).await.unwrap(), None);
}

#[tokio::test]
async fn a_value_over_a_megabyte_is_not_read() {
    let (sources, source) = standin().await;
    sources.set_mode(ServiceMode::Oversized(MAX_PUBLICATION_BYTES + 1));
    let fault = source.read().await.unwrap_err();
    let too_large = SourceFault::TooLarge(MAX_PUBLICATION_BYTES);
    assert_eq!(fault.current_context().fault, too_large);
    sources.set_mode(ServiceMode::Oversized(MAX_PUBLICATION_BYTES));
    assert_eq!(
        source.read().await.unwrap().text.len(),
        MAX_PUBLICATION_BYTES
    );
}

#[tokio::test]
async fn host_lists_with_faults_name_them() {
    let (sources, _) = standin().await;
    let source = HttpHostSource::new(&sources.hosts_url(), &quick());
    sources.list_hosts(r#"{"routers": [{"host": "a", "address": "b", "domain": "c"}]}"#);
    let fault = source.read().await.unwrap_err();
    assert!(fault.to_string().contains("routers.0.address"), "{fault}");
    sources.list_hosts(r#"{"endpoints": [{"name": "e", "leaving": true}]}"#);
    assert_eq!(source.read().await.unwrap().endpoints.len(), 1);
}

// The service fails and then recovers. The router must keep reading it, must not read a refused
// value again and again, and must make no calls once a peer watches in its place.
#[tokio::test]
async fn following_survives_a_service_that_fails() {
    let (sources, source) = standin().await;
    sources.publish("{}");
    let (order, orders) = watch::channel(WatchCommand {
        on: true,
        after: ConfigRevision(0),
    });
    let (sender, mut news) = mpsc::channel(8);
    let cancel = CancellationToken::new();
    let task = tokio::spawn(follow_config(
        source,
        quick(),
        orders,
        sender,
        cancel.clone(),
    ));
    let ConfigUpdate::Newer(first) = news.recv().await.unwrap() else {
        panic!("the first read failed");
    };
    assert_eq!(first.revision, ConfigRevision(1));
    sources.set_mode(ServiceMode::Failing(503));
    while !matches!(news.recv().await.unwrap(), ConfigUpdate::Failed(_)) {}
    sources.set_mode(ServiceMode::Healthy);
    sources.publish("{ }");
    let second = loop {
        if let ConfigUpdate::Newer(text) = news.recv().await.unwrap() {
            break text;
        }
    };
    assert_eq!(second.revision, ConfigRevision(2));
    open_watches(&sources, 1).await;
    order.send_modify(|order| order.on = false);
    open_watches(&sources, 0).await;
    let calls = sources.config_calls();
    sources.publish("{  }");
    order.send_replace(WatchCommand {
        on: true,
        after: ConfigRevision(3),
    });
    open_watches(&sources, 1).await;
    assert_eq!(sources.config_calls(), calls + 1);
    assert!(news.try_recv().is_err(), "a publication that peers brought");
    cancel.cancel();
    task.await.unwrap();
}

fn scratch_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

// At a small site an operator restores an old copy of the file, or edits it without raising the
// revision. Routers that restart would take it while the others keep theirs, so that the fleet runs
// on two publications. The file must be refused until its revision increases.
#[tokio::test]
async fn a_file_whose_revision_does_not_increase_is_refused() {
    let path = scratch_file("goes-back.json");
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    write(r#"{"revision": 5}"#);
    let source = FileConfigSource::new(path.clone(), &quick());
    assert_eq!(source.read().await.unwrap().revision, ConfigRevision(5));
    assert_eq!(source.watch(ConfigRevision(5)).await.unwrap(), None);
    write(r#"{"revision": 4}"#);
    let fault = source.watch(ConfigRevision(5)).await.unwrap_err();
    let old = SourceFault::OldRevision {
        received: ConfigRevision(4),
        seen: ConfigRevision(5),
    };
    assert_eq!(fault.current_context().fault, old);
    write(r#"{"revision": 5, "teams": {}}"#);
    let fault = source.watch(ConfigRevision(5)).await.unwrap_err();
    let same = SourceFault::SameRevision(ConfigRevision(5));
    assert_eq!(fault.current_context().fault, same);
    write(r#"{"teams": {}}"#);
    let fault = source.read().await.unwrap_err();
    assert_eq!(fault.current_context().fault, SourceFault::NoRevision);
    write(r#"{"revision": 6, "te"#);
    let fault = source.read().await.unwrap_err();
    assert!(fault.to_string().contains("line 1"), "{fault}");
    write(r#"{"revision": 6}"#);
    let news = source.watch(ConfigRevision(5)).await.unwrap();
    assert_eq!(news.unwrap().revision, ConfigRevision(6));
}
