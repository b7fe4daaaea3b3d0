//! Settings of the platform's duties, each carried out by one host at a time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::keys::optional;
use crate::core::relay::duty::Duty;
use crate::form::{self, Form};
use crate::platform;
use crate::sections::{KeySpec, Section};
use crate::units;

/// The duties of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct DutySettings {
    /// Address that takes the calls.
    pub addr: SocketAddr,
    /// Duties that the system carries out.
    pub duties: BTreeSet<Duty>,
    /// Calls per second that are accepted from all hosts together; `None` for no limit.
    pub rate: Option<f64>,
    /// Length of the windows for which usage is reported.
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    pub due_within: Duration,
    /// How many workers are ordered.
    pub workers: WorkerPolicy,
    /// What that follows.
    pub scaling: ScalingMode,
    /// Multiple of the highest demand that is ordered for bursts.
    pub headroom: f64,
}

/// What the number of ordered workers follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ScalingMode {
    /// Fixed fractions of the workers that a service was provisioned with.
    #[default]
    Fixed,
    /// The measured demand, once it is known.
    Demand,
}

/// How many workers are ordered, as fractions of those that a service was provisioned with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerPolicy {
    /// Regular workers, where spot workers are ordered beside them.
    pub regular: f64,
    /// Spot workers.
    pub spot: f64,
    /// Workers of both kinds below which regular ones fill in for spot workers that cannot be had.
    pub least: f64,
}

/// Keys of the section.
pub const KEYS: &[KeySpec] = &[
    optional(
        "addr",
        Form::OptionalAddress,
        "none",
        "address that takes the calls of duties",
    ),
    optional("names", Form::Names, "", "duties that the hosts carry out"),
    optional(
        "rate",
        Form::Rate(1e6),
        "none",
        "calls per second from all hosts together",
    ),
    optional(
        "window",
        Form::DecimalTime(Duration::from_millis(100), Duration::from_hours(24)),
        "5s",
        "length of a usage window",
    ),
    optional(
        "due",
        Form::DecimalTime(Duration::from_millis(100), Duration::from_hours(24)),
        "10s",
        "time after the end of a window within which usage is reported",
    ),
    optional(
        "regular",
        Form::Number(0.0, 10.0),
        "0.35",
        "regular workers beside spot workers, as a fraction of those provisioned",
    ),
    optional(
        "spot",
        Form::Number(0.0, 10.0),
        "1.4",
        "spot workers, as a fraction of the workers provisioned",
    ),
    optional(
        "least",
        Form::Number(0.0, 10.0),
        "0.8",
        "fraction of the workers provisioned below which regular ones fill in for spot workers",
    ),
    optional(
        "scaling",
        Form::Choice(&["demand", "fixed"]),
        "fixed",
        "what the number of workers follows: the measured demand, or the fractions above",
    ),
    optional(
        "headroom",
        Form::Number(1.0, 10.0),
        "2.5",
        "multiple of the highest demand of the last minutes that is ordered for bursts",
    ),
];

/// Returns the duties; `None` if there are none.
pub(super) fn parse(section: &Section) -> Option<DutySettings> {
    let addr = form::parse_address(section.get("addr"))?;
    let names = form::split_items(section.get("names"));
    let duties = names.filter_map(|name| {
        let duty = platform::duty::parse(name);
        if duty.is_none() {
            log::warn!("the duty {name:?} is not supported; it is left to others");
        }
        duty
    });
    Some(DutySettings {
        addr,
        duties: duties.collect(),
        rate: units::rate(section.get("rate")),
        window: section.read("window", units::fractional_time),
        due_within: section.read("due", units::fractional_time),
        workers: WorkerPolicy {
            regular: section.read("regular", units::number),
            spot: section.read("spot", units::number),
            least: section.read("least", units::number),
        },
        scaling: match section.get("scaling") {
            "demand" => ScalingMode::Demand,
            _ => ScalingMode::Fixed,
        },
        headroom: section.read("headroom", units::number),
    })
}
