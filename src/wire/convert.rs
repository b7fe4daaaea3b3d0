//! Conversions between the core's messages and the generated protobuf types.

use super::generated::{self as wire, frame::Kind};
use super::{WireError, fixed_bytes};
use crate::core::event::{Fingerprint, StoredResponse};
use crate::core::message::{
    Begin, BeginState, Borrow, Confirm, Demand, Done, DoneState, Heartbeat, Lend, Listing, Loan,
    LoanRequest, Message, SentPrompt, Suspect, View,
};
use crate::core::trace::{Attempt, Note, Record};
use crate::error::Ran;

pub(super) fn to_kind(message: &Message) -> Kind {
    match message {
        Message::Listing(listing) => Kind::Listing(wire::Listing {
            age: listing.age_ms,
            leaving: listing.leaving.iter().map(ToString::to_string).collect(),
        }),
        Message::Heartbeat(beat) => Kind::Beat(wire::Beat {
            number: beat.number,
            echo: beat.echo,
            view: beat.view_hash,
            settled: beat.view_age_ms,
            revision: beat.revision,
            stopping: beat.stopping,
            views: beat.views.iter().map(to_view).collect(),
            pledged: beat.pledged_ms,
            hosts: beat.hosts,
        }),
        Message::Borrow(borrow) => Kind::Borrow(wire::Borrow {
            round: borrow.round,
            wishes: borrow.loan_requests.iter().map(to_loan_request).collect(),
        }),
        Message::Lend(lend) => Kind::Lend(wire::Lend {
            round: lend.round,
            life: lend.ttl_ms,
            loans: lend.loans.iter().map(to_loan).collect(),
        }),
        Message::Begin(begin) => Kind::Begin(wire::Begin {
            round: begin.round,
            customer: begin.customer.to_string(),
            key: begin.key.to_string(),
            body: begin.fingerprint.0.to_vec(),
            request: begin.request.to_string(),
        }),
        Message::Begun {
            round,
            state,
            request,
        } => to_begun(*round, state, request),
        Message::Done(done) => to_done(done),
        Message::Recorded { round, durable } => Kind::Recorded(wire::Recorded {
            round: *round,
            durable: *durable,
        }),
        Message::TraceCopies(records) => Kind::Traces(wire::Traces {
            traces: records.iter().map(to_trace).collect(),
        }),
        Message::TraceQuery { round, id } => Kind::Ask(wire::Ask {
            round: *round,
            id: id.to_string(),
        }),
        Message::TraceReply {
            round,
            record,
            since,
        } => Kind::Told(wire::Told {
            round: *round,
            trace: record.as_deref().map(to_trace),
            since: *since,
        }),
        Message::FetchLists(revision) => Kind::Fetch(wire::Fetch {
            revision: *revision,
        }),
        Message::Lists {
            revision,
            plans,
            uses,
        } => Kind::Lists(wire::Lists {
            revision: *revision,
            plans: plans.to_string(),
            uses: uses.to_string(),
        }),
        Message::Confirm(confirm) => to_confirm(confirm),
        Message::Demand(demand) => Kind::Demand(wire::Demand {
            pool: demand.pool.to_string(),
            prompt: demand.prompt_rate,
            output: demand.output_rate,
            refused: demand.refusal_rate,
        }),
        Message::SentPrompt(sent) => Kind::Sent(wire::Sent {
            engine: sent.engine,
            prompt: sent.prompt_tokens,
        }),
        Message::StreamCounts(streams) => Kind::Running(wire::Running {
            engines: streams.iter().map(|(engine, _)| *engine).collect(),
            counts: streams.iter().map(|(_, count)| *count).collect(),
        }),
        Message::Suspect(suspect) => Kind::Suspect(wire::Suspect {
            print: suspect.fingerprint.0.to_vec(),
            engine: suspect.engine.to_string(),
            at: suspect.at_ms,
            request: suspect.request.to_string(),
            answering: suspect.answering,
        }),
    }
}

