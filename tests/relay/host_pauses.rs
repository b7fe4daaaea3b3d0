//! Servers that fall silent and go on while their host is stopped by the operator, reloads or stands still itself.

use std::time::Duration;

use super::broken_off::Kind;
use super::pauses::{NEXT, Next, change, check_whole, runs, send_each, start};
use super::standin::Engine;
use super::standin::engine::Pause;
use super::wait_for;

/// Kinds of requests.
const KINDS: [Kind; 5] = [
    Kind::Once,
    Kind::Again,
    Kind::Stream,
    Kind::Decoded,
    Kind::Resumable,
];
/// Time of a silence.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time for which a host stands still, longer than the silence.
const STALL: Duration = Duration::from_secs(2);

/// What happens to the host while its servers are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// It gets SIGTERM.
    Stop,
    /// It gets SIGHUP.
    Reload,
    /// It stands still until after the servers have gone on.
    Stall,
}

fn check(trouble: Trouble, pause: Pause, next: Next) {
    let (plain, decode) = (Engine::plain("s-1"), Engine::model("d-1", "decode"));
    let prefill = Engine::model("p-1", "prefill");
    let others = [Engine::plain("s-2"), Engine::model("d-2", "decode")];
    let mut site = start(&[&plain, &decode, &prefill]);
    plain.pause_each(pause, SILENCE);
    decode.pause_each(pause, SILENCE);
    let requests = send_each(site.callers, &KINDS);
    wait_for("the requests to reach the servers", || {
        KINDS.iter().all(|kind| runs(&[&plain, &decode], *kind) > 0)
    });
    change(&site, next, &[&others[0], &others[1]]);
    match trouble {
        Trouble::Stop => site.host.term(),
        Trouble::Reload => site.host.hup(),
        Trouble::Stall => {
            site.host.freeze();
            std::thread::sleep(STALL);
            site.host.thaw();
        }
    }
    let case = format!("{trouble:?}, {pause:?}, {next:?}");
    check_whole(requests, &case, &site);
    for kind in KINDS.into_iter().filter(|kind| !kind.may_repeat()) {
        let runs = runs(&[&plain, &decode, &others[0], &others[1]], kind);
        assert_eq!(runs, 1, "{case}, {kind:?}");
    }
    match trouble {
        Trouble::Stop => assert!(site.host.wait_for_exit().success(), "{case}"),
        Trouble::Reload | Trouble::Stall => assert!(!site.host.has_exited(), "{case}"),
    }
}

/// Defines one test for each trouble and place of the silence.
macro_rules! host_pauses {
    ($($name:ident: $trouble:ident, $pause:ident;)*) => {$(
        /// Guards against an answer of a server that goes on after a silence and is not whole at its caller, or ran twice.
        #[test]
        fn $name() {
            std::thread::scope(|scope| {
                for next in NEXT {
                    scope.spawn(move || check(Trouble::$trouble, Pause::$pause, next));
                }
            });
        }
    )*};
}

host_pauses! {
    a_stop_during_a_silence_before_heads: Stop, Head;
    a_stop_during_a_silence_inside_answers: Stop, Events;
    a_stop_during_a_silence_before_ends: Stop, End;
    a_reload_during_a_silence_before_heads: Reload, Head;
    a_reload_during_a_silence_inside_answers: Reload, Events;
    a_reload_during_a_silence_before_ends: Reload, End;
    a_stall_during_a_silence_before_heads: Stall, Head;
    a_stall_during_a_silence_inside_answers: Stall, Events;
    a_stall_during_a_silence_before_ends: Stall, End;
}
