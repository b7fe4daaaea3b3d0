//! Which part a peer's message goes to.

use super::beat;
use crate::core::key::HostKey;
use crate::core::message::Message;
use crate::core::{Core, Effects, config, fleet, load, once, order, poison, share, trace};

/// Hands a message to the part it is for.
pub(super) fn message_from(core: &mut Core, from: HostKey, message: Message, out: &mut Effects) {
    match message {
        Message::Beat(beat) => beat::heard(core, from, &beat, out),
        Message::Borrow(borrow) => share::asked(core, from, &borrow, out),
        Message::Lend(lend) => share::lent(core, from, &lend, out),
        Message::Begin(begin) => once::asked(core, from, begin, out),
        Message::Begun {
            round,
            state,
            request,
        } => once::begun(core, round, state, request, out),
        Message::Done(done) => once::done_asked(core, from, done, out),
        Message::Recorded { round, durable } => once::recorded(core, round, durable, out),
        Message::Traces(records) => trace::copied(core, records),
        Message::Ask { round, id } => trace::asked(core, from, round, &id, out),
        Message::Told {
            round,
            record,
            since,
        } => trace::told(core, from, round, record, since, out),
        Message::Fetch(revision) => config::asked(core, from, revision, out),
        Message::Lists {
            revision,
            plans,
            uses,
        } => config::told(core, revision, &plans, &uses, out),
        Message::Confirm(confirm) => order::confirmed(core, from, &confirm, out),
        Message::Listing(listing) => fleet::receive_listing(core, from, &listing, out),
        Message::Demand(demand) => order::demanded(core, from, &demand),
        Message::Sent(sent) => load::receive_sent(core, sent),
        Message::Running(streams) => load::receive_streams(core, from, &streams),
        Message::Suspect(suspect) => poison::receive(core, suspect),
    }
}
