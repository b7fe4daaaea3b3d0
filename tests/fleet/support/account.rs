//! Accounting: every request that a caller sent is answered whole, refused truthfully or
//! explainable, and none ran twice that may not.
//!
//! The check is a pure function over what was collected, so that a planted fault of each kind
//! tests it.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use chiveway::standin::engine::expected;
use chiveway::trial::stream_text;
use serde_json::Value;

use super::http::{Answer, send};
use super::{Fleet, MODEL};

/// What a request was for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed completion of this prompt, with so many tokens.
    Completion(String, u64),
    /// A call that may not repeat, under this idempotency key.
    Call(String),
}

/// A request as its caller saw it; no answer where the connection broke before one.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub wanted: RequestKind,
    pub answer: Option<Answer>,
}

/// Everything that is compared.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    pub sent: Vec<Exchange>,
    /// Attempts that engines took on, by request id.
    pub attempts: BTreeMap<String, u64>,
    /// Runs of calls that may not repeat, by idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// Back ends that were killed, and their counts with them; runs there can only be explained.
    pub gone: BTreeSet<String>,
    /// Explanations by request id.
    pub records: BTreeMap<String, Value>,
}

/// One thing that does not add up.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The answer is not what the request asked for.
    WrongAnswer(String),
    /// The answer ended without saying that it is not whole.
    MissingEndMarker(String),
    /// The caller was told "not run", and it ran.
    RanAfterNotRun(String),
    /// The caller was told that it ran, or got its answer, and it did not run.
    NeverRan(String),
    /// A call that may not repeat ran more than once.
    RanTwice(String),
    /// No host can say what became of it.
    Unexplained(String),
    /// The explanation says something else than the caller saw.
    ContradictingRecord(String),
    /// Something ran that no caller asked for.
    RunWithoutRequest(String),
}

/// Times a caller comes back when its plan's share is used up for now.
const COMES_BACK: usize = 8;

