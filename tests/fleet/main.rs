//! Tests of real processes on loopback: hosts and stand-ins, with injected failures.

mod access;
mod accounting;
mod drain;
mod end_to_end;
mod explain;
mod killer;
mod not_run;
mod once;
mod orders;
mod outage;
mod shares;
mod stop;
mod streams;
#[expect(dead_code, reason = "each subject uses its part of the harness")]
mod support;
mod unstated;
