//! Memory per object, measured by a counting allocator.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::site::Site;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// System allocator that counts the allocated bytes.
#[derive(Debug)]
pub struct CountingAllocator;

// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Prints the memory in bytes per object.
pub fn print() {
    println!(
        "{:<24} {:>8} {:>12}",
        "memory of one", "count", "bytes each"
    );
    let rows = [
        (
            "engine",
            1_279,
            growth_bytes(|site| site.set_engines(1_300)),
        ),
        (
            "account",
            30_900,
            growth_bytes(|site| site.set_accounts(31_000)),
        ),
        ("peer", 361, growth_bytes(|site| site.set_peers(369))),
        (
            "live request",
            1_000,
            growth_bytes(|site| open(site, 1_000)),
        ),
        (
            "ended request's record",
            1_000,
            growth_bytes(|site| serve(site, 1_000)),
        ),
    ];
    for (name, count, bytes) in rows {
        println!(
            "{name:<24} {count:>8} {:>12.0}",
            bytes as f64 / f64::from(count)
        );
    }
}

/// Returns the number of bytes that `grow` adds to a small site.
fn growth_bytes(grow: impl FnOnce(&mut Site)) -> usize {
    let mut site = Site::new(21, 100, 8);
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    grow(&mut site);
    ALLOCATED_BYTES
        .load(Ordering::Relaxed)
        .saturating_sub(before)
}

fn open(site: &mut Site, count: u64) {
    for tag in 0..count {
        site.open(tag, 0);
    }
}

fn serve(site: &mut Site, count: u64) {
    for tag in 0..count {
        site.serve(tag, 0);
    }
}
