//! Silences of the servers that have a part in one request, at each of its stages.

use super::run::Got;
use super::servers::Servers;
use super::*;

/// Tokens of a short and of a long prompt.
pub const SHORT: u64 = 290;
pub const LONG: u64 = 6000;
/// Milliseconds between two silences that follow each other.
const STAGGER_MS: u64 = 300;

/// How far a request is when the silence begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its prompt is prefilled for another engine.
    Prefill,
    /// Its server has got it and sent nothing.
    Unanswered,
    /// This many events have arrived.
    Begun(u64),
}

/// Which servers fall silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silent {
    /// The one at which the request is.
    Runner,
    /// The one that holds its KV cache.
    Source,
    /// The one that holds its KV cache, and its server after that.
    InTurn,
    All,
    /// One after another.
    Staggered,
}

pub fn engines() -> Vec<BackendEntry> {
    vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("q", Stage::Prefill),
        engine_entry("d", Stage::Decode),
        engine_entry("e", Stage::Decode),
        engine_entry("f", Stage::Decode),
    ]
}

pub fn plain() -> Vec<BackendEntry> {
    ["a", "b", "c"].map(plain_entry).to_vec()
}

/// Returns servers with a request that has come so far.
pub fn play(
    entries: Vec<BackendEntry>,
    path: &str,
    tokens: u64,
    phase: Phase,
) -> (Servers, CallKey) {
    let mut site = Servers::new(entries);
    let call = site.arrive(path, tokens);
    site.until(|site| {
        let run = site.run_of(call);
        let events = site.callers[&call].events.len() as u64;
        run.is_some_and(|run| match phase {
            Phase::Prefill => run.prefills(),
            Phase::Unanswered => !run.prefills(),
            Phase::Begun(count) => events == count,
        })
    });
    (site, call)
}

fn fall_silent(site: &mut Servers, call: CallKey, which: Silent, silence: u64) {
    let now = site.now();
    let runner = site.run_of(call).expect("a run").server();
    match which {
        Silent::Runner => site.fall_silent(&runner, now, silence),
        Silent::Source => {
            for source in ["p", "q"] {
                site.fall_silent(source, now, silence);
            }
        }
        Silent::InTurn => {
            for source in ["p", "q"] {
                site.fall_silent(source, now, silence);
            }
            site.fall_silent(&runner, now + silence, silence);
        }
        Silent::All | Silent::Staggered => {
            for (number, server) in (0..).zip(site.ids()) {
                let after = if which == Silent::All { 0 } else { STAGGER_MS };
                site.fall_silent(&server, now + number * after, silence);
            }
        }
    }
}

/// Returns what a caller gets whose servers fall silent for a time, beside a change of the configuration.
fn get(
    mut site: Servers,
    call: CallKey,
    which: Silent,
    silence: u64,
    change: Change,
) -> (Got, bool) {
    fall_silent(&mut site, call, which, silence);
    site.pass(silence / 2);
    site.change(change);
    let got = site.finish()[0];
    (got, site.callers[&call].has_run)
}

/// Defines one test for each kind of request, its stage and the servers that fall silent.
macro_rules! silent_engines {
    ($($name:ident: $servers:ident, $path:expr, $tokens:expr, $phase:expr, $silent:ident;)*) => {$(
        /// Guards against a request that sound servers run and that ends without its answer, since they are silent.
        #[test]
        fn $name() {
            let mut bad = Vec::new();
            for silence in SILENCES {
                for change in CHANGES {
                    let (site, call) = play($servers(), $path, $tokens, $phase);
                    let (got, has_run) = get(site, call, Silent::$silent, silence, change);
                    // No server had run it when its service was gone.
                    let is_gone = matches!(change, Change::Dropped | Change::Renamed) && !has_run;
                    let is_true = is_gone && got == Got::Refusal(Kind::NoEngine, Ran::No);
                    if got != Got::Whole && !is_true {
                        bad.push((silence, change, got));
                    }
                }
            }
            assert!(bad.is_empty(), "silence, change, end: {bad:?}");
        }
    )*};
}

silent_engines! {
    a_short_prefill: engines, "/short/x", SHORT, Phase::Prefill, Runner;
    a_long_prefill: engines, "/short/x", LONG, Phase::Prefill, Runner;
    all_prefill_engines: engines, "/short/x", LONG, Phase::Prefill, Source;
    all_at_a_prefill: engines, "/short/x", LONG, Phase::Prefill, All;
    one_after_another_at_a_prefill: engines, "/short/x", LONG, Phase::Prefill, Staggered;
    the_holder_of_a_short_prompt: engines, "/short/x", SHORT, Phase::Unanswered, Source;
    the_holder_of_a_long_prompt: engines, "/short/x", LONG, Phase::Unanswered, Source;
    the_holder_and_the_decode_engine_in_turn: engines, "/short/x", LONG, Phase::Unanswered, InTurn;
    a_decode_engine_without_an_event: engines, "/short/x", SHORT, Phase::Unanswered, Runner;
    all_at_a_handover: engines, "/short/x", LONG, Phase::Unanswered, All;
    one_after_another_at_a_handover: engines, "/short/x", LONG, Phase::Unanswered, Staggered;
    a_decode_engine_with_events: engines, "/short/x", SHORT, Phase::Begun(3), Runner;
    all_at_a_begun_stream: engines, "/short/x", SHORT, Phase::Begun(3), All;
    one_after_another_at_a_begun_stream: engines, "/short/x", SHORT, Phase::Begun(3), Staggered;
    a_stream_without_its_end: engines, "/short/x", SHORT, Phase::Begun(6), Runner;
    all_at_an_unanswered_stream_that_may_run_once: engines, "/long/x", LONG, Phase::Unanswered, All;
    all_at_a_begun_stream_that_may_run_once: engines, "/long/x", SHORT, Phase::Begun(3), All;
    a_plain_server: plain, "/again/x", 0, Phase::Unanswered, Runner;
    all_plain_servers: plain, "/again/x", 0, Phase::Unanswered, All;
    plain_servers_one_after_another: plain, "/again/x", 0, Phase::Unanswered, Staggered;
    all_plain_servers_at_an_unsafe_request: plain, "/once/x", 0, Phase::Unanswered, All;
    all_plain_servers_at_an_unanswered_stream: plain, "/feed/x", 0, Phase::Unanswered, All;
    all_plain_servers_at_a_begun_stream: plain, "/feed/x", 0, Phase::Begun(3), All;
    plain_servers_one_after_another_at_a_begun_stream: plain, "/feed/x", 0, Phase::Begun(3), Staggered;
}
