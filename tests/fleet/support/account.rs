//! Accounting: every request got a complete answer, a truthful refusal or an explanation, and no
//! call that may not be retried ran twice.
//!
//! The check is a pure function over the collected observations, so each kind of violation can be
//! planted in them to test it.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use chiveway::standin::engine::expected;
use chiveway::trial::stream_text;
use serde_json::Value;

use super::http::{Answer, send};
use super::{Fleet, MODEL};

/// What a request asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed completion of a prompt, with a number of tokens.
    Completion(String, u64),
    /// A call that may not be retried, under an idempotency key.
    Call(String),
}

/// A request and its answer as the caller saw them; no answer if the connection broke before one.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub request: RequestKind,
    pub answer: Option<Answer>,
}

/// Everything that the check compares.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    pub exchanges: Vec<Exchange>,
    /// Attempts that engines accepted, by request id.
    pub attempts: BTreeMap<String, u64>,
    /// Runs of calls that may not be retried, by idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// Killed backend servers. Their counts are lost, so only records show what ran there.
    pub killed: BTreeSet<String>,
    /// Explanations by request id.
    pub records: BTreeMap<String, Value>,
}

/// A contradiction between observations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The answer is not what the request asked for.
    WrongAnswer(String),
    /// The body ended regularly, but without an end marker or an error.
    MissingEndMarker(String),
    /// The answer said "not run", but the request ran.
    RanAfterNotRun(String),
    /// The answer was complete or said that the request ran, but it did not run.
    NeverRan(String),
    /// A call that may not be retried ran more than once.
    RanTwice(String),
    /// The queried host has no record of the request.
    Unexplained(String),
    /// The record differs from what the caller saw.
    ContradictingRecord(String),
    /// A call ran that no caller sent.
    RunWithoutRequest(String),
}

/// Attempts of a request whose plan's share is used up.
const MAX_ATTEMPTS: usize = 8;

