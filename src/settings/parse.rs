//! Settings from INI text, with every fault reported.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::keys::KINDS;
use super::{
    Fencing, HostSettings, Limits, LogForm, LogSettings, PlatformSettings, PoolSettings, Secret,
    ServiceSettings, Settings,
};
use crate::form;
use crate::sections::{Document, Fault, Section};
use crate::units;

impl Settings {
    /// Reads and checks the settings of one host; `file` names the origin in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault of form; the sections are compared with each other once all are
    /// well-formed.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Fault>> {
        let mut doc = Document::read(text, file, KINDS);
        if !doc.faults.is_empty() {
            return Err(doc.faults);
        }
        let settings = build(&doc.sections);
        cross(&settings, &mut doc);
        if doc.faults.is_empty() {
            Ok(settings)
        } else {
            Err(doc.faults)
        }
    }
}

fn build(sections: &[Section]) -> Settings {
    Settings {
        host: host(one(sections, "host")),
        platform: platform(one(sections, "platform")),
        limits: limits(one(sections, "limits")),
        pools: named(sections, "pool", pool),
        services: named(sections, "service", |section| ServiceSettings {
            timeout: time(section, "timeout"),
        }),
        log: log(one(sections, "log")),
        relay: None,
    }
}

/// Returns the section that stands once; the document adds it where it is absent.
pub(super) fn one<'a>(sections: &'a [Section], word: &str) -> &'a Section {
    let section = sections.iter().find(|section| section.word() == word);
    section.expect("the document holds every unnamed section")
}

fn named<T>(
    sections: &[Section],
    word: &str,
    read: impl Fn(&Section) -> T,
) -> BTreeMap<Box<str>, T> {
    let of_kind = sections.iter().filter(|section| section.word() == word);
    of_kind
        .map(|section| (section.name.clone(), read(section)))
        .collect()
}

fn host(section: &Section) -> HostSettings {
    HostSettings {
        name: section.get("name").into(),
        region: section.get("region").into(),
        domain: section.get("domain").into(),
        callers: section.read("callers", form::address),
        operators: section.read("operators", form::address),
        peers: section.read("peers", form::address),
        advertise: form::address(section.get("advertise")),
        secret: Secret::new(section.get("secret")),
        operator_hash: section.read("operator-key-hash", form::hash).0,
    }
}

fn platform(section: &Section) -> PlatformSettings {
    PlatformSettings {
        kv: section.read("kv", addresses),
        list: section.read("list", form::address),
        prefix: section.get("prefix").into(),
        refresh: time(section, "refresh"),
        lease: time(section, "lease"),
    }
}

pub(super) fn limits(section: &Section) -> Limits {
    Limits {
        body: section.read("body", units::size),
        body_time: time(section, "body-time"),
        first_silence: time(section, "first-silence"),
        token_silence: time(section, "token-silence"),
        stop: time(section, "stop"),
        cut_off: time(section, "cut-off"),
        drain: time(section, "drain"),
        requests: section.read("requests", units::count),
    }
}

fn pool(section: &Section) -> PoolSettings {
    PoolSettings {
        model: section.get("model").into(),
        fencing: section.read("fencing", Fencing::from_word),
        first_token: time(section, "first-token"),
        between: time(section, "between"),
        split: section.read("split", units::boolean),
        goodput: section.read("goodput", units::number),
        change: section.read("change", units::number),
        prefill: section.read("prefill", units::number),
        decode: section.read("decode", units::number),
        slots: section.read("slots", units::count),
        piece: section.read("piece", units::count),
    }
}

pub(super) fn log(section: &Section) -> LogSettings {
    LogSettings {
        level: section.read("level", |text| text.parse().ok()),
        form: section.read("form", |text| match text {
            "text" => Some(LogForm::Text),
            "json" => Some(LogForm::Json),
            _ => None,
        }),
    }
}

fn time(section: &Section, key: &str) -> Duration {
    section.read(key, units::time)
}

fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    form::items(text).map(form::address).collect()
}

impl Fencing {
    /// Reads `checks` or `ignores`.
    #[must_use]
    pub fn from_word(word: &str) -> Option<Self> {
        match word {
            "checks" => Some(Self::Checks),
            "ignores" => Some(Self::Ignores),
            _ => None,
        }
    }
}

/// Compares sections with each other.
fn cross(settings: &Settings, doc: &mut Document) {
    listeners(settings, doc);
    times(settings, doc);
    models(settings, doc);
    if settings.pools.is_empty() && settings.services.is_empty() {
        let allowed = "at least one [pool NAME] or [service NAME]";
        doc.fault("", "", "nothing to serve", allowed);
    }
}

fn listeners(settings: &Settings, doc: &mut Document) {
    let host = &settings.host;
    let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    let listeners = [
        ("callers", host.callers),
        ("operators", host.operators),
        ("peers", host.peers),
    ];
    for (key, addr) in listeners {
        // Port 0 asks the kernel for a free port, so that two of them differ.
        if addr.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(addr, key) {
            let allowed = format!("an address other than that of {other}");
            doc.fault("host", key, &addr.to_string(), &allowed);
        }
    }
}

fn times(settings: &Settings, doc: &mut Document) {
    let platform = &settings.platform;
    let mut longer = |section: &str, key: &str, value: Duration| {
        if value <= platform.refresh {
            let refresh = units::show_time(platform.refresh);
            let allowed = format!("a time longer than [platform] refresh, which is {refresh}");
            doc.fault(section, key, &units::show_time(value), &allowed);
        }
    };
    longer("platform", "lease", platform.lease);
    longer("limits", "cut-off", settings.limits.cut_off);
}

fn models(settings: &Settings, doc: &mut Document) {
    let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, pool) in &settings.pools {
        if let Some(other) = seen.insert(&pool.model, name) {
            let allowed = format!("a model that [pool {other}] does not serve");
            doc.fault(&format!("pool {name}"), "model", &pool.model, &allowed);
        }
    }
}
