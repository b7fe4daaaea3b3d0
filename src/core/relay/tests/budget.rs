//! The retry budget across many hosts.

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;

use crate::core::Time;
use crate::core::relay::budget::{BudgetRules, RetryBudget};

const RULES: BudgetRules = BudgetRules {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 58.0,
};

/// Longest time from a retry to one that follows it: a request's deadline.
const MAX_FOLLOW_MS: u64 = 5000;

proptest! {
    /// Backend servers fail, and every host retries as much as it may. Together the hosts must not
    /// exceed the budget in any window, however requests are distributed over them.
    #[test]
    fn hosts_together_keep_the_budget(
        hosts in 1_usize..12,
        events in proptest::collection::vec((0_usize..12, 0_u64..60, any::<bool>()), 1..800),
    ) {
        let mut budgets = vec![RetryBudget::default(); hosts];
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (host, gap, is_retry) in events {
            now += gap;
            let at = Time::from_millis(now);
            let budget = &mut budgets[host % hosts];
            if is_retry {
                if budget.try_spend(at, &RULES, hosts, 0) {
                    retries.push(now);
                }
            } else {
                budget.record_request(at);
                requests.push(now);
            }
            let window = |times: &[u64]| times.iter().filter(|time| now - **time <= 10_000).count();
            let max = RULES.ratio * window(&requests) as f64 + RULES.slack;
            prop_assert!(window(&retries) as f64 <= max);
        }
    }
}

proptest! {
    /// Retries follow others after a while, or never. Guards against hosts that exceed the budget by those that follow, or
    /// lose the room of those that do not.
    #[test]
    fn retries_that_follow_keep_the_budget(
        events in proptest::collection::vec((0_u64..60, 0_u8..5), 1..800),
    ) {
        let mut budget = RetryBudget::default();
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        // When each that is still to follow was reserved.
        let mut due: VecDeque<u64> = VecDeque::new();
        for (gap, event) in events {
            now += gap;
            let at = Time::from_millis(now);
            while due.pop_front_if(|reserved| now - *reserved > MAX_FOLLOW_MS).is_some() {
                budget.release();
            }
            match event {
                0 => {
                    budget.record_request(at);
                    requests.push(now);
                }
                1 | 2 => {
                    let follow = usize::from(event - 1);
                    if budget.try_spend(at, &RULES, 1, follow) {
                        retries.push(now);
                        due.extend(std::iter::repeat_n(now, follow));
                    }
                }
                3 if due.pop_front().is_some() => {
                    budget.spend_reserved(at);
                    retries.push(now);
                }
                4 if due.pop_front().is_some() => budget.release(),
                _ => {}
            }
            let window = |times: &[u64]| times.iter().filter(|time| now - **time <= 10_000).count();
            let used = window(&retries) + due.len();
            let max = RULES.ratio * window(&requests) as f64 + RULES.slack;
            prop_assert!(used as f64 <= max);
            budget.limit(at, &RULES, 1);
            prop_assert_eq!(budget.used(), used);
        }
    }
}

/// Hosts restart with empty windows just after they used up their share. The margin covers one such
/// restart of a third of the hosts.
#[test]
fn restarting_a_third_of_the_hosts_keeps_the_slack() {
    let now = Time::from_millis(1000);
    let spend = |budget: &mut RetryBudget| {
        (0..100)
            .filter(|_| budget.try_spend(now, &RULES, 9, 0))
            .count()
    };
    let mut sum: usize = (0..9).map(|_| spend(&mut RetryBudget::default())).sum();
    sum += (0..3)
        .map(|_| spend(&mut RetryBudget::default()))
        .sum::<usize>();
    assert!(sum as f64 <= RULES.slack, "{sum}");
}
