//! Registration of a host under a lease.

use super::{Cluster, LEASE_TTL};

/// A host is suspended past its lease several times and registers again each time. If each new
/// registration started a renewal timer beside the old one, renewals would double with every
/// lapse until they used up the platform's quota of calls.
#[test]
fn lapsed_lease_starts_no_second_renewal_timer() {
    let mut cluster = Cluster::new(1, 1);
    for _ in 0..8 {
        cluster.freeze(0);
        cluster.run(LEASE_TTL * 3);
        cluster.thaw(0);
        cluster.run(LEASE_TTL * 2);
    }
    cluster.store.lease_calls = 0;
    cluster.run(LEASE_TTL * 10);
    // The leases of the registration and of the pool are each renewed three times per TTL.
    let max = 2 * 3 * 10 + 2;
    let calls = cluster.store.lease_calls;
    assert!(calls <= max, "{calls} lease calls, expected at most {max}");
}