/// Sends a request, and again as often as its plan's share is used up: no share is lent for a few
/// seconds after hosts come or go, and callers are told to come back. Returns all answers.
pub fn retry_while_throttled(mut send: impl FnMut() -> Option<Answer>) -> Vec<Option<Answer>> {
    let mut answers = Vec::new();
    for _ in 0..COMES_BACK {
        let answer = send();
        let spent = answer.as_ref().is_some_and(|answer| answer.status == 429);
        answers.push(answer);
        if !spent {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    answers
}

/// How a caller's answer ended.
enum End {
    Whole,
    /// A refusal or an error event, with the word on whether it ran.
    Refused(String),
    /// Neither.
    Broken,
}

fn end(sent: &Exchange, answer: &Answer) -> End {
    if answer.status != 200 {
        let ran = answer.json()["ran"].as_str().unwrap_or_default().to_owned();
        return End::Refused(ran);
    }
    let text = answer.text();
    let error = text.split("event: error\ndata: ").nth(1);
    if let Some(document) = error.and_then(|rest| rest.lines().next()) {
        let document: Value = serde_json::from_str(document).unwrap_or_default();
        let ran = document["ran"].as_str().unwrap_or_default();
        return End::Refused(ran.to_owned());
    }
    let ended = match &sent.wanted {
        RequestKind::Completion(..) => text.contains("data: [DONE]"),
        RequestKind::Call(_) => answer.complete,
    };
    if ended { End::Whole } else { End::Broken }
}

fn right(sent: &Exchange, answer: &Answer) -> bool {
    match &sent.wanted {
        RequestKind::Completion(prompt, tokens) => {
            stream_text(&answer.body) == Some(expected(MODEL, prompt, *tokens))
        }
        RequestKind::Call(key) => answer.json()["key"] == key.as_str(),
    }
}

impl Observations {
    /// Returns everything that does not add up.
    pub fn violations(&self) -> Vec<Violation> {
        let mut faults: Vec<Violation> = Vec::new();
        for sent in &self.sent {
            // A connection that broke before the answer's head leaves no id to ask about; what
            // ran under its key or prompt is held against the other books below.
            if let Some(answer) = &sent.answer {
                faults.extend(self.compare(sent, answer));
            }
        }
        for (key, runs) in &self.runs {
            if *runs > 1 {
                faults.push(Violation::RanTwice(key.clone()));
            }
            let asked = |sent: &Exchange| sent.wanted == RequestKind::Call(key.clone());
            if !self.sent.iter().any(asked) {
                faults.push(Violation::RunWithoutRequest(key.clone()));
            }
        }
        faults
    }

    fn compare(&self, sent: &Exchange, answer: &Answer) -> Vec<Violation> {
        let id = answer.id();
        let mut faults = Vec::new();
        let (runs, ended) = match &sent.wanted {
            RequestKind::Completion(..) => (self.attempts.get(&id), end(sent, answer)),
            RequestKind::Call(key) => (self.runs.get(key), end(sent, answer)),
        };
        let ran = runs.is_some_and(|runs| *runs > 0) || self.went_to_a_gone(&id);
        let outcome = match &ended {
            End::Whole => {
                if !right(sent, answer) {
                    faults.push(Violation::WrongAnswer(id.clone()));
                }
                if !ran {
                    faults.push(Violation::NeverRan(id.clone()));
                }
                Some("yes")
            }
            End::Refused(word) => {
                if word == "no" && self.ran_itself(sent, &id) {
                    faults.push(Violation::RanAfterNotRun(id.clone()));
                }
                if word == "yes" && !ran {
                    faults.push(Violation::NeverRan(id.clone()));
                }
                Some(word.as_str())
            }
            End::Broken => {
                // The host died under it: the caller sees that the end marker is missing, and
                // the explanation says the rest.
                if answer.complete {
                    faults.push(Violation::MissingEndMarker(id.clone()));
                }
                None
            }
        };
        match self.records.get(&id) {
            None => faults.push(Violation::Unexplained(id)),
            Some(record) => {
                let told = record["ran"].as_str();
                // A host that died after its answer left leaves a record that cannot know.
                let lost = record["outcome"] == "lost";
                if outcome.is_some() && told != outcome && !lost {
                    faults.push(Violation::ContradictingRecord(id));
                }
            }
        }
        faults
    }

    /// Returns whether a request went to a back end whose counts are lost.
    fn went_to_a_gone(&self, id: &str) -> bool {
        let attempts = self.records.get(id).map(|record| &record["attempts"]);
        let mut attempts = attempts.and_then(Value::as_array).into_iter().flatten();
        attempts.any(|attempt| {
            let backend = attempt["backend"].as_str().unwrap_or_default();
            self.gone.contains(backend) && attempt["ran"] != "no"
        })
    }

    /// Returns whether this very request was run, not another with its key.
    fn ran_itself(&self, sent: &Exchange, id: &str) -> bool {
        match &sent.wanted {
            RequestKind::Completion(..) => self.attempts.get(id).is_some_and(|runs| *runs > 0),
            RequestKind::Call(key) => {
                let attempts = self.records.get(id).map(|record| &record["attempts"]);
                let tried = attempts.and_then(Value::as_array);
                let sent = tried.is_none_or(|list| list.iter().any(|a| a["ran"] != "no"));
                sent && self.runs.get(key).is_some_and(|runs| *runs > 0)
            }
        }
    }

    /// Collects the books of a fleet; `at` is the host that explains.
    pub fn collect(fleet: &Fleet, at: usize, sent: Vec<Exchange>) -> Self {
        let mut books = Self {
            sent,
            ..Self::default()
        };
        for engine in fleet.engines() {
            let Some(answer) = send(engine.addr, "GET", "/log", &[], &[]) else {
                books.gone.insert(engine.name.clone());
                continue;
            };
            let log = answer.json();
            for line in log["runs"].as_array().into_iter().flatten() {
                let label = line["attempt"].as_str().unwrap_or_default();
                // An attempt's label is the request's id, a dot and the number of the try.
                let id = label.split('.').next().unwrap_or_default();
                *books.attempts.entry(id.to_owned()).or_default() += 1;
            }
        }
        for service in fleet.services() {
            let counts = send(service.addr, "GET", "/counts", &[], &[]);
            let counts = counts.map(|answer| answer.json()).unwrap_or_default();
            for (name, count) in counts.as_object().into_iter().flatten() {
                let key = name.rsplit(' ').next().unwrap_or_default();
                *books.runs.entry(key.to_owned()).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        let answers = books.sent.iter().filter_map(|sent| sent.answer.as_ref());
        for id in answers.map(Answer::id) {
            let record = fleet.explain(at, &id);
            if record["id"] == id.as_str() {
                books.records.insert(id, record);
            }
        }
        books
    }
}
