//! Table and property tests of the lists.

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use proptest::collection::{btree_map, btree_set, vec};
use proptest::prelude::*;

use super::{
    Allowance, Chunk, Customer, JoinError, KeyHash, KeyIndex, Lists, Plans, RetryRule, Uses, check,
    chunks, diff, join,
};
use crate::form;

const HASH: &str = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262";

const USES: &str = "\
[plan guld]
models = raadgiver
services = fristportal
requests = 50/s
tokens = 20000/s
running = 40
priority = 5

[service fristportal]
repeat = GET *, POST /deadlines/search
once = POST /extensions*
";

fn plan_faults(text: &str) -> Vec<String> {
    let faults = Plans::parse(text, "plans.ini").err().unwrap_or_default();
    faults.iter().map(ToString::to_string).collect()
}

fn use_faults(text: &str) -> Vec<String> {
    let faults = Uses::parse(text, "use.ini").err().unwrap_or_default();
    faults.iter().map(ToString::to_string).collect()
}

/// Defines one test for each case: a text and the faults reported when parsing it.
macro_rules! faulty {
    ($($name:ident: $parse:ident($text:expr), [$($fault:literal),* $(,)?];)+) => {
        $(#[test]
        fn $name() {
            let expected: [&str; _] = [$($fault),*];
            assert_eq!($parse($text), expected);
        })+
    };
}

