//! A minute of silences and then a crash: sound servers that were silent serve like the others.

use super::run::{Caller, Got};
use super::servers::Servers;
use super::*;

/// Milliseconds between two silences, and of all of them.
const INTERVAL_MS: u64 = 4000;
const ALL_MS: u64 = 60_000;
/// Milliseconds between two arrivals.
const ARRIVAL_MS: u64 = 40;
/// Plain servers, and decode engines.
const COUNT: usize = 8;
/// Milliseconds after the last silence until a server crashes: when the budget has been renewed, and before that.
const SETTLE_MS: u64 = 15_000;
const SOON_MS: u64 = 4000;
/// Retries of the retry budget beyond its ratio, at the only host and at one of many.
const SLACK: f64 = 50.0;
const SLACK_OF_ONE: f64 = 1.1;

fn entries() -> Vec<BackendEntry> {
    let ids = |from: u8| {
        (from..)
            .take(COUNT)
            .map(|letter| char::from(letter).to_string())
    };
    let plain = ids(b'a').map(|id| plain_entry(&id));
    let decode = ids(b'i').map(|id| engine_entry(&id, Stage::Decode));
    let prefill = ["w", "x", "y", "z"].map(|id| engine_entry(id, Stage::Prefill));
    plain.chain(decode).chain(prefill).collect()
}

/// Lets time pass in which requests of each kind arrive.
fn pass(site: &mut Servers, millis: u64) {
    let paths = ["/again/x", "/short/x", "/feed/x", "/short/x"];
    for path in paths
        .into_iter()
        .cycle()
        .take((millis / ARRIVAL_MS) as usize)
    {
        let tokens = 200 + site.callers.len() as u64;
        site.arrive(path, tokens);
        site.pass(ARRIVAL_MS);
    }
}

/// Returns servers of which a quarter was silent every few seconds for a minute, some time later.
fn after_silences(silence: u64, slack: f64, settle: u64) -> Servers {
    let mut site = Servers::new(entries());
    site.events = 20;
    let settings = &mut site.host.core.settings.relay;
    settings.as_mut().expect("a relay").retry_budget.slack = slack;
    let ids = site.ids();
    for number in 0..(ALL_MS / INTERVAL_MS) as usize {
        pass(&mut site, INTERVAL_MS);
        let now = site.now();
        for server in ids.iter().skip(number % 4).step_by(4) {
            site.fall_silent(server, now, silence);
        }
        assert!(
            !site.host.core.relay.links.are_lost(),
            "links count as lost"
        );
    }
    pass(&mut site, settle);
    site
}

/// Returns the server among some that runs the most requests.
fn busiest(site: &Servers, servers: &[Box<str>]) -> Box<str> {
    let busiest = servers
        .iter()
        .max_by_key(|server| site.calls_at(server).len());
    busiest.expect("a server").clone()
}

fn is_whole(caller: &Caller) -> bool {
    caller.got.is_some_and(|(_, got)| got == Got::Whole)
}

/// Crashes the busiest engine and the busiest plain server; returns how many requests get no whole answer from then on.
fn lost_in_crash(mut site: Servers) -> usize {
    let all = site.ids();
    let servers = [&all[..COUNT], &all[COUNT..2 * COUNT]];
    for server in servers.map(|servers| busiest(&site, servers)) {
        assert!(!site.calls_at(&server).is_empty(), "{server} is idle");
        site.crash(&server);
    }
    let crashed = site.now();
    site.finish();
    let lost = site.callers.values().filter(|caller| !is_whole(caller));
    lost.filter(|caller| caller.got.is_some_and(|(at, _)| at >= crashed))
        .count()
}

/// Defines one test for each length of silences, some time before a crash.
macro_rules! silences_and_a_crash {
    ($($name:ident: $silence:expr, $slack:expr;)*) => {$(
        /// Guards against sound servers that stay avoided, so that one runs all streams, and more are lost with it.
        #[test]
        fn $name() {
            let site = after_silences($silence, $slack, SETTLE_MS);
            let all = site.ids();
            let engines = &all[COUNT..2 * COUNT];
            let crashed = busiest(&site, engines);
            let streams: usize = engines.iter().map(|id| site.calls_at(id).len()).sum();
            let most = site.calls_at(&crashed).len();
            assert!(most > 0 && most * 2 <= streams, "{most} of {streams} streams at one engine");
            assert_eq!(lost_in_crash(site), 0, "requests lost with a server");
        }
    )*};
}

silences_and_a_crash! {
    half_a_second: 500, SLACK;
    nine_tenths_of_a_second: 900, SLACK;
    a_second: 1000, SLACK;
    a_second_and_a_half: 1500, SLACK;
    two_seconds: 2200, SLACK;
    three_seconds: 3000, SLACK;
    half_a_second_at_one_host: 500, SLACK_OF_ONE;
    a_second_at_one_host: 1000, SLACK_OF_ONE;
    two_seconds_at_one_host: 2200, SLACK_OF_ONE;
    three_seconds_at_one_host: 3000, SLACK_OF_ONE;
}

/// Defines one test for each length of silences, shortly before a crash.
macro_rules! silences_and_a_crash_soon {
    ($($name:ident: $silence:expr, $slack:expr;)*) => {$(
        /// Guards against silences that use up the retry budget, so that the requests of a crashed server are lost.
        #[test]
        fn $name() {
            let lost = lost_in_crash(after_silences($silence, $slack, SOON_MS));
            assert_eq!(lost, 0, "requests lost with a server");
        }
    )*};
}

silences_and_a_crash_soon! {
    a_crash_without_silences: 1, SLACK;
    a_crash_after_half_a_second: 500, SLACK;
    a_crash_after_a_second: 1000, SLACK;
    a_crash_after_two_seconds: 2200, SLACK;
    a_crash_after_three_seconds: 3000, SLACK;
    a_crash_without_silences_at_one_host: 1, SLACK_OF_ONE;
    a_crash_after_half_a_second_at_one_host: 500, SLACK_OF_ONE;
    a_crash_after_a_second_at_one_host: 1000, SLACK_OF_ONE;
    a_crash_after_two_seconds_at_one_host: 2200, SLACK_OF_ONE;
    a_crash_after_three_seconds_at_one_host: 3000, SLACK_OF_ONE;
}
