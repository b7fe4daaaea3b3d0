//! Parts of prompts that crash the engines that begin to write an answer on them.

mod beside;
mod restarts;
mod site;
mod tally;

use site::{BAD, BAD_TOO, FIRST, Site};

/// Late sends with a bad part that the users allow.
const MAX_LATE: usize = 3;
/// Share of the sound requests with the same first part that the users want served.
const MIN_SERVED: f64 = 0.5;
/// Milliseconds of sound traffic before the first bad request.
const WARM_MS: u64 = 1500;
/// Milliseconds for which a case is played at least once sound requests must be served.
const MIN_STABLE_MS: u64 = 2000;

/// Where the bad part stands in the prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    First,
    /// First, always beside the same sound part.
    FirstOfPair,
    Middle,
    /// After a sound part that all sound requests share as well.
    Deep,
    Alone,
    /// Two bad parts in turn.
    InTurn,
    /// Two bad parts side by side.
    Both,
}

impl Place {
    /// Returns the shared parts of the bad request with a number.
    fn blocks(self, number: u64) -> Vec<u64> {
        let other = 100 + number % 20;
        match self {
            Self::First => vec![BAD, other],
            Self::FirstOfPair => vec![BAD, 100],
            Self::Middle => vec![FIRST, BAD, other],
            Self::Deep => vec![FIRST, other, BAD],
            Self::Alone => vec![BAD],
            Self::InTurn => vec![
                FIRST,
                if number.is_multiple_of(2) {
                    BAD
                } else {
                    BAD_TOO
                },
            ],
            Self::Both => vec![FIRST, BAD, BAD_TOO],
        }
    }
}

/// Hosts, engines and callers.
#[derive(Debug, Clone, Copy)]
struct Case {
    hosts: usize,
    domains: usize,
    prefill: usize,
    decode: usize,
    place: Place,
    /// Milliseconds between two bad requests.
    bad_interval: u64,
    /// Paths of bad requests, in turn.
    paths: &'static [&'static str],
    /// First parts of sound requests.
    first_parts: u64,
    /// Milliseconds between two sound requests.
    sound_interval: u64,
    seconds: u64,
    /// Seeds that it is played with, from 1.
    seeds: u64,
}

/// What the users recorded: eight hosts of three domains, a hundred sound requests a second, two engines for each bad one.
const RECORDED: Case = Case {
    hosts: 8,
    domains: 3,
    prefill: 5,
    decode: 5,
    place: Place::Middle,
    bad_interval: 1900,
    paths: &["/short/x"],
    first_parts: 8,
    sound_interval: 10,
    seconds: 30,
    seeds: 2,
};

/// Lets sound and bad requests come for so many milliseconds.
fn pass(site: &mut Site, case: &Case, millis: u64) {
    let end = site.now() + millis;
    while site.now() < end {
        let elapsed = site.now();
        if elapsed.is_multiple_of(case.sound_interval) {
            site.send_sound(case.first_parts);
        }
        if case.bad_interval > 0 && elapsed.is_multiple_of(case.bad_interval) {
            let number = elapsed / case.bad_interval;
            let turn = usize::try_from(number).expect("a small number");
            let path = case.paths[turn % case.paths.len()];
            site.send(path, &case.place.blocks(number));
        }
        site.tick();
    }
}

/// Plays a case with each of its seeds, and asserts that none has a fault.
fn assert_sound(name: &str, case: &Case, fault: impl Fn(u64) -> Result<String, String>) {
    let mut faults = Vec::new();
    for seed in 1..=case.seeds {
        let result = fault(seed);
        eprintln!("{name}, seed {seed}: {result:?}");
        faults.extend(result.err().map(|fault| format!("seed {seed}: {fault}")));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Returns the time from which on sound requests must be served.
fn stable_from(site: &Site) -> u64 {
    site.stable_from(BAD).max(site.stable_from(BAD_TOO))
}

fn play(seed: u64, case: &Case) -> Site {
    let mut site = Site::new(seed, case);
    let calm = Case {
        bad_interval: 0,
        ..*case
    };
    pass(&mut site, &calm, WARM_MS);
    pass(&mut site, case, case.seconds * 1000);
    while site.now() < stable_from(&site) + MIN_STABLE_MS {
        pass(&mut site, case, 100);
    }
    site
}

/// Returns what a run came to, or that it exceeds one of the users' bounds.
fn check_bounds(site: &Site) -> Result<String, String> {
    let first = |part: u64| part == FIRST;
    let since = stable_from(site);
    let served = site.served(first, since);
    let late = [BAD, BAD_TOO].map(|part| site.late_sends(part));
    let reached = site.sends.len();
    let ended = site.ended.len();
    let summary = format!("{ended} ended, {reached} sends, {late:?} late, {served:.3} served");
    let is_kept = ended > 0 && late.iter().all(|late| *late <= MAX_LATE) && served >= MIN_SERVED;
    if is_kept { Ok(summary) } else { Err(summary) }
}

/// Defines one test for each way in which bad requests come.
macro_rules! bad_parts {
    ($($name:ident: $case:expr;)*) => {$(
        /// Guards against hosts that send requests with a part on to engines although engines keep ending under it, and
        /// that refuse sound requests with them.
        #[test]
        fn $name() {
            let case = $case;
            assert_sound(stringify!($name), &case, |seed| check_bounds(&play(seed, &case)));
        }
    )*};
}

bad_parts! {
    a_part_in_the_middle: RECORDED;
    a_part_at_the_front: Case { place: Place::First, ..RECORDED };
    a_part_beside_a_sound_one: Case { place: Place::FirstOfPair, ..RECORDED };
    a_part_after_a_shared_one: Case { place: Place::Deep, ..RECORDED };
    a_part_alone: Case { place: Place::Alone, ..RECORDED };
    two_parts_in_turn: Case { place: Place::InTurn, bad_interval: 900, ..RECORDED };
    two_parts_side_by_side: Case { place: Place::Both, ..RECORDED };
    one_first_part_for_all: Case { first_parts: 1, ..RECORDED };
    two_routes_share_the_part: Case { paths: &["/short/x", "/long/x"], ..RECORDED };
    engines_end_one_by_one: Case { paths: &["/long/x"], ..RECORDED };
    a_low_rate: Case { bad_interval: 2500, paths: &["/long/x"], ..RECORDED };
    a_middle_rate: Case { bad_interval: 300, ..RECORDED };
    a_high_rate: Case { bad_interval: 50, ..RECORDED };
    a_high_rate_at_twelve_engines: Case { bad_interval: 50, prefill: 0, decode: 12, ..RECORDED };
    a_high_rate_at_three_engines: Case { bad_interval: 50, prefill: 0, decode: 3, ..RECORDED };
    a_high_rate_at_two_engines: Case { bad_interval: 50, prefill: 0, decode: 2, ..RECORDED };
    engines_that_answer_whole: Case { prefill: 0, decode: 12, ..RECORDED };
    one_host: Case { hosts: 1, domains: 1, sound_interval: 30, ..RECORDED };
    nine_hosts_of_one_domain: Case { hosts: 9, domains: 1, ..RECORDED };
    large_domains: Case { hosts: 45, domains: 3, seeds: 1, ..RECORDED };
    large_domains_at_a_high_rate: Case { hosts: 45, domains: 3, bad_interval: 50, seeds: 1, ..RECORDED };
    two_parts_in_turn_at_a_high_rate: Case { place: Place::InTurn, bad_interval: 33, decode: 3, ..RECORDED };
    very_large_domains: Case { hosts: 300, domains: 3, bad_interval: 300, seconds: 14, seeds: 1, ..RECORDED };
}
