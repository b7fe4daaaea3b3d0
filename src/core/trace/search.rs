//! Search for a record on behalf of an operator: in memory, at peers, and in the store.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Note, Record, arrival_of, process_tag, segment};
use crate::core::effect::{Effect, OperatorAnswer};
use crate::core::event::{StoreReply, StoreResult, Timer};
use crate::core::key::{CommandKey, HostKey};
use crate::core::message::Message;
use crate::core::{Core, Effects};
use crate::error::Ran;
use crate::wire;

/// Time a search waits for peers, and again for the store.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Outcome of an unfinished request whose host is gone.
const LOST_OUTCOME: &str = "lost";

/// Stage of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Waiting for these peers.
    Peers(BTreeSet<HostKey>),
    /// Waiting for the store.
    Segments,
}

/// A search on behalf of an operator.
#[derive(Debug)]
pub(super) struct Search {
    ask: CommandKey,
    id: Box<str>,
    stage: Stage,
    /// Most complete record found so far; a finished one ends the search.
    best: Option<Box<Record>>,
    /// Arrival time after which every host that answered has all its records; milliseconds since
    /// the Unix epoch.
    since: u64,
    /// Number of peers that did not answer; the store counts as one.
    unanswered: usize,
}

fn finished(record: Option<&Record>) -> bool {
    record.is_some_and(|record| !record.outcome.is_empty())
}

/// Answers an operator from memory, or queries every peer.
pub fn explain(core: &mut Core, ask: CommandKey, id: &str, out: &mut Effects) {
    let best = core.traces.find(id).cloned().map(Box::new);
    let peers: BTreeSet<HostKey> = core.members.peers().collect();
    core.traces.last_round += 1;
    let round = core.traces.last_round;
    let search = Search {
        ask,
        id: id.into(),
        stage: Stage::Peers(peers.clone()),
        since: core.traces.complete_since(),
        unanswered: 0,
        best,
    };
    let is_finished = finished(search.best.as_deref());
    core.traces.searches.insert(round, search);
    if is_finished || arrival_of(id).is_none() {
        conclude(core, round, out);
        return;
    }
    if peers.is_empty() {
        search_segments(core, round, out);
        return;
    }
    for to in peers {
        let id = id.into();
        let message = Message::TraceQuery { round, id };
        out.push(Effect::Send { to, message });
    }
    wait(core, ask, out);
}

fn wait(core: &Core, ask: CommandKey, out: &mut Effects) {
    out.push(Effect::SetTimer {
        at: core.now.after(SEARCH_TIMEOUT),
        timer: Timer::Command(ask),
    });
}

/// Answers a peer's query.
pub fn answer_peer(core: &mut Core, from: HostKey, round: u64, id: &str, out: &mut Effects) {
    let record = core.traces.find(id).cloned().map(Box::new);
    let since = core.traces.complete_since();
    let message = Message::TraceReply {
        round,
        record,
        since,
    };
    out.push(Effect::Send { to: from, message });
}

/// Handles a peer's answer.
pub fn handle_answer(
    core: &mut Core,
    from: HostKey,
    round: u64,
    record: Option<Box<Record>>,
    since: u64,
    out: &mut Effects,
) {
    let Some(search) = core.traces.searches.get_mut(&round) else {
        return;
    };
    let Stage::Peers(pending) = &mut search.stage else {
        return;
    };
    pending.remove(&from);
    let last = pending.is_empty();
    search.since = search.since.max(since);
    search.merge(record.map(|record| *record));
    if finished(search.best.as_deref()) {
        conclude(core, round, out);
    } else if last {
        search_segments(core, round, out);
    }
}

impl Search {
    /// Keeps the more complete of the known and the given record.
    ///
    /// The id is compared because a segment holds records of other requests too, and because round
    /// numbers repeat after a restart: an answer may be to a query of an earlier process with this
    /// host's name.
    fn merge(&mut self, record: Option<Record>) {
        let Some(record) = record.filter(|record| record.id == self.id) else {
            return;
        };
        let known = self.best.as_deref();
        let has_as_many = |known: &Record| record.attempts.len() >= known.attempts.len();
        if finished(Some(&record)) || !finished(known) && known.is_none_or(has_as_many) {
            self.best = Some(Box::new(record));
        }
    }
}

