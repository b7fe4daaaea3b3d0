//! Hosts that all start at once and read more pages than the store answers in a second.

use super::*;

/// Pages of a store with hundreds of hosts and thousands of backend servers.
const PAGES: usize = 7;

/// Pattern: all hosts restart, and the store refuses most of their reads. Guards against beginning the read anew with
/// each refused page, so that it ends only by luck.
#[test]
fn a_read_continues_after_a_refused_page() {
    let mut run = Run::start(Store {
        pages: PAGES,
        answers_one_in: 3,
        ..Store::new()
    });
    while !run
        .site
        .core
        .relay
        .view
        .is_fresh(Time::from_millis(run.site.now))
    {
        run.step();
        assert!(run.store.call_counts.0 <= 3 * 7, "pages were read again");
    }
    run.pass(1000);
    run.store.revision += 1;
    assert!(run.until_current() <= MAX_CATCH_UP_MS);
}

/// Pattern: all hosts restart, and each page takes long. Guards against refusing all callers until the last page is in.
#[test]
fn a_started_host_serves_from_the_first_page() {
    let mut run = Run::start(Store {
        pages: PAGES,
        page: 400,
        ..Store::new()
    });
    run.pass(1000);
    assert_eq!(run.store.call_counts.0, 3, "the read is not at its end");
    assert!(run.site.core.relay.catalog.is_some());
}

/// A page is read again later by a host that has a complete view. Guards against applying a part of a read: its entries
/// may be older than changes that the watch returned.
#[test]
fn a_later_read_is_applied_as_a_whole() {
    let mut run = Run::start(Store::new());
    run.pass(500);
    assert!(run.is_current());
    run.store.set_mode(StoreMode::Hangs);
    run.pass(3000);
    run.store.revision += 1;
    (run.store.pages, run.store.page) = (PAGES, 400);
    run.store.set_mode(StoreMode::Answers);
    let before = run.store.call_counts.0;
    while run.store.call_counts.0 < before + 3 {
        run.step();
    }
    assert!(!run.is_current());
    run.pass(8000);
    assert!(run.is_current());
}
