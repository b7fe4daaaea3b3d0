//! Duties that one host at a time carries out for the platform: reports of usage, and orders of workers.
//!
//! The host that holds the [authority](super::authority) carries out all duties of the deployment. Every call bears
//! its fencing number, which the platform checks; the adapter sends no call after the end of the authority.

pub mod scaling;
pub mod usage;

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::effect::Effect;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::authority::Grant;
use super::event::RelayEffect;
use super::note;
use crate::settings::duties::DutySettings;
use scaling::plan::Supply;

/// A duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Reports how many requests of each customer began in each window.
    Usage,
    /// Orders the number of workers of a service in each failure domain.
    Scaling,
}

/// Requests by customer.
pub type Counts = BTreeMap<Box<str>, u64>;

/// What a call of a duty states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Requests that began in a window.
    Usage {
        /// Number of the window.
        window: u64,
        /// Requests by customer.
        counts: Counts,
    },
    /// Number of workers of a service in a failure domain.
    Workers {
        /// Name of the service.
        service: Box<str>,
        /// Failure domain.
        domain: Box<str>,
        /// Kind of the workers.
        supply: Supply,
        /// Number of workers.
        count: u32,
    },
}

impl Order {
    /// Returns the duty that the order belongs to.
    #[must_use]
    pub fn duty(&self) -> Duty {
        match self {
            Self::Usage { .. } => Duty::Usage,
            Self::Workers { .. } => Duty::Scaling,
        }
    }
}

/// A call of a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCall {
    /// Number of the call.
    pub number: u64,
    /// What it states.
    pub order: Order,
    /// Name of this host, the holder of the authority.
    pub holder: Box<str>,
    /// Fencing number.
    pub fence: u64,
    /// End of the authority; checked again just before the call is written to the connection.
    pub until: Time,
    /// Era of the store that the authority belongs to; checked likewise.
    pub era: u64,
}

/// Result of a call of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyResult {
    /// The platform accepted it.
    Accepted,
    /// The platform has seen a higher fencing number, or cannot do what is ordered.
    Conflict,
    /// The platform certainly did nothing.
    Unsent,
    /// The platform may have accepted it, or may still accept it.
    Unknown,
}

/// State of the duties at a host.
#[derive(Debug, Default)]
pub struct Duties {
    /// Usage of customers.
    pub usage: usage::Usage,
    /// Orders of workers.
    pub scaler: scaling::Scaler,
    /// Number of the last call.
    calls: u64,
}

impl Duties {
    /// Returns the effect of a call of a duty, and the call's number.
    fn call(&mut self, order: Order, holder: &str, era: u64, grant: &Grant) -> (u64, Effect) {
        self.calls += 1;
        let call = DutyCall {
            number: self.calls,
            order,
            holder: holder.into(),
            fence: grant.fence,
            until: grant.until,
            era,
        };
        (self.calls, Effect::Relay(RelayEffect::CallDuty(call)))
    }
}

fn settings(core: &Core) -> Option<&DutySettings> {
    core.settings.relay.as_ref()?.duties.as_ref()
}

/// Returns whether the deployment has duties.
#[must_use]
pub fn has_duties(core: &Core) -> bool {
    settings(core).is_some_and(|settings| !settings.duties.is_empty())
}

/// Returns whether the deployment has a duty.
#[must_use]
pub fn has_duty(core: &Core, duty: Duty) -> bool {
    settings(core).is_some_and(|settings| settings.duties.contains(&duty))
}

/// Carries out the duties with the authority.
pub fn perform(core: &mut Core, grant: &Grant, out: &mut Effects) {
    if has_duty(core, Duty::Usage) {
        usage::perform(core, grant, out);
    }
    if has_duty(core, Duty::Scaling) {
        scaling::perform(core, grant, out);
    }
}

/// Handles the platform's answer to a call.
pub fn answered(core: &mut Core, call: &DutyCall, result: DutyResult, out: &mut Effects) {
    let level = match result {
        DutyResult::Accepted => log::Level::Info,
        _ => log::Level::Warn,
    };
    let mut fields = vec![
        ("duty", format!("{:?}", call.order.duty()).into()),
        ("fence", call.fence.to_string().into()),
        ("result", format!("{result:?}").into()),
    ];
    match &call.order {
        Order::Usage { window, counts } => {
            let requests: u64 = counts.values().sum();
            fields.push(("window", window.to_string().into()));
            fields.push(("customers", counts.len().to_string().into()));
            fields.push(("requests", requests.to_string().into()));
        }
        Order::Workers {
            service,
            domain,
            supply,
            count,
        } => {
            fields.push(("service", service.clone()));
            fields.push(("domain", domain.clone()));
            fields.push(("supply", format!("{supply:?}").into()));
            fields.push(("count", count.to_string().into()));
        }
    }
    note(out, level, "duty.answered", fields);
    match &call.order {
        Order::Usage { .. } => usage::answered(core, call, result, out),
        Order::Workers { .. } => scaling::answered(core, call, result),
    }
}

/// Returns the wall clock at a time, in milliseconds since the Unix epoch.
fn wall_ms(core: &Core, at: Time) -> u64 {
    core.epoch_ms + at.millis()
}

/// Returns whole milliseconds.
fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