pub(super) fn from_kind(kind: Kind) -> Result<Message, WireError> {
    Ok(match kind {
        Kind::Hello(_) | Kind::Proof(_) => return Err(WireError::Field { field: "kind" }),
        Kind::Listing(listing) => Message::Listing(Listing {
            age_ms: listing.age,
            leaving: listing.leaving.into_iter().map(Into::into).collect(),
        }),
        Kind::Beat(beat) => Message::Heartbeat(Heartbeat {
            number: beat.number,
            echo: beat.echo,
            view_hash: beat.view,
            view_age_ms: beat.settled,
            revision: beat.revision,
            stopping: beat.stopping,
            views: beat.views.iter().map(from_view).collect(),
            pledged_ms: beat.pledged,
            hosts: beat.hosts,
        }),
        Kind::Borrow(borrow) => from_borrow(borrow)?,
        Kind::Lend(lend) => from_lend(lend)?,
        Kind::Begin(begin) => Message::Begin(Begin {
            round: begin.round,
            customer: begin.customer.into(),
            key: begin.key.into(),
            fingerprint: Fingerprint(fixed_bytes(&begin.body, "body")?),
            request: begin.request.into(),
        }),
        Kind::Begun(begun) => from_begun(begun)?,
        Kind::Done(done) => from_done(done)?,
        Kind::Recorded(recorded) => Message::Recorded {
            round: recorded.round,
            durable: recorded.durable,
        },
        Kind::Traces(traces) => {
            let records: Result<Vec<_>, _> = traces.traces.into_iter().map(from_trace).collect();
            Message::TraceCopies(records?)
        }
        Kind::Ask(ask) => Message::TraceQuery {
            round: ask.round,
            id: ask.id.into(),
        },
        Kind::Told(told) => Message::TraceReply {
            round: told.round,
            record: told.trace.map(from_trace).transpose()?.map(Box::new),
            since: told.since,
        },
        Kind::Fetch(fetch) => Message::FetchLists(fetch.revision),
        Kind::Lists(lists) => Message::Lists {
            revision: lists.revision,
            plans: lists.plans.into(),
            uses: lists.uses.into(),
        },
        Kind::Confirm(confirm) => from_confirm(confirm),
        Kind::Demand(demand) => Message::Demand(Demand {
            pool: demand.pool.into(),
            prompt_rate: non_negative(demand.prompt, "prompt")?,
            output_rate: non_negative(demand.output, "output")?,
            refusal_rate: non_negative(demand.refused, "refused")?,
        }),
        Kind::Sent(sent) => Message::SentPrompt(SentPrompt {
            engine: sent.engine,
            prompt_tokens: sent.prompt,
        }),
        Kind::Running(streams) => {
            Message::StreamCounts(streams.engines.into_iter().zip(streams.counts).collect())
        }
        Kind::Suspect(suspect) => Message::Suspect(Suspect {
            fingerprint: Fingerprint(fixed_bytes(&suspect.print, "print")?),
            engine: suspect.engine.into(),
            at_ms: suspect.at,
            request: suspect.request.into(),
            answering: suspect.answering,
        }),
    })
}

fn non_negative(value: f64, field: &'static str) -> Result<f64, WireError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(WireError::Field { field })
    }
}

fn to_view(view: &View) -> wire::View {
    wire::View {
        hash: view.hash,
        age: view.age_ms,
    }
}

fn from_view(view: &wire::View) -> View {
    View {
        hash: view.hash,
        age_ms: view.age,
    }
}

fn to_loan_request(wish: &LoanRequest) -> wire::Wish {
    wire::Wish {
        plan: wish.plan.to_string(),
        requests: wish.requests,
        tokens: wish.tokens,
        running: wish.running,
        least: wish.min_tokens,
        waiting: wish.waiting,
        held: wish.held,
        back_requests: wish.returned_requests,
        back_tokens: wish.returned_tokens,
    }
}

