//! Plans and orders of workers, without a host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::orders::{Orders, Subject};
use super::plan::{Need, Supply, Workers, has_spot, targets};
use crate::core::Time;
use crate::core::relay::catalog::Scaling;
use crate::settings::duties::WorkerPolicy;

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
