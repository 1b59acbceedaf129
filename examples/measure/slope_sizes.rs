//! Sizes of publications and control messages, and the cost of adopting a publication.

use std::hint::black_box;
use std::time::Instant;

use prost::Message;
use serde_json::Value;
use serde_json::json;

use verbenaturn::publication;
use verbenaturn::units::ConfigRevision;
use verbenaturn::wire::PeerBody;
use verbenaturn::wire::PeerMessage;
use verbenaturn::wire::allotment::SlotAllotment;
use verbenaturn::wire::demand::DemandReport;
use verbenaturn::wire::gossip::GossipPing;
use verbenaturn::wire::gossip::MemberUpdate;

use super::slopes::SlopeFigure;
use super::slopes::median;

/// Number of times that each text is adopted.
const ADOPTIONS: usize = 5;
/// Framing bytes added to each control message.
const FRAME_BYTES: usize = 8;

/// Measures the size of a published text with one key per team, and the cost of adopting it.
#[allow(clippy::cast_precision_loss)]
pub fn publication_figures(teams: usize) -> Vec<SlopeFigure> {
    let entries: serde_json::Map<String, Value> = (0..teams)
        .map(|team| {
            let key = format!("{team:064x}");
            let entry = json!({"template": "clinic", "share": 10, "keys": [key]});
            (format!("team-{team:05}"), entry)
        })
        .collect();
    let query = json!({"urgency": "interactive", "deadline_ms": 30_000, "goal_ms": 5_000});
    let clinic = json!({"share": 10, "default_kind": "query", "kinds": {"query": query}});
    let engine = json!({
        "address": "127.0.0.1:9101", "pools": ["model"], "domain": "suva-a", "slots": 16,
    });
    let text = json!({
        "revision": 1,
        "templates": {"clinic": clinic},
        "teams": entries,
        "pools": {"model": {"protocol": "engine"}},
        "endpoints": {"engine-1": engine},
    })
    .to_string();
    let costs = (0..ADOPTIONS)
        .map(|_| {
            let started = Instant::now();
            let adopted = publication::adopt(ConfigRevision(1), text.as_bytes());
            black_box(adopted.expect("the text is a valid publication"));
            started.elapsed()
        })
        .collect();
    vec![
        SlopeFigure {
            name: "publication_bytes",
            unit: "B",
            value: text.len() as f64,
        },
        SlopeFigure {
            name: "adopt_cost",
            unit: "us",
            value: median(costs),
        },
    ]
}

/// Measures the encoded size of a message with `rows` rows of typical values.
#[allow(clippy::cast_precision_loss)]
pub fn message_bytes(message: &str, rows: usize) -> SlopeFigure {
    let count = u32::try_from(rows).unwrap_or(u32::MAX);
    let ids: Vec<u32> = (0..count).map(|row| 0x8000_0000 + row).collect();
    let (name, body) = match message {
        "allotment" => {
            let allotment = SlotAllotment {
                pool: 1,
                epoch: 1,
                sequence: 20_000,
                acked: 20_000,
                target: 40,
                clock: 100_000,
                term: 1,
                scarce: true,
                lead: ids.iter().map(|id| i64::from(id % 200) - 100).collect(),
                quota: ids.iter().map(|id| id % 40).collect(),
                teams: ids,
                ..SlotAllotment::default()
            };
            ("allotment_bytes", PeerBody::Allotment(allotment))
        }
        "report" => {
            let demand = DemandReport {
                pool: 1,
                epoch: 1,
                sequence: 20_000,
                acked: 20_000,
                term: 1,
                waiting: ids.iter().map(|id| id % 100).collect(),
                running: ids.iter().map(|id| id % 40).collect(),
                charged: ids.iter().map(|id| 100_000 + i64::from(id % 100)).collect(),
                teams: ids,
                ..DemandReport::default()
            };
            ("report_bytes", PeerBody::Demand(demand))
        }
        _ => {
            let news = MemberUpdate {
                host: "host-1234".into(),
                address: "127.100.200.100:7000".into(),
                incarnation: 1,
                state: 1,
                refutation: 1,
                domain: "domain-12".into(),
            };
            let ping = GossipPing {
                step: 1,
                sequence: 20_000,
                revision: 8_800,
                news: vec![news; rows],
                ..GossipPing::default()
            };
            ("gossip_bytes", PeerBody::Gossip(ping))
        }
    };
    let bytes = PeerMessage::new(body).encoded_len() + FRAME_BYTES;
    SlopeFigure {
        name,
        unit: "B",
        value: bytes as f64,
    }
}
