//! Servers whose entries are removed while a host does not see it.

use super::domain::Domain;

/// Time after its return within which a host sends nothing more to a server that left meanwhile.
const BOUND: u64 = 1000;
/// Requests by which a host shows which servers it uses.
const REQUESTS: usize = 30;

/// Returns whether a host sends any of some requests to a server.
fn uses(domain: &mut Domain, host: usize, server: &str) -> bool {
    let sent = (0..REQUESTS).filter_map(|_| domain.arrive(host));
    sent.filter(|to| **to == *server).count() > 0
}

/// A host is cut off while a server's entry is removed, and reads every key once it is back.
/// Guards against taking that for an entry that lapsed in an outage of the store, which comes back.
#[test]
fn a_host_that_was_cut_off_uses_no_server_that_left() {
    for length in [500, 2500, 8000] {
        let mut domain = Domain::of(3);
        domain.pass(3000);
        assert!(uses(&mut domain, 1, "r"));
        domain.cut_off(1);
        domain.pass(length / 2);
        domain.remove("r");
        domain.pass(length / 2);
        domain.reconnect();
        domain.pass(BOUND);
        assert!(!uses(&mut domain, 1, "r"), "after {length} ms");
    }
}
