//! The command by which operators list and lift refusals.

use std::process::{Command, Output};

use serde_json::{Value, json};

use super::process::TempDir;
use super::standin::{Engine, Store, settings};
use super::{Site, http, wait_for};

/// Runs `chiveway refused` with the settings of a host of this store.
fn refused(store: &Store, args: &[&str]) -> Output {
    let folder = TempDir::new();
    let config = folder.write("host.ini", &settings("host-1", store.addr));
    let mut command = Command::new(env!("CARGO_BIN_EXE_chiveway"));
    let command = command.arg("refused").args(args).arg("-c").arg(config);
    command.output().expect("the program runs")
}

fn stdout(output: &Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Key of a refused request, and of a refused part.
const KEYS: [&str; 2] = ["poison/00000000000000aa", "parts/00000000000000bb"];

/// Returns a store with a refused request, a refused part and other keys.
fn store() -> Store {
    let store = Store::start();
    let request = json!({"servers": [[1, 2], [3, 4]], "last_ms": 5});
    let part = json!({"depth": 1, "customers": [7], "servers": [[1, 2, 3], [3, 4, 9], [5, 6, 7]], "since_ms": 3});
    store.put(&format!("chiveway/{}", KEYS[0]), &request);
    store.put(&format!("chiveway/{}", KEYS[1]), &part);
    store.put("chiveway/hosts/host-1", &json!({}));
    store.put("poison/00000000000000cc", &request);
    store
}

#[test]
fn refusals_are_listed() {
    let store = store();
    let json: Value =
        serde_json::from_str(&stdout(&refused(&store, &["get", "--json"]))).expect("JSON");
    assert_eq!(json[0]["key"], KEYS[0]);
    assert_eq!(
        (&json[0]["kind"], &json[0]["value"]["last_ms"]),
        (&json!("request"), &json!(5))
    );
    assert_eq!(json[1]["key"], KEYS[1]);
    assert_eq!(
        (&json[1]["kind"], &json[1]["value"]["depth"]),
        (&json!("part"), &json!(1))
    );
    assert_eq!(json.as_array().map(Vec::len), Some(2));
    let table = stdout(&refused(&store, &["get"]));
    let row = |key: &str| {
        table
            .lines()
            .find(|line| line.contains(key))
            .map(str::to_owned)
    };
    let request = row(KEYS[0]).unwrap_or_else(|| panic!("{table}"));
    assert!(
        request.contains("request") && request.contains(" 2 "),
        "{table}"
    );
    assert!(request.contains(" s ago"), "{table}");
    assert!(
        row(KEYS[1]).is_some_and(|row| row.contains("part")),
        "{table}"
    );
}

#[test]
fn a_refusal_is_lifted_by_its_key() {
    let store = store();
    stdout(&refused(&store, &["lift", KEYS[1]]));
    assert!(!store.has_prefix("chiveway/parts/"));
    assert!(store.has_prefix(&format!("chiveway/{}", KEYS[0])));
    stdout(&refused(&store, &["lift", KEYS[0]]));
    assert_eq!(
        stdout(&refused(&store, &["get"])).trim(),
        "nothing is refused"
    );
}

/// Guards against a mistyped key that seems to be lifted, and against the removal of another key of the hosts.
#[test]
fn only_what_is_refused_can_be_lifted() {
    let store = store();
    for key in ["parts/00000000000000aa", "hosts/host-1", "parts/", ""] {
        let error = stderr(&refused(&store, &["lift", key]));
        assert!(error.contains(&format!("{key:?}")), "{error}");
        assert!(
            error.contains(KEYS[0]) && error.contains(KEYS[1]),
            "{error}"
        );
    }
    assert!(store.has_prefix("chiveway/hosts/host-1"));
}

/// Guards against a list that looks empty while the store is down.
#[test]
fn a_store_that_is_down_is_named() {
    let store = store();
    store.go_down();
    let error = stderr(&refused(&store, &["get"]));
    assert!(error.contains(&store.addr.to_string()), "{error}");
}

/// Guards against a host that refuses a request on after an operator has lifted that.
#[test]
fn a_lifted_request_is_served() {
    let crashing = ["s-1", "s-2"].map(Engine::plain);
    for server in &crashing {
        server.crash_on(b"body");
    }
    let site = Site::ready(&crashing.each_ref());
    let is_refused = |id: &str| {
        let answer = site.send("/once/x", id, &[]);
        answer.is_some_and(|answer| answer.text().contains("engine-killer"))
    };
    wait_for("the request to be refused", || is_refused("id-1"));
    wait_for("the request in the store", || {
        site.store.has_prefix("chiveway/poison/")
    });
    let sound = Engine::plain("s-3");
    site.store.put("servers/s-3", &sound.entry("ready"));
    wait_for("an answer to another request", || {
        let headers = [("x-chiveway-attempt-id", "id-2")];
        let answer = http::send(site.callers, "POST", "/once/x", &headers, b"other");
        answer.is_some_and(|answer| answer.status == 200)
    });
    for server in &crashing {
        site.store.remove(&format!("servers/{}", server.id));
    }
    assert!(is_refused("id-3"));
    let listed = stdout(&refused(&site.store, &["get", "--json"]));
    let listed: Value = serde_json::from_str(&listed).expect("JSON");
    stdout(&refused(
        &site.store,
        &["lift", listed[0]["key"].as_str().expect("a key")],
    ));
    wait_for("the request to be served", || {
        let answer = site.send("/once/x", "id-4", &[]);
        answer.is_some_and(|answer| answer.status == 200)
    });
}
