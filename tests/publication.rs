//! Publications and settings that are wrong, and what their authors are told.

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

/// A publication with two teams, in which one text is replaced by another.
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
    assert!(text.contains(from), "the sample holds no {from}");
    text.replace(from, to)
}

fn paths(faults: &FaultList) -> Vec<&str> {
    faults
        .faults()
        .iter()
        .map(|fault| fault.path.as_str())
        .collect()
}

/// The faults of the sample with one text replaced by another.
fn faults(from: &str, to: &str) -> FaultList {
    let text = publication(from, to);
    adopt(ConfigRevision(1), text.as_bytes()).expect_err("a faulty publication was taken")
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
fn shares_out_of_range_are_named() {
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
      "platform": {"config_file": "publication.json", "hosts_file": "hosts.json"}}"#;
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
