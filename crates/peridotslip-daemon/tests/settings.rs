//! Invalid settings are rejected with their file, line, field and a remedy.

mod common;

use std::fs;

use common::fleet::program;
use tempfile::TempDir;

const VALID_SETTINGS: &str = "firm: qalam
vm: vm-1
data_centre: om-north-a
listen:
  callers: 127.0.0.1:7001
  operators: 127.0.0.1:7101
  peers: 127.0.0.1:7201
store:
  address: 127.0.0.1:7400
ledger:
  shards: 4
";

/// Runs `peridotslipd --check` on a settings file with this text. Returns the
/// exit code and the standard error output.
fn check(text: &str) -> (Option<i32>, String) {
    let dir = TempDir::new().expect("a directory can be made");
    let file = dir.path().join("settings.yaml");
    fs::write(&file, text).expect("the file can be written");
    let output = program("peridotslipd").arg("--check").arg(&file).output();
    let output = output.expect("cargo has built the daemon");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

#[test]
fn valid_settings_pass() {
    assert_eq!(check(VALID_SETTINGS).0, Some(0));
}

#[test]
fn invalid_fields_are_reported_with_their_line() {
    let cases = [
        ("firm: qalam", "firm: \"\"", ["line 1", "firm"]),
        ("  shards: 4", "  shards: 0", ["line 11", "ledger.shards"]),
        (
            "  shards: 4",
            "  shards: many",
            ["line 11", "settings.yaml"],
        ),
        ("  shards: 4", "  shard: 4", ["line 11", "shard"]),
        ("firm: qalam\n", "", ["firm", "settings.yaml"]),
        (
            "127.0.0.1:7101",
            "127.0.0.1:7001",
            ["line 6", "listen.operators"],
        ),
        ("127.0.0.1:7201", "0.0.0.0:7201", ["line 7", "listen.peers"]),
        ("127.0.0.1:7400", "the-store", ["line 9", "settings.yaml"]),
    ];
    for (valid, invalid, expected) in cases {
        let (code, text) = check(&VALID_SETTINGS.replace(valid, invalid));

        assert_eq!(code, Some(2), "{invalid}: {text}");
        for part in expected {
            assert!(text.contains(part), "{invalid}: `{part}` is not in {text}");
        }
    }
}

#[test]
fn missing_file_is_reported_with_its_path() {
    let output = program("peridotslipd")
        .args(["--settings", "nowhere.yaml"])
        .output();
    let output = output.expect("cargo has built the daemon");

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nowhere.yaml"));
}