fn to_loan(loan: &Loan) -> wire::Loan {
    wire::Loan {
        plan: loan.plan.to_string(),
        requests: loan.requests,
        tokens: loan.tokens,
        running: loan.running,
        wait: loan.retry_ms,
    }
}

fn from_borrow(borrow: wire::Borrow) -> Result<Message, WireError> {
    let wishes: Result<Vec<_>, _> = borrow.wishes.into_iter().map(from_loan_request).collect();
    Ok(Message::Borrow(Borrow {
        round: borrow.round,
        loan_requests: wishes?,
    }))
}

fn from_loan_request(wish: wire::Wish) -> Result<LoanRequest, WireError> {
    Ok(LoanRequest {
        plan: wish.plan.into(),
        requests: non_negative(wish.requests, "requests")?,
        tokens: non_negative(wish.tokens, "tokens")?,
        running: wish.running,
        min_tokens: non_negative(wish.least, "least")?,
        waiting: wish.waiting,
        held: wish.held,
        returned_requests: non_negative(wish.back_requests, "back_requests")?,
        returned_tokens: non_negative(wish.back_tokens, "back_tokens")?,
    })
}

fn from_lend(lend: wire::Lend) -> Result<Message, WireError> {
    let loans: Result<Vec<_>, _> = lend.loans.into_iter().map(from_loan).collect();
    Ok(Message::Lend(Lend {
        round: lend.round,
        ttl_ms: lend.life,
        loans: loans?,
    }))
}

fn from_loan(loan: wire::Loan) -> Result<Loan, WireError> {
    Ok(Loan {
        plan: loan.plan.into(),
        requests: non_negative(loan.requests, "requests")?,
        tokens: non_negative(loan.tokens, "tokens")?,
        running: loan.running,
        retry_ms: loan.wait,
    })
}

pub(super) fn to_stored(stored: &StoredResponse) -> wire::Stored {
    wire::Stored {
        status: u32::from(stored.status),
        media: stored.content_type.to_string(),
        body: stored.body.to_vec(),
    }
}

pub(super) fn from_stored(stored: wire::Stored) -> Result<StoredResponse, WireError> {
    let status =
        u16::try_from(stored.status).map_err(|_range| WireError::Field { field: "status" })?;
    Ok(StoredResponse {
        status,
        content_type: stored.media.into(),
        body: stored.body.into(),
    })
}

fn to_begun(round: u64, state: &BeginState, request: &str) -> Kind {
    let (state, result) = match state {
        BeginState::Started => (0, None),
        BeginState::Done(result) => (1, Some(to_stored(result))),
        BeginState::Running => (2, None),
        BeginState::MayHaveRun => (3, None),
        BeginState::OtherBody => (4, None),
        BeginState::StoreDown => (5, None),
        BeginState::Full => (6, None),
        BeginState::NotOwner => (7, None),
        BeginState::Unclear => (8, None),
    };
    Kind::Begun(wire::Begun {
        round,
        state,
        result,
        request: request.to_owned(),
    })
}

fn from_begun(begun: wire::Begun) -> Result<Message, WireError> {
    let state = match (begun.state, begun.result) {
        (0, _) => BeginState::Started,
        (1, Some(result)) => BeginState::Done(from_stored(result)?),
        (2, _) => BeginState::Running,
        (3, _) => BeginState::MayHaveRun,
        (4, _) => BeginState::OtherBody,
        (5, _) => BeginState::StoreDown,
        (6, _) => BeginState::Full,
        (7, _) => BeginState::NotOwner,
        (8, _) => BeginState::Unclear,
        _ => return Err(WireError::Field { field: "state" }),
    };
    Ok(Message::Begun {
        round: begun.round,
        state,
        request: begun.request.into(),
    })
}

fn to_done(done: &Done) -> Kind {
    let (outcome, result) = match &done.outcome {
        DoneState::Result(result) => (0, Some(to_stored(result))),
        DoneState::NotRun => (1, None),
        DoneState::MayHaveRun => (2, None),
    };
    Kind::Done(wire::Done {
        round: done.round,
        customer: done.customer.to_string(),
        key: done.key.to_string(),
        request: done.request.to_string(),
        outcome,
        result,
    })
}

