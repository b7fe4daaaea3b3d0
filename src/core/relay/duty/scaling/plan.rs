//! How many workers of each kind a service needs in each failure domain.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::forecast::Forecast;
use crate::core::relay::catalog::Scaling;
use crate::settings::duties::WorkerPolicy;

/// Least number of regular workers beside spot workers: one engine for each stage, where all spot workers are lost.
const MIN_REGULAR: u32 = 2;

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

/// Returns the workers that the fixed fractions order while all spot workers serve.
fn fixed_workers(scaling: &Scaling, need: Need, domains: u32) -> Workers {
    let share = |fraction| per_domain(need.provisioned, fraction, domains) * domains;
    match scaling.spot_price {
        Some(_) if domains > 1 => Workers {
            regular: share(need.policy.regular),
            spot: share(need.policy.spot),
        },
        _ => Workers {
            regular: share(1.0),
            spot: 0,
        },
    }
}

/// Returns the workers to order in each failure domain for the demand of a service.
///
/// No more are ordered than by the fixed fractions, unless the demand without headroom exceeds these. Regular workers are
/// at least as many as the prompts need, since prompts that are cached at spot workers are lost with them.
#[must_use]
pub fn demand_targets(
    scaling: &Scaling,
    need: Need,
    forecast: Forecast,
    present: &BTreeMap<Box<str>, Workers>,
) -> BTreeMap<Box<str>, Workers> {
    let domains: u32 = present.len().try_into().unwrap_or(u32::MAX);
    let fixed = fixed_workers(scaling, need, domains);
    let workers = forecast
        .workers
        .min(fixed.sum().max(forecast.expected))
        .max(forecast.least);
    let all = |_: &str, workers: Workers| workers.sum();
    let mut plan = Placement::new(scaling, present);
    plan.add_regular(workers, all);
    if let Some(price) = scaling.spot_price.filter(|_| domains > 1) {
        let regular = forecast
            .prompts
            .min(fixed.regular)
            .clamp(MIN_REGULAR, workers.max(MIN_REGULAR));
        let mut mixed = Placement::new(scaling, present);
        mixed.add_regular(regular, all);
        // The spot workers of all domains but one, and the regular ones, must be enough.
        let remaining = forecast.least.saturating_sub(regular);
        let reserve = (remaining * domains).div_ceil(domains - 1);
        mixed.add_spot(workers.saturating_sub(regular).max(reserve));
        let missing = forecast.least.saturating_sub(mixed.remaining());
        mixed.add_regular(missing, all);
        if mixed.price(price) < plan.price(price) {
            plan = mixed;
        }
    }
    plan.fill_min();
    let least = if need.has_swapped {
        forecast.least
    } else {
        workers
    };
    plan.fill_in(least, present);
    plan.workers()
}

/// Limits the workers of each failure domain to the maximum of both kinds together; regular ones go first.
pub fn limit(targets: &mut BTreeMap<Box<str>, Workers>, scaling: &Scaling) {
    let max = scaling.max.max(scaling.min);
    for workers in targets.values_mut() {
        workers.regular = workers.regular.min(max);
        workers.spot = workers.spot.min(max - workers.regular);
    }
}

/// Limits reductions so that servers of one kind remain, given how many of them each subject has: the platform may take
/// those first.
pub fn keep_some(
    targets: &mut BTreeMap<Box<str>, Workers>,
    present: &BTreeMap<Box<str>, Workers>,
    counts: &BTreeMap<(Box<str>, Supply), u32>,
) {
    let reduction = |targets: &BTreeMap<Box<str>, Workers>, domain: &str, supply: Supply| {
        let of = |workers: Option<&Workers>| workers.map_or(0, |workers| workers.of(supply));
        of(present.get(domain)).saturating_sub(of(targets.get(domain)))
    };
    let remains = counts
        .iter()
        .any(|((domain, supply), count)| reduction(targets, domain, *supply) < *count);
    let most = counts.iter().max_by_key(|(_, count)| **count);
    let Some(((domain, supply), count)) = most.filter(|_| !remains) else {
        return;
    };
    let kept = present.get(domain).map_or(0, |workers| workers.of(*supply));
    let kept = kept.saturating_sub(count - 1);
    if let Some(workers) = targets.get_mut(domain) {
        match supply {
            Supply::Regular => workers.regular = workers.regular.max(kept),
            Supply::Spot => workers.spot = workers.spot.max(kept),
        }
    }
}

