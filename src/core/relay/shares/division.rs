//! Max-min fair division of a service's engine time between customers.

/// Fraction of its share below which a customer that wants more than its share has less than it. Among equal customers
/// each has some per cent more or less by chance.
const MIN_FRACTION: f64 = 0.7;

/// Engine time of customers of one rank.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Their rank; 0 goes first.
    pub rank: u8,
    /// Engine time that each of them used.
    pub used: f64,
    /// Engine time that each of them asked for.
    pub wanted: f64,
    /// Their number.
    pub customers: u32,
}

/// A division of less engine time than is wanted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Division {
    /// First rank whose demand is not met whole.
    rank: u8,
    /// Share of each customer of that rank.
    level: f64,
}

impl Division {
    /// Divides engine time; `None` if it is enough for all.
    ///
    /// Ranks are served in order. Within a rank those that want less than an equal share get what they want, and the
    /// others share what is left equally.
    #[must_use]
    pub fn of(capacity: f64, demands: &mut [Demand]) -> Option<Self> {
        demands
            .sort_by(|one, two| (one.rank.cmp(&two.rank)).then(one.wanted.total_cmp(&two.wanted)));
        let mut left = capacity;
        for group in demands.chunk_by(|one, two| one.rank == two.rank) {
            let mut customers: f64 = group.iter().map(|demand| f64::from(demand.customers)).sum();
            for demand in group {
                let level = left / customers;
                if demand.wanted > level {
                    let rank = demand.rank;
                    return Some(Self { rank, level });
                }
                left -= demand.wanted * f64::from(demand.customers);
                customers -= f64::from(demand.customers);
            }
        }
        None
    }

    /// Returns the share of a customer of a rank.
    #[must_use]
    pub fn share(self, rank: u8) -> f64 {
        match rank.cmp(&self.rank) {
            std::cmp::Ordering::Less => f64::INFINITY,
            std::cmp::Ordering::Equal => self.level,
            std::cmp::Ordering::Greater => 0.0,
        }
    }

    /// Whether a customer of a rank is over its share with some usage.
    #[must_use]
    pub fn is_over(self, rank: u8, used: f64) -> bool {
        used >= self.share(rank)
    }

    /// Returns the engine time that customers wanted within their shares and did not get: all of those that want less
    /// than their shares, and those of the others that have far less.
    #[must_use]
    pub fn withheld(self, demands: &[Demand]) -> f64 {
        let withheld = demands.iter().map(|demand| {
            let due = demand.wanted.min(self.share(demand.rank));
            if demand.wanted > due && demand.used >= due * MIN_FRACTION {
                return 0.0;
            }
            (due - demand.used).max(0.0) * f64::from(demand.customers)
        });
        withheld.sum()
    }
}
