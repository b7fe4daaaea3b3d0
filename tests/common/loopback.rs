//! Loopback addresses for the processes of one deployment.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};

/// Returns a loopback address of which no other process is given a port, until it comes round again after 64 calls: a
/// caller that goes on sending to a host that has ended must not reach another listener at its former port.
pub fn own_loopback_addr() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(
        127,
        128 | (high << 6) | (middle >> 2),
        (middle << 6) | (low >> 2),
        (low << 6) | (count & 0x3f),
    )
}
