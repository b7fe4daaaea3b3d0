//! Orders to engines: who may give them, and the routing state of each pool.

use super::event::{Health, Ordered, StoreReply, Watched};
use super::key::HostKey;
use super::message::{Confirm, Demand};
use super::{Core, Effects};

/// First word of the watched keys with a pool's routing state.
pub const ROUTE: &str = "route";
/// First word of the watched keys that name a pool's holder.
pub const HOLDER: &str = "holder";

/// Authority over pools and orders on their way.
#[derive(Debug, Default)]
pub struct Orders;

/// Starts looking for pools without a holder.
pub fn start(_core: &mut Core, _out: &mut Effects) {}

/// Goes on with authority and orders.
pub fn timer(_core: &mut Core, _out: &mut Effects) {}

/// Takes in a pool's routing state.
pub fn route_watched(_core: &mut Core, _pool: &str, _pair: &Watched, _out: &mut Effects) {}

/// Takes in a pool's holder.
pub fn holder_watched(_core: &mut Core, _pool: &str, _pair: &Watched, _out: &mut Effects) {}

/// Takes in the end of a job.
pub fn reply(_core: &mut Core, _reply: StoreReply, _out: &mut Effects) {}

/// Takes in whether the key-value service answers.
pub fn health(_core: &mut Core, _health: Health, _out: &mut Effects) {}

/// Takes in the platform's list.
pub fn fleet_changed(_core: &mut Core, _out: &mut Effects) {}

/// Takes in an order's answer.
pub fn ordered(
    _core: &mut Core,
    _name: &str,
    _fence: u64,
    _order: u64,
    _result: Ordered,
    _out: &mut Effects,
) {
}

/// Takes in a host's word on a withdrawal.
pub fn confirmed(_core: &mut Core, _from: HostKey, _confirm: &Confirm, _out: &mut Effects) {}

/// Takes in the work a host took in for a pool.
pub fn demanded(_core: &mut Core, _from: HostKey, _demand: &Demand) {}

/// Gives authority back.
pub fn release(_core: &mut Core, _out: &mut Effects) {}