fn from_done(done: wire::Done) -> Result<Message, WireError> {
    let outcome = match (done.outcome, done.result) {
        (0, Some(result)) => DoneState::Result(from_stored(result)?),
        (1, _) => DoneState::NotRun,
        (2, _) => DoneState::MayHaveRun,
        _ => return Err(WireError::Field { field: "outcome" }),
    };
    Ok(Message::Done(Done {
        round: done.round,
        customer: done.customer.into(),
        key: done.key.into(),
        request: done.request.into(),
        outcome,
    }))
}

fn to_confirm(confirm: &Confirm) -> Kind {
    let streams = confirm.streams.iter().map(|(engine, count)| wire::Streams {
        engine: engine.to_string(),
        count: *count,
    });
    Kind::Confirm(wire::Confirm {
        pool: confirm.pool.to_string(),
        revision: confirm.revision,
        streams: streams.collect(),
    })
}

fn from_confirm(confirm: wire::Confirm) -> Message {
    let streams = confirm.streams.into_iter();
    Message::Confirm(Confirm {
        pool: confirm.pool.into(),
        revision: confirm.revision,
        streams: streams
            .map(|stream| (stream.engine.into(), stream.count))
            .collect(),
    })
}

fn to_ran(ran: Option<Ran>) -> String {
    ran.map(Ran::name).unwrap_or_default().to_owned()
}

fn from_ran(name: &str) -> Result<Option<Ran>, WireError> {
    if name.is_empty() {
        return Ok(None);
    }
    Ran::from_name(name)
        .map(Some)
        .ok_or(WireError::Field { field: "ran" })
}

pub(super) fn to_trace(record: &Record) -> wire::Trace {
    let attempts = record.attempts.iter().map(|attempt| wire::Attempt {
        backend: attempt.backend.to_string(),
        began: attempt.began,
        ended: attempt.ended,
        end: attempt.end.to_string(),
        tokens: attempt.tokens,
        ran: to_ran(attempt.ran),
    });
    let notes = record.notes.iter().map(|note| wire::Note {
        at: note.at,
        text: note.text.to_string(),
    });
    wire::Trace {
        id: record.id.to_string(),
        customer: record.customer.to_string(),
        plan: record.plan.to_string(),
        target: record.target.to_string(),
        host: record.host.to_string(),
        arrived: record.arrived,
        lasted: record.lasted,
        outcome: record.outcome.to_string(),
        ran: to_ran(record.ran),
        prompt: record.prompt,
        output: record.output,
        attempts: attempts.collect(),
        notes: notes.collect(),
        key: record.key.to_string(),
    }
}

pub(super) fn from_trace(trace: wire::Trace) -> Result<Record, WireError> {
    let attempts: Result<Vec<_>, _> = trace.attempts.into_iter().map(from_attempt).collect();
    let notes = trace.notes.into_iter().map(|note| Note {
        at: note.at,
        text: note.text.into(),
    });
    Ok(Record {
        id: trace.id.into(),
        customer: trace.customer.into(),
        plan: trace.plan.into(),
        target: trace.target.into(),
        host: trace.host.into(),
        arrived: trace.arrived,
        lasted: trace.lasted,
        outcome: trace.outcome.into(),
        ran: from_ran(&trace.ran)?,
        prompt: trace.prompt,
        output: trace.output,
        key: trace.key.into(),
        attempts: attempts?,
        notes: notes.collect(),
    })
}

fn from_attempt(attempt: wire::Attempt) -> Result<Attempt, WireError> {
    Ok(Attempt {
        backend: attempt.backend.into(),
        began: attempt.began,
        ended: attempt.ended,
        end: attempt.end.into(),
        tokens: attempt.tokens,
        ran: from_ran(&attempt.ran)?,
    })
}
