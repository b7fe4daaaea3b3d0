//! Attempts of which nothing arrives.

use std::time::Duration;

use super::super::key::AttemptKey;
use super::super::{Core, Effects};
use super::answer::may_move;
use super::{Delivery, RelayTimer, forward, load, millis, retry, standby, wake};

/// Delay of a check for silence from which on this host has stood still: timers are late by some milliseconds otherwise.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Time after such a delay in which what arrived meanwhile is read: it is here already.
const STALL_PAUSE: Duration = Duration::from_millis(50);

/// Time between two checks of an attempt whose caller does not read.
const BLOCKED_PAUSE: Duration = Duration::from_millis(500);

/// Records that the caller of an attempt does not read: nothing is read from its server either, which is no silence.
pub(super) fn delivery_blocked(core: &mut Core, key: AttemptKey) {
    if let Some(attempt) = core.relay.attempts.get_mut(key) {
        attempt.delivery = Delivery::Blocked;
    }
}

/// Records that the caller of an attempt reads again: its server may be silent from now on.
pub(super) fn delivery_resumed(core: &mut Core, key: AttemptKey) {
    if let Some(attempt) = core.relay.attempts.get_mut(key) {
        attempt.delivery = Delivery::Resumed;
        attempt.last_received = core.now;
    }
}

/// Checks an attempt for silence after a time.
pub(super) fn check_after(core: &mut Core, key: AttemptKey, after: Duration, out: &mut Effects) {
    if let Some(attempt) = core.relay.attempts.get_mut(key) {
        attempt.check_at = core.now.after(after);
    }
    wake(core, after, RelayTimer::Silence(key), out);
}

/// Sends the request of an attempt that has been silent for too long to another server, if it may run there.
///
/// A backend server can hang although its health check succeeds, and a connection can stop for
/// good: without this the caller would wait until its deadline.
pub(super) fn check_silence(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(key) else {
        return;
    };
    if standby::is_standby(core, key) {
        return;
    }
    if core.now.since(attempt.check_at) > MAX_CHECK_DELAY {
        check_after(core, key, STALL_PAUSE, out);
        return;
    }
    if attempt.delivery == Delivery::Blocked {
        check_after(core, key, BLOCKED_PAUSE, out);
        return;
    }
    let call = &core.relay.calls[attempt.call];
    let instance = core.relay.instances.arena.get(attempt.backend);
    let last_answer = instance.and_then(|instance| instance.last_response);
    let timeout = load::silence_timeout(call, attempt, last_answer, core.now);
    let waited = core.now.since(attempt.last_received);
    if waited < timeout {
        check_after(core, key, timeout.saturating_sub(waited), out);
        return;
    }
    let call = attempt.call;
    let may_move = may_move(core, attempt);
    let stays = standby::must_stay(core, attempt);
    let moves = if core.relay.links.are_lost() {
        may_move && forward::can_forward(core, call)
    } else if may_move && !stays {
        // A second choice could draw other candidates and find none.
        core.relay.calls[call].next = retry::choose_other(core, call, key, out);
        core.relay.calls[call].next.is_some()
    } else {
        false
    };
    if !moves {
        check_after(core, key, timeout, out);
        return;
    }
    let detail = format!("nothing came for {:.0} ms", millis(waited));
    standby::move_on(core, key, &detail, out);
}
