//! Where work goes and who is refused, on days with more than can be served in time.
//!
//! The pattern is that of sites whose long prompts share first parts of some 13,000 tokens, beside
//! many short prompts, with bursts of a few seconds that swing the mix. Engines read some 40 tokens
//! a millisecond, and read admitted prompts in the order in which they came.

use super::*;
use crate::core::relay::event::{Gossip, LoadReport, PrefixReport, Task};
use crate::core::relay::instance::short_hash;

fn site() -> Site {
    let mut site = Site::new();
    site.register(vec![
        engine("p", Stage::Prefill),
        engine("q", Stage::Prefill),
        engine("r", Stage::Prefill),
        engine("d", Stage::Decode),
        engine("e", Stage::Decode),
    ]);
    site
}

fn word(host: &str, number: u64) -> Gossip {
    Gossip {
        host: host.into(),
        incarnation: 1,
        number,
        ..Gossip::default()
    }
}

fn host(site: &mut Site, name: &str) {
    site.key(
        &format!("hosts/{name}"),
        Some(r#"{"addr":"10.9.9.9:1","domain":"z"}"#),
        3,
    );
}

/// Requests with one first part go to the engine that has read it, until waiting there costs more
/// than reading it again elsewhere.
#[test]
fn a_shared_part_is_read_once_until_its_engine_is_full() {
    let mut site = site();
    let mut engines = Vec::new();
    for own in 0..12 {
        site.arrive(prompt("/long/x", (1, 13_000), 1000 + own));
        if let Some(sent) = site.sent() {
            engines.push(sent.instance);
        }
    }
    assert!(
        engines[..3].iter().all(|id| *id == engines[0]),
        "{engines:?}"
    );
    assert!(engines.iter().any(|id| *id != engines[0]), "{engines:?}");
}

/// Another host has sent a part to an engine; this one sends its own requests there, too.
#[test]
fn parts_read_for_other_hosts_are_used() {
    for engine in ["p", "q", "r"] {
        let mut site = site();
        host(&mut site, "host-2");
        site.event(RelayEvent::Gossiped(Box::new(Gossip {
            parts: vec![PrefixReport {
                part: 1,
                tokens: 13_000,
                instance: short_hash(engine),
            }],
            ..word("host-2", 1)
        })));
        site.arrive(prompt("/long/x", (1, 13_000), 1000));
        assert_eq!(site.sent().map(|sent| sent.instance), Some(engine.into()));
    }
}

/// Every host sees a ninth of the requests. An engine that looks idle here is full of others' work.
#[test]
fn work_of_other_hosts_counts() {
    let mut site = site();
    host(&mut site, "host-2");
    let busy = |id: &str| LoadReport {
        instance: short_hash(id),
        calls: 3,
        fill: 0,
        tokens: 30_000,
    };
    site.event(RelayEvent::Gossiped(Box::new(Gossip {
        loads: vec![busy("p"), busy("q")],
        ..word("host-2", 2)
    })));
    site.arrive(prompt("/long/x", (1, 13_000), 1000));
    assert_eq!(site.sent().map(|sent| sent.instance), Some("r".into()));
    // Datagrams overtake each other: an older message changes nothing.
    site.event(RelayEvent::Gossiped(Box::new(word("host-2", 1))));
    site.arrive(prompt("/long/y", (2, 13_000), 1000));
    let sent = site.sent().map(|sent| sent.instance);
    assert!(sent != Some("p".into()) && sent != Some("q".into()));
    // A host that fell silent counts for nothing after a while.
    site.pass(3000);
    let key = site.core.relay.instances.find("p").expect("known");
    assert_eq!(site.core.relay.instances.arena[key].peer_total.tokens, 0);
}

/// A burst of long prompts is more than the engines can read in time. What would come late anyway
/// is refused with a time to come back, at once, and short prompts go on being in time.
#[test]
fn a_burst_of_long_prompts_leaves_short_ones_in_time() {
    let mut site = site();
    let mut refused = 0;
    for part in 0..60 {
        site.arrive(prompt("/long/x", (part, 13_000), 4000));
        if let Some((status, ran, retry)) = site.refused() {
            assert_eq!((status, ran), (503, Ran::No));
            assert!(retry.is_some_and(|retry| retry >= Duration::from_millis(500)));
            refused += 1;
        }
    }
    assert!((30..60).contains(&refused), "{refused} of 60");
    for _ in 0..5 {
        site.arrive(prompt("/short/x", (1000, 60), 290));
        assert!(site.sent().is_some());
    }
}

/// Long prompts read at an engine that decodes hold up every stream and every hand-over there.
#[test]
fn long_prompts_are_not_read_beside_streams() {
    let mut site = site();
    for part in 0..20 {
        site.arrive(prompt("/long/x", (part, 13_000), 4000));
        if let Some(sent) = site.sent() {
            assert_eq!(sent.task, Task::Prefill);
        }
    }
}

/// Short prompts fill both kinds of engine: handed over where those that prefill are free, read
/// whole where they are not.
#[test]
fn short_prompts_use_what_is_free() {
    let mut site = site();
    let mut whole = 0;
    for _ in 0..200 {
        site.arrive(prompt("/short/x", (1, 60), 290));
        whole += usize::from(site.sent().is_some_and(|sent| sent.task == Task::Whole));
    }
    assert!((20..180).contains(&whole), "{whole} of 200");
}

/// An engine twice as slow as the others gets less, once that is known.
#[test]
fn a_slow_engine_is_learned() {
    let mut site = site();
    let mut slow = (0, 0);
    for round in 0..60_u64 {
        site.arrive(prompt("/long/x", (round, 13_000), 1000));
        let Some(sent) = site.sent() else { continue };
        let took = if &*sent.instance == "p" { 1400 } else { 350 };
        if &*sent.instance == "p" {
            if round < 30 { slow.0 += 1 } else { slow.1 += 1 }
        }
        site.now += took;
        site.event(RelayEvent::Prefilled {
            attempt: sent.attempt,
            handle: "k".into(),
        });
        let Some(next) = site.sent() else { continue };
        site.event(RelayEvent::Piece {
            attempt: next.attempt,
            number: 1,
        });
        site.event(RelayEvent::Whole(next.attempt));
    }
    assert!(slow.1 < slow.0.max(1) && slow.1 <= 5, "{slow:?}");
}

/// An engine refuses nearly all it gets while it is well by its own account. It looks idle, draws
/// every request, and each refusal uses up one of the few repeats: callers are then refused for it.
#[test]
fn an_engine_that_refuses_does_not_draw_requests() {
    let mut site = site();
    let mut refusals = 0;
    for round in 0..200 {
        site.arrive(prompt("/short/x", (round, 60), 290));
        let mut sent = site.sent();
        while let Some(out) = sent {
            site.now += 3;
            if &*out.instance == "d" {
                refusals += 1;
                site.broke(out.attempt, Ran::No, Break::Refused);
            } else if out.task == Task::Prefill {
                site.event(RelayEvent::Prefilled {
                    attempt: out.attempt,
                    handle: "k".into(),
                });
            } else {
                site.event(RelayEvent::Whole(out.attempt));
            }
            sent = site.sent();
        }
        site.now += 20;
    }
    assert!(refusals <= 20, "{refusals} refusals in 200 requests");
}
