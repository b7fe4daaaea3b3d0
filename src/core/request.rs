//! The life of a request: taken in, admitted, attempted, answered or refused.

use std::time::Duration;

use slotmap::SlotMap;

use super::effect::{Effect, Meter, Open, Refusal};
use super::event::{
    Arrival, Break, ModelWant, Print, RequestEvent, ServiceWant, Stored, Timer, Want,
};
use super::key::{AttemptKey, BackendKey, RequestKey};
use super::route::{Choice, Need};
use super::trace::{self, Note, Record};
use super::{Core, Effects, Time, admit, killer, load, member, once, route, share};
use crate::error::{Kind, Ran};

/// Most attempts at one request, resumed streams not counted.
const TRIES: u8 = 4;
/// Times one stream is resumed at the same engine.
const RESUMES: u8 = 2;
/// Part of the requests that our own repeats may add.
const RETRY_SHARE: f64 = 0.1;
/// Repeats that may be saved up: enough for every stream of a few engines that die at once.
const RETRY_MOST: f64 = 64.0;
/// Time a request waits for its plan's share.
const SHARE_TIME: Duration = Duration::from_millis(400);

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// A part of its plan's share.
    Share,
    /// The record that it starts.
    Starting,
    /// A back end.
    Running,
    /// The record of its end.
    Saving,
}

/// A request being served.
#[derive(Debug)]
pub struct Request {
    /// What the caller wants.
    pub want: Want,
    /// The caller's idempotency key.
    pub idem: Option<Box<str>>,
    /// Fingerprint of target and body.
    pub print: Print,
    /// When it arrived.
    pub arrived: Time,
    /// When the last token was passed on.
    pub last: Option<Time>,
    /// Tokens passed on to the caller.
    pub delivered: u64,
    /// What it waits for.
    pub phase: Phase,
    /// The attempt in hand.
    pub attempt: Option<AttemptKey>,
    /// Whether it may run more than once.
    pub repeat: bool,
    /// What it took of its plan's share.
    pub taken: share::Taken,
    /// What became of it so far.
    pub record: Record,
    /// Back ends that failed it.
    pub avoid: Vec<BackendKey>,
    /// Answer of a call that may not repeat, while its record is on its way.
    pub result: Option<Stored>,
    /// Whether the caller has closed its connection.
    pub left: bool,
    /// Whether the piece with the finish reason was passed on.
    finished: bool,
    /// How the last attempt was lost, while the same engine is asked to go on with it.
    lost: Option<Break>,
    tries: u8,
    resumes: u8,
    class: Box<str>,
}

/// Why an attempt brings nothing at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    /// The engine has nothing yet, or its connection is lost.
    Open,
    /// The caller does not take what came; nothing is read from the engine.
    Held,
}

/// One attempt at one back end.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// The back end.
    pub backend: BackendKey,
    /// Engine that prefills for the back end, until it is done.
    prefill: Option<BackendKey>,
    /// Name at the back end.
    label: Box<str>,
    /// When it was sent.
    sent: Time,
    /// When it brought the first token.
    first: Time,
    /// Prompt tokens that the engine had then, by this host's reckoning, its own among them.
    ahead: u64,
    /// When it was sent, or last brought something.
    last: Time,
    /// Whether anything of the answer arrived.
    began: bool,
    flow: Flow,
    /// Tokens counted into the back end's backlog.
    prompt: u64,
    output: u64,
}

/// All requests being served.
#[derive(Debug)]
pub struct Requests {
    /// Requests.
    pub arena: SlotMap<RequestKey, Request>,
    /// Attempts.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Repeats that may be made now.
    budget: f64,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            arena: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            budget: RETRY_MOST,
        }
    }
}

impl Requests {
    /// Returns whether one more repeat may be made, and counts it.
    fn spend(&mut self) -> bool {
        let may = self.budget >= 1.0;
        if may {
            self.budget -= 1.0;
        }
        may
    }
}

