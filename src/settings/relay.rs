//! Settings of a relaying host: one that forwards requests along the operator's routes.

use std::net::SocketAddr;
use std::time::Duration;

use super::duties::{self, DutySettings};
use super::keys::{optional, required};
use super::parse::single_section;
use super::{HostSettings, Limits, PlatformSettings, Secret, Settings};
use crate::core::relay::budget::BudgetRules;
use crate::form::{self, Form};
use crate::sections::{Document, Fault, KeySpec, Label, Section, SectionKind};
use crate::units;

/// Settings that only a relaying host has.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Listener for the readiness check.
    pub readiness: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Memory that the process may use; `None` if nothing bounds it.
    pub memory: Option<usize>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Minimum time to live of a lease that the store grants.
    pub min_lease: Duration,
    /// Time to live of the lease that allows orders to engines.
    pub authority_ttl: Duration,
    /// Age of the configuration up to which a host accepts keys; `None` for any age.
    pub revocation_bound: Option<Duration>,
    /// Duties that hosts carry out for the platform.
    pub duties: Option<DutySettings>,
    /// Limits on retries.
    pub retry_budget: BudgetRules,
    /// Weights of placement decisions.
    pub policy: Policy,
}

/// Weights of placement decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Fraction of the engines that prefill for others before any load is measured.
    pub prefill_fraction: f64,
    /// Milliseconds of delay that one kilobyte sent between failure domains is worth.
    pub cross_domain_ms_per_kb: f64,
    /// Weight of engine time relative to the delay of the request itself.
    pub engine_time_weight: f64,
    /// Weight of engine time at a decode engine relative to a prefill engine: a prefill delays all
    /// streams that the engine decodes.
    pub decode_engine_weight: f64,
    /// Multiple of the target time up to which a request counts as in time.
    pub target_factor: f64,
    /// Whether overdue prefills are recalled.
    pub recall: bool,
    /// Whether hosts announce changes of engines' stages to each other.
    pub announce_changes: bool,
    /// How the cost of a placement at a decode engine is estimated.
    pub decode_placement: DecodePlacement,
    /// Whether customers share a service that is short fairly.
    pub fair_shares: bool,
}

/// How the cost of a placement at a decode engine is estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DecodePlacement {
    /// By the gaps of the engine's streams, its context tokens and the learned duration of runs.
    Gaps,
    /// By a fixed delay per request and a fixed duration of runs.
    #[default]
    Fixed,
}

/// Sections of a relaying host's settings.
pub const SECTIONS: &[SectionKind] = &[
    SectionKind {
        keyword: "relay",
        label: Label::None,
        keys: RELAY,
    },
    SectionKind {
        keyword: "store",
        label: Label::None,
        keys: STORE,
    },
    SectionKind {
        keyword: "bounds",
        label: Label::None,
        keys: BOUNDS,
    },
    SectionKind {
        keyword: "limits",
        label: Label::None,
        keys: super::keys::LIMITS,
    },
    SectionKind {
        keyword: "duties",
        label: Label::None,
        keys: duties::KEYS,
    },
    SectionKind {
        keyword: "policy",
        label: Label::None,
        keys: POLICY,
    },
    SectionKind {
        keyword: "log",
        label: Label::None,
        keys: super::keys::LOG,
    },
];

/// Maximum duration in these settings.
const MAX_TIME: Duration = Duration::from_hours(1);
/// Minimum duration in these settings.
const MIN_TIME: Duration = Duration::from_millis(1);
/// Maximum rate or weight: larger values are typing errors.
const MAX_NUMBER: f64 = 1e6;

const RELAY: &[KeySpec] = &[
    required(
        "name",
        Form::Name,
        "name of this host, unique in the deployment",
    ),
    required("region", Form::Name, "region of this host"),
    required("domain", Form::Name, "failure domain of this host"),
    required("callers", Form::Address, "listener for callers"),
    required(
        "readiness",
        Form::Address,
        "listener for the readiness check",
    ),
    required(
        "peers",
        Form::Address,
        "UDP address for gossip between hosts",
    ),
    required("metrics", Form::Address, "listener for metrics"),
    optional(
        "memory",
        Form::OptionalSize(1 << 20, 1 << 40),
        "none",
        "memory that the process may use; a quarter of it holds bodies and unread answers",
    ),
];

const STORE: &[KeySpec] = &[
    required("addr", Form::Address, "address of the store"),
    optional(
        "lease-least",
        Form::DecimalTime(MIN_TIME, MAX_TIME),
        "1s",
        "minimum time to live of a lease",
    ),
];

const BOUNDS: &[KeySpec] = &[
    optional(
        "grace",
        Form::DecimalTime(MIN_TIME, MAX_TIME),
        "8s",
        "maximum time of a planned stop",
    ),
    optional(
        "lease",
        Form::DecimalTime(MIN_TIME, MAX_TIME),
        "3s",
        "time to live of the authority to send orders",
    ),
    optional(
        "strict-revocation",
        Form::Choice(&["true", "false"]),
        "false",
        "whether a host that cannot read the configuration refuses keys",
    ),
    optional(
        "revocation",
        Form::DecimalTime(MIN_TIME, MAX_TIME),
        "5s",
        "age of the configuration from which on it does so",
    ),
    optional(
        "repeat-ratio",
        Form::Number(0.0, 1.0),
        "0.2",
        "retries per request",
    ),
    optional(
        "repeat-window",
        Form::DecimalTime(MIN_TIME, MAX_TIME),
        "10s",
        "window over which retries are counted",
    ),
    optional(
        "repeat-slack",
        Form::Number(0.0, MAX_NUMBER),
        "50",
        "retries allowed in addition to the ratio",
    ),
];

