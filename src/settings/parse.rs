//! Parsing of settings from INI text; every fault is reported.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::keys::SECTIONS;
use super::{
    Fencing, HostSettings, Limits, LogFormat, LogSettings, PlatformSettings, PoolSettings, Secret,
    ServiceSettings, Settings,
};
use crate::form;
use crate::sections::{Document, Fault, Section};
use crate::units;

impl Settings {
    /// Parses and checks the settings of one host; `file` is the origin reported in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault of single keys and sections. Checks across sections run only if there
    /// is none.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Fault>> {
        let mut doc = Document::parse(text, file, SECTIONS);
        if !doc.faults.is_empty() {
            return Err(doc.faults);
        }
        let settings = build(&doc.sections);
        check_sections(&settings, &mut doc);
        if doc.faults.is_empty() {
            Ok(settings)
        } else {
            Err(doc.faults)
        }
    }
}

fn build(sections: &[Section]) -> Settings {
    Settings {
        host: parse_host(single_section(sections, "host")),
        platform: parse_platform(single_section(sections, "platform")),
        limits: parse_limits(single_section(sections, "limits")),
        pools: named_sections(sections, "pool", parse_pool),
        services: named_sections(sections, "service", |section| ServiceSettings {
            timeout: parse_time(section, "timeout"),
        }),
        log: parse_log(single_section(sections, "log")),
        relay: None,
    }
}

/// Returns the only section of a kind without a name; [`Document::parse`] adds it if it is absent.
pub(super) fn single_section<'a>(sections: &'a [Section], keyword: &str) -> &'a Section {
    let section = sections.iter().find(|section| section.keyword() == keyword);
    section.expect("the document holds every section without a name")
}

fn named_sections<T>(
    sections: &[Section],
    keyword: &str,
    read: impl Fn(&Section) -> T,
) -> BTreeMap<Box<str>, T> {
    let of_kind = sections
        .iter()
        .filter(|section| section.keyword() == keyword);
    of_kind
        .map(|section| (section.name.clone(), read(section)))
        .collect()
}

fn parse_host(section: &Section) -> HostSettings {
    HostSettings {
        name: section.get("name").into(),
        region: section.get("region").into(),
        domain: section.get("domain").into(),
        callers: section.read("callers", form::parse_address),
        operators: section.read("operators", form::parse_address),
        peers: section.read("peers", form::parse_address),
        advertise: form::parse_address(section.get("advertise")),
        secret: Secret::new(section.get("secret")),
        operator_key_hash: section.read("operator-key-hash", form::parse_hash).0,
    }
}

fn parse_platform(section: &Section) -> PlatformSettings {
    PlatformSettings {
        kv: section.read("kv", parse_addresses),
        list: section.read("list", form::parse_address),
        prefix: section.get("prefix").into(),
        refresh_interval: parse_time(section, "refresh"),
        lease_ttl: parse_time(section, "lease"),
    }
}

pub(super) fn parse_limits(section: &Section) -> Limits {
    Limits {
        max_body_bytes: section.read("body", units::size),
        body_timeout: parse_time(section, "body-time"),
        first_token_timeout: parse_time(section, "first-silence"),
        token_gap_timeout: parse_time(section, "token-silence"),
        stop_timeout: parse_time(section, "stop"),
        cut_off: parse_time(section, "cut-off"),
        drain_timeout: parse_time(section, "drain"),
        max_requests: section.read("requests", units::count),
    }
}

fn parse_pool(section: &Section) -> PoolSettings {
    PoolSettings {
        model: section.get("model").into(),
        fencing: section.read("fencing", Fencing::from_name),
        first_token: parse_time(section, "first-token"),
        token_gap: parse_time(section, "between"),
        split: section.read("split", units::boolean),
        goodput_weight: section.read("goodput", units::number),
        change_cost: section.read("change", units::number),
        prefill_rate: section.read("prefill", units::number),
        decode_rate: section.read("decode", units::number),
        max_streams: section.read("slots", units::count),
        block_tokens: section.read("piece", units::count),
    }
}

pub(super) fn parse_log(section: &Section) -> LogSettings {
    LogSettings {
        level: section.read("level", |text| text.parse().ok()),
        format: section.read("form", |text| match text {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        }),
    }
}

fn parse_time(section: &Section, key: &str) -> Duration {
    section.read(key, units::time)
}

fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    form::split_items(text).map(form::parse_address).collect()
}

impl Fencing {
    /// Parses `checks` or `ignores`.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "checks" => Some(Self::Checks),
            "ignores" => Some(Self::Ignores),
            _ => None,
        }
    }
}

/// Checks sections against each other.
fn check_sections(settings: &Settings, doc: &mut Document) {
    check_listeners(settings, doc);
    check_times(settings, doc);
    check_models(settings, doc);
    if settings.pools.is_empty() && settings.services.is_empty() {
        let allowed = "at least one [pool NAME] or [service NAME]";
        doc.add_fault("", "", "nothing to serve", allowed);
    }
}

fn check_listeners(settings: &Settings, doc: &mut Document) {
    let host = &settings.host;
    let mut keys: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    let listeners = [
        ("callers", host.callers),
        ("operators", host.operators),
        ("peers", host.peers),
    ];
    for (key, addr) in listeners {
        // Port 0 lets the kernel choose a free port, so two such listeners do not collide.
        if addr.port() == 0 {
            continue;
        }
        if let Some(other) = keys.insert(addr, key) {
            let allowed = format!("an address other than that of {other}");
            doc.add_fault("host", key, &addr.to_string(), &allowed);
        }
    }
}

fn check_times(settings: &Settings, doc: &mut Document) {
    let platform = &settings.platform;
    let mut check_longer = |section: &str, key: &str, value: Duration| {
        if value <= platform.refresh_interval {
            let refresh = units::show_time(platform.refresh_interval);
            let allowed = format!("a time longer than [platform] refresh, which is {refresh}");
            doc.add_fault(section, key, &units::show_time(value), &allowed);
        }
    };
    check_longer("platform", "lease", platform.lease_ttl);
    check_longer("limits", "cut-off", settings.limits.cut_off);
}

fn check_models(settings: &Settings, doc: &mut Document) {
    let mut pools: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, pool) in &settings.pools {
        if let Some(other) = pools.insert(&pool.model, name) {
            let allowed = format!("a model that [pool {other}] does not serve");
            doc.add_fault(&format!("pool {name}"), "model", &pool.model, &allowed);
        }
    }
}
