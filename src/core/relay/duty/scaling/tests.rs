//! Plans and orders of workers, without a host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::demand::{Demand, Sample};
use super::forecast::{Hold, forecast};
use super::orders::{Orders, Subject};
use super::plan::{Need, Supply, Workers, demand_targets, has_spot, keep_some, limit, targets};
use crate::core::Time;
use crate::core::relay::catalog::Scaling;
use crate::settings::duties::WorkerPolicy;

/// Workers by failure domain.
type Plan = BTreeMap<Box<str>, Workers>;

const BOOT: Duration = Duration::from_secs(4);

/// Prices of three failure domains with spot workers.
fn scaling() -> Scaling {
    Scaling {
        min: 1,
        max: 40,
        boot: BOOT,
        spot_price: Some(0.22),
        prices: ["a", "b", "c"].map(|name| (name.into(), 1.0)).into(),
    }
}

/// Three quarters of the workers regular, and half of them spot workers besides.
const POLICY: WorkerPolicy = WorkerPolicy {
    regular: 0.75,
    spot: 0.5,
    least: 0.8,
};

fn need(provisioned: u32) -> Need {
    Need {
        provisioned,
        policy: POLICY,
        has_swapped: true,
    }
}

fn everywhere(regular: u32, spot: u32) -> BTreeMap<Box<str>, Workers> {
    let workers = Workers { regular, spot };
    ["a", "b", "c"].map(|name| (name.into(), workers)).into()
}

/// Spot workers of one failure domain are taken away at once. Guards against a plan that leaves too few.
#[test]
fn enough_workers_remain_without_the_spot_workers_of_any_domain() {
    for provisioned in 3..60 {
        let plan = targets(&scaling(), need(provisioned), &everywhere(0, 40));
        let all: u32 = plan.values().map(|workers| workers.sum()).sum();
        for lost in plan.values() {
            assert!(all - lost.spot >= provisioned, "{provisioned}: {plan:?}");
        }
    }
}

/// Pattern: reclaimed workers that cannot be had again. Guards against a fleet that shrinks below what it needs.
#[test]
fn regular_workers_fill_in_for_missing_spot_workers() {
    for spot in 0..=10 {
        let plan = targets(&scaling(), need(60), &everywhere(15, spot));
        let regular: u32 = plan.values().map(|workers| workers.regular).sum();
        assert!(regular + 3 * spot >= 48, "{spot}: {plan:?}");
    }
}

/// Spot workers were ordered and do not serve yet. Guards against giving up a worker before another one serves.
#[test]
fn workers_are_kept_until_spot_workers_serve() {
    let first = Need {
        has_swapped: false,
        ..need(60)
    };
    for spot in 0..=10 {
        let plan = targets(&scaling(), first, &everywhere(20, spot));
        let regular: u32 = plan.values().map(|workers| workers.regular).sum();
        assert!(regular + 3 * spot >= 60, "{spot}: {plan:?}");
        assert_eq!(has_spot(&plan, &everywhere(20, spot)), spot == 10);
    }
}

#[test]
fn limits_hold_for_both_kinds_together() {
    let tight = Scaling {
        min: 3,
        max: 5,
        ..scaling()
    };
    for needed in [0, 1, 7, 500] {
        for spot in [0, 3, 5] {
            for workers in targets(&tight, need(needed), &everywhere(1, spot)).values() {
                assert!((3..=5).contains(&workers.sum()), "{needed}: {workers:?}");
            }
        }
    }
}

/// Spot workers cost nearly as much as regular ones, so that the room for their loss costs more than they save.
#[test]
fn dear_spot_workers_are_not_ordered() {
    let dear = Scaling {
        spot_price: Some(0.9),
        ..scaling()
    };
    let plan = targets(&dear, need(20), &everywhere(20, 0));
    assert!(
        plan.values()
            .all(|workers| (workers.regular, workers.spot) == (7, 0))
    );
    let none = Scaling {
        spot_price: None,
        ..scaling()
    };
    assert_eq!(targets(&none, need(20), &everywhere(20, 0)), plan);
}

