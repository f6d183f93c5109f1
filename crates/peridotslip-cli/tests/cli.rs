//! The tool without a store: checks, exit codes and output.

use std::{
    fs,
    io::Write,
    process::{Command, Output, Stdio},
};

use tempfile::TempDir;

const ROUTES: &str = "routes:
  - {name: r, organisation: o, keys: [HASH], model: m, pool: p}
";
const POOLS: &str = "budgets: [{name: b, firm: f, organisation: o, paid_tokens: 5}]
pools: [{name: p, kind: model, budget: b, servers: [{address: \"127.0.0.1:1\"}]}]
";

fn hash() -> String {
    peridotslip::tables::ApiKeyHash::of("secret").to_string()
}

fn tables(routes: &str, pools: &str) -> TempDir {
    let dir = TempDir::new().expect("a directory can be made");
    let routes = routes.replace("HASH", &hash());
    fs::write(dir.path().join("routes.yaml"), routes).expect("it can be written");
    fs::write(dir.path().join("pools.yaml"), pools).expect("it can be written");
    dir
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_peridotslip"));
    command
        .args(args)
        .env_remove("PERIDOTSLIP_STORE")
        .stdin(Stdio::null());
    command.output().expect("the tool is built")
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn good_tables_pass_and_bad_ones_are_refused_with_row_and_remedy() {
    let cases = [
        (ROUTES.to_owned(), POOLS.to_owned(), 0, ""),
        (
            ROUTES.replace("pool: p", "pool: q"),
            POOLS.to_owned(),
            1,
            "route `r` names pool `q`",
        ),
        (
            ROUTES.to_owned(),
            POOLS.replace("budget: b, ", ""),
            1,
            "pool `p`, which has no budget",
        ),
        (
            ROUTES.replace("model: m", "modle: m"),
            POOLS.to_owned(),
            2,
            "line 2",
        ),
        (
            ROUTES.replace("HASH", "abc"),
            POOLS.to_owned(),
            2,
            "hash-key",
        ),
    ];
    for (routes, pools, code, part) in cases {
        let dir = tables(&routes, &pools);

        let output = run(&["check", &dir.path().display().to_string()]);

        let text = told(&output);
        assert_eq!(output.status.code(), Some(code), "{part}: {text}");
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn output_is_json_when_asked_for() {
    let dir = tables(ROUTES, POOLS);

    let output = run(&["--output=json", "check", &dir.path().display().to_string()]);

    let value: serde_json::Value = serde_json::from_slice(&output.stdout).expect("it is JSON");
    assert_eq!(
        value,
        serde_json::json!({ "usable": true, "routes": 1, "pools": 1 })
    );
}

#[test]
fn each_kind_of_failure_has_its_exit_code() {
    let dir = tables(ROUTES, POOLS);
    let path = dir.path().display().to_string();
    let cases = [
        (vec!["check", "nowhere"], 2, "routes.yaml"),
        (vec!["apply", path.as_str()], 2, "--store"),
        (vec!["status"], 2, "--router"),
        (
            vec!["--store=127.0.0.1:9", "apply", path.as_str()],
            3,
            "nothing was changed",
        ),
        (vec!["--router=127.0.0.1:9", "status"], 3, "127.0.0.1:9"),
    ];
    for (args, code, part) in cases {
        let output = run(&args);

        let text = told(&output);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        assert!(text.contains(part), "{args:?}: {text}");
    }
}

#[test]
fn a_key_is_hashed_from_standard_input_without_its_line_end() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_peridotslip"))
        .arg("hash-key")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the tool is built");
    let stdin = child.stdin.as_mut().expect("it is piped");
    stdin.write_all(b"secret\n").expect("it is read");

    let output = child.wait_with_output().expect("it ends");

    assert_eq!(String::from_utf8_lossy(&output.stdout).trim(), hash());
}
