//! Settings of a host that relays requests along an operator's routes.

use std::net::SocketAddr;
use std::time::Duration;

use super::keys::{key, need};
use super::parse::one;
use super::{HostSettings, Limits, PlatformSettings, Secret, Settings};
use crate::core::relay::budget::BudgetRules;
use crate::form::{self, Form};
use crate::sections::{Document, Fault, Key, Kind, Label, Section};
use crate::units;

/// Everything such a host is told beside its name and listeners.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Listener for the readiness check.
    pub readiness: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Where the store listens.
    pub store: SocketAddr,
    /// Time the store's leases live at least.
    pub lease_least: Duration,
    /// Time for which a lapsed authority is still counted as held.
    pub lease: Duration,
    /// The budget of repeats.
    pub budget: BudgetRules,
    /// What weighs how much in decisions.
    pub policy: Policy,
}

/// Weights of decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Part of the engines that prefill for others, before anything is measured.
    pub prefill: f64,
    /// Milliseconds of delay that a kilobyte between failure domains is worth.
    pub crossing: f64,
    /// Weight of engine time against the delay of the request itself.
    pub work: f64,
    /// Weight of engine time at an engine that decodes, against that at one that prefills: all
    /// that it generates waits meanwhile.
    pub beside: f64,
    /// Times the wanted time up to which a request counts as in time.
    pub patience: f64,
}

/// Sections of such a host's settings.
pub const KINDS: &[Kind] = &[
    Kind {
        word: "relay",
        label: Label::None,
        keys: RELAY,
    },
    Kind {
        word: "store",
        label: Label::None,
        keys: STORE,
    },
    Kind {
        word: "bounds",
        label: Label::None,
        keys: BOUNDS,
    },
    Kind {
        word: "limits",
        label: Label::None,
        keys: super::keys::LIMITS,
    },
    Kind {
        word: "policy",
        label: Label::None,
        keys: POLICY,
    },
    Kind {
        word: "log",
        label: Label::None,
        keys: super::keys::LOG,
    },
];

/// Longest time that makes sense in these settings.
const MOST: Duration = Duration::from_hours(1);
/// Shortest time that makes sense in these settings.
const LEAST: Duration = Duration::from_millis(1);
/// Rates and weights above this are slips of the keyboard.
const MANY: f64 = 1e6;

const RELAY: &[Key] = &[
    need(
        "name",
        Form::Word,
        "name of this host, unique in the deployment",
    ),
    need("region", Form::Word, "region the host stands in"),
    need("domain", Form::Word, "failure domain the host stands in"),
    need("callers", Form::Address, "listener for callers"),
    need(
        "readiness",
        Form::Address,
        "listener for the readiness check",
    ),
    need("peers", Form::Address, "address for other hosts (UDP)"),
    need("metrics", Form::Address, "listener for metrics"),
];

const STORE: &[Key] = &[
    need("addr", Form::Address, "where the store listens"),
    key(
        "lease-least",
        Form::Span(LEAST, MOST),
        "1s",
        "shortest life of a lease",
    ),
];

const BOUNDS: &[Key] = &[
    key(
        "grace",
        Form::Span(LEAST, MOST),
        "8s",
        "time a planned stop may take",
    ),
    key(
        "lease",
        Form::Span(LEAST, MOST),
        "3s",
        "life of the authority to give orders",
    ),
    key(
        "repeat-ratio",
        Form::Number(0.0, 1.0),
        "0.2",
        "repeats for each request",
    ),
    key(
        "repeat-window",
        Form::Span(LEAST, MOST),
        "10s",
        "span over which repeats are counted",
    ),
    key(
        "repeat-slack",
        Form::Number(0.0, MANY),
        "50",
        "repeats beyond the ratio",
    ),
];

const POLICY: &[Key] = &[
    key(
        "prefill",
        Form::Number(0.0, 1.0),
        "0.5",
        "part of the engines that prefill at first",
    ),
    key(
        "crossing",
        Form::Number(0.0, MANY),
        "0.5",
        "delay in ms worth a kilobyte between domains",
    ),
    key(
        "work",
        Form::Number(0.0, MANY),
        "1.5",
        "weight of engine time against delay",
    ),
    key(
        "beside",
        Form::Number(0.0, MANY),
        "2.5",
        "weight of engine time where others are generated for, against where nothing is",
    ),
    key(
        "patience",
        Form::Number(0.0, MANY),
        "1",
        "times the wanted time that count as in time",
    ),
];

/// Tells whether the text is that of a relaying host.
#[must_use]
pub fn is_relay(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[relay]")
}

impl Settings {
    /// Reads and checks the settings of a relaying host; `file` names the origin in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub fn parse_relay(text: &str, file: &str) -> Result<Self, Vec<Fault>> {
        let doc = Document::read(text, file, KINDS);
        if !doc.faults.is_empty() {
            return Err(doc.faults);
        }
        Ok(build(&doc.sections))
    }
}

fn build(sections: &[Section]) -> Settings {
    let relay = one(sections, "relay");
    let store = one(sections, "store");
    let bounds = one(sections, "bounds");
    let policy = one(sections, "policy");
    let time = |section: &Section, key: &str| section.read(key, units::fractional_time);
    let number = |section: &Section, key: &str| section.read(key, units::number);
    let addr = |section: &Section, key: &str| section.read(key, form::address);
    Settings {
        host: HostSettings {
            name: relay.get("name").into(),
            region: relay.get("region").into(),
            domain: relay.get("domain").into(),
            callers: addr(relay, "callers"),
            operators: addr(relay, "readiness"),
            peers: addr(relay, "peers"),
            advertise: None,
            // The store hands the hosts a secret of their own.
            secret: Secret::new(""),
            operator_hash: [0; 32],
        },
        platform: PlatformSettings {
            kv: Vec::new(),
            list: addr(store, "addr"),
            prefix: "".into(),
            refresh: Duration::from_secs(1),
            lease: Duration::from_secs(10),
        },
        limits: Limits {
            stop: time(bounds, "grace"),
            ..super::parse::limits(one(sections, "limits"))
        },
        pools: std::collections::BTreeMap::new(),
        services: std::collections::BTreeMap::new(),
        log: super::parse::log(one(sections, "log")),
        relay: Some(RelaySettings {
            readiness: addr(relay, "readiness"),
            metrics: addr(relay, "metrics"),
            store: addr(store, "addr"),
            lease_least: time(store, "lease-least"),
            lease: time(bounds, "lease"),
            budget: BudgetRules {
                ratio: number(bounds, "repeat-ratio"),
                window: time(bounds, "repeat-window"),
                slack: number(bounds, "repeat-slack"),
            },
            policy: Policy {
                prefill: number(policy, "prefill"),
                crossing: number(policy, "crossing"),
                work: number(policy, "work"),
                beside: number(policy, "beside"),
                patience: number(policy, "patience"),
            },
        }),
    }
}