/// Takes in one event about a request.
pub fn step(core: &mut Core, event: RequestEvent, out: &mut Effects) {
    match event {
        RequestEvent::Arrived(arrival) => arrived(core, *arrival, out),
        RequestEvent::Left(request) => left(core, request, out),
        RequestEvent::Began(attempt) => began(core, attempt),
        RequestEvent::Held(attempt) => held(core, attempt),
        RequestEvent::Chunk {
            attempt,
            offset,
            tokens,
        } => chunk(core, attempt, offset, tokens, out),
        RequestEvent::Whole(attempt) => whole(core, attempt, out),
        RequestEvent::Answered { attempt, result } => answered(core, attempt, result, out),
        RequestEvent::Broke {
            attempt,
            ran,
            end,
            detail,
        } => broke(core, attempt, ran, end, &detail, out),
    }
}

/// Takes in the end of a wait.
pub fn timer(core: &mut Core, timer: Timer, out: &mut Effects) {
    match timer {
        Timer::Request(key) => waited(core, key, out),
        Timer::Silence(attempt) => listen(core, attempt, out),
        _ => {}
    }
}

/// Adds a decision to a request's record.
pub fn note(core: &mut Core, key: RequestKey, text: impl Into<Box<str>>) {
    let wall = core.wall();
    if let Some(request) = core.requests.arena.get_mut(key) {
        let at = wall.saturating_sub(request.record.arrived);
        request.record.notes.push(Note {
            at,
            text: text.into(),
        });
    }
}

fn arrived(core: &mut Core, arrival: Arrival, out: &mut Effects) {
    let mut record = core.traces.open(core.wall());
    let holder = core.config.index.get(arrival.caller).cloned();
    if let Some(holder) = &holder {
        record.customer = holder.customer.clone();
        record.plan = holder.plan.clone();
    }
    record.target = target(&arrival.want);
    record.key = arrival.idem.clone().unwrap_or_default();
    let class = match &arrival.want {
        Want::Model(want) => {
            record.prompt = want.prompt;
            want.model.clone()
        }
        Want::Service(want) => want.service.clone(),
    };
    let id = record.id.clone();
    let key = core.requests.arena.insert(Request {
        want: arrival.want,
        idem: arrival.idem,
        print: arrival.print,
        arrived: core.now,
        last: None,
        delivered: 0,
        phase: Phase::Share,
        attempt: None,
        repeat: true,
        taken: share::Taken::default(),
        record,
        avoid: Vec::new(),
        result: None,
        left: false,
        finished: false,
        lost: None,
        tries: 0,
        resumes: 0,
        class,
    });
    core.requests.budget = (core.requests.budget + RETRY_SHARE).min(RETRY_MOST);
    out.push(Effect::Opened {
        tag: arrival.tag,
        request: key,
        id,
    });
    let checked = if holder.is_some() {
        check(core, key)
    } else {
        Err(Refusal::new(Kind::BadKey, "no customer has this key"))
    };
    match checked {
        Ok(()) => take_share(core, key, out),
        Err(refusal) => refuse(core, key, refusal, out),
    }
}

fn target(want: &Want) -> Box<str> {
    match want {
        Want::Model(want) => want.model.clone(),
        Want::Service(want) => format!("{} {} {}", want.service, want.method, want.path).into(),
    }
}

/// Checks everything that needs no other host and costs no share.
fn check(core: &mut Core, key: RequestKey) -> Result<(), Refusal> {
    if core.stop.begun() {
        return Err(Refusal::new(Kind::Stopping, "this host is shutting down"));
    }
    if member::cut_off(core) {
        let detail = "this host hears neither the key-value service nor its peers";
        return Err(Refusal::new(Kind::CutOff, detail));
    }
    let most = core.settings.limits.requests;
    if core.requests.arena.len() > most {
        let detail = format!("this host holds {most} requests");
        return Err(Refusal::new(Kind::Overloaded, detail));
    }
    allowed(core, key)?;
    let request = &core.requests.arena[key];
    let print = request.print;
    killer::check(core, print)?;
    if let Some(need) = need(request) {
        admit::check(core, &need, print)?;
    }
    Ok(())
}