/// Workers of a plan, by failure domain.
struct Placement<'a> {
    scaling: &'a Scaling,
    /// Failure domains with their prices and workers, cheapest first.
    domains: Vec<(&'a str, f64, Workers)>,
}

impl<'a> Placement<'a> {
    fn new(scaling: &'a Scaling, present: &'a BTreeMap<Box<str>, Workers>) -> Self {
        let price = |name: &str| scaling.prices.get(name).copied().unwrap_or(1.0);
        let domains = present.keys();
        let mut domains: Vec<_> = domains
            .map(|name| (&**name, price(name), Workers::default()))
            .collect();
        domains.sort_by(|one, two| one.1.total_cmp(&two.1));
        Self { scaling, domains }
    }

    fn max(&self) -> u32 {
        self.scaling.max.max(self.scaling.min)
    }

    /// Adds regular workers to the cheapest failure domains with room, which is all but what `taken` returns.
    ///
    /// One goes to each domain first, and at most half of all to one domain where the others have room, so that the loss
    /// of a whole domain leaves some.
    fn add_regular(&mut self, count: u32, taken: impl Fn(&str, Workers) -> u32) {
        let max = self.max();
        let regular = self.domains.iter().map(|(_, _, workers)| workers.regular);
        let half = (regular.sum::<u32>() + count).div_ceil(2);
        for _ in 0..count {
            let rank = |(_, price, workers): &(&str, f64, Workers)| {
                let has_none = workers.regular == 0;
                (!has_none, workers.regular >= half, *price, workers.regular)
            };
            let domains = self.domains.iter_mut();
            let free = domains.filter(|(name, _, workers)| taken(name, *workers) < max);
            let next = free.min_by(|one, two| {
                let order = rank(one).partial_cmp(&rank(two));
                order.unwrap_or(Ordering::Equal)
            });
            let Some((_, _, workers)) = next else {
                return;
            };
            workers.regular += 1;
        }
    }

    /// Adds spot workers, the same number to each failure domain: the loss of one then costs least.
    fn add_spot(&mut self, count: u32) {
        let domains: u32 = self.domains.len().try_into().unwrap_or(u32::MAX);
        let max = self.max();
        for (_, _, workers) in &mut self.domains {
            workers.spot = count.div_ceil(domains).min(max - workers.regular);
        }
    }

    /// Returns the workers that remain after the loss of the domain with the most spot workers.
    fn remaining(&self) -> u32 {
        let workers = self.domains.iter().map(|(_, _, workers)| *workers);
        let lost = workers.clone().map(|workers| workers.spot).max();
        workers.map(Workers::sum).sum::<u32>() - lost.unwrap_or(0)
    }

    /// Adds the regular workers that are missing in a domain with fewer than the minimum.
    fn fill_min(&mut self) {
        let min = self.scaling.min;
        for (_, _, workers) in &mut self.domains {
            workers.regular = workers.regular.max(min.saturating_sub(workers.spot));
        }
    }

    /// Adds regular workers for spot workers that do not serve, until `least` workers of both kinds do.
    ///
    /// They may take the places of the missing spot workers, which [`limit`] then does not order.
    fn fill_in(&mut self, least: u32, present: &BTreeMap<Box<str>, Workers>) {
        let serving = |name: &str, workers: Workers| {
            let spot = present.get(name).map_or(0, |workers| workers.spot);
            workers.regular + spot.min(workers.spot)
        };
        let domains = self.domains.iter();
        let served: u32 = domains
            .map(|(name, _, workers)| serving(name, *workers))
            .sum();
        self.add_regular(least.saturating_sub(served), serving);
    }

    /// Returns the price of all workers per second, given that of a spot worker relative to a regular one.
    fn price(&self, spot_price: f64) -> f64 {
        let domains = self.domains.iter();
        let prices = domains.map(|(_, price, workers)| {
            price * f64::from(workers.spot).mul_add(spot_price, f64::from(workers.regular))
        });
        prices.sum()
    }

    fn workers(self) -> BTreeMap<Box<str>, Workers> {
        let domains = self.domains.into_iter();
        domains
            .map(|(name, _, workers)| (name.into(), workers))
            .collect()
    }
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