fn subject() -> Subject {
    ("s".into(), "a".into(), Supply::Spot)
}

#[test]
fn an_accepted_order_is_not_repeated_while_workers_start() {
    let (mut orders, now) = (Orders::default(), Time::from_millis(1000));
    orders.begin(1);
    assert!(!orders.is_due(&subject(), 3, 3, BOOT, now));
    assert!(orders.is_due(&subject(), 5, 3, BOOT, now));
    orders.sent(subject(), 5, 1, now);
    assert!(
        !orders.is_due(&subject(), 6, 3, BOOT, now),
        "the answer is awaited"
    );
    orders.answered(&subject(), 1, true);
    assert!(!orders.is_due(&subject(), 5, 3, BOOT, now.after(BOOT)));
    assert!(orders.is_due(&subject(), 6, 3, BOOT, now));
}

/// An earlier order is carried out after a newer one. Guards against leaving its number of workers in place.
#[test]
fn a_count_that_an_older_order_undid_is_ordered_again() {
    let (mut orders, now) = (Orders::default(), Time::from_millis(1000));
    orders.begin(1);
    orders.sent(subject(), 5, 1, now);
    orders.answered(&subject(), 1, true);
    assert!(orders.is_due(&subject(), 5, 9, BOOT, now.after(BOOT * 3)));
    assert!(!orders.is_due(&subject(), 5, 5, BOOT, now.after(BOOT * 3)));
}

/// No spot workers are available. Guards against giving up, and against calls at every plan.
#[test]
fn a_refused_order_is_tried_again_after_a_pause() {
    let (mut orders, now) = (Orders::default(), Time::from_millis(1000));
    orders.begin(1);
    orders.sent(subject(), 5, 1, now);
    orders.answered(&subject(), 1, false);
    assert!(!orders.is_due(
        &subject(),
        5,
        0,
        BOOT,
        now.after(Duration::from_millis(500))
    ));
    assert!(orders.is_due(&subject(), 5, 0, BOOT, now.after(Duration::from_secs(2))));
}

/// Another host gave orders in between. Guards against taking this host's last order for the one in force.
#[test]
fn orders_under_an_earlier_fencing_number_are_forgotten() {
    let (mut orders, now) = (Orders::default(), Time::from_millis(1000));
    orders.begin(1);
    orders.sent(subject(), 5, 1, now);
    orders.answered(&subject(), 1, true);
    orders.begin(2);
    assert_eq!(orders.last(&subject()), None);
    assert!(orders.is_due(&subject(), 5, 3, BOOT, now));
}

/// Demand that has been recorded every half second, given as seconds and engines; and the time of the last sample.
fn observed(history: &[(u64, f64)]) -> (Demand, Time) {
    let (mut demand, mut now) = (Demand::default(), 1000);
    for (secs, engines) in history {
        for _ in 0..secs * 2 {
            demand.record(runs(*engines), Time::from_millis(now));
            now += 500;
        }
    }
    (demand, Time::from_millis(now - 500))
}

/// Returns the demand of requests that take the slots of so many engines.
fn runs(engines: f64) -> Sample {
    Sample {
        prompts: engines / 3.0,
        runs: engines * 2.0 / 3.0,
    }
}

/// Returns the plan for a demand at 90 workers provisioned, with the default fractions.
fn plan_for(demand: &Demand, headroom: f64, present: &Plan) -> Plan {
    let forecast = forecast(demand, headroom, BOOT, 2);
    demand_targets(&wide(), need_for(90), forecast, present)
}

fn need_for(provisioned: u32) -> Need {
    Need {
        policy: WorkerPolicy {
            regular: 0.35,
            spot: 1.4,
            least: 0.8,
        },
        ..need(provisioned)
    }
}

fn wide() -> Scaling {
    Scaling {
        max: 100,
        ..scaling()
    }
}

