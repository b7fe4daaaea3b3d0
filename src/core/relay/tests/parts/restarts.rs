//! Hosts that start again while requests with a part are tried and not yet refused.

use super::*;

/// When hosts start again.
#[derive(Debug, Clone, Copy)]
struct Restarts {
    /// Milliseconds from the time on when all hosts try the part.
    delay: u64,
    /// Milliseconds between two hosts; 0 for all at once.
    interval: u64,
    /// Rounds in which all hosts do.
    rounds: usize,
}

/// Three hosts, a part in requests of all of them.
const FEW_HOSTS: Case = Case {
    hosts: 3,
    domains: 1,
    prefill: 1,
    decode: 3,
    bad_interval: 175,
    first_parts: 2,
    sound_interval: 15,
    seeds: 8,
    ..RECORDED
};
/// Milliseconds between two rounds.
const ROUND_INTERVAL_MS: u64 = 2500;

fn play_with_restarts(seed: u64, case: &Case, restarts: Restarts) -> Site {
    let mut site = Site::new(seed, case);
    let calm = Case {
        bad_interval: 0,
        ..*case
    };
    pass(&mut site, &calm, WARM_MS);
    while (0..case.hosts).any(|host| !site.node(host).core.relay.parts.is_tried(BAD)) {
        pass(&mut site, case, 1);
    }
    pass(&mut site, case, restarts.delay);
    for _ in 0..restarts.rounds {
        for host in 0..case.hosts {
            site.restart(host);
            pass(&mut site, case, restarts.interval);
        }
        pass(&mut site, case, ROUND_INTERVAL_MS);
    }
    pass(&mut site, case, case.seconds * 1000);
    site
}

/// Defines one test for each way in which hosts start again.
macro_rules! hosts_start_again {
    ($($name:ident: $restarts:expr;)*) => {$(
        /// Guards against hosts that start again, know nothing of the crashes before, and send requests with a part on until
        /// as many more engines have ended. The cases in which all do at once fail; see `KNOWN-RED.txt`.
        #[test]
        fn $name() {
            let case = FEW_HOSTS;
            let played = |seed| check_bounds(&play_with_restarts(seed, &case, $restarts));
            assert_sound(stringify!($name), &case, played);
        }
    )*};
}

hosts_start_again! {
    all_at_once: Restarts { delay: 1500, interval: 0, rounds: 1 };
    all_at_once_later: Restarts { delay: 2500, interval: 0, rounds: 1 };
    in_turn: Restarts { delay: 1500, interval: 400, rounds: 1 };
    twice_in_turn: Restarts { delay: 1500, interval: 700, rounds: 2 };
    three_times_in_turn: Restarts { delay: 1500, interval: 300, rounds: 3 };
    three_times_all_at_once: Restarts { delay: 1500, interval: 0, rounds: 3 };
}
