//! Settings that can't be used are refused with file, line, field and remedy.

mod common;

use std::fs;

use common::fleet::program;
use tempfile::TempDir;

const GOOD: &str = "firm: qalam
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

fn check(text: &str) -> (Option<i32>, String) {
    let dir = TempDir::new().expect("a directory can be made");
    let file = dir.path().join("settings.yaml");
    fs::write(&file, text).expect("it can be written");
    let output = program("peridotslipd").arg("--check").arg(&file).output();
    let output = output.expect("the daemon is built");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

#[test]
fn good_settings_pass() {
    assert_eq!(check(GOOD).0, Some(0));
}

#[test]
fn each_wrong_field_is_named_with_its_line() {
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
    for (good, bad, expected) in cases {
        let (code, text) = check(&GOOD.replace(good, bad));

        assert_eq!(code, Some(2), "{bad}: {text}");
        for part in expected {
            assert!(text.contains(part), "{bad}: `{part}` is not in {text}");
        }
    }
}

#[test]
fn a_missing_file_is_named() {
    let output = program("peridotslipd")
        .args(["--settings", "nowhere.yaml"])
        .output();
    let output = output.expect("the daemon is built");

    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nowhere.yaml"));
}