fn sum(plan: &Plan) -> u32 {
    plan.values().map(|workers| workers.sum()).sum()
}

fn regular(plan: &Plan) -> u32 {
    plan.values().map(|workers| workers.regular).sum()
}

/// Pattern: the demand doubles within a second, and a worker takes 4 s to start. Guards against callers that wait: the
/// short requests of UIC have 400 ms.
#[test]
fn a_burst_that_doubles_within_a_second_is_served_in_time() {
    for steady in [4.0, 15.0, 30.0] {
        let (mut demand, start) = observed(&[(60, steady)]);
        let mut ready = f64::from(sum(&plan_for(&demand, 2.5, &everywhere(0, 100))));
        let mut ordered = Vec::new();
        let mut backlog = 0.0_f64;
        for tick in 1..=20 {
            let now = start.after(Duration::from_millis(500) * tick);
            let engines = steady * (1.0 + f64::from(tick.min(2)) / 2.0);
            demand.record(runs(engines), now);
            ordered.push(f64::from(sum(&plan_for(&demand, 2.5, &everywhere(0, 100)))));
            if ordered.len() > 8 {
                ready = f64::max(ready, ordered[ordered.len() - 9]);
            }
            backlog = (backlog + (engines - ready) / 2.0).max(0.0);
            let wait = backlog / ready;
            assert!(wait <= 0.4, "{steady} engines: {wait} s at tick {tick}");
        }
    }
}

/// Pattern: demand that grows steadily, without headroom. Guards against workers that are ordered only when they are
/// needed, 4 s before they serve.
#[test]
fn workers_for_a_trend_are_ordered_before_they_are_needed() {
    // The room for a loss of spot workers would serve the growth as well.
    let regular = Scaling {
        spot_price: None,
        ..wide()
    };
    let mut demand = Demand::default();
    let mut ordered = Vec::new();
    for tick in 0..60_u32 {
        let engines = 10.0 + f64::from(tick);
        let now = Time::from_millis(1000 + 500 * u64::from(tick));
        demand.record(runs(engines), now);
        let forecast = forecast(&demand, 1.0, BOOT, 2);
        let plan = demand_targets(&regular, need_for(90), forecast, &everywhere(30, 0));
        ordered.push(sum(&plan));
        if tick >= 24 {
            let ready = f64::from(ordered[ordered.len() - 9]);
            assert!(ready >= engines, "{ready} of {engines} at tick {tick}");
        }
    }
}

/// Guards against a fleet that costs more than by the fixed fractions, and against one that is too small for a demand that
/// exceeds them.
#[test]
fn more_than_the_fixed_fractions_is_ordered_only_for_demand_that_exceeds_them() {
    let fixed = targets(&wide(), need_for(90), &everywhere(0, 100));
    let (fixed, reserve) = (sum(&fixed), sum(&fixed) - fixed["a"].spot);
    for engines in 1..200 {
        let (demand, _) = observed(&[(30, f64::from(engines))]);
        let plan = plan_for(&demand, 2.5, &everywhere(0, 100));
        let count = sum(&plan);
        assert!(count >= engines, "{engines}: {plan:?}");
        let exceeds = f64::from(engines) + f64::from(engines).sqrt() > f64::from(reserve);
        // A spot worker more in each domain comes from equal numbers in all of them.
        assert!(exceeds || count <= fixed + 2, "{engines}: {plan:?}");
    }
    let (little, _) = observed(&[(30, 20.0)]);
    let plan = plan_for(&little, 2.5, &everywhere(0, 100));
    assert!(sum(&plan) < fixed / 2, "{plan:?}");
}