/// Sends a request, and again after each answer 429. Returns all answers.
///
/// For a few seconds after hosts join or leave, no share is lent and requests are refused with 429.
pub fn retry_while_throttled(mut send: impl FnMut() -> Option<Answer>) -> Vec<Option<Answer>> {
    let mut answers = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let answer = send();
        let throttled = answer.as_ref().is_some_and(|answer| answer.status == 429);
        answers.push(answer);
        if !throttled {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    answers
}

/// How an answer ended.
enum AnswerEnd {
    Complete,
    /// A refusal or an error event, with its value of `ran`.
    Refused(String),
    /// Cut off: neither an end marker nor an error.
    Truncated,
}

fn answer_end(exchange: &Exchange, answer: &Answer) -> AnswerEnd {
    if answer.status != 200 {
        let ran = answer.json()["ran"].as_str().unwrap_or_default().to_owned();
        return AnswerEnd::Refused(ran);
    }
    let text = answer.text();
    let error = text.split("event: error\ndata: ").nth(1);
    if let Some(document) = error.and_then(|rest| rest.lines().next()) {
        let document: Value = serde_json::from_str(document).unwrap_or_default();
        let ran = document["ran"].as_str().unwrap_or_default();
        return AnswerEnd::Refused(ran.to_owned());
    }
    let ended = match &exchange.request {
        RequestKind::Completion(..) => text.contains("data: [DONE]"),
        RequestKind::Call(_) => answer.complete,
    };
    if ended {
        AnswerEnd::Complete
    } else {
        AnswerEnd::Truncated
    }
}

fn has_expected_body(exchange: &Exchange, answer: &Answer) -> bool {
    match &exchange.request {
        RequestKind::Completion(prompt, tokens) => {
            stream_text(&answer.body) == Some(expected(MODEL, prompt, *tokens))
        }
        RequestKind::Call(key) => answer.json()["key"] == key.as_str(),
    }
}

impl Observations {
    /// Returns all contradictions.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations: Vec<Violation> = Vec::new();
        for exchange in &self.exchanges {
            // Without an answer's head there is no id to ask about; runs under the request's key
            // are still compared below.
            if let Some(answer) = &exchange.answer {
                violations.extend(self.compare(exchange, answer));
            }
        }
        for (key, runs) in &self.runs {
            if *runs > 1 {
                violations.push(Violation::RanTwice(key.clone()));
            }
            let requested =
                |exchange: &Exchange| exchange.request == RequestKind::Call(key.clone());
            if !self.exchanges.iter().any(requested) {
                violations.push(Violation::RunWithoutRequest(key.clone()));
            }
        }
        violations
    }

    fn compare(&self, exchange: &Exchange, answer: &Answer) -> Vec<Violation> {
        let id = answer.id();
        let mut violations = Vec::new();
        let (runs, end) = match &exchange.request {
            RequestKind::Completion(..) => (self.attempts.get(&id), answer_end(exchange, answer)),
            RequestKind::Call(key) => (self.runs.get(key), answer_end(exchange, answer)),
        };
        let ran = runs.is_some_and(|runs| *runs > 0) || self.reached_killed_backend(&id);
        let seen = match &end {
            AnswerEnd::Complete => {
                if !has_expected_body(exchange, answer) {
                    violations.push(Violation::WrongAnswer(id.clone()));
                }
                if !ran {
                    violations.push(Violation::NeverRan(id.clone()));
                }
                Some("yes")
            }
            AnswerEnd::Refused(claim) => {
                if claim == "no" && self.request_ran(exchange, &id) {
                    violations.push(Violation::RanAfterNotRun(id.clone()));
                }
                if claim == "yes" && !ran {
                    violations.push(Violation::NeverRan(id.clone()));
                }
                Some(claim.as_str())
            }
            AnswerEnd::Truncated => {
                // The host crashed while it sent the answer: the caller sees that the end marker
                // is missing, and the record explains the rest.
                if answer.complete {
                    violations.push(Violation::MissingEndMarker(id.clone()));
                }
                None
            }
        };
        match self.records.get(&id) {
            None => violations.push(Violation::Unexplained(id)),
            Some(record) => {
                let recorded = record["ran"].as_str();
                // A host that crashed after it sent the answer leaves a record that says `lost`.
                let lost = record["outcome"] == "lost";
                if seen.is_some() && recorded != seen && !lost {
                    violations.push(Violation::ContradictingRecord(id));
                }
            }
        }
        violations
    }

    /// Returns whether a request may have run at a backend server whose counts are lost.
    fn reached_killed_backend(&self, id: &str) -> bool {
        let attempts = self.records.get(id).map(|record| &record["attempts"]);
        let mut attempts = attempts.and_then(Value::as_array).into_iter().flatten();
        attempts.any(|attempt| {
            let backend = attempt["backend"].as_str().unwrap_or_default();
            self.killed.contains(backend) && attempt["ran"] != "no"
        })
    }

    /// Returns whether this request ran, rather than another one with the same key.
    fn request_ran(&self, exchange: &Exchange, id: &str) -> bool {
        match &exchange.request {
            RequestKind::Completion(..) => self.attempts.get(id).is_some_and(|runs| *runs > 0),
            RequestKind::Call(key) => {
                let attempts = self.records.get(id).map(|record| &record["attempts"]);
                let attempts = attempts.and_then(Value::as_array);
                let sent = attempts.is_none_or(|list| list.iter().any(|a| a["ran"] != "no"));
                sent && self.runs.get(key).is_some_and(|runs| *runs > 0)
            }
        }
    }

    /// Collects the logs, counts and records of a fleet; the host `explainer` is asked for records.
    pub fn collect(fleet: &Fleet, explainer: usize, exchanges: Vec<Exchange>) -> Self {
        let mut observations = Self {
            exchanges,
            ..Self::default()
        };
        for engine in fleet.engines() {
            let Some(answer) = send(engine.addr, "GET", "/log", &[], &[]) else {
                observations.killed.insert(engine.name.clone());
                continue;
            };
            let log = answer.json();
            for line in log["runs"].as_array().into_iter().flatten() {
                let label = line["attempt"].as_str().unwrap_or_default();
                // An attempt's label is the request's id, a dot and the attempt's number.
                let id = label.split('.').next().unwrap_or_default();
                *observations.attempts.entry(id.to_owned()).or_default() += 1;
            }
        }
        for service in fleet.services() {
            let counts = send(service.addr, "GET", "/counts", &[], &[]);
            let counts = counts.map(|answer| answer.json()).unwrap_or_default();
            for (name, count) in counts.as_object().into_iter().flatten() {
                let key = name.rsplit(' ').next().unwrap_or_default();
                *observations.runs.entry(key.to_owned()).or_default() +=
                    count.as_u64().unwrap_or(0);
            }
        }
        let answers = observations
            .exchanges
            .iter()
            .filter_map(|exchange| exchange.answer.as_ref());
        for id in answers.map(Answer::id) {
            let record = fleet.explain(explainer, &id);
            if record["id"] == id.as_str() {
                observations.records.insert(id, record);
            }
        }
        observations
    }
}
