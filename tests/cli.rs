//! Runs the commands of the real program, against a fake operators' listener where one is needed.

mod common;

use std::fs;
use std::path::PathBuf;

use common::chiveway;
use common::operator_api::{FakeOperatorApi, Fault, KEY};

const PLANS: &str = "[customer Sønderborg Kunstforening]\nplan = guld\n";
const SERVICE_SETTINGS: &str = "[plan guld]\nrequests = 50/s\n";

/// Writes a file to the build's temporary folder; returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Defines one test for each case: arguments, and a text expected on standard output.
macro_rules! prints {
    ($($name:ident: $args:literal => $text:expr;)+) => {
        $(#[test]
        fn $name() {
            chiveway().args($args).succeeds().stdout_contains($text);
        })+
    };
}

prints! {
    help_lists_commands: "--help" => "explain          Explains how a request was handled, and why\n";
    short_help: "-h" => "Exit codes: 0 done, 1 failed, 2 wrong usage.";
    help_of_a_command_group: "plans --help" => "  plans apply  Puts a file of customers' plans in force\n";
    help_of_host: "host --help" => "  --config FILE  Settings of the host; also -c\n";
    help_shows_defaults: "try --help" => "  --hosts N  Hosts to run [default: 3]\n";
    help_of_refusals: "refused lift --help" => "Usage: chiveway refused lift KEY [OPTIONS]";
    help_lists_settings: "check --help" => "  refresh  Time between two reads of the list [default: 1s]\n";
    help_lists_keys_of_a_list: "use check --help" => "\n[service NAME]\n  repeat  Calls that may be retried;";
    help_after_arguments: "plans apply --file x --help" => "Usage: chiveway plans apply [OPTIONS]";
    version: "--version" => concat!("chiveway ", env!("CARGO_PKG_VERSION"), "\n");
    version_of_a_command: "status --version" => concat!("chiveway ", env!("CARGO_PKG_VERSION"));
    fristvagt_settings: "check examples/fristvagt/host.ini" => "examples/fristvagt/host.ini: no fault\n";
    buzkulube_settings: "check examples/buzkulube/host.ini" => "examples/buzkulube/host.ini: no fault\n";
    fristvagt_plans: "plans check --file examples/fristvagt/plans.ini" => "no fault";
    fristvagt_uses: "use check --file examples/fristvagt/use.ini" => "no fault";
    buzkulube_plans: "plans check --file examples/buzkulube/plans.ini" => "no fault";
    buzkulube_uses: "use check --file examples/buzkulube/use.ini" => "no fault";
}

/// Defines one test for each case: wrong arguments, and a text expected on standard error.
macro_rules! usage_errors {
    ($($name:ident: $args:literal => $text:expr;)+) => {
        $(#[test]
        fn $name() {
            let done = chiveway().args($args).exits_with(2).stderr_contains($text);
            assert_eq!(done.stdout(), "");
        })+
    };
}

usage_errors! {
    no_command: "" => "error: Name one of the commands: host, check, plans get,";
    unknown_command: "serve" => "Unknown command \"serve\"; use one of host, check,";
    unknown_verb: "plans put" => "use one of plans get, plans edit, plans check, plans diff, plans apply.\nFor help: chiveway plans --help\n";
    no_verb: "use" => "Name one of the commands: use get,";
    unknown_option: "status --jsn" => "For help: chiveway status --help";
    option_of_another_kind: "standin kv --speed 1" => "Unknown option \"--speed\"; use --listen, --lag.";
    option_twice: "try --hosts 1 --hosts 2" => "Give --hosts once.";
    value_missing: "host -c" => "Give -c a value.";
    value_is_an_option: "plans apply --file --wait" => "Give --file a value.";
    value_out_of_range: "try --hosts 0" => "--hosts given \"0\", allowed a whole number from 1 to 16.";
    value_without_unit: "standin kv --lag 2" => "--lag given \"2\", allowed a time with its unit";
    settings_missing: "host" => "Name the settings: -c FILE.";
    refusals_without_settings: "refused get" => "Name the settings: -c FILE.";
    refusals_without_a_key: "refused lift -c host.ini" => "Give one key, as \"refused get\" lists it.";
    two_refusals: "refused lift a b -c host.ini" => "Give one key, as \"refused get\" lists it.";
    extra_argument: "hash key" => "Leave out key.";
    files_missing: "check" => "Name at least one settings file.";
    two_ids: "explain a b --operators 127.0.0.1:1" => "Give one request id.";
    address_missing: "status" => "Give --operators IP:PORT, operators' listener of any host.";
}

