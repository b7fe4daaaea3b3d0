//! Prefixes shared by more prompts than one engine can serve.
//!
//! Modelled on sites whose long prompts share about 13,000 tokens with others and have 3,700 of
//! their own. Engines prefill about 40 tokens per millisecond; their links carry 370 Gbit/s, so
//! that a prefix of 240 MB is copied in about 10 ms.

use super::*;
use crate::core::relay::event::{BlockReport, Gossip, LoadReport, Task};
use crate::core::relay::instance::short_hash;

const SHARED: u64 = 13_000;
const OWN: u64 = 3700;

/// Returns a host with engines in one failure domain, and one in another.
fn site() -> TestHost {
    let mut site = TestHost::new();
    let far = BackendEntry {
        domain: "y".into(),
        ..engine_entry("r", Stage::Prefill)
    };
    site.register(vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("q", Stage::Prefill),
        far,
        engine_entry("d", Stage::Decode),
        engine_entry("e", Stage::Decode),
    ]);
    site.write_key(
        "hosts/host-2",
        Some(r#"{"addr":"10.9.9.9:1","domain":"z"}"#),
        3,
    );
    site
}

/// Receives gossip about work at busy engines, and about engines that have a shared block cached.
fn receive(site: &mut TestHost, number: u64, busy: &[&str], caching: &[&str]) {
    let loads = busy.iter().map(|id| LoadReport {
        instance: short_hash(id),
        calls: 3,
        fill: 0,
        tokens: 12_000,
        context: 0,
    });
    let parts = caching.iter().map(|id| BlockReport {
        block: 1,
        tokens: 13_000,
        instance: short_hash(id),
    });
    site.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: "host-2".into(),
        incarnation: 1,
        sequence: number,
        loads: loads.collect(),
        blocks: parts.collect(),
        ..Gossip::default()
    })));
}

fn addr(site: &TestHost, id: &str) -> SocketAddr {
    let key = site.core.relay.instances.find(id).expect("registered");
    site.core.relay.instances.arena[key].addr
}

/// The engine that has a prompt's prefix cached is busy. Prefilling the prefix again elsewhere
/// takes hundreds of milliseconds; copying it gives the first token far sooner.
#[test]
fn a_prefix_cached_at_a_busy_engine_is_copied() {
    let mut site = site();
    receive(&mut site, 1, &[], &["p"]);
    site.advance(200);
    receive(&mut site, 2, &["p"], &[]);
    site.arrive(model_request("/long/x", (1, SHARED), OWN));
    let sent = site.sent().expect("the request is admitted");
    assert!(&*sent.instance != "p", "{sent:?}");
    assert_eq!(sent.fetch_from, Some(addr(&site, "p")));
    let key = site
        .core
        .relay
        .instances
        .find(&sent.instance)
        .expect("registered");
    let own = site.core.relay.instances.arena[key].own_work;
    assert_eq!(own.tokens, OWN, "copied tokens are not prefilled");
}

/// A transfer between failure domains takes twice as long as one within a domain.
#[test]
fn a_prefix_is_copied_within_the_failure_domain() {
    let mut site = site();
    receive(&mut site, 1, &[], &["p", "r"]);
    site.advance(200);
    receive(&mut site, 2, &["p", "r"], &[]);
    site.arrive(model_request("/long/x", (1, SHARED), OWN));
    let sent = site.sent().expect("the request is admitted");
    assert_eq!(sent.fetch_from, Some(addr(&site, "p")), "{sent:?}");
}

/// An engine that is still prefilling a block has nothing to copy. Guards against a fetch that
/// finds nothing, after which the engine prefills all tokens and delays the requests behind.
#[test]
fn a_prefix_not_yet_prefilled_is_not_copied() {
    let mut site = site();
    site.arrive(model_request("/long/x", (1, SHARED), OWN));
    let first = site.sent().expect("the request is admitted");
    for _ in 0..4 {
        site.arrive(model_request("/long/x", (1, SHARED), OWN));
        assert!(site.sent().is_none_or(|sent| sent.fetch_from.is_none()));
    }
    // Once prefilled, the block is copied from that engine, whichever others were sent it
    // meanwhile.
    let mut site = self::site();
    site.arrive(model_request("/long/x", (1, SHARED), OWN));
    let prefill = site.sent().expect("the request is admitted");
    assert_eq!(prefill.instance, first.instance);
    site.advance(1000);
    receive(&mut site, 1, &[&prefill.instance], &[]);
    site.arrive(model_request("/long/x", (1, SHARED), OWN));
    let sent = site.sent().expect("the request is admitted");
    assert_eq!(
        sent.fetch_from,
        Some(addr(&site, &prefill.instance)),
        "{sent:?}"
    );
}

/// Blocks are not copied from an engine that is leaving: the request would wait for a transfer that
/// never completes.
#[test]
fn no_prefix_is_copied_from_a_leaving_engine() {
    let mut site = site();
    receive(&mut site, 1, &[], &["p"]);
    site.advance(200);
    site.register(vec![BackendEntry {
        leaving: true,
        ..engine_entry("p", Stage::Prefill)
    }]);
    site.arrive(model_request("/long/x", (1, SHARED), OWN));
    assert_eq!(site.sent().and_then(|sent| sent.fetch_from), None);
}

