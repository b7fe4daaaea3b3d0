//! Registration of a host by a lease.

use super::{LEASE, World};

/// A host is paused past its lease a few times in an hour. Each time it registers anew; if each
/// time one more clock were to ask for renewals, and each of those another, the calls would
/// double with every lapse until the platform's budget is used up for everyone.
#[test]
fn a_lapsed_lease_adds_no_second_clock() {
    let mut world = World::new(1, 1);
    for _ in 0..8 {
        world.freeze(0);
        world.run(LEASE * 3);
        world.thaw(0);
        world.run(LEASE * 2);
    }
    world.store.renewals = 0;
    world.run(LEASE * 10);
    // The registration and the pool's lease are each renewed three times in a life.
    let most = 2 * 3 * 10 + 2;
    let found = world.store.renewals;
    assert!(found <= most, "{found} calls where {most} are enough");
}
