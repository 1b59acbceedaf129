//! Passes updates of the configuration service and the host list to the core.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::core::event::CoreEvent;
use crate::entry::context::EntryContext;
use crate::publication;
use crate::settings::SourceSettings;
use crate::sources::AnyConfigSource;
use crate::sources::AnyHostSource;
use crate::sources::ConfigText;
use crate::sources::follow::ConfigUpdate;
use crate::sources::follow::HostUpdate;
use crate::sources::follow::WatchCommand;
use crate::sources::follow::follow_config;
use crate::sources::follow::follow_hosts;
use crate::units::ConfigRevision;

/// Capacity of a channel of updates from a source.
const UPDATE_CHANNEL_CAPACITY: usize = 4;

/// Follows the configuration service and the host list. The service is watched only while `order`
/// is on.
pub fn follow(
    settings: &SourceSettings,
    context: &Arc<EntryContext>,
    order: watch::Receiver<WatchCommand>,
    tasks: &TaskTracker,
    closing: &CancellationToken,
) {
    let timing = settings.timing.clone();
    let (sender, news) = mpsc::channel(UPDATE_CHANNEL_CAPACITY);
    let source = AnyConfigSource::new(settings);
    let following = follow_config(source, timing.clone(), order, sender, closing.clone());
    tasks.spawn(following);
    tasks.spawn(apply_config_updates(Arc::clone(context), news));
    let (sender, news) = mpsc::channel(UPDATE_CHANNEL_CAPACITY);
    let source = AnyHostSource::new(settings);
    tasks.spawn(follow_hosts(source, timing, sender, closing.clone()));
    tasks.spawn(apply_host_updates(Arc::clone(context), news));
}

async fn apply_config_updates(context: Arc<EntryContext>, mut news: mpsc::Receiver<ConfigUpdate>) {
    let board = &context.records.board;
    while let Some(news) = news.recv().await {
        let fault = match &news {
            ConfigUpdate::Failed(report) => Some(report.to_string()),
            _ => None,
        };
        board.sources(fault);
        let answered = match news {
            ConfigUpdate::Newer(text) => {
                adopt(&context, text);
                true
            }
            ConfigUpdate::Unchanged => true,
            ConfigUpdate::Failed(report) => {
                spdlog::warn!("config: {report}.");
                false
            }
        };
        let answered = CoreEvent::SourceAnswered(answered);
        context.control.send_event(answered);
    }
}

/// Checks and renders a publication and sends it to the core; one with faults is refused as a whole
/// and logged.
pub fn adopt(context: &EntryContext, text: ConfigText) {
    let control = &context.control;
    let ConfigText { revision, text } = text;
    if revision <= control.catalog.borrow().revision() {
        return;
    }
    match publication::adopt(revision, &text) {
        Ok(catalog) => {
            spdlog::info!("config: revision {revision} taken.");
            control.send_event(CoreEvent::Published {
                catalog: Arc::new(catalog),
                text,
            });
        }
        Err(faults) => {
            context.records.board.refused(revision, &faults);
            let faults = faults.to_string().replace('\n', "; ");
            let kept: ConfigRevision = control.catalog.borrow().revision();
            spdlog::error!("config: revision {revision} refused, {kept} stays in force: {faults}.");
            control.send_event(CoreEvent::PublicationRefused { revision });
        }
    }
}

async fn apply_host_updates(context: Arc<EntryContext>, mut news: mpsc::Receiver<HostUpdate>) {
    let board = &context.records.board;
    while let Some(news) = news.recv().await {
        match news {
            HostUpdate::Listed(list) => {
                board.hosts(None);
                context.control.send_event(list.event());
                context.control.send_event(list.live_event());
            }
            HostUpdate::Failed(report) => {
                spdlog::warn!("hosts: {report}.");
                board.hosts(Some(report.to_string()));
            }
        }
    }
}