/// Checks that the plan may use what the caller wants.
fn allowed(core: &mut Core, key: RequestKey) -> Result<(), Refusal> {
    let request = &mut core.requests.arena[key];
    let uses = &core.config.lists.uses;
    let plan = &request.record.plan;
    let allowance = uses.plans.get(plan);
    let (known, allowed) = match &request.want {
        Want::Model(want) => (
            core.fleet.serving(&want.model).next().is_some(),
            allowance.is_some_and(|a| a.models.contains(&want.model)),
        ),
        Want::Service(want) => (
            core.fleet.services.contains_key(&want.service),
            allowance.is_some_and(|a| a.services.contains(&want.service)),
        ),
    };
    if !known {
        let detail = format!("there is no {}", request.class);
        return Err(Refusal::new(Kind::NotFound, detail));
    }
    if !allowed {
        let detail = format!("plan {plan} may not use {}", request.class);
        return Err(Refusal::new(Kind::NotAllowed, detail));
    }
    if let Want::Service(want) = &request.want {
        request.repeat = uses.rule(&want.service, &want.method, &want.path);
        if !request.repeat && request.idem.is_none() {
            let detail = "this call may not repeat and has no Idempotency-Key";
            return Err(Refusal::new(Kind::KeyMissing, detail));
        }
    }
    Ok(())
}

fn take_share(core: &mut Core, key: RequestKey, out: &mut Effects) {
    match share::take(core, key, out) {
        share::Answer::Taken => go(core, key, out),
        share::Answer::Wait => out.push(Effect::Wake {
            at: core.now.after(SHARE_TIME),
            timer: Timer::Request(key),
        }),
        share::Answer::Spent(retry) => spent(core, key, retry, out),
    }
}

/// Refuses a request whose plan's share is used up.
pub fn spent(core: &mut Core, key: RequestKey, retry: Duration, out: &mut Effects) {
    let plan = &core.requests.arena[key].record.plan;
    let refusal = Refusal::new(
        Kind::ShareSpent,
        format!("the share of plan {plan} is used up"),
    );
    refuse(core, key, refusal.retry(retry), out);
}

/// Goes on with a request that has its share.
pub fn go(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let request = &mut core.requests.arena[key];
    if request.repeat {
        request.phase = Phase::Running;
        dispatch(core, key, out);
    } else {
        request.phase = Phase::Starting;
        once::begin(core, key, out);
    }
}

fn waited(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let Some(request) = core.requests.arena.get(key) else {
        return;
    };
    if request.phase == Phase::Share {
        share::forget(core, key);
        let detail = "no host lent a part of the plan's share in time";
        refuse(core, key, Refusal::new(Kind::ShareSpent, detail), out);
    }
}

/// Sends a request to a back end.
pub fn dispatch(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let request = &core.requests.arena[key];
    let chosen = if let Some(need) = need(request) {
        route::engine(core, &need)
    } else {
        let (service, avoid) = (request.class.clone(), request.avoid.clone());
        route::instance(core, &service, &avoid).map(Choice::whole)
    };
    let Some(choice) = chosen else {
        let request = &core.requests.arena[key];
        let kind = match &request.want {
            Want::Model(_) => Kind::NoEngine,
            Want::Service(_) => Kind::ServiceDown,
        };
        let detail = format!("nothing that serves {} takes work", request.class);
        let ran = request.ran();
        give_up(core, key, Refusal::new(kind, detail).ran(ran), out);
        return;
    };
    core.requests.arena[key].tries += 1;
    attempt(core, key, choice, None, out);
}

/// Returns what a completion needs of an engine; `None` for a call of a service.
fn need(request: &Request) -> Option<Need> {
    let want = request.model()?;
    Some(Need {
        model: want.model.clone(),
        prompt: want.prompt,
        output: want.output,
        prefix: want.pieces.first().copied().unwrap_or(0),
        avoid: request.avoid.clone(),
    })
}

