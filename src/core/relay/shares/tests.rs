//! Tests of the division and of the window, without requests.

use super::division::{Demand, Division};
use super::shortage::Shortage;
use super::window::{EngineTime, UsageWindow};
use crate::core::time::Time;

fn demand(rank: u8, wanted: f64, customers: u32) -> Demand {
    Demand {
        rank,
        used: 0.0,
        wanted,
        customers,
    }
}

/// Returns the share of a customer of a rank, where demands compete for some capacity.
fn share(capacity: f64, rank: u8, demands: &[Demand]) -> Option<f64> {
    let division = Division::of(capacity, &mut demands.to_vec());
    division.map(|division| division.share(rank))
}

/// Guards against a level at which the shares do not add up to the capacity.
#[test]
fn what_a_customer_does_not_want_goes_to_the_others() {
    let demands = [10.0, 1.0, 4.0, 2.0].map(|wanted| demand(0, wanted, 1));
    assert_eq!(share(17.0, 0, &demands), None);
    assert_eq!(share(11.0, 0, &demands), Some(4.0));
    assert_eq!(share(9.0, 0, &demands), Some(3.0));
    assert_eq!(share(2.0, 0, &demands), Some(0.5));
}

/// Guards against customers that are reported as one sum and count as one customer.
#[test]
fn customers_of_a_sum_count_one_by_one() {
    let demands = [demand(0, 10.0, 1), demand(0, 1.0, 8)];
    assert_eq!(share(12.0, 0, &demands), Some(4.0));
    assert_eq!(share(4.5, 0, &demands), Some(0.5));
}

/// Guards against a customer of an urgent rank that waits for others.
#[test]
fn a_more_urgent_rank_goes_first() {
    let demands = [demand(1, 10.0, 2), demand(0, 6.0, 1), demand(2, 1.0, 1)];
    assert_eq!(share(10.0, 0, &demands), Some(f64::INFINITY));
    assert_eq!(share(10.0, 1, &demands), Some(2.0));
    assert_eq!(share(10.0, 2, &demands), Some(0.0));
}

fn used(used: f64) -> EngineTime {
    EngineTime { used, unmet: 0.0 }
}

/// Guards against usage that leaves the window too early, or never.
#[test]
fn usage_counts_for_two_seconds() {
    let mut window = UsageWindow::default();
    for at in [100, 600, 1100] {
        window.record(1, 0, used(1.0), Time::from_millis(at));
    }
    let sums = [1999, 2125, 2400, 2750, 3125, 3300];
    let sums = sums.map(|at| window.of(1, Time::from_millis(at)));
    assert_eq!(sums, [3.0, 2.5, 2.0, 1.0, 0.5, 0.0].map(used));
    window.record(1, 0, used(5.0), Time::from_millis(9000));
    assert_eq!(window.of(1, Time::from_millis(9000)), used(5.0));
}

/// Guards against memory that grows with the number of customers: only those with usage lately have an entry.
#[test]
fn customers_without_usage_have_no_entry() {
    let mut window = UsageWindow::default();
    for customer in 0..31_000 {
        let now = Time::from_millis(customer);
        window.record(customer, 0, used(1.0), now);
        window.expire(now);
        assert!(window.len() <= 2251, "{}", window.len());
    }
}

/// A shortage begins at one host, and the reports of 39 others arrive a moment later. Guards against the division of
/// what one host serves between the customers of all hosts, and of what all serve at a host that no longer receives theirs.
#[test]
fn the_estimate_follows_the_hosts_that_report() {
    let demands = |hosts: f64| {
        let demand = |used, wanted| Demand {
            rank: 0,
            used: used * hosts,
            wanted: wanted * hosts,
            customers: 1,
        };
        [demand(90.0, 900.0), demand(10.0, 20.0)]
    };
    let now = |millis| Time::from_millis(millis);
    let mut shortage = Shortage::new(now(0), now(0));
    let mut share = |hosts: f64, millis| {
        shortage.divide(&mut demands(hosts), 100.0 * hosts, hosts > 1.0, now(millis));
        let division = shortage.division.expect("a division");
        division.share(0) / hosts
    };
    let alone = share(1.0, 0);
    for (hosts, millis) in [(40.0, 100), (40.0, 300), (1.0, 4000), (1.0, 4100)] {
        let share = share(hosts, millis);
        assert!(
            (share - alone).abs() < alone * 0.2,
            "{share} of {alone} at {hosts}"
        );
    }
}