#[test]
fn check_prints_every_fault_of_every_file() {
    let first = write_file(
        "check-one.ini",
        "[host]\nname = ærø\nnom = x\n[pool a]\nmodel = m\nfencing = maybe\n",
    );
    let second = write_file("check-two.ini", "[platform\n");
    let done = chiveway()
        .args("check")
        .arg(first.to_str().unwrap())
        .arg(second.to_str().unwrap())
        .exits_with(1)
        .stdout_contains(
            "check-one.ini: [host] nom given an unknown key, allowed only the keys name,",
        )
        .stdout_contains(
            "check-one.ini: [pool a] fencing given \"maybe\", allowed one of checks, ignores\n",
        )
        .stdout_contains("check-one.ini: [platform] kv given nothing, allowed")
        .stdout_contains("check-two.ini: given a syntax error at line 2, allowed")
        .stderr_contains("error: 12 faults; correct them and check again\n");
    assert_eq!(done.stdout().lines().count(), 12);
}

/// Guards against a command that calls an address it made up: settings of another kind of host name no store of refusals.
#[test]
fn refusals_need_the_settings_of_a_relaying_host() {
    let args = "refused get -c examples/fristvagt/host.ini";
    let done = chiveway().args(args).exits_with(1);
    done.stderr_contains("error: examples/fristvagt/host.ini names no store: give the settings");
}

/// Guards against settings with faults that are used as far as they go.
#[test]
fn refusals_need_settings_without_faults() {
    let file = write_file(
        "refused.ini",
        "[relay]\nname = a\n[store]\naddr = nowhere\n",
    );
    let args = chiveway().args("refused get -c");
    let done = args.arg(file.to_str().unwrap()).exits_with(1);
    done.stderr_contains("correct these faults and try again:\n")
        .stderr_contains("refused.ini: [store] addr given \"nowhere\", allowed");
}

#[test]
fn check_names_a_missing_file() {
    let done = chiveway().args("check no-such.ini").exits_with(1);
    done.stderr_contains("error: cannot read no-such.ini: ");
}

#[test]
fn hash_reads_a_key_without_its_line_end() {
    let hash = blake3::hash("nøgle".as_bytes()).to_hex();
    let done = chiveway().args("hash").stdin("nøgle\n").succeeds();
    assert_eq!(done.stdout(), format!("{hash}\n"));
    chiveway()
        .args("hash")
        .exits_with(1)
        .stderr_contains("no key on standard input");
}

#[test]
fn list_is_fetched_edited_compared_and_applied() {
    let console = FakeOperatorApi::start(PLANS, SERVICE_SETTINGS, Fault::None);
    let access = console.cli_args();
    let path = write_file("edited.ini", "");
    let on_file = |verb: &str| {
        let run = chiveway().args(&format!("plans {verb} {access} --file"));
        run.arg(path.to_str().unwrap()).key(KEY)
    };
    on_file("edit")
        .succeeds()
        .stdout_contains("fetched revision 1 into");
    let text = fs::read_to_string(&path).unwrap();
    assert!(text.starts_with("# revision 1\n"), "{text}");
    on_file("diff")
        .succeeds()
        .stdout_contains("no difference\n");

    fs::write(&path, format!("{text}\n[customer Çıldır]\nplan = sølv\n")).unwrap();
    on_file("diff")
        .succeeds()
        .stdout_contains("+ customer Çıldır\n");
    on_file("check")
        .exits_with(1)
        .stderr_contains("plans: [customer Çıldır] plan given the unknown plan sølv, allowed");
    fs::write(&path, format!("{text}\n[customer Çıldır]\nplan = guld\n")).unwrap();
    on_file("check").succeeds().stdout_contains("no fault");
    on_file("apply --wait")
        .succeeds()
        .stdout_contains("revision 2 is accepted\nin force on\n  dk-øst-1  2\n  dk-øst-2  2\n");
    let get = chiveway().args(&format!("plans get {access}")).key(KEY);
    get.succeeds()
        .stdout_contains("[customer Çıldır]\nplan = guld\n");
}