/// Opens an attempt at a back end; `label` resumes the one of that name.
fn attempt(
    core: &mut Core,
    key: RequestKey,
    choice: Choice,
    label: Option<Box<str>>,
    out: &mut Effects,
) {
    let backend = choice.engine;
    let queued = load::queued(core, choice.prefill.unwrap_or(backend));
    let (prompt, output) = match &core.requests.arena[key].want {
        Want::Model(want) => {
            let output = load::expected(core, backend, want.output);
            (u64::from(want.prompt), output)
        }
        Want::Service(_) => (0, 0),
    };
    let request = &mut core.requests.arena[key];
    let resume = label.is_some().then_some(request.delivered);
    let fresh = || format!("{}.{}", request.record.id, request.tries).into();
    let label = label.unwrap_or_else(fresh);
    let attempt = core.requests.attempts.insert(Attempt {
        request: key,
        backend,
        prefill: choice.prefill,
        sent: core.now,
        first: core.now,
        ahead: prompt + queued,
        label: label.clone(),
        last: core.now,
        began: false,
        flow: Flow::Open,
        prompt,
        output,
    });
    request.attempt = Some(attempt);
    let target = &core.fleet.arena[backend];
    let (name, addr) = (target.name.clone(), target.addr);
    let arrived = request.arrived;
    request.record.attempts.push(trace::Attempt {
        backend: name,
        began: millis(core.now.since(arrived)),
        ..trace::Attempt::default()
    });
    out.push(Effect::Meter(Meter::Queued {
        class: request.class.clone(),
        after: core.now.since(arrived),
    }));
    match &request.want {
        Want::Model(_) => {
            let uses = &core.config.lists.uses.plans;
            let priority = uses.get(&request.record.plan).map_or(0, |a| a.priority);
            out.push(Effect::Open(Open {
                request: key,
                attempt,
                addr,
                label,
                resume,
                delivered: request.delivered,
                priority,
                prefill: choice.prefill.map(|key| core.fleet.arena[key].addr),
            }));
            out.push(Effect::Wake {
                at: core.now.after(core.settings.limits.first_silence),
                timer: Timer::Silence(attempt),
            });
        }
        Want::Service(want) => {
            let settings = &core.settings.services[&want.service];
            out.push(Effect::Call {
                request: key,
                attempt,
                addr,
                timeout: settings.timeout,
            });
        }
    }
    load::sent(core, choice.prefill.unwrap_or(backend), prompt, out);
    if let Some(prefill) = choice.prefill {
        core.fleet.sent(prefill, prompt, 0);
        core.fleet.sent(backend, 0, output);
    } else {
        core.fleet.sent(backend, prompt, output);
    }
    core.traces.keep(core.requests.arena[key].record.clone());
}

fn began(core: &mut Core, attempt: AttemptKey) {
    if let Some(attempt) = core.requests.attempts.get_mut(attempt) {
        attempt.last = core.now;
        attempt.flow = Flow::Open;
        core.fleet.works(attempt.backend);
        if let Some(prefill) = attempt.prefill.take() {
            core.fleet.works(prefill);
            core.fleet
                .ended(prefill, std::mem::take(&mut attempt.prompt), 0);
            let (sent, ahead) = (attempt.sent, attempt.ahead);
            load::filled(core, prefill, sent, ahead);
        }
    }
}

/// Notes that the caller does not take what the engine brings.
///
/// Reading on would pile the answer up here, and a few callers on a weak signal would end the
/// host. The engine is not silent meanwhile: it is not read.
fn held(core: &mut Core, attempt: AttemptKey) {
    if let Some(attempt) = core.requests.attempts.get_mut(attempt) {
        attempt.flow = Flow::Held;
    }
}