faulty! {
    customer_without_plan: plan_faults("[customer Sønderborg Kunstforening]\n"), [
        r"plans.ini: [customer Sønderborg Kunstforening] plan given nothing, allowed a name of 1 to 128 bytes without brackets, \ or control characters"];
    key_in_place_of_hash: plan_faults("[customer a]\nplan = b\nkeys = s3cret\n"), [
        r#"plans.ini: [customer a] keys given "s3cret", allowed hashes of 64 hexadecimal digits with commas between them; make them with: chiveway hash"#];
    customer_twice: plan_faults("[customer a]\nplan = b\n[customer  a ]\nplan = c\n"), [
        "plans.ini: [customer  a] given the section twice, allowed each section once"];
    customer_without_name: plan_faults("[customer]\nplan = b\n"), [
        r#"plans.ini: [customer] given "", allowed [customer NAME] with a name of 1 to 128 bytes without brackets, \ or control characters"#];
    rate_without_unit: use_faults("[plan a]\nrequests = 50\n"), [
        r#"use.ini: [plan a] requests given "50", allowed a rate above 0/s and up to 1000000000/s, such as 50/s, or none"#];
    rate_of_zero: use_faults("[plan a]\ntokens = 0/s\n"), [
        r#"use.ini: [plan a] tokens given "0/s", allowed a rate above 0/s and up to 1000000000/s, such as 50/s, or none"#];
    priority_too_high: use_faults("[plan a]\npriority = 10\n"), [
        r#"use.ini: [plan a] priority given "10", allowed a whole number from 0 to 9"#];
    rule_without_method: use_faults("[service a]\nonce = /extensions\n"), [
        r#"use.ini: [service a] once given "/extensions", allowed calls with commas between them, such as GET /deadlines, POST /extensions*; a * stands for any method, and at the end of a path for any rest"#];
    customers_in_the_wrong_list: use_faults("[customer a]\nplan = b\n"), [
        "use.ini: [customer a] given an unknown section, allowed [plan NAME], [service NAME]"];
    no_limit: use_faults("[plan a]\nrequests = none\nrunning = none\n"), [];
    rules_on_several_lines: use_faults("[service a]\nonce = POST /a\nrepeat = * *\nonce = GET /b\n"), [];
}

#[test]
fn use_list_is_parsed() {
    let uses = Uses::parse(USES, "use.ini").unwrap();
    let plan = &uses.plans["guld"];
    assert_eq!(plan.requests, Some(50.0));
    assert_eq!(plan.tokens, Some(20_000.0));
    assert_eq!(plan.running, Some(40));
    assert_eq!(plan.priority, 5);
    assert!(plan.models.contains("raadgiver"));
    assert_eq!(uses.services["fristportal"].len(), 3);
}

/// Defines one test for each case: a call and whether it may be retried.
macro_rules! calls {
    ($($name:ident: $service:literal $method:literal $path:literal => $retryable:literal;)+) => {
        $(#[test]
        fn $name() {
            let uses = Uses::parse(USES, "use.ini").unwrap();
            assert_eq!(uses.is_retryable($service, $method, $path), $retryable);
        })+
    };
}

calls! {
    get_matches_first_rule: "fristportal" "GET" "/extensions/1" => true;
    exact_path_matches: "fristportal" "POST" "/deadlines/search" => true;
    longer_path_does_not_match: "fristportal" "POST" "/deadlines/search/x" => false;
    extension_request_is_not_retryable: "fristportal" "POST" "/extensions/2026" => false;
    unmatched_put_is_not_retryable: "fristportal" "PUT" "/deadlines" => false;
    head_of_unknown_service_is_retryable: "other" "HEAD" "/" => true;
    delete_of_unknown_service_is_not_retryable: "other" "DELETE" "/" => false;
}

#[test]
fn first_matching_rule_decides() {
    let text = "[service a]\nonce = GET /pay*\nrepeat = * *\n";
    let uses = Uses::parse(text, "use.ini").unwrap();
    assert!(!uses.is_retryable("a", "GET", "/pay/1"));
    assert!(uses.is_retryable("a", "DELETE", "/x"));
}

/// Two customers with the same key, or a customer on a missing plan, pass the checks of each list
/// alone. The first would bill one customer for the other; the second would refuse every request.
#[test]
fn lists_are_checked_against_each_other() {
    let text = format!(
        "[customer a]\nplan = guld\nkeys = {HASH}\n[customer b]\nplan = x\nkeys = {HASH}\n"
    );
    let plans = Plans::parse(&text, "plans.ini").unwrap();
    let uses = Uses::parse(USES, "use.ini").unwrap();
    let faults: Vec<_> = check(&plans, &uses)
        .iter()
        .map(ToString::to_string)
        .collect();
    let key = format!(
        "plans: [customer b] keys given {HASH}, which [customer a] holds, allowed each key once in the list"
    );
    assert_eq!(
        faults,
        [
            "plans: [customer b] plan given the unknown plan x, allowed a plan with its [plan NAME] in the other list",
            &key,
        ]
    );
}

#[test]
fn differences_are_listed_by_name() {
    let old = lists(
        "[customer a]\nplan = guld\n[customer b]\nplan = guld\n",
        USES,
    );
    let new = lists(
        &format!("[customer Çıldır Gölü]\nplan = guld\n[customer b]\nplan = sølv\nkeys = {HASH}\n"),
        &USES
            .replace("50/s", "60/s")
            .replace("once = POST /extensions*\n", ""),
    );
    assert_eq!(diff(&old, &old), Vec::<Box<str>>::new());
    let lines: Vec<_> = diff(&old, &new).into_iter().map(String::from).collect();
    assert_eq!(
        lines,
        [
            "- customer a",
            "~ customer b: plan guld -> sølv",
            "~ customer b: keys nothing -> af1349b9f5f9",
            "+ customer Çıldır Gölü",
            "~ plan guld: requests 50/s -> 60/s",
            "~ service fristportal: rules repeat GET *, repeat POST /deadlines/search, once POST /extensions* -> repeat GET *, repeat POST /deadlines/search",
        ]
    );
}

#[test]
fn index_finds_owner_by_key() {
    let text = format!(
        "[customer Ærø]\nplan = guld\nkeys = {}\n",
        KeyHash::of("nøgle")
    );
    let index = KeyIndex::new(&lists(&text, USES));
    let owner = index.find("nøgle").unwrap();
    assert_eq!((&*owner.customer, &*owner.plan), ("Ærø", "guld"));
    assert_eq!(index.find("other"), None);
    assert_eq!(index.len(), 1);
}

fn lists(plans: &str, uses: &str) -> Lists {
    Lists {
        revision: 1,
        plans: Plans::parse(plans, "plans.ini").unwrap(),
        uses: Uses::parse(uses, "use.ini").unwrap(),
    }
}

/// A list of 31,000 customers, the size the lists are designed for.
fn many_plans() -> Plans {
    let customer = |number: usize| {
        let customer = Customer {
            plan: "guld".into(),
            keys: vec![KeyHash::of(&number.to_string())],
        };
        (format!("Forening {number}").into(), customer)
    };
    Plans {
        customers: (0..31_000).map(customer).collect(),
    }
}

/// Guards against an edit that changes many chunks of a list too large for one value of the store:
/// each of 630 edits per day would then write and fetch megabytes on every host.
#[test]
fn edit_of_a_large_list_changes_one_chunk() {
    const LIMIT: usize = 256 * 1024;
    let mut plans = many_plans();
    let text = plans.to_string();
    let old = chunks(&text, LIMIT);
    assert!(text.len() > 1 << 20);
    assert!(old.iter().all(|chunk| chunk.bytes.len() <= LIMIT));
    assert_eq!(&*join(&old).unwrap(), text);
    assert_eq!(Plans::parse(&text, "plans").unwrap(), plans);

    plans.customers.get_mut("Forening 17000").unwrap().plan = "sølv-med-tillæg".into();
    let new = chunks(&plans.to_string(), LIMIT);
    let known: BTreeSet<_> = old.iter().map(|chunk| chunk.hash).collect();
    let added = new.iter().filter(|chunk| !known.contains(&chunk.hash));
    assert_eq!(added.count(), 1);
}

/// A stored chunk can be damaged or belong to another list. Without the check the host would
/// apply a partial list.
#[test]
fn damaged_chunk_is_rejected() {
    let mut chunks = chunks(USES, 32);
    chunks[1].bytes[0] ^= 1;
    assert_matches!(join(&chunks), Err(JoinError::HashMismatch { chunk: 1 }));
}

/// A damaged store holds one customer in two chunks, one of them unchanged. The changed chunk is
/// valid by itself; accepting it would leave undefined which of the two plans applies.
#[test]
fn customer_in_two_chunks_is_a_fault() {
    let chunk = |text: &str| Chunk::new(text.as_bytes());
    let kept = chunk("[customer a]\nplan = guld\n");
    let old = [kept.clone(), chunk("[customer b]\nplan = guld\n")];
    let new = [kept, chunk("[customer a]\nplan = sølv\n")];
    let plans = Plans::parse(&join(&old).unwrap(), "plans").unwrap();
    let faults = plans.reparse(&old, &new, "plans").unwrap_err();
    assert_eq!(
        faults[0].to_string(),
        "plans: [customer a] given the section twice, allowed each section once"
    );
}

fn spaced_name() -> impl Strategy<Value = Box<str>> {
    prop_oneof!["[A-Za-zæøåışğÇ #;=:,]{1,12}", "\\PC{1,20}"]
        .prop_map(|name| name.trim().to_owned())
        .prop_filter("a spaced name", |name| form::is_spaced_name(name))
        .prop_map(Into::into)
}

fn name() -> impl Strategy<Value = Box<str>> {
    "[a-zæøåışğ0-9/.#;=:-]{1,10}".prop_map(Into::into)
}

fn rate() -> impl Strategy<Value = Option<f64>> {
    prop::option::of(prop_oneof![
        1e-9..1e9,
        (1..1_000_000_u32).prop_map(f64::from)
    ])
}

fn any_plans() -> impl Strategy<Value = Plans> {
    let keys = vec(any::<[u8; 32]>().prop_map(KeyHash), 0..3);
    let customer = (spaced_name(), keys).prop_map(|(plan, keys)| Customer { plan, keys });
    btree_map(spaced_name(), customer, 0..6).prop_map(|customers| Plans { customers })
}

fn any_uses() -> impl Strategy<Value = Uses> {
    let names = || btree_set(name(), 0..3);
    let running = prop::option::of(1..=1_000_000_u32);
    let allowance = (names(), names(), rate(), rate(), running, 0..=9_u8).prop_map(
        |(models, services, requests, tokens, running, priority)| Allowance {
            models,
            services,
            requests,
            tokens,
            running,
            priority,
        },
    );
    let rule = (
        "([A-Z]{1,6}|\\*)",
        "(\\*|/[a-zæøåışğ0-9/=#;?&]{0,8}\\*?)",
        any::<bool>(),
    )
        .prop_map(|(method, path, retryable)| RetryRule {
            method: method.into(),
            path: path.into(),
            retryable,
        });
    (
        btree_map(spaced_name(), allowance, 0..5),
        btree_map(name(), vec(rule, 0..6), 0..4),
    )
        .prop_map(|(plans, services)| Uses { plans, services })
}

proptest! {
    #[test]
    fn plans_round_trip(plans in any_plans()) {
        let text = plans.to_string();
        let parsed = Plans::parse(&text, "plans");
        prop_assert_eq!(parsed, Ok(plans), "{}", text);
    }

    #[test]
    fn uses_round_trip(uses in any_uses()) {
        let text = uses.to_string();
        let parsed = Uses::parse(&text, "use");
        prop_assert_eq!(parsed, Ok(uses), "{}", text);
    }

    #[test]
    fn arbitrary_text_is_parsed_or_rejected(
        text in prop_oneof![".*", "(\\[(plan|service|customer) .{0,4}\\]\n(plan|keys|once|repeat|running|requests|priority) = [0-9/s*A-Z ,.]{0,20}\n){0,4}"],
    ) {
        for faults in [Plans::parse(&text, "x").err(), Uses::parse(&text, "x").err()] {
            prop_assert!(faults.is_none_or(|faults| !faults.is_empty()));
        }
    }

    #[test]
    fn reparsing_equals_parsing(
        old in any_plans(), new in any_plans(), limit in 1..200_usize,
    ) {
        let mut mixed = old.clone();
        mixed.customers.extend(new.customers.clone());
        for (old, new) in [(&old, &mixed), (&mixed, &new), (&new, &old)] {
            let before = chunks(&old.to_string(), limit);
            let after = chunks(&new.to_string(), limit);
            let parsed = old.clone().reparse(&before, &after, "plans");
            prop_assert_eq!(parsed.as_ref().ok(), Some(new));
        }
    }

    #[test]
    fn arbitrary_text_is_joined_from_its_chunks(text in "(\\[?[a-zø]{0,9}\n?){0,60}", limit in 1..64_usize) {
        let chunks = chunks(&text, limit);
        prop_assert!(chunks.iter().all(|chunk| chunk.bytes.len() <= limit));
        let joined = join(&chunks).map(String::from);
        prop_assert_eq!(joined.as_deref(), Ok(text.as_str()));
    }
}
