//! Registration of a host by a lease.

use super::{Cluster, LEASE_TTL};

/// A host is paused past its lease a few times in an hour. Each time it registers anew; if each
/// time one more clock were to ask for renewals, and each of those another, the calls would
/// double with every lapse until the platform's budget is used up for everyone.
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
    // The registration and the pool's lease are each renewed three times in a life.
    let most = 2 * 3 * 10 + 2;
    let found = cluster.store.lease_calls;
    assert!(found <= most, "{found} calls where {most} are enough");
}