/// Passes a piece on if it is the next one of the attempt in hand.
///
/// Pieces may come late, twice or out of order, and those of an attempt that was given up may
/// still arrive. Only the piece that starts where the caller's answer ends is passed on; one that
/// starts later means that something between is lost, and the attempt is resumed from there.
fn chunk(core: &mut Core, key: AttemptKey, offset: u64, tokens: u32, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get_mut(key) else {
        return;
    };
    attempt.last = core.now;
    attempt.flow = Flow::Open;
    let request = &mut core.requests.arena[attempt.request];
    if request.attempt != Some(key) || offset < request.delivered || request.finished {
        return;
    }
    if offset > request.delivered {
        let detail = format!("tokens {} to {offset} are missing", request.delivered);
        broke(core, key, Ran::Yes, Break::Cut, &detail, out);
        return;
    }
    out.push(Effect::Deliver {
        request: attempt.request,
    });
    if tokens == 0 {
        request.finished = true;
        return;
    }
    let class = request.class.clone();
    if let Some(last) = request.last {
        let gap = core.now.since(last);
        out.push(Effect::Meter(Meter::Between { class, gap }));
    } else {
        let after = core.now.since(request.arrived);
        let customer = request.record.customer.clone();
        out.push(Effect::Meter(Meter::First {
            class,
            customer,
            after,
        }));
    }
    let filled = (!attempt.began).then(|| {
        attempt.began = true;
        attempt.first = core.now;
        let prompt = std::mem::take(&mut attempt.prompt);
        if let Some(backend) = core.fleet.arena.get_mut(attempt.backend) {
            backend.prefill = backend.prefill.saturating_sub(prompt);
        }
        (attempt.backend, attempt.sent, attempt.ahead, prompt)
    });
    request.last = Some(core.now);
    request.delivered += u64::from(tokens);
    if let Some(record) = request.record.attempts.last_mut() {
        record.tokens += tokens;
    }
    if let Some((backend, sent, ahead, prompt)) = filled
        && prompt > 0
    {
        load::filled(core, backend, sent, ahead);
    }
}

fn whole(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let request = attempt.request;
    if core.requests.arena[request].attempt != Some(key) {
        return;
    }
    if !core.requests.arena[request].finished {
        let detail = "the end marker came before the end of the answer";
        broke(core, key, Ran::Yes, Break::Cut, detail, out);
        return;
    }
    let (backend, span) = (attempt.backend, core.now.since(attempt.first));
    core.fleet.works(backend);
    let record = core.requests.arena[request].record.attempts.last();
    let tokens = record.map_or(0, |record| u64::from(record.tokens));
    let most = core.requests.arena[request]
        .model()
        .map_or(0, |want| want.output);
    load::decoded(core, backend, span, tokens, most);
    close_attempt(core, key, "whole", Ran::Yes);
    out.push(Effect::Finish(request));
    end(core, request, "answered", Ran::Yes, out);
}

fn answered(core: &mut Core, key: AttemptKey, result: Stored, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let request = attempt.request;
    core.fleet.works(attempt.backend);
    close_attempt(core, key, "whole", Ran::Yes);
    if core.requests.arena[request].repeat {
        reply(core, request, result, None, out);
    } else {
        core.requests.arena[request].phase = Phase::Saving;
        once::finish(core, request, result, out);
    }
}

/// Answers with a service's answer.
pub fn reply(
    core: &mut Core,
    key: RequestKey,
    result: Stored,
    first: Option<Box<str>>,
    out: &mut Effects,
) {
    out.push(Effect::Reply {
        request: key,
        result,
        first,
    });
    end(core, key, "answered", Ran::Yes, out);
}