/// The spot workers of one failure domain are taken away at once. Guards against a fleet that cannot serve the highest
/// demand of the last minutes without them.
#[test]
fn the_highest_demand_is_served_without_the_spot_workers_of_any_domain() {
    for headroom in [1.0, 1.2, 2.5] {
        for engines in 1..100 {
            let (demand, _) = observed(&[(20, f64::from(engines)), (60, 1.0)]);
            let plan = plan_for(&demand, headroom, &everywhere(0, 100));
            for lost in plan.values() {
                let left = sum(&plan) - lost.spot;
                assert!(left >= engines, "{headroom}, {engines}: {plan:?}");
            }
            // Spot workers are the cheaper reserve: regular ones are those for the prompts, a third of the demand.
            let prompts = f64::from(engines) / 3.0;
            let count = f64::from(regular(&plan));
            assert!(
                (2.0..=3.0 + prompts + prompts.sqrt()).contains(&count),
                "{plan:?}"
            );
        }
    }
}

/// Spot workers are reclaimed in one domain after the other and cannot be had again. Guards against a fleet that shrinks
/// below the demand, and against regular workers for a loss that the reserve covers.
#[test]
fn regular_workers_fill_in_where_the_reserve_is_used_up() {
    let (demand, _) = observed(&[(30, 30.0)]);
    let full = plan_for(&demand, 2.5, &everywhere(0, 100));
    let mut present = full.clone();
    for domain in ["a", "b", "c"] {
        present.get_mut(domain).expect("three domains").spot = 0;
        let plan = plan_for(&demand, 2.5, &present);
        let spot: u32 = present.values().map(|workers| workers.spot).sum();
        assert!(regular(&plan) + spot >= 30, "{domain}: {plan:?}");
        // 36 workers serve the demand with short queues.
        let is_enough = regular(&full) + spot >= 36;
        assert_eq!(plan == full, is_enough, "{domain}: {plan:?}");
    }
}

#[test]
fn regular_workers_go_to_cheaper_domains_first_and_to_each_domain() {
    let priced = Scaling {
        prices: [("a", 1.2), ("b", 0.8), ("c", 1.0)]
            .map(|(name, price)| (name.into(), price))
            .into(),
        ..wide()
    };
    let (demand, _) = observed(&[(30, 40.0)]);
    let forecast = forecast(&demand, 2.5, BOOT, 2);
    let plan = demand_targets(&priced, need_for(90), forecast, &everywhere(0, 100));
    let regular = ["a", "b", "c"].map(|name| plan[name].regular);
    assert!(
        regular[1] > regular[2] && regular[2] > regular[0],
        "{plan:?}"
    );
    assert!(
        regular[0] > 0 && regular[1] <= regular[0] + regular[2] + 1,
        "{plan:?}"
    );
}

/// Records a plan, and returns the numbers in force.
fn update(
    hold: &mut Hold,
    fence: u64,
    plan: &Plan,
    present: &Plan,
    is_complete: bool,
    now: Time,
) -> Plan {
    hold.record(fence, plan, present, is_complete, now);
    hold.reduced(is_complete)
}

/// Guards against reductions between two bursts, and against one that takes several orders.
#[test]
fn workers_are_added_at_once_and_reduced_once_after_ten_seconds() {
    let mut hold = Hold::default();
    let mut counts = Vec::new();
    // Bursts of 3 s for a minute, then a third of the demand that declines in steps.
    for tick in 0..200_u32 {
        let burst = tick < 120 && tick / 6 % 2 == 0;
        let planned = if burst { 30 } else { 10 - tick / 40 };
        let now = Time::from_millis(1000 + 500 * u64::from(tick));
        let present = everywhere(0, *counts.last().unwrap_or(&0));
        let plan = update(&mut hold, 1, &everywhere(0, planned), &present, true, now);
        counts.push(plan["a"].spot);
    }
    assert!(counts[..133].iter().all(|count| *count == 30), "{counts:?}");
    let mut levels = counts.clone();
    levels.dedup();
    assert_eq!(levels, [30, 8, 7, 6], "{counts:?}");
    let plan = update(
        &mut hold,
        1,
        &everywhere(0, 31),
        &everywhere(0, 6),
        true,
        Time::from_millis(101_000),
    );
    assert_eq!(plan["a"].spot, 31);
}

