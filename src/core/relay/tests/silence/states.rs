//! Silences of a server that is leaving, unlisted or moved, or that alone could run a request.

use super::engines::{LONG, Phase, SHORT, engines, plain, play};
use super::run::Got;
use super::servers::{DEADLINE, Servers};
use super::*;

/// Milliseconds after which the other servers refuse a request: at once, before and after the standby is given up.
const REFUSALS: [Option<u64>; 5] = [None, Some(0), Some(280), Some(320), Some(600)];

/// Milliseconds for which a standby is kept at least.
const KEPT_MS: u64 = 280;
/// Time between two offers of a request.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// What becomes of the server of a request before it falls silent or meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Becomes {
    Same,
    Leaving,
    /// The store lists it no more.
    Removed,
    /// Its entry has expired in an outage of the store.
    Missing,
    /// An engine that prefills.
    Prefills,
}

impl Becomes {
    fn apply(self, site: &mut Servers, server: &str) {
        match self {
            Self::Same => {}
            Self::Leaving => site.rewrite(server, |entry| entry.leaving = true),
            Self::Removed => site.unlist(server, true),
            Self::Missing => site.unlist(server, false),
            Self::Prefills => site.rewrite(server, |entry| entry.stage = Some(Stage::Prefill)),
        }
    }
}

/// Returns engines of which each has a software version of its own.
fn versions() -> Vec<BackendEntry> {
    let mut all = engines();
    for entry in &mut all {
        entry.version = Some(entry.id.clone());
    }
    all
}

fn one_engine() -> Vec<BackendEntry> {
    vec![engine_entry("d", Stage::Decode)]
}

fn one_of_each() -> Vec<BackendEntry> {
    vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("d", Stage::Decode),
    ]
}

fn one_plain() -> Vec<BackendEntry> {
    vec![plain_entry("a")]
}

/// Whether the end of a request is sound: its whole answer; a refusal as not run; or none until its deadline, if all other
/// servers refuse it once its attempt was given up, and its own takes none.
fn is_sound(site: &Servers, call: CallKey, becomes: Becomes, refusal: Option<u64>) -> bool {
    let caller = &site.callers[&call];
    let (at, got) = caller.got.expect("an end");
    let finds_none = becomes != Becomes::Same && refusal.is_some_and(|after| after > KEPT_MS);
    match got {
        Got::Whole => true,
        Got::Refusal(_, Ran::No) => !caller.has_run,
        Got::Refusal(..) | Got::Cut => {
            let waited = Duration::from_millis(at - caller.arrived);
            finds_none && waited + RETRY_PAUSE >= DEADLINE
        }
    }
}

/// Returns what the caller of a request gets whose server becomes that and is silent, and whether that is sound.
fn get(
    (mut site, call): (Servers, CallKey),
    becomes: Becomes,
    silence: u64,
    refusal: Option<u64>,
    change: Change,
    is_late: bool,
) -> (Got, bool) {
    let server = site.run_of(call).expect("a run").server();
    if let Some(after) = refusal {
        let others = site.ids().into_iter().filter(|other| *other != server);
        site.refusals = others
            .filter(|other| !matches!(other.as_ref(), "p" | "q"))
            .map(|other| (other, after))
            .collect();
    }
    if !is_late {
        becomes.apply(&mut site, &server);
    }
    let now = site.now();
    site.fall_silent(&server, now, silence);
    site.pass(silence / 2);
    site.change(change);
    if is_late {
        becomes.apply(&mut site, &server);
    }
    let got = site.finish()[0];
    (got, is_sound(&site, call, becomes, refusal))
}

/// Defines one test for each kind of request, its stage and what becomes of its server.
macro_rules! silent_states {
    ($($name:ident: $servers:ident, $path:expr, $tokens:expr, $phase:expr, $becomes:ident;)*) => {$(
        /// Guards against a running request that is given up at a server that goes on, but takes no request again.
        #[test]
        fn $name() {
            let mut bad = Vec::new();
            for silence in SILENCES {
                for refusal in REFUSALS {
                    for change in [Change::None, Change::Dropped, Change::Renamed, Change::Moved] {
                        for is_late in [false, true] {
                            let begun = play($servers(), $path, $tokens, $phase);
                            let becomes = Becomes::$becomes;
                            let (got, is_sound) =
                                get(begun, becomes, silence, refusal, change, is_late);
                            if !is_sound {
                                bad.push((silence, refusal, change, is_late, got));
                            }
                        }
                    }
                }
            }
            let count = bad.len();
            assert!(bad.is_empty(), "{count}: silence, refusal, change, late, end: {bad:?}");
        }
    )*};
}

