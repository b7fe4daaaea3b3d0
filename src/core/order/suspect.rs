//! Processes that held a pool's authority before and may still have an order in flight.
//!
//! An engine that accepts any order would accept one that a paused process sends after its lease
//! lapsed, and let it override the successor's. The sender's own check cannot rule that out,
//! because the pause may fall between the check and the write. So the successor gives such engines
//! no order before every earlier holder has removed its name from the record or is known to be
//! dead, and before what the dead processes left in the network has had time to arrive. Orders
//! wait; traffic does not.

use std::net::SocketAddr;
use std::time::Duration;

use super::authority::{self, Authority, MAX_FLIGHT_TIME};
use crate::core::effect::Effect;
use crate::core::event::ProbeResult;
use crate::core::key::PoolKey;
use crate::core::{Core, Effects, Time};
use crate::settings::Fencing;

/// Time between two checks of whether an earlier holder is dead.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a host must be missing from the platform's list before its process counts as
/// dead.
const UNLISTED_TIMEOUT: Duration = Duration::from_mins(10);

/// A host process that gives orders.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Host it runs on.
    pub host: Box<str>,
    /// When it started; milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Where it listens for peers.
    pub addr: SocketAddr,
}

impl Process {
    /// Returns this process.
    pub(super) fn own(core: &Core) -> Self {
        let host = &core.settings.host;
        Self {
            host: host.name.clone(),
            incarnation: core.members.incarnation(),
            addr: host.advertise.unwrap_or(host.peers),
        }
    }
}

/// A process that may still have an order in flight.
#[derive(Debug, Clone)]
pub struct Suspect {
    /// The process.
    pub process: Process,
    /// Since when it is known to be dead.
    dead_since: Option<Time>,
    /// When it was last checked.
    last_checked: Option<Time>,
    /// Since when its host is missing from the platform's list.
    unlisted_since: Option<Time>,
}

impl Suspect {
    pub(super) fn new(process: Process) -> Self {
        Self {
            process,
            dead_since: None,
            last_checked: None,
            unlisted_since: None,
        }
    }
}

/// Returns whether no other process's order can reach an engine of the pool any more.
pub(super) fn no_suspects(core: &Core, pool: PoolKey) -> bool {
    let checks = core.fleet.pools[usize::from(pool.0)].settings.fencing == Fencing::Checks;
    checks || core.orders.pool(pool).authority.suspects.is_empty()
}

/// Checks whether earlier holders are dead.
pub(super) fn check_suspects(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    if no_suspects(core, pool) || !authority::holds(core, pool) {
        return;
    }
    let now = core.now;
    let mut suspects = std::mem::take(&mut core.orders.pool_mut(pool).authority.suspects);
    let mut undecided = false;
    for suspect in suspects.iter_mut().filter(|one| one.dead_since.is_none()) {
        if suspect
            .last_checked
            .is_some_and(|at| now.since(at) < CHECK_INTERVAL)
        {
            continue;
        }
        suspect.last_checked = Some(now);
        if replaced(core, &suspect.process) || long_unlisted(core, suspect) {
            suspect.dead_since = Some(now);
        } else {
            undecided = true;
            let addr = suspect.process.addr;
            out.push(Effect::Probe(addr));
        }
    }
    let all_clear = suspects.iter().all(|one| {
        one.dead_since
            .is_some_and(|at| now.since(at) >= MAX_FLIGHT_TIME)
    });
    core.orders.pool_mut(pool).authority.suspects = suspects;
    if all_clear {
        authority::remove_dead(core, pool, out);
    } else if undecided {
        authority::reread_record(core, pool, out);
    }
}

/// Returns whether a later process has bound the address of this one.
///
/// The host name alone does not show it: another machine of the same name may replace a host that
/// is only cut off.
fn replaced(core: &Core, process: &Process) -> bool {
    let own = Process::own(core);
    if process.host == own.host {
        return own.addr == process.addr && own.incarnation > process.incarnation;
    }
    let member = core.members.find(&process.host);
    let member = member.map(|key| &core.members.arena[key]);
    member.is_some_and(|member| {
        member.addr == process.addr && member.incarnation > process.incarnation
    })
}

/// Returns whether the host has been missing from the platform's list for [`UNLISTED_TIMEOUT`].
fn long_unlisted(core: &Core, suspect: &mut Suspect) -> bool {
    let hosts = &core.fleet.hosts;
    if hosts.is_empty() || hosts.contains(&suspect.process.host) {
        suspect.unlisted_since = None;
        return false;
    }
    let since = *suspect.unlisted_since.get_or_insert(core.now);
    core.now.since(since) >= UNLISTED_TIMEOUT
}

/// Handles the result of a probe of whether an address refuses connections.
pub(super) fn probed(authority: &mut Authority, addr: SocketAddr, probe: ProbeResult, now: Time) {
    if probe != ProbeResult::Refused {
        return;
    }
    for suspect in &mut authority.suspects {
        if suspect.process.addr == addr {
            suspect.dead_since.get_or_insert(now);
        }
    }
}
