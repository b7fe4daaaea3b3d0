//! Real processes on loopback: hosts and stand-ins, with failures caused on purpose.

mod accounting;
mod doors;
mod drain;
mod explain;
mod killer;
mod notrun;
mod once;
mod orders;
mod outage;
mod path;
mod shares;
mod stop;
mod streams;
#[expect(dead_code, reason = "each subject uses its part of the harness")]
mod support;
