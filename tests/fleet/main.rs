//! Real processes on loopback: hosts and stand-ins, with failures caused on purpose.

mod doors;
mod killer;
mod once;
mod outage;
mod path;
mod shares;
mod stop;
mod streams;
#[expect(dead_code, reason = "each subject uses its part of the harness")]
mod support;