/// Moves a search on whose current stage timed out.
pub(super) fn timed_out(core: &mut Core, ask: CommandKey, out: &mut Effects) {
    let mut searches = core.traces.searches.iter_mut();
    let Some((&round, search)) = searches.find(|(_, search)| search.ask == ask) else {
        return;
    };
    match &search.stage {
        Stage::Peers(pending) => {
            search.unanswered += pending.len();
            search_segments(core, round, out);
        }
        Stage::Segments => {
            search.unanswered += 1;
            conclude(core, round, out);
        }
    }
}

/// Searches the store, which holds records of failed or retried requests and at-most-once calls.
fn search_segments(core: &mut Core, round: u64, out: &mut Effects) {
    let Some(search) = core.traces.searches.get_mut(&round) else {
        return;
    };
    let Some(folder) = segment::folder(&search.id) else {
        return;
    };
    search.stage = Stage::Segments;
    let ask = search.ask;
    segment::read(round, folder, out);
    wait(core, ask, out);
}

/// Handles the segments read from the store.
pub fn handle_segments(core: &mut Core, round: u64, reply: StoreReply, out: &mut Effects) {
    let Some(search) = core.traces.searches.get_mut(&round) else {
        return;
    };
    if let StoreResult::Read(range) = reply.result {
        for pair in &range.pairs {
            for record in wire::decode_records(&pair.value).unwrap_or_default() {
                search.merge(Some(record));
            }
        }
    } else {
        search.unanswered += 1;
    }
    conclude(core, round, out);
}

fn conclude(core: &mut Core, round: u64, out: &mut Effects) {
    let Some(mut search) = core.traces.searches.remove(&round) else {
        return;
    };
    let answer = match search.best.take() {
        Some(mut record) => {
            mark_lost(core, &mut record);
            OperatorAnswer::Record(record)
        }
        None => no_record(core, &search),
    };
    let ask = search.ask;
    out.push(Effect::AnswerOperator {
        command: ask,
        answer,
    });
}

/// Returns whether the process that assigned an id is this one or a registered host.
fn is_issuer_present(core: &Core, id: &str) -> bool {
    let wanted = id.split('-').next().unwrap_or_default();
    let members = &core.members;
    let mut peers = members.arena.values();
    *process_tag(&members.name, members.incarnation()) == *wanted
        || peers.any(|peer| *process_tag(&peer.name, peer.incarnation) == *wanted)
}

/// Marks an unfinished record as lost if the host of the request is gone.
///
/// The last copy still shows the request as running; a support engineer would wait for an end that
/// never arrives.
fn mark_lost(core: &Core, record: &mut Record) {
    if !record.outcome.is_empty() || is_issuer_present(core, &record.id) {
        return;
    }
    record.outcome = LOST_OUTCOME.into();
    record.ran = Some(Ran::Unknown);
    let text = format!(
        "{} is gone; what it decided after the last copy of this record is lost",
        record.host
    );
    let text = text.into();
    let at = record.notes.last().map_or(0, |note| note.at);
    record.notes.push(Note { at, text });
}

fn no_record(core: &Core, search: &Search) -> OperatorAnswer {
    let hours = segment::RETENTION.as_secs() / 3600;
    let keep = u64::try_from(segment::RETENTION.as_millis()).unwrap_or(u64::MAX);
    let why: Box<str> = match arrival_of(&search.id) {
        None => "this is not a request id of this system".into(),
        Some(arrived) if arrived > core.wall_ms() => "no request of this id has arrived yet".into(),
        Some(arrived) if arrived + keep < core.wall_ms() => {
            format!("the record has aged out: none is kept for sure after {hours} hours").into()
        }
        Some(_) if search.unanswered > 0 => {
            let unanswered = search.unanswered;
            format!("{unanswered} of those who may have the record did not answer; ask again")
                .into()
        }
        Some(_) if !is_issuer_present(core, &search.id) => {
            "the host that served it is gone; a record that nothing unusual was in goes with it \
             and with the two hosts that kept copies"
                .into()
        }
        Some(arrived) if arrived <= search.since => {
            "the record has aged out: nothing unusual was in it, and newer ones took its place"
                .into()
        }
        Some(_) => "no host has a record of this id".into(),
    };
    OperatorAnswer::NoRecord { reason: why }
}