/// Takes in the end of an attempt without a whole answer: resumes it, tries elsewhere, or gives
/// the request up.
fn broke(core: &mut Core, key: AttemptKey, ran: Ran, how: Break, detail: &str, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    // Until the prefill is done, it is the engine that prefills which failed.
    let (backend, split) = match attempt.prefill {
        Some(prefill) => (prefill, true),
        None => (attempt.backend, false),
    };
    let (request, label) = (attempt.request, attempt.label.clone());
    out.push(Effect::Cancel(key));
    close_attempt(core, key, detail, ran);
    let entry = &mut core.requests.arena[request];
    if matches!(entry.want, Want::Service(_)) {
        core.fleet.failed(backend, core.now);
        service_broke(core, request, backend, ran, how, detail, out);
        return;
    }
    if how == Break::Rejected {
        let refusal = Refusal::new(Kind::Malformed, detail).ran(ran);
        refuse(core, request, refusal, out);
        return;
    }
    if matches!(how, Break::Cut | Break::Silent) && entry.resumes < RESUMES && !split {
        entry.resumes += 1;
        entry.lost = Some(how);
        note(
            core,
            request,
            format!("{detail}; resumed at the same engine"),
        );
        attempt_again(core, request, backend, label, out);
        return;
    }
    if how == Break::Forgotten {
        core.fleet.works(backend);
    } else {
        core.fleet.failed(backend, core.now);
    }
    let entry = &mut core.requests.arena[request];
    // It closed this stream and now neither answers nor knows it: it died while running it. After
    // a silence the same shows only that the connection or the network is lost.
    let gone = matches!(how, Break::Unreachable | Break::Forgotten);
    let died = gone && entry.lost.take() == Some(Break::Cut);
    if died || how != Break::Forgotten {
        entry.avoid.push(backend);
    }
    entry.resumes = 0;
    entry.lost = None;
    if died {
        killer::suspect(core, request, backend, out);
    }
    again(core, request, detail, Kind::EngineFailed, out);
}

fn attempt_again(
    core: &mut Core,
    request: RequestKey,
    backend: BackendKey,
    label: Box<str>,
    out: &mut Effects,
) {
    if core.fleet.arena.contains_key(backend) {
        attempt(core, request, Choice::whole(backend), Some(label), out);
    } else {
        dispatch(core, request, out);
    }
}

/// Tries elsewhere if tries and the budget of repeats allow, and gives the request up otherwise.
fn again(core: &mut Core, key: RequestKey, detail: &str, kind: Kind, out: &mut Effects) {
    let request = &core.requests.arena[key];
    let ran = request.ran();
    if request.tries >= TRIES {
        let refusal = Refusal::new(kind, format!("{detail}; no try is left")).ran(ran);
        give_up(core, key, refusal, out);
    } else if core.requests.spend() {
        let class = core.requests.arena[key].class.clone();
        out.push(Effect::Meter(Meter::Retried { class }));
        note(core, key, format!("{detail}; tried elsewhere"));
        dispatch(core, key, out);
    } else {
        let refusal = Refusal::new(kind, format!("{detail}; too many repeats just now")).ran(ran);
        give_up(core, key, refusal, out);
    }
}

fn service_broke(
    core: &mut Core,
    key: RequestKey,
    backend: BackendKey,
    ran: Ran,
    how: Break,
    detail: &str,
    out: &mut Effects,
) {
    let request = &mut core.requests.arena[key];
    request.avoid.push(backend);
    let kind = match how {
        Break::Unreachable | Break::Refused => Kind::ServiceDown,
        Break::Cut | Break::Silent | Break::Forgotten | Break::Rejected => Kind::ServiceFailed,
    };
    if ran == Ran::No || request.repeat {
        again(core, key, detail, kind, out);
    } else {
        let refusal = Refusal::new(kind, detail).ran(ran);
        give_up(core, key, refusal, out);
    }
}

/// Refuses a request, after its record says so where it may not repeat.
fn give_up(core: &mut Core, key: RequestKey, refusal: Refusal, out: &mut Effects) {
    if core.requests.arena[key].repeat {
        refuse(core, key, refusal, out);
    } else {
        core.requests.arena[key].phase = Phase::Saving;
        once::give_up(core, key, refusal, out);
    }
}

/// Answers that there will be no whole answer.
pub fn refuse(core: &mut Core, key: RequestKey, refusal: Refusal, out: &mut Effects) {
    let (outcome, ran) = (refusal.kind.answer().code, refusal.ran);
    note(core, key, refusal.detail.clone());
    out.push(Effect::Refuse {
        request: key,
        refusal,
    });
    end(core, key, outcome, ran, out);
}

