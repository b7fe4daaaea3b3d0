//! Table of results.

use crate::Policy;
use crate::tally::Tally;
use crate::trace::Class;

/// Result of a policy for a case.
#[derive(Debug)]
pub struct Row {
    /// Name of the case.
    pub case: &'static str,
    /// Policy.
    pub policy: Policy,
    /// Counts of the run.
    pub tally: Tally,
}

impl Policy {
    /// Returns the name in the table.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Chiveway => "ours",
            Self::Static => "static",
            Self::Threshold => "threshold",
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::LeastReported => "least-report",
            Self::Oracle => "oracle",
        }
    }
}

/// Returns the row of a policy for a case.
pub fn find_row<'a>(rows: &'a [Row], case: &str, policy: Policy) -> Option<&'a Row> {
    rows.iter()
        .find(|row| row.case == case && row.policy == policy)
}

/// Returns a policy's goodput as a fraction of the oracle's.
pub fn oracle_fraction(rows: &[Row], row: &Row) -> f64 {
    let oracle = find_row(rows, row.case, Policy::Oracle).map_or(1.0, |row| row.tally.goodput());
    row.tally.goodput() / oracle
}

/// Prints all rows.
pub fn print(rows: &[Row]) {
    println!(
        "{:<18} {:<12} {:>6} {:>7} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6}",
        "case",
        "policy",
        "asked",
        "good %",
        "of or.",
        "long",
        "short",
        "changes",
        "lost s",
        "refus.",
        "named",
        "kept %",
        "fair",
        "hits %"
    );
    for row in rows {
        let tally = &row.tally;
        let requests: u32 = tally.requests.iter().sum();
        println!(
            "{:<18} {:<12} {requests:>6} {:>7.2} {:>6.3} {:>6.3} {:>6.3} {:>7} {:>7.1} {:>6} {:>6} \
             {:>6.1} {:>6.3} {:>6.1} r{:.3}",
            row.case,
            row.policy.name(),
            tally.goodput() * 100.0,
            oracle_fraction(rows, row),
            tally.class_goodput(Class::Long),
            tally.class_goodput(Class::Short),
            tally.role_changes,
            tally.lost_secs,
            tally.refusals,
            tally.with_retry_after,
            tally.admitted_fraction() * 100.0,
            tally.fairness(),
            tally.cache_hit_fraction() * 100.0,
            tally.retry_ratio(),
        );
    }
}

/// Prints the orders to each fleet.
pub fn print_orders(orders: &[(&str, usize)]) {
    println!("\n{:<18} {:>6}", "fleet", "orders");
    for (name, count) in orders {
        println!("{name:<18} {count:>6}");
    }
}