/// Unshared prompts fill an engine's memory after a shared block was used last, and the engine
/// evicts the block. If the host assumed it to be cached, the engine would prefill it unexpectedly,
/// and all requests behind would wait longer than estimated.
#[test]
fn a_cached_block_is_dropped_once_other_prompts_filled_the_memory() {
    let mut site = site();
    receive(&mut site, 1, &[], &["p"]);
    let fill = LoadReport {
        instance: short_hash("p"),
        fill: 300_000,
        ..LoadReport::default()
    };
    // The memory of 500,000 tokens is filled in 1.7 s.
    for number in 2..18 {
        site.advance(150);
        site.event(RelayEvent::Gossiped(Box::new(Gossip {
            host: "host-2".into(),
            incarnation: 1,
            sequence: number,
            loads: vec![fill],
            ..Gossip::default()
        })));
        let key = site.core.relay.instances.find("p").expect("registered");
        let cached = site.core.relay.instances.arena[key].blocks.len();
        let millis = (number - 1) * 150;
        if !(1500..=2100).contains(&millis) {
            assert_eq!(cached, usize::from(millis < 1500), "after {millis} ms");
        }
    }
    site.arrive(model_request("/long/x", (1, SHARED), OWN));
    let sent = site.sent().expect("the request is admitted");
    assert_eq!(sent.fetch_from, None);
    let tokens = site.core.relay.attempts[sent.attempt].work.tokens;
    assert_eq!(tokens, SHARED + OWN, "the whole prompt is prefilled");
}

/// Long prompts arrive for 12 cached prefixes, ten in a row for each, so that the engine which has
/// the prefix cached is soon overloaded. If other engines prefilled it again instead of copying it,
/// about half of the 120 prompts would be refused.
#[test]
fn a_burst_over_cached_prefixes_prefills_few_of_them_again() {
    let mut site = site();
    let mut running = Vec::new();
    for block in 0..12 {
        site.arrive(model_request("/long/x", (block, SHARED), OWN));
        start(&mut site, &mut running);
        run(&mut site, &mut running, 1000);
    }
    let (mut admitted, mut prefilled) = (0, 0);
    for number in 0..120_u64 {
        site.arrive(model_request("/long/x", (number / 10 % 12, SHARED), OWN));
        if let Some(tokens) = start(&mut site, &mut running) {
            admitted += 1;
            prefilled += tokens;
        }
        run(&mut site, &mut running, 30);
    }
    let repeated = prefilled - admitted * OWN;
    assert!(admitted >= 110, "{admitted} of 120 admitted");
    assert!(
        repeated <= 2 * SHARED,
        "{repeated} tokens of shared prefixes prefilled again"
    );
}

/// A caller declares a shared block that is longer than its whole prompt. Counted in full, it would
/// leave a negative number of tokens to prefill, and the host would rate that engine as full
/// forever.
#[test]
fn a_block_longer_than_its_prompt_saves_no_more_than_the_prompt() {
    let mut site = site();
    receive(&mut site, 1, &[], &["p"]);
    site.advance(200);
    receive(&mut site, 2, &["p"], &[]);
    let mut arrival = model_request("/long/x", (1, SHARED), OWN);
    if let Some(prompt) = &mut arrival.prompt {
        prompt.tokens = 1000;
    }
    site.arrive(arrival);
    let sent = site.sent().expect("the request is admitted");
    let tokens = site.core.relay.attempts[sent.attempt].work.tokens;
    assert!(tokens <= 1000, "{tokens}");
}

/// Every handover leaves a copy of the shared prefix at the decode engine. If each request left one
/// at another engine, copies would fill the memory of all engines and evict other blocks.
#[test]
fn handovers_go_to_the_engine_that_caches_the_prefix() {
    let mut site = site();
    let mut engines = Vec::new();
    for _ in 0..6 {
        site.arrive(model_request("/long/x", (1, SHARED), OWN));
        let sent = site.sent().expect("the request is admitted");
        site.advance(600);
        site.event(RelayEvent::Prefilled {
            attempt: sent.attempt,
            handle: "k".into(),
        });
        let next = site.sent().expect("the prompt is handed over");
        engines.push(next.instance);
    }
    assert!(engines.iter().all(|id| *id == engines[0]), "{engines:?}");
}

/// Requests at engines, and when each engine is done with them.
type Running = Vec<(u64, Outgoing)>;

/// Adds the request just sent; returns its tokens to prefill.
fn start(site: &mut TestHost, running: &mut Running) -> Option<u64> {
    let sent = site.sent()?;
    let key = site.core.relay.instances.find(&sent.instance)?;
    let wait = site.core.relay.instances.arena[key].own_work.tokens / 40;
    let tokens = site.core.relay.attempts[sent.attempt].work.tokens;
    running.push((site.now + wait + 60, sent));
    Some(tokens)
}

/// Advances the time, and the engines' work on their requests.
fn run(site: &mut TestHost, running: &mut Running, millis: u64) {
    for _ in 0..millis / 10 {
        site.advance(10);
        let now = site.now;
        let (done, rest): (Running, Running) = running.drain(..).partition(|(at, _)| *at <= now);
        *running = rest;
        for (_, sent) in done {
            if sent.task != Task::Prefill {
                site.stream_ended(sent.attempt);
                continue;
            }
            site.event(RelayEvent::Prefilled {
                attempt: sent.attempt,
                handle: "k".into(),
            });
            start(site, running);
        }
    }
}
