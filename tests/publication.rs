//! Validation of publications and settings, and the faults that are reported.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use verbenaturn::document::FaultList;
use verbenaturn::publication::MAX_PUBLICATION_BYTES;
use verbenaturn::publication::adopt;
use verbenaturn::settings::read_settings;
use verbenaturn::units::ConfigRevision;
use verbenaturn::units::EndpointId;
use verbenaturn::units::KindName;
use verbenaturn::units::ShareWeight;
use verbenaturn::units::TeamId;
use verbenaturn::units::TeamName;

const KEY_A: &str = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb";
const KEY_B: &str = "3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d";

/// Returns a valid sample publication with two teams, with one text replaced by another.
fn publication(from: &str, to: &str) -> String {
    let text = format!(
        r#"{{
  "templates": {{"clinic": {{
    "share": 10, "default_kind": "query",
    "kinds": {{
      "query": {{"urgency": "interactive", "deadline_ms": 30000, "goal_ms": 2000}},
      "tag": {{"unrepeatable": true, "method": "POST", "path_prefix": "/portal/tags"}}}}}}}},
  "teams": {{
    "nadi-clinic": {{"template": "clinic", "keys": ["{KEY_A}"]}},
    "labasa-clinic": {{"template": "clinic", "keys": ["{KEY_B}"], "share": 30,
      "kinds": {{"query": {{"goal_ms": 1000}}}}}}}},
  "pools": {{
    "reviewer": {{"protocol": "engine"}},
    "portal": {{"protocol": "plain", "prefix": "/portal"}}}},
  "endpoints": {{
    "engine-1": {{"address": "127.0.0.1:9001", "pools": ["reviewer"], "domain": "suva-a", "slots": 8}},
    "portal-1": {{"address": "127.0.0.1:9002", "pools": ["portal"], "domain": "suva-b", "slots": 4,
      "fencing": "checked", "leaving": true}}}}
}}"#
    );
    assert!(text.contains(from), "the sample does not contain {from}");
    text.replace(from, to)
}

fn paths(faults: &FaultList) -> Vec<&str> {
    faults
        .faults()
        .iter()
        .map(|fault| fault.path.as_str())
        .collect()
}

/// Returns the faults of the sample publication with one text replaced by another.
fn faults(from: &str, to: &str) -> FaultList {
    let text = publication(from, to);
    adopt(ConfigRevision(1), text.as_bytes()).expect_err("a faulty publication was accepted")
}

#[test]
fn teams_take_their_template_and_their_own_parts() {
    let text = publication("", "");
    let catalog = adopt(ConfigRevision(7), text.as_bytes()).unwrap();
    let name = |text: &str| TeamId::from(&text.parse::<TeamName>().unwrap());
    let kind: KindName = "query".parse().unwrap();
    let nadi = &catalog.teams[&name("nadi-clinic")];
    let labasa = &catalog.teams[&name("labasa-clinic")];
    assert_eq!(catalog.revision, ConfigRevision(7));
    assert_eq!(
        (nadi.share, labasa.share),
        (ShareWeight(10), ShareWeight(30))
    );
    assert_eq!(nadi.kinds[&kind].goal.as_millis(), 2_000);
    assert_eq!(labasa.kinds[&kind].goal.as_millis(), 1_000);
    assert_eq!(labasa.kinds[&kind].deadline.as_millis(), 30_000);
    assert_eq!(nadi.key_hashes[0][..2], [0xca, 0x97]);
    let portal = &catalog.endpoints[&EndpointId::from(&"portal-1".parse().unwrap())];
    assert!(portal.leaving);
    assert_eq!(portal.address, SocketAddr::from(([127, 0, 0, 1], 9_002)));
    assert_eq!(catalog, adopt(ConfigRevision(7), text.as_bytes()).unwrap());
}

#[test]
fn shares_out_of_range_are_reported() {
    for share in ["0", "-3", "1000001", "99999999999999999999", "1.5", "\"9\""] {
        let faults = faults("\"share\": 30", &format!("\"share\": {share}"));
        assert_eq!(paths(&faults), ["teams.labasa-clinic.share"], "{share}");
    }
}

