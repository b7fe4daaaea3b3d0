//! Processes that held a pool's authority before and may still have an order on its way.
//!
//! An engine that takes any order would take one that a paused process sends after its lease
//! lapsed, over the successor's. The sender's own check cannot rule that out, for the pause may
//! fall between check and write. So the successor gives such engines no order before every
//! earlier holder has taken its name out of the record or is known dead, and what the dead left
//! in the network has had time to land. Orders wait; traffic does not.

use std::net::SocketAddr;
use std::time::Duration;

use super::authority::{self, Authority, MAX_FLIGHT_TIME};
use crate::core::effect::Effect;
use crate::core::event::ProbeResult;
use crate::core::key::PoolKey;
use crate::core::{Core, Effects, Time};
use crate::settings::Fencing;

/// Time between two looks whether an earlier holder is dead.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time a host must be off the platform's list before its process counts as dead.
const UNLISTED_TIMEOUT: Duration = Duration::from_mins(10);

/// A process that gives orders.
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

/// A process that may still have an order on its way.
#[derive(Debug, Clone)]
pub struct Suspect {
    /// The process.
    pub process: Process,
    /// Since when it is known dead.
    dead_since: Option<Time>,
    /// When it was last looked at.
    last_checked: Option<Time>,
    /// Since when the platform's list lacks its host.
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

/// Returns whether nobody else's order can reach an engine of the pool any more.
pub(super) fn no_suspects(core: &Core, pool: PoolKey) -> bool {
    let checks = core.fleet.pools[usize::from(pool.0)].settings.fencing == Fencing::Checks;
    checks || core.orders.pool(pool).authority.suspects.is_empty()
}

/// Looks whether earlier holders are dead.
pub(super) fn check_suspects(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    if no_suspects(core, pool) || !authority::holds(core, pool) {
        return;
    }
    let now = core.now;
    let mut suspects = std::mem::take(&mut core.orders.pool_mut(pool).authority.suspects);
    let mut stale = false;
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
            stale = true;
            let addr = suspect.process.addr;
            out.push(Effect::Probe(addr));
        }
    }
    let over = suspects.iter().all(|one| {
        one.dead_since
            .is_some_and(|at| now.since(at) >= MAX_FLIGHT_TIME)
    });
    core.orders.pool_mut(pool).authority.suspects = suspects;
    if over {
        authority::remove_dead(core, pool, out);
    } else if stale {
        authority::reread_record(core, pool, out);
    }
}

/// Returns whether a later process has bound the address of this one.
///
/// The name alone does not tell: a host may be replaced by another machine of the same name
/// while the old one is only cut off.
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

/// Returns whether the platform's list has long lacked the host.
fn long_unlisted(core: &Core, suspect: &mut Suspect) -> bool {
    let hosts = &core.fleet.hosts;
    if hosts.is_empty() || hosts.contains(&suspect.process.host) {
        suspect.unlisted_since = None;
        return false;
    }
    let since = *suspect.unlisted_since.get_or_insert(core.now);
    core.now.since(since) >= UNLISTED_TIMEOUT
}

/// Takes in whether an address refuses connections.
pub(super) fn probed(hold: &mut Authority, addr: SocketAddr, probe: ProbeResult, now: Time) {
    if probe != ProbeResult::Refused {
        return;
    }
    for suspect in &mut hold.suspects {
        if suspect.process.addr == addr {
            suspect.dead_since.get_or_insert(now);
        }
    }
}