silent_states! {
    a_begun_stream_at_the_same: engines, "/short/x", SHORT, Phase::Begun(3), Same;
    a_begun_stream_at_one_leaving: engines, "/short/x", SHORT, Phase::Begun(3), Leaving;
    a_begun_stream_at_one_removed: engines, "/short/x", SHORT, Phase::Begun(3), Removed;
    a_begun_stream_at_one_missing: engines, "/short/x", SHORT, Phase::Begun(3), Missing;
    a_begun_stream_at_one_that_prefills: engines, "/short/x", SHORT, Phase::Begun(3), Prefills;
    an_unanswered_stream_at_the_same: engines, "/short/x", SHORT, Phase::Unanswered, Same;
    an_unanswered_stream_at_one_leaving: engines, "/short/x", SHORT, Phase::Unanswered, Leaving;
    an_unanswered_stream_at_one_removed: engines, "/short/x", SHORT, Phase::Unanswered, Removed;
    an_unanswered_stream_at_one_missing: engines, "/short/x", SHORT, Phase::Unanswered, Missing;
    an_unanswered_stream_at_one_that_prefills: engines, "/short/x", SHORT, Phase::Unanswered, Prefills;
    a_begun_plain_stream_at_the_same: plain, "/feed/x", 0, Phase::Begun(3), Same;
    a_begun_plain_stream_at_one_leaving: plain, "/feed/x", 0, Phase::Begun(3), Leaving;
    a_begun_plain_stream_at_one_removed: plain, "/feed/x", 0, Phase::Begun(3), Removed;
    a_begun_plain_stream_at_one_missing: plain, "/feed/x", 0, Phase::Begun(3), Missing;
    an_unanswered_plain_stream_at_one_missing: plain, "/feed/x", 0, Phase::Unanswered, Missing;
    an_unanswered_plain_stream_at_one_leaving: plain, "/feed/x", 0, Phase::Unanswered, Leaving;
    a_safe_request_at_the_same: plain, "/again/x", 0, Phase::Unanswered, Same;
    a_safe_request_at_one_leaving: plain, "/again/x", 0, Phase::Unanswered, Leaving;
    a_safe_request_at_one_missing: plain, "/again/x", 0, Phase::Unanswered, Missing;
    a_begun_stream_at_the_only_one_of_its_version: versions, "/short/x", SHORT, Phase::Begun(3), Same;
    a_begun_stream_at_the_only_one_of_its_version_leaving: versions, "/short/x", SHORT, Phase::Begun(3), Leaving;
    an_unanswered_stream_at_the_only_one_of_its_version: versions, "/short/x", SHORT, Phase::Unanswered, Same;
    a_begun_stream_at_the_only_engine: one_engine, "/short/x", SHORT, Phase::Begun(3), Same;
    an_unanswered_stream_at_the_only_engine: one_engine, "/short/x", SHORT, Phase::Unanswered, Same;
    a_begun_stream_at_the_only_one_of_each: one_of_each, "/short/x", LONG, Phase::Begun(3), Same;
    an_unanswered_stream_at_the_only_one_of_each: one_of_each, "/short/x", LONG, Phase::Unanswered, Same;
    a_prefill_at_the_only_one_of_each: one_of_each, "/short/x", LONG, Phase::Prefill, Same;
    a_begun_stream_at_the_only_plain_server: one_plain, "/feed/x", 0, Phase::Begun(3), Same;
    a_safe_request_at_the_only_plain_server: one_plain, "/again/x", 0, Phase::Unanswered, Same;
    an_unsafe_request_at_the_same: plain, "/once/x", 0, Phase::Unanswered, Same;
    an_unsafe_request_at_one_leaving: plain, "/once/x", 0, Phase::Unanswered, Leaving;
    an_unsafe_request_at_one_removed: plain, "/once/x", 0, Phase::Unanswered, Removed;
    an_unsafe_request_at_one_missing: plain, "/once/x", 0, Phase::Unanswered, Missing;
    a_begun_stream_that_may_run_once_at_one_leaving: engines, "/long/x", SHORT, Phase::Begun(3), Leaving;
}

/// Guards against a begun answer that is cut before its deadline at a leaving server that hangs for good.
#[test]
fn a_leaving_server_that_hangs_keeps_a_begun_stream() {
    let (mut site, call) = play(engines(), "/short/x", SHORT, Phase::Begun(3));
    let server = site.run_of(call).expect("a run").server();
    Becomes::Leaving.apply(&mut site, &server);
    let now = site.now();
    site.fall_silent(&server, now, 20_000);
    assert_eq!(site.finish(), [Got::Cut]);
    let caller = &site.callers[&call];
    let (at, _) = caller.got.expect("an end");
    assert_eq!(Duration::from_millis(at - caller.arrived), DEADLINE);
}