const POLICY: &[KeySpec] = &[
    optional(
        "prefill",
        Form::Number(0.0, 1.0),
        "0.5",
        "initial fraction of engines that prefill",
    ),
    optional(
        "crossing",
        Form::Number(0.0, MAX_NUMBER),
        "0.5",
        "delay in ms that one kilobyte between failure domains is worth",
    ),
    optional(
        "work",
        Form::Number(0.0, MAX_NUMBER),
        "1.5",
        "weight of engine time relative to delay",
    ),
    optional(
        "beside",
        Form::Number(0.0, MAX_NUMBER),
        "2.5",
        "weight of engine time at decode engines relative to prefill engines",
    ),
    optional(
        "patience",
        Form::Number(0.0, MAX_NUMBER),
        "1",
        "multiple of the target time that counts as in time",
    ),
    optional(
        "recall",
        Form::Choice(&["on", "off"]),
        "off",
        "whether overdue prefills are sent to another engine in time",
    ),
    optional(
        "announce-changes",
        Form::Choice(&["on", "off"]),
        "off",
        "whether hosts send engines no work that are about to change their stage",
    ),
    optional(
        "decode-placement",
        Form::Choice(&["gaps", "fixed"]),
        "fixed",
        "how the cost of a placement at a decode engine is estimated",
    ),
    optional(
        "fair-shares",
        Form::Choice(&["on", "off"]),
        "off",
        "whether customers share a service that is short fairly",
    ),
];

/// Returns whether the text is the settings of a relaying host.
#[must_use]
pub fn is_relay(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[relay]")
}

impl Settings {
    /// Parses and checks the settings of a relaying host; `file` is the origin reported in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn parse_relay(text: &str, file: &str) -> Result<Self, Vec<Fault>> {
        let doc = Document::parse(text, file, SECTIONS);
        if !doc.faults.is_empty() {
            return Err(doc.faults);
        }
        Ok(build(&doc.sections))
    }
}

fn build(sections: &[Section]) -> Settings {
    let relay = single_section(sections, "relay");
    let store = single_section(sections, "store");
    let bounds = single_section(sections, "bounds");
    let policy = single_section(sections, "policy");
    let time = |section: &Section, key: &str| section.read(key, units::fractional_time);
    let number = |section: &Section, key: &str| section.read(key, units::number);
    let addr = |section: &Section, key: &str| section.read(key, form::parse_address);
    Settings {
        host: HostSettings {
            name: relay.get("name").into(),
            region: relay.get("region").into(),
            domain: relay.get("domain").into(),
            callers: addr(relay, "callers"),
            operators: addr(relay, "readiness"),
            peers: addr(relay, "peers"),
            advertise: None,
            // Relaying hosts share a secret that is kept in the store.
            secret: Secret::new(""),
            operator_key_hash: [0; 32],
        },
        platform: PlatformSettings {
            kv: Vec::new(),
            list: addr(store, "addr"),
            prefix: "".into(),
            refresh_interval: Duration::from_secs(1),
            lease_ttl: Duration::from_secs(10),
        },
        limits: Limits {
            stop_timeout: time(bounds, "grace"),
            ..super::parse::parse_limits(single_section(sections, "limits"))
        },
        pools: std::collections::BTreeMap::new(),
        services: std::collections::BTreeMap::new(),
        log: super::parse::parse_log(single_section(sections, "log")),
        relay: Some(RelaySettings {
            readiness: addr(relay, "readiness"),
            metrics: addr(relay, "metrics"),
            memory: units::size(relay.get("memory")),
            store: addr(store, "addr"),
            min_lease: time(store, "lease-least"),
            authority_ttl: time(bounds, "lease"),
            revocation_bound: (bounds.get("strict-revocation") == "true")
                .then(|| time(bounds, "revocation")),
            duties: duties::parse(single_section(sections, "duties")),
            retry_budget: BudgetRules {
                ratio: number(bounds, "repeat-ratio"),
                window: time(bounds, "repeat-window"),
                slack: number(bounds, "repeat-slack"),
            },
            policy: Policy {
                prefill_fraction: number(policy, "prefill"),
                cross_domain_ms_per_kb: number(policy, "crossing"),
                engine_time_weight: number(policy, "work"),
                decode_engine_weight: number(policy, "beside"),
                target_factor: number(policy, "patience"),
                recall: policy.get("recall") == "on",
                announce_changes: policy.get("announce-changes") == "on",
                decode_placement: match policy.get("decode-placement") {
                    "gaps" => DecodePlacement::Gaps,
                    _ => DecodePlacement::Fixed,
                },
                fair_shares: policy.get("fair-shares") == "on",
            },
        }),
    }
}
