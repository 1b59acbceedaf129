//! Property tests: any bytes or JSON are read as a publication, settings or a host list without
//! panic, and reading a publication twice gives the same result.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;

use verbenaturn::publication::adopt;
use verbenaturn::settings::read_settings;
use verbenaturn::sources::HostList;
use verbenaturn::units::ConfigRevision;

const VALID_PUBLICATION: &str = include_str!("../docs/operators/first-day/publication-2.json");

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x7665_7262),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates arbitrary JSON whose keys and strings include the field names of a publication.
fn any_json() -> impl Strategy<Value = Value> {
    let word = prop::sample::select(vec![
        "templates",
        "teams",
        "pools",
        "endpoints",
        "limits",
        "kinds",
        "share",
        "keys",
        "clinic",
        "query",
        "address",
        "127.0.0.1:9",
        "prefix",
        "/portal",
        "plain",
        "engine",
        "protocol",
        "template",
        "default_kind",
        "goal_ms",
        "domain",
        "slots",
        "checked",
        "a.b",
        "",
    ]);
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        word.clone().prop_map(Value::from),
    ];
    leaf.prop_recursive(5, 64, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(word.clone().prop_map(str::to_owned), inner, 0..6)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn any_bytes_are_read_without_panic(text in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(adopt(ConfigRevision(1), &text).is_err());
        prop_assert!(read_settings(&text).is_err());
        prop_assert!(HostList::read(&text).is_err());
    }

    #[test]
    fn any_json_is_checked_without_panic(value in any_json()) {
        let text = value.to_string();
        let once = adopt(ConfigRevision(1), text.as_bytes());
        prop_assert_eq!(&once, &adopt(ConfigRevision(1), text.as_bytes()));
        if let Err(faults) = once {
            prop_assert!(!faults.faults().is_empty());
        }
        let _ = read_settings(text.as_bytes());
        let _ = HostList::read(text.as_bytes()).map(|list| list.event());
    }

    /// A valid publication with one byte changed must either be refused or rendered.
    #[test]
    fn a_changed_byte_never_panics(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut text = VALID_PUBLICATION.as_bytes().to_vec();
        let at = at.index(text.len());
        text[at] = byte;
        if let Ok(catalog) = adopt(ConfigRevision(1), &text) {
            prop_assert!(catalog.teams.values().all(|team| team.share.0 > 0));
        }
    }
}