#[test]
fn settings_of_a_small_site_are_read() {
    let text = r#"{"host": "h1", "domain": "suva-a",
      "callers": {"listen": "127.0.0.1:8080"},
      "peers": {"listen": "127.0.0.1:8081", "key_files": ["peer.key"]},
      "admin": {"listen": "127.0.0.1:8082", "credential_file": "admin.key"},
      "sources": {"config_file": "publication.json", "hosts_file": "hosts.json"}}"#;
    let settings = read_settings(text.as_bytes()).unwrap();
    assert_eq!(settings.peer_address().port(), 8_081);
    assert!(read_settings(&text.as_bytes()[..text.len() / 2]).is_err());
}

#[test]
fn a_publication_over_a_megabyte_is_refused() {
    let text = vec![b' '; MAX_PUBLICATION_BYTES + 1];
    let faults = adopt(ConfigRevision(1), &text).unwrap_err();
    assert!(faults.to_string().contains("1048577 bytes"), "{faults}");
}

/// An edit of the sample (old text, new text) and the paths of all faults that it causes.
type FaultyEdit<'a> = (&'a str, &'a str, &'a [&'a str]);

fn assert_fault_paths(edits: &[FaultyEdit<'_>]) {
    for (from, to, expected) in edits {
        let faults = faults(from, to);
        assert_eq!(&paths(&faults), expected, "{from} to {to}:\n{faults}");
    }
}

#[test]
fn faults_of_teams_and_templates_are_reported() {
    let longer = format!("\"{KEY_B}\", \"{KEY_A}\"");
    let many = vec![format!("\"{KEY_B}\""); 5].join(", ");
    let named = [
        "teams.labasa-clinic.template",
        "teams.nadi-clinic.template",
        "template",
    ];
    assert_fault_paths(&[
        (
            "\"goal_ms\": 2000",
            "\"gaol_ms\": 2000",
            &["templates.clinic.kinds.query.gaol_ms"],
        ),
        (
            "\"template\": \"clinic\", \"keys\"",
            "\"template\": \"ward\", \"keys\"",
            &named[..2],
        ),
        (KEY_B, KEY_A, &["teams.nadi-clinic.keys.0"]),
        (
            &format!("\"{KEY_B}\""),
            &longer,
            &["teams.nadi-clinic.keys.0"],
        ),
        (
            &format!("\"{KEY_B}\""),
            &many,
            &["teams.labasa-clinic.keys"],
        ),
        (KEY_A, "secret", &["teams.nadi-clinic.keys.0"]),
        (
            "\"keys\": [\"ca",
            "\"keys\": [], \"was\": [\"ca",
            &["teams.nadi-clinic.keys", "teams.nadi-clinic.was"],
        ),
        (
            "\"default_kind\": \"query\"",
            "\"default_kind\": \"other\"",
            &["templates.clinic.default_kind"],
        ),
        (
            "\"goal_ms\": 1000",
            "\"goal_ms\": 31000",
            &["teams.labasa-clinic.kinds.query.goal_ms"],
        ),
        (
            "\"method\": \"POST\"",
            "\"method\": \"post\"",
            &["templates.clinic.kinds.tag.method"],
        ),
        ("\"nadi-clinic\"", "\"nadi clinic\"", &["teams.nadi clinic"]),
        ("\"templates\"", "\"template\"", &named),
    ]);
}

#[test]
fn faults_of_pools_and_endpoints_are_reported() {
    let pools = [
        "endpoints.portal-1.pools.0",
        "endpoints.portal-1.pools.2",
        "endpoints.portal-1.pools.2",
        "endpoints.portal-1.pools.3",
    ];
    assert_fault_paths(&[
        (
            "127.0.0.1:9002",
            "127.0.0.1:9001",
            &["endpoints.portal-1.address"],
        ),
        (
            "127.0.0.1:9002",
            "localhost:9002",
            &["endpoints.portal-1.address"],
        ),
        (
            "127.0.0.1:9002",
            "0.0.0.0:0",
            &["endpoints.portal-1.address"],
        ),
        (
            "[\"portal\"]",
            "[\"portal\", \"reviewer\", \"portal\", \"x\"]",
            &pools,
        ),
        (
            "\"prefix\": \"/portal\"",
            "\"prefix\": \"portal/\"",
            &["pools.portal.prefix"],
        ),
        (
            "\"prefix\": \"/portal\"",
            "\"prefix\": \"/v1/x\"",
            &["pools.portal.prefix"],
        ),
        (", \"prefix\": \"/portal\"", "", &["pools.portal.prefix"]),
        (
            "\"protocol\": \"engine\"",
            "\"protocol\": \"grpc\"",
            &["pools.reviewer.protocol"],
        ),
        (
            "\"slots\": 8",
            "\"slots\": 0",
            &["endpoints.engine-1.slots"],
        ),
    ]);
}

// If faults of the schema hid faults of the rules, an operator would have to fix and publish
// repeatedly, while the fleet stays on the old publication. Both must be reported together.
#[test]
fn faults_of_all_steps_are_reported_together() {
    let text = publication(
        "\"method\": \"POST\"",
        "\"method\": \"post\", \"colour\": 1",
    )
    .replace("\"share\": 30", "\"share\": -30")
    .replace("9002", "9001")
    .replace("\"query\": {\"goal_ms\": 1000}", "\"query\": 7");
    let faults = adopt(ConfigRevision(1), text.as_bytes()).unwrap_err();
    let expected = [
        "endpoints.portal-1.address",
        "teams.labasa-clinic.kinds.query",
        "teams.labasa-clinic.share",
        "templates.clinic.kinds.tag.colour",
        "templates.clinic.kinds.tag.method",
    ];
    assert_eq!(paths(&faults), expected, "{faults}");
}

#[test]
fn duplicate_names_are_refused() {
    let text = publication("\"labasa-clinic\"", "\"nadi-clinic\"");
    let faults = adopt(ConfigRevision(1), text.as_bytes()).unwrap_err();
    assert_eq!(paths(&faults), ["teams.nadi-clinic"]);
}

// On the wire a team is identified by 32 bits of its name's hash. Two teams with the same hash
// would share a queue and an account, so one would be charged for the other without any visible
// cause.
#[test]
fn two_names_with_one_hash_are_refused() {
    let mut seen = BTreeMap::new();
    let (first, second) = (0..)
        .find_map(|number: u32| {
            let name = format!("t{number}");
            let id = TeamId::from(&name.parse::<TeamName>().unwrap());
            seen.insert(id, name.clone()).map(|first| (first, name))
        })
        .unwrap();
    let text = publication("nadi-clinic", &first).replace("labasa-clinic", &second);
    let faults = adopt(ConfigRevision(1), text.as_bytes()).unwrap_err();
    assert_eq!(faults.faults().len(), 1, "{faults}");
    assert!(faults.to_string().contains("same hash"), "{faults}");
}

#[test]
fn a_publication_cut_anywhere_is_refused() {
    let text = publication("", "");
    for end in 0..text.len() - 1 {
        assert!(
            adopt(ConfigRevision(1), &text.as_bytes()[..end]).is_err(),
            "cut at {end}"
        );
    }
}

const SETTINGS: &str = r#"{"host": "h1", "domain": "suva-a",
  "callers": {"listen": "127.0.0.1:8080"},
  "peers": {"listen": "0.0.0.0:8081", "key_files": []},
  "admin": {"listen": "127.0.0.1", "credential_file": "admin.key"},
  "sources": {"config_url": "ftp://x", "hosts_file": "hosts.json", "hosts_url": "http://h/hosts"},
  "log": {"level": "loud"}, "colour": "red",
  "core": {"admission": {"queue_limit": -1}}}"#;

#[test]
fn every_fault_of_settings_is_reported() {
    let faults = read_settings(SETTINGS.as_bytes()).unwrap_err();
    let expected = [
        "admin.listen",
        "colour",
        "core.admission.queue_limit",
        "log.level",
        "peers.key_files",
        "sources.config_url",
        "sources.hosts_url",
    ];
    assert_eq!(paths(&faults), expected, "{faults}");
    let other = SETTINGS
        .replace("[]", "[\"k\"]")
        .replace("ftp://x", "http://x/c");
    let faults = read_settings(other.as_bytes()).unwrap_err();
    assert!(paths(&faults).contains(&"peers.advertised"), "{faults}");
    assert!(!paths(&faults).contains(&"sources.config_url"), "{faults}");
}

#[test]
fn what_an_operator_reads_of_three_faults() {
    // Three independent faults: a misspelt template, a share of 0 and an unknown pool. One check
    // must report all of them with their paths.
    let text = publication("\"share\": 30", "\"share\": 0")
        .replace(
            "\"template\": \"clinic\", \"keys\"",
            "\"template\": \"klinic\", \"keys\"",
        )
        .replace("[\"reviewer\"]", "[\"revewer\"]");
    let faults = adopt(ConfigRevision(1), text.as_bytes()).unwrap_err();
    let lines: Vec<String> = faults.faults().iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