/// The gossip from a failure domain is missing, so that its demand looks like none. Guards against giving up the workers
/// that serve it, during the gap and just after it.
#[test]
fn workers_are_not_reduced_while_the_demand_of_a_domain_is_missing() {
    let mut hold = Hold::default();
    for tick in 0..200_u64 {
        let is_complete = tick >= 100;
        let now = Time::from_millis(1000 + tick * 500);
        let plan = update(
            &mut hold,
            1,
            &everywhere(2, 5),
            &everywhere(9, 20),
            is_complete,
            now,
        );
        assert_eq!(
            plan == everywhere(9, 20),
            tick < 119,
            "tick {tick}: {plan:?}"
        );
    }
}

/// The holder dies between two orders. Guards against a successor that reduces at once, and against one that keeps the
/// numbers of an earlier time of its own as holder.
#[test]
fn a_new_holder_starts_with_the_workers_present() {
    let mut hold = Hold::default();
    let at = |secs: u64| Time::from_millis(secs * 1000);
    update(
        &mut hold,
        1,
        &everywhere(30, 30),
        &everywhere(30, 0),
        true,
        at(1),
    );
    let plan = update(
        &mut hold,
        5,
        &everywhere(3, 20),
        &everywhere(9, 18),
        true,
        at(60),
    );
    assert_eq!(plan, everywhere(9, 20));
}

/// The last prefill engine is among the workers that a reduction may take. Guards against a service that no longer has
/// engines of both stages.
#[test]
fn a_reduction_leaves_engines_of_a_stage() {
    let subject = |domain: &str| (domain.into(), Supply::Regular);
    let spread = [(subject("a"), 4), (subject("b"), 2)].into();
    let mut plan = everywhere(1, 20);
    keep_some(&mut plan, &everywhere(9, 20), &spread);
    assert_eq!(plan["a"].regular, 6, "three of the four engines may go");
    assert_eq!((plan["b"].regular, plan["c"].regular), (1, 1));
    let many = [(subject("a"), 9)].into();
    let mut plan = everywhere(1, 20);
    keep_some(&mut plan, &everywhere(9, 20), &many);
    assert_eq!(plan, everywhere(1, 20));
}

#[test]
fn limits_hold_for_workers_by_demand() {
    for (min, max) in [(3, 5), (0, 7), (12, 40)] {
        let tight = Scaling {
            min,
            max,
            ..scaling()
        };
        for engines in [0.2, 3.0, 30.0, 200.0] {
            for spot in [0, 3, 40] {
                let (demand, _) = observed(&[(30, engines)]);
                let forecast = forecast(&demand, 2.5, BOOT, 2);
                let present = everywhere(1, spot);
                let mut plan = demand_targets(&tight, need_for(90), forecast, &present);
                limit(&mut plan, &tight);
                let sums: Vec<u32> = plan.values().map(|workers| workers.sum()).collect();
                assert!(sums.iter().all(|sum| (min..=max).contains(sum)), "{plan:?}");
            }
        }
    }
}

/// A burst, and calm for as long as the next burst may take to come. Guards against giving up what it needs, and against
/// keeping it for good.
#[test]
fn the_highest_demand_of_two_minutes_counts() {
    for (calm, is_kept) in [(30, true), (110, true), (130, false)] {
        let (demand, _) = observed(&[(10, 30.0), (calm, 3.0)]);
        assert_eq!(demand.peak() > 25.0, is_kept, "after {calm} s");
    }
}

#[test]
fn traffic_is_known_after_ten_seconds_of_it() {
    for (history, is_known) in [
        (vec![(60, 0.0)], false),
        (vec![(60, 0.0), (9, 5.0)], false),
        (vec![(60, 0.0), (11, 5.0)], true),
        (vec![(5, 5.0), (7, 0.0)], true),
    ] {
        let (demand, now) = observed(&history);
        assert_eq!(demand.is_known(now), is_known, "{history:?}");
    }
}
