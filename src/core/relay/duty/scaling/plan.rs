//! How many workers of each kind a service needs in each failure domain.

use std::collections::BTreeMap;

use crate::core::relay::catalog::Scaling;
use crate::settings::duties::WorkerPolicy;

/// How a worker is supplied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Supply {
    /// It stays until it is no longer ordered.
    Regular,
    /// It costs less, and the platform may take it away at short notice, all of a failure domain at once.
    Spot,
}

/// Workers of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Workers {
    /// Regular workers.
    pub regular: u32,
    /// Spot workers.
    pub spot: u32,
}

impl Workers {
    /// Returns the workers of one kind.
    #[must_use]
    pub fn of(self, supply: Supply) -> u32 {
        match supply {
            Supply::Regular => self.regular,
            Supply::Spot => self.spot,
        }
    }

    /// Returns all workers.
    #[must_use]
    pub fn sum(self) -> u32 {
        self.regular + self.spot
    }
}

/// What the workers of a service are planned for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Workers that the service was provisioned with.
    pub provisioned: u32,
    /// Workers to order, as fractions of these.
    pub policy: WorkerPolicy,
    /// Whether all spot workers of the plan have served at the same time.
    pub has_swapped: bool,
}

/// Returns the workers to order in each failure domain.
///
/// Spot workers take the place of regular ones where both together cost less than the workers provisioned. Regular
/// workers are given up only after the spot workers serve, and fill in when too many of these are taken away.
#[must_use]
pub fn targets(
    scaling: &Scaling,
    need: Need,
    present: &BTreeMap<Box<str>, Workers>,
) -> BTreeMap<Box<str>, Workers> {
    let domains: u32 = present.len().try_into().unwrap_or(u32::MAX);
    if domains == 0 {
        return BTreeMap::new();
    }
    let policy = need.policy;
    let (min, max) = (scaling.min, scaling.max.max(scaling.min));
    let share = |fraction: f64| per_domain(need.provisioned, fraction, domains);
    let cost = scaling
        .spot_price
        .map(|price| policy.regular + policy.spot * price);
    // The loss of the only failure domain would leave no spot worker.
    let uses_spot = domains > 1 && cost.is_some_and(|cost| cost < 1.0);
    if !uses_spot {
        let regular = share(1.0).clamp(min, max);
        let workers = Workers { regular, spot: 0 };
        return present.keys().map(|name| (name.clone(), workers)).collect();
    }
    let regular = share(policy.regular).min(max);
    let spot = share(policy.spot).min(max - regular);
    let serving: u32 = present.values().map(|workers| workers.spot.min(spot)).sum();
    let least = if need.has_swapped { policy.least } else { 1.0 };
    let least = share(least) * domains;
    let missing = least.saturating_sub(serving + regular * domains);
    let regular = (regular + missing.div_ceil(domains)).min(max - spot);
    let regular = regular.max(min.saturating_sub(spot));
    let workers = Workers { regular, spot };
    present.keys().map(|name| (name.clone(), workers)).collect()
}

/// Returns a fraction of a number of workers, for each of the failure domains.
fn per_domain(workers: u32, fraction: f64, domains: u32) -> u32 {
    let share = f64::from(workers) * fraction / f64::from(domains);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of the workers, never below zero"
    )]
    let share = share.ceil() as u32;
    share
}

/// Returns whether the spot workers of a plan serve.
#[must_use]
pub fn has_spot(
    targets: &BTreeMap<Box<str>, Workers>,
    present: &BTreeMap<Box<str>, Workers>,
) -> bool {
    let spot = |name: &str| present.get(name).map_or(0, |workers| workers.spot);
    targets
        .iter()
        .all(|(name, target)| spot(name) >= target.spot)
}