/// Two operators fetch the same revision and both apply an edit. Guards against the second overwriting the
/// first: it is refused, with the difference to the first edit.
#[test]
fn second_of_two_concurrent_edits_gets_a_diff() {
    let console = FakeOperatorApi::start(PLANS, SERVICE_SETTINGS, Fault::None);
    let apply = |path: &PathBuf| {
        let run = chiveway().args(&format!("plans apply {} --file", console.cli_args()));
        run.arg(path.to_str().unwrap()).key(KEY)
    };
    let first = write_file("first.ini", "# revision 1\n[customer Ærø]\nplan = guld\n");
    let second = write_file(
        "second.ini",
        "# revision 1\n[customer Ålborg]\nplan = guld\n",
    );
    apply(&first)
        .succeeds()
        .stdout_contains("revision 2 is accepted\n");
    apply(&second)
        .exits_with(1)
        .stderr_contains("error: revision 2 came first; nothing was changed. From your file to")
        .stderr_contains("- customer Ålborg\n+ customer Ærø\n");
}

/// The host accepts an edit and its answer is lost. Guards against a conflict with the operator's own edit
/// when the file is applied again.
#[test]
fn edit_with_a_lost_answer_can_be_retried() {
    let console = FakeOperatorApi::start(PLANS, SERVICE_SETTINGS, Fault::LostAnswer);
    let path = write_file("lost.ini", "# revision 1\n[customer Ærø]\nplan = guld\n");
    let apply = || {
        let run = chiveway().args(&format!("plans apply {} --file", console.cli_args()));
        run.arg(path.to_str().unwrap()).key(KEY)
    };
    apply()
        .exits_with(1)
        .stderr_contains("the edit may have been accepted");
    apply()
        .succeeds()
        .stdout_contains("revision 2 is accepted\n");
}

/// Defines one test for each case: a file, the host's fault, a key, and the expected message.
macro_rules! refused {
    ($($name:ident: $text:literal, $fault:ident, $key:expr => $message:literal;)+) => {
        $(#[test]
        fn $name() {
            let console = FakeOperatorApi::start(PLANS, SERVICE_SETTINGS, Fault::$fault);
            let path = write_file(concat!(stringify!($name), ".ini"), $text);
            chiveway()
                .args(&format!("plans apply {} --file", console.cli_args()))
                .arg(path.to_str().unwrap())
                .key($key)
                .exits_with(1)
                .stderr_contains($message);
            let get = chiveway().args(&format!("plans get {}", console.cli_args()));
            assert_eq!(get.key(KEY).succeeds().stdout(), PLANS);
        })+
    };
}

refused! {
    faults_found_by_the_host: "# revision 1\n[customer a]\nplan = b\n", InvalidLists, KEY =>
        "correct these faults and try again:\nplans: first fault\nplans: second fault\n";
    faults_found_before_sending: "# revision 1\n[customer a]\n", None, KEY =>
        "[customer a] plan given nothing, allowed";
    edit_while_the_store_is_down: "# revision 1\n[customer a]\nplan = b\n", StoreDown, KEY =>
        "refused with status 503: The store is down.\n";
    wrong_key: "# revision 1\n[customer a]\nplan = b\n", None, "other" =>
        "refused with status 401: the operators' key is wrong";
    no_key: "# revision 1\n[customer a]\nplan = b\n", None, "" =>
        "error: no operators' key: set CHIVEWAY_OPERATOR_KEY or give --key-file FILE";
    no_revision: "[customer a]\nplan = b\n", None, KEY =>
        "the file has no line \"# revision N\"";
}

#[test]
fn explanation_is_printed_as_text_or_json() {
    let console = FakeOperatorApi::start(PLANS, SERVICE_SETTINGS, Fault::None);
    let key_file = write_file("key.txt", &format!("{KEY}\n"));
    let explain = |args: &str| {
        let run = chiveway().args(&format!("explain {args} {} --key-file", console.cli_args()));
        run.arg(key_file.to_str().unwrap())
    };
    explain("rød/7")
        .succeeds()
        .stdout_contains("id    rød/7\nran   yes\nsaid  a\u{fffd}[2Jb\n")
        .stdout_contains(
            "attempts:\n  backend      ended  reason\n  raadgiver-1  12 ms  least work\n",
        );
    let json = explain("rød/7 --json").succeeds().stdout();
    let value: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(value["id"], "rød/7");
    explain("gone")
        .exits_with(1)
        .stderr_contains("refused with status 404: The id has aged out.");
}