fn left(core: &mut Core, key: RequestKey, out: &mut Effects) {
    let Some(request) = core.requests.arena.get_mut(key) else {
        return;
    };
    request.left = true;
    // A call that may not repeat goes on: its caller will ask for the result with the same key.
    if !request.repeat && request.phase != Phase::Share {
        note(core, key, "the caller left; the call goes on");
        return;
    }
    if let Some(attempt) = request.attempt {
        out.push(Effect::Cancel(attempt));
        close_attempt(core, attempt, "the caller left", Ran::Unknown);
    }
    share::forget(core, key);
    let ran = core.requests.arena[key].ran();
    note(core, key, "the caller left");
    end(core, key, Kind::CallerLeft.answer().code, ran, out);
}

/// Looks whether an attempt has fallen silent.
///
/// Something between the two ends can lose track of a connection: it then stays open and silent
/// for good, while new ones work. The caller would wait for ever; a fresh connection resumes the
/// stream where it stopped.
fn listen(core: &mut Core, key: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.requests.attempts.get(key) else {
        return;
    };
    let limits = &core.settings.limits;
    let bound = if attempt.began {
        limits.token_silence
    } else {
        limits.first_silence
    };
    let last = match attempt.flow {
        Flow::Open => attempt.last,
        Flow::Held => core.now,
    };
    let due = last.after(bound);
    if due > core.now {
        out.push(Effect::Wake {
            at: due,
            timer: Timer::Silence(key),
        });
        return;
    }
    let detail = format!("silent for {} ms", millis(core.now.since(attempt.last)));
    broke(core, key, Ran::Unknown, Break::Silent, &detail, out);
}

fn close_attempt(core: &mut Core, key: AttemptKey, how: &str, ran: Ran) {
    let Some(attempt) = core.requests.attempts.remove(key) else {
        return;
    };
    if let Some(prefill) = attempt.prefill {
        core.fleet.ended(prefill, attempt.prompt, 0);
        core.fleet.ended(attempt.backend, 0, attempt.output);
    } else {
        core.fleet
            .ended(attempt.backend, attempt.prompt, attempt.output);
    }
    let request = &mut core.requests.arena[attempt.request];
    request.attempt = None;
    let ended = millis(core.now.since(request.arrived));
    if let Some(record) = request.record.attempts.last_mut() {
        record.ended = ended;
        record.end = how.into();
        record.ran = Some(ran);
    }
}

/// Ends a request: its record is whole, its share settled, its key gone.
fn end(core: &mut Core, key: RequestKey, outcome: &'static str, ran: Ran, out: &mut Effects) {
    if let Some(attempt) = core.requests.arena[key].attempt {
        close_attempt(core, attempt, outcome, ran);
    }
    share::settle(core, key, out);
    let now = core.now;
    let Some(mut request) = core.requests.arena.remove(key) else {
        return;
    };
    let lasted = now.since(request.arrived);
    request.record.lasted = millis(lasted);
    request.record.outcome = outcome.into();
    request.record.ran = Some(ran);
    request.record.output = u32::try_from(request.delivered).unwrap_or(u32::MAX);
    out.push(Effect::Meter(Meter::Ended {
        class: request.class,
        customer: request.record.customer.clone(),
        outcome,
        lasted,
    }));
    // Whoever guesses keys must not push the records of customers out.
    if !request.record.customer.is_empty() {
        core.traces.keep(request.record);
    }
    super::stop::look(core, out);
}

impl Request {
    /// Returns whether a back end ran the request, by what its attempts brought.
    #[must_use]
    pub fn ran(&self) -> Ran {
        if self.delivered > 0 {
            return Ran::Yes;
        }
        let all_refused = self
            .record
            .attempts
            .iter()
            .all(|attempt| attempt.ran == Some(Ran::No));
        if all_refused { Ran::No } else { Ran::Unknown }
    }

    /// Returns the model that the caller wants.
    #[must_use]
    pub fn model(&self) -> Option<&ModelWant> {
        match &self.want {
            Want::Model(want) => Some(want),
            Want::Service(_) => None,
        }
    }

    /// Returns the service call that the caller wants.
    #[must_use]
    pub fn service(&self) -> Option<&ServiceWant> {
        match &self.want {
            Want::Model(_) => None,
            Want::Service(want) => Some(want),
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
