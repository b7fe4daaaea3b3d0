//! Pages that take long to arrive over a narrow link.

use super::*;

/// Pages arrive slowly over a narrow link while probes are answered immediately. Guards against abandoning the page
/// each time, after which the keys would never be read.
#[test]
fn slow_pages_are_read_eventually() {
    let mut run = Run::start(Store {
        page: 2500,
        pages: 3,
        ..Store::new()
    });
    run.pass(30_000);
    assert!(run.is_current());
    assert!(run.abandoned <= 5, "{} abandoned", run.abandoned);
}

/// Pages arrive in parts over a narrow link while probes are answered immediately. Guards against abandoning a read in
/// progress: it would start anew, fill the link again, and take several times as long.
#[test]
fn a_page_in_transfer_is_not_abandoned() {
    for page in [500, 900, 2500] {
        let mut run = Run::start(Store {
            page,
            in_parts: true,
            ..Store::new()
        });
        run.pass(10_000);
        assert!(run.is_current());
        assert_eq!(
            (run.abandoned, run.store.call_counts.0),
            (0, 1),
            "{page} ms"
        );
    }
}

/// The store hangs in the middle of a page. Guards against waiting for the rest because a part arrived.
#[test]
fn a_page_whose_transfer_stops_is_abandoned() {
    for offset in 0..START_OFFSETS {
        let mut run = Run::start(Store {
            page: 3000,
            in_parts: true,
            ..Store::new()
        });
        run.pass(1000 + offset * 20);
        run.store.set_mode(StoreMode::Hangs);
        run.pass(2000);
        run.store.set_mode(StoreMode::Answers);
        run.store.page = 0;
        let took = run.until_current();
        assert!(took <= MAX_CATCH_UP_MS, "{took} ms at offset {offset}");
    }
}
