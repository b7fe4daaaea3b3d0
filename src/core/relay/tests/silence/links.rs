//! Silences of all servers at once before one or several hosts: their links are sound.

use super::hosts::Hosts;
use super::run::Got;
use super::*;

/// Milliseconds between two requests of a host.
const INTERVAL_MS: u64 = 100;
/// Milliseconds in which all requests end.
const END_MS: u64 = 4500;

/// Returns what callers got that were answered otherwise than they may be: those that came before the silence must get whole
/// answers, later ones may be refused as not run.
fn failures(hosts: usize, domains: usize, servers: u8, silence: u64) -> BTreeMap<String, usize> {
    let mut site = Hosts::new(hosts, domains, servers);
    site.pass(1000, INTERVAL_MS);
    let begin = site.site.now;
    site.fall_silent(silence);
    site.pass(silence + 500, INTERVAL_MS);
    site.pass(END_MS, 0);
    site.assert_ended();
    let mut bad = BTreeMap::new();
    for caller in site.callers.values() {
        let (_, got) = caller.got.expect("an end");
        let is_late = caller.arrived >= begin;
        let is_sound = got == Got::Whole || is_late && matches!(got, Got::Refusal(_, Ran::No));
        if !is_sound {
            *bad.entry(format!("{got:?}, late: {is_late}")).or_insert(0) += 1;
        }
    }
    bad
}

/// Defines one test for each number of hosts, failure domains and servers.
macro_rules! silent_sites {
    ($($name:ident: $hosts:expr, $domains:expr, $servers:expr;)*) => {$(
        /// Guards against sound answers that are cut or fail, since the links to silent servers count as lost.
        #[test]
        fn $name() {
            for silence in [800, 1000, 1300, 1700, 2200] {
                let bad = failures($hosts, $domains, $servers, silence);
                assert!(bad.is_empty(), "silent for {silence} ms: {bad:?}");
            }
        }
    )*};
}

silent_sites! {
    all_servers_of_one_host: 1, 1, 3;
    all_servers_of_eight_hosts: 8, 2, 3;
    all_servers_of_many_hosts: 45, 3, 20;
}
