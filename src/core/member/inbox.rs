//! Dispatch of messages from peers.

use super::heartbeat;
use crate::core::key::HostKey;
use crate::core::message::Message;
use crate::core::{Core, Effects, config, fleet, load, once, order, poison, share, trace};

/// Passes a message to the module that handles it.
pub(super) fn dispatch(core: &mut Core, from: HostKey, message: Message, out: &mut Effects) {
    match message {
        Message::Heartbeat(beat) => heartbeat::handle_heartbeat(core, from, &beat, out),
        Message::Borrow(borrow) => share::borrow_received(core, from, &borrow, out),
        Message::Lend(lend) => share::lend_received(core, from, &lend, out),
        Message::Begin(begin) => once::handle_begin(core, from, begin, out),
        Message::Begun {
            round,
            state,
            request,
        } => once::handle_begun(core, round, state, request, out),
        Message::Done(done) => once::handle_done(core, from, done, out),
        Message::Recorded { round, durable } => once::handle_recorded(core, round, durable, out),
        Message::TraceCopies(records) => trace::store_copies(core, records),
        Message::TraceQuery { round, id } => trace::answer_peer(core, from, round, &id, out),
        Message::TraceReply {
            round,
            record,
            since,
        } => trace::handle_answer(core, from, round, record, since, out),
        Message::FetchLists(revision) => config::handle_fetch(core, from, revision, out),
        Message::Lists {
            revision,
            plans,
            uses,
        } => config::handle_lists(core, revision, &plans, &uses, out),
        Message::Confirm(confirm) => order::confirm_received(core, from, &confirm, out),
        Message::Listing(listing) => fleet::receive_listing(core, from, &listing, out),
        Message::Demand(demand) => order::demand_received(core, from, &demand),
        Message::SentPrompt(sent) => load::receive_sent(core, sent),
        Message::StreamCounts(streams) => load::receive_streams(core, from, &streams),
        Message::Suspect(suspect) => poison::receive(core, suspect),
    }
}
