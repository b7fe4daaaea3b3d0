//! Engines that end for reasons of their own, lost answers and lost links: no part is to blame.

use rand::RngExt;

use super::*;
use crate::core::relay::event::Stage;

/// What happens beside sound requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// So many engines end at once.
    Rack(usize),
    /// All engines end at once, and again soon after their return.
    AllTwice,
    /// An engine ends every so many milliseconds.
    Flapping(u64),
    /// One after the other, all engines end, one every so many milliseconds.
    Release(u64),
    /// Every so many runs an answer is lost.
    LostAnswers(usize),
    /// A host loses its links for a while.
    LostLinks,
}

/// Sound requests, with a share of the second parts that are seldom sent.
const SOUND: Case = Case {
    bad_interval: 0,
    prefill: 4,
    decode: 12,
    ..RECORDED
};
/// Milliseconds for which each trouble lasts.
const TROUBLE_MS: u64 = 12_000;
/// Milliseconds after it from which requests are served as ever.
const RECOVERY_MS: u64 = 5_000;
/// Share of the requests served from then on.
const SERVED_AFTER: f64 = 0.95;

fn crash_some(site: &mut Site, count: usize) {
    let mut engines = site.engines(Stage::Decode);
    for _ in 0..count.min(engines.len()) {
        let index = site.rng.random_range(0..engines.len());
        let engine = engines.swap_remove(index);
        site.crash(&[engine]);
    }
}

/// Lets a millisecond of trouble pass; returns a host that refuses parts then.
fn tick(site: &mut Site, case: &Case, trouble: Trouble, elapsed: u64) -> Option<usize> {
    match trouble {
        Trouble::Rack(count) if elapsed == 0 => crash_some(site, count),
        Trouble::AllTwice if [0, 3500].contains(&elapsed) => crash_some(site, usize::MAX),
        Trouble::Flapping(interval) | Trouble::Release(interval)
            if elapsed.is_multiple_of(interval) =>
        {
            let more = matches!(trouble, Trouble::Flapping(_)) || elapsed < 12 * interval;
            crash_some(site, more.into());
        }
        Trouble::LostAnswers(interval) => site.loss_interval = interval,
        Trouble::LostLinks if elapsed == 0 => site.cut_links(0),
        Trouble::LostLinks if elapsed == 3000 => {
            site.cut.clear();
        }
        _ => {}
    }
    pass(site, case, 1);
    (0..case.hosts).find(|host| site.node(*host).core.relay.parts.refused_count() > 0)
}

/// Plays a trouble; returns what it came to, or that a host refused a part or too few requests were served.
fn play(seed: u64, case: &Case, trouble: Trouble) -> Result<String, String> {
    let mut site = Site::new(seed, case);
    pass(&mut site, case, WARM_MS);
    let start = site.now();
    let mut refused = None;
    for elapsed in 0..TROUBLE_MS {
        let host = tick(&mut site, case, trouble, elapsed);
        refused = refused.or_else(|| Some((host?, elapsed)));
    }
    site.loss_interval = 0;
    pass(&mut site, case, RECOVERY_MS + 4000);
    let since = start + TROUBLE_MS + RECOVERY_MS;
    let served = site.served(|_| true, since);
    let during = site.served(|_| true, start);
    let summary = format!("{during:.3} served, {served:.3} after");
    match refused {
        Some((host, elapsed)) => Err(format!(
            "host {host} refuses parts after {elapsed} ms; {summary}"
        )),
        None if served < SERVED_AFTER => Err(summary),
        None => Ok(summary),
    }
}

/// Defines one test for each trouble.
macro_rules! no_part_is_refused {
    ($($name:ident: $trouble:expr, $case:expr;)*) => {$(
        /// Guards against hosts that blame a sound part for engines that end, or lose answers, for other reasons, and
        /// refuse the requests of all callers who share it.
        #[test]
        fn $name() {
            let (case, trouble) = ($case, $trouble);
            assert_sound(stringify!($name), &case, |seed| play(seed, &case, trouble));
        }
    )*};
}

no_part_is_refused! {
    a_rack_of_four_ends: Trouble::Rack(4), SOUND;
    all_engines_end: Trouble::Rack(12), SOUND;
    all_engines_end_twice: Trouble::AllTwice, SOUND;
    all_of_three_engines_end_twice: Trouble::AllTwice, Case { decode: 3, ..SOUND };
    engines_flap: Trouble::Flapping(300), Case { seeds: 8, ..SOUND };
    few_engines_flap: Trouble::Flapping(900), Case { decode: 3, ..SOUND };
    three_engines_that_answer_whole_flap: Trouble::Flapping(500), Case { prefill: 0, decode: 3, seeds: 8, ..SOUND };
    five_engines_that_answer_whole_end_in_turn: Trouble::Release(400), Case { prefill: 0, decode: 5, seeds: 8, ..SOUND };
    engines_end_in_turn: Trouble::Release(150), SOUND;
    answers_are_lost: Trouble::LostAnswers(20), SOUND;
    many_answers_are_lost: Trouble::LostAnswers(4), SOUND;
    a_host_loses_its_links: Trouble::LostLinks, SOUND;
    a_rack_ends_at_hosts_of_large_domains: Trouble::Rack(6), Case { hosts: 45, seeds: 1, ..SOUND };
    all_engines_end_at_hosts_of_large_domains: Trouble::Rack(12), Case { hosts: 45, seeds: 1, ..SOUND };
    a_host_of_a_large_domain_loses_its_links: Trouble::LostLinks, Case { hosts: 45, seeds: 1, ..SOUND };
}
