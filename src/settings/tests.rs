//! Table and property tests of the settings.

use std::time::Duration;

use proptest::prelude::*;

use super::duties::ScalingMode;
use super::{Fencing, LogFormat, Settings};

/// Minimal settings without a fault.
const MINIMAL: &str = "\
[host]
name = vært-1
region = dk-øst
domain = dk-øst-å
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
peers = 127.0.0.1:8082
secret = sixteen-bytes-ok
operator-key-hash = af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262

[platform]
kv = 127.0.0.1:2379, 127.0.0.2:2379
list = 127.0.0.1:2380

[pool kışlık]
model = buz-ğ
fencing = checks
";

fn faults(text: &str) -> Vec<String> {
    match Settings::parse(text, "host.ini") {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

/// Defines one test for each case: an edit of the minimal settings and every fault it causes.
macro_rules! faulty {
    ($($name:ident: $from:literal => $to:literal, [$($fault:literal),+ $(,)?];)+) => {
        $(#[test]
        fn $name() {
            assert!(MINIMAL.contains($from));
            let text = MINIMAL.replacen($from, $to, 1);
            assert_eq!(faults(&text), vec![$($fault),+]);
        })+
    };
}

faulty! {
    unknown_key: "[platform]\n" => "[platform]\nrefesh = 1s\n", [
        "host.ini: [platform] refesh given an unknown key, allowed only the keys kv, list, prefix, refresh, lease"];
    unknown_section: "[pool kışlık]" => "[log]\n[poll]\n[pool kışlık]", [
        "host.ini: [poll] given an unknown section, allowed [host], [platform], [limits], [pool NAME], [service NAME], [log]"];
    key_twice: "list =" => "list = 127.0.0.1:2\nlist =", [
        "host.ini: [platform] list given the key twice, allowed each key once in a section"];
    section_twice: "[platform]" => "[log]\n[log]\n[platform]", [
        "host.ini: [log] given the section twice, allowed each section once"];
    pool_without_name: "[pool kışlık]" => "[pool]", [
        r#"host.ini: [pool] given "", allowed [pool NAME] with a name of 1 to 128 bytes without spaces, commas, brackets or \"#];
    unnamed_section_with_name: "[host]" => "[log x]\n[host]", [
        r#"host.ini: [log x] given "x", allowed [log]"#];
    no_unit: "[platform]\n" => "[platform]\nrefresh = 5\n", [
        r#"host.ini: [platform] refresh given "5", allowed a time with its unit from 100ms to 1m, such as 1m"#];
    out_of_range: "[platform]\n" => "[limits]\nbody = 1GiB\n[platform]\n", [
        r#"host.ini: [limits] body given "1GiB", allowed a size with its unit from 1KiB to 256MiB, such as 256MiB"#];
    short_secret: "sixteen-bytes-ok" => "fifteen-bytes-o", [
        "host.ini: [host] secret given 15 bytes, allowed at least 16 bytes on one line"];
    host_name_for_address: "127.0.0.1:2380" => "localhost:2380", [
        r#"host.ini: [platform] list given "localhost:2380", allowed an IP address and port, such as 10.0.0.1:8080"#];
    line_without_value: "region = " => "region\nregion = ", [
        r#"host.ini: [host] given "region", allowed key = value on one line"#];
    pair_before_section: "[host]" => "a = b\n[host]", [
        r#"host.ini: a given "b", allowed keys inside a section only"#];
    same_listener: "127.0.0.1:8082" => "127.0.0.1:8080", [
        "host.ini: [host] peers given 127.0.0.1:8080, allowed an address other than that of callers"];
    lease_too_short: "[platform]\n" => "[platform]\nlease = 2s\nrefresh = 2s\n", [
        "host.ini: [platform] lease given 2s, allowed a time longer than [platform] refresh, which is 2s"];
    model_in_two_pools: "[pool kışlık]" => "[pool a]\nmodel = buz-ğ\nfencing = checks\n[pool kışlık]", [
        "host.ini: [pool kışlık] model given buz-ğ, allowed a model that [pool a] does not serve"];
    no_pool_and_no_service: "[pool kışlık]\nmodel = buz-ğ\nfencing = checks\n" => "", [
        "host.ini: given nothing to serve, allowed at least one [pool NAME] or [service NAME]"];
    several_faults: "secret = sixteen-bytes-ok\n" => "Secret = x\n", [
        "host.ini: [host] Secret given an unknown key, allowed only the keys name, region, domain, callers, operators, peers, advertise, secret, operator-key-hash",
        "host.ini: [host] secret given nothing, allowed at least 16 bytes on one line"];
}

#[test]
fn empty_text_names_every_required_key() {
    let faults = faults("");
    assert_eq!(faults.len(), 10, "{faults:#?}");
    assert!(faults.iter().all(|fault| fault.contains("given nothing")));
}

#[test]
fn defaults_apply_to_absent_keys() {
    let settings = Settings::parse(MINIMAL, "host.ini").unwrap();
    assert_eq!(&*settings.host.domain, "dk-øst-å");
    assert_eq!(settings.platform.kv.len(), 2);
    assert_eq!(settings.platform.refresh_interval, Duration::from_secs(1));
    assert_eq!(settings.limits.max_body_bytes, 8 << 20);
    assert_eq!(settings.log.level, log::LevelFilter::Info);
    assert_eq!(settings.log.format, LogFormat::Text);
    let pool = &settings.pools["kışlık"];
    assert_eq!(&*pool.model, "buz-ğ");
    assert_eq!(pool.fencing, Fencing::Checks);
    assert_eq!(pool.token_gap, Duration::from_millis(49));
    assert!(!pool.split);
}

#[test]
fn crlf_line_ends_and_indented_comments_are_accepted() {
    let text = MINIMAL.replace("[platform]", "  # a = comment\n[platform]\n; another");
    let text = format!("\u{feff}{}", text.replace('\n', "\r\n"));
    assert_eq!(faults(&text), Vec::<String>::new());
}

#[test]
fn every_default_is_valid() {
    for kind in super::keys::SECTIONS {
        for key in kind.keys {
            let default = key.default.unwrap_or_default();
            let valid = key.default.is_none() || key.form.allows(default);
            assert!(valid, "[{}] {} = {default}", kind.keyword, key.name);
        }
    }
}

/// Debug output of the settings can reach the logs. A secret in it would let any reader of the logs
/// join as a host.
#[test]
fn secrets_stay_out_of_debug_output_and_faults() {
    let settings = Settings::parse(MINIMAL, "host.ini").unwrap();
    assert!(!format!("{settings:?}").contains("sixteen-bytes"));
    let faults = faults(&MINIMAL.replace("sixteen-bytes-ok", "short-secret"));
    assert!(!faults.join("\n").contains("short-secret"));
}

/// Lines that resemble those of a settings file, in any order.
fn lines() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        "\\[(host|pool|service|log|limits|platform)?( [a-zşø]{0,3})?\\]?",
        "(name|kv|lease|refresh|body|level|timeout|secret|split)? ?[=:]? ?[0-9]{0,25}(ms|s|MiB|%)?",
        "(goodput|slots|requests) = [0-9.]{0,400}",
        ".{0,20}",
    ];
    prop::collection::vec(line, 0..12).prop_map(|lines| lines.join("\n"))
}

proptest! {
    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in prop_oneof![lines(), ".*"]) {
        if let Err(faults) = Settings::parse(&text, "x.ini") {
            prop_assert!(!faults.is_empty());
            for fault in faults {
                prop_assert!(!fault.to_string().contains('\n'));
            }
        }
    }

    #[test]
    fn arbitrary_edits_of_valid_settings_are_parsed_or_rejected(
        at in 0..MINIMAL.len(), removed in 0..20_usize, inserted in ".{0,8}",
    ) {
        let chars = |range: std::ops::Range<usize>| -> String {
            MINIMAL.chars().skip(range.start).take(range.len()).collect()
        };
        let text = chars(0..at) + &inserted + &chars(at + removed..MINIMAL.len());
        if let Err(faults) = Settings::parse(&text, "x.ini") {
            prop_assert!(!faults.is_empty());
        }
    }
}

/// Settings of a relaying host, with these lines among its duties.
fn with_duties(lines: &str) -> Result<Settings, Box<str>> {
    let text = format!(
        "[relay]\nname = a\nregion = r\ndomain = z\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n\
         peers = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n[store]\naddr = 127.0.0.1:5\n\
         [duties]\naddr = 127.0.0.1:6\n{lines}"
    );
    let settings = Settings::parse_relay(&text, "host.ini");
    settings.map_err(|faults| {
        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
        faults.join("\n").into()
    })
}

/// Guards against orders by demand that nobody has switched on.
#[test]
fn workers_follow_fixed_fractions_by_default() {
    let duties = |lines| {
        let settings = with_duties(lines).expect("valid settings");
        settings
            .relay
            .and_then(|relay| relay.duties)
            .expect("duties")
    };
    let default = duties("");
    assert_eq!(default.scaling, ScalingMode::Fixed);
    assert!((default.headroom - 2.5).abs() < f64::EPSILON);
    let given = duties("scaling = demand\nheadroom = 1\n");
    assert_eq!(given.scaling, ScalingMode::Demand);
    assert!((given.headroom - 1.0).abs() < f64::EPSILON);
}

#[test]
fn wrong_orders_of_workers_are_named() {
    for (line, allowed) in [
        (
            "headroom = 0.9",
            "headroom given \"0.9\", allowed a number from 1 to 10",
        ),
        (
            "headroom = 11",
            "headroom given \"11\", allowed a number from 1 to 10",
        ),
        (
            "scaling = load",
            "scaling given \"load\", allowed one of demand, fixed",
        ),
    ] {
        let faults = with_duties(line).expect_err("a fault");
        assert!(faults.contains(allowed), "{faults}");
    }
}
