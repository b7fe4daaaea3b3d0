//! `chiveway load`: sends requests to hosts, checks every answer, and prints latencies.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ntex::client::Client;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::backend::Parser;
use crate::cli::{LoadOptions, Target};
use crate::output;
use crate::standin::engine::expected;
use crate::web;

/// Bytes of prompt per token, as the stand-in engines count them.
const BYTES_PER_TOKEN: usize = 4;
/// Longest wait for the head of an answer and for each chunk of its body.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest value of a histogram, in microseconds; larger ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Percentile of the gaps between tokens that a good answer keeps within its target.
const GAP_PERCENTILE: usize = 95;
/// Column names of the table of results.
const HEADER: [&str; 9] = [
    "target",
    "whole",
    "good",
    "first p50",
    "first p95",
    "first p99",
    "between p50",
    "between p95",
    "between p99",
];

/// Why `load` failed.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The HTTP client cannot be created.
    #[snafu(display("the HTTP client cannot be created"))]
    NoClient,
    /// Standard output failed.
    #[snafu(display("cannot write to standard output: {source}"))]
    Output {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// Answers were lost, incomplete or wrong.
    #[snafu(display("{count} answers were lost, incomplete or wrong"))]
    FailedAnswers {
        /// Number of such answers.
        count: u64,
    },
}

/// Outcome of one request; the names are printed with the results.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    /// The complete and correct answer.
    Whole,
    /// An answer that differs from the expected one or cannot be parsed.
    Wrong,
    /// An answer without its end.
    Short,
    /// The head of the answer was not received.
    Lost,
    /// Refused with this error code, or this HTTP status where there is none.
    Refused(Box<str>),
}

/// Outcomes and latencies of the requests to one target.
#[derive(Debug)]
struct TargetStats {
    target: Target,
    outcomes: BTreeMap<Outcome, u64>,
    /// Complete answers within the target times.
    good: u64,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
}

impl TargetStats {
    fn new(target: Target) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in order");
        Self {
            target,
            outcomes: BTreeMap::new(),
            good: 0,
            first_token: histogram(),
            token_gap: histogram(),
        }
    }
}

/// Sends the requests and prints the results.
///
/// # Errors
///
/// Returns the number of lost, incomplete or wrong answers, if any; refusals do not count.
pub async fn run(options: LoadOptions) -> Result<(), LoadError> {
    let client = web::trial_client("load").await.context(NoClientSnafu)?;
    let stats: Vec<_> = options
        .targets
        .iter()
        .map(|target| Rc::new(RefCell::new(TargetStats::new(target.clone()))))
        .collect();
    let options = Rc::new(options);
    let next = Rc::new(Cell::new(0));
    let start = Instant::now();
    let tasks: Vec<_> = (0..options.concurrency)
        .map(|_| {
            let worker = run_worker(
                client.clone(),
                Rc::clone(&options),
                Rc::clone(&next),
                stats.clone(),
            );
            ntex::rt::spawn(worker)
        })
        .collect();
    for task in tasks {
        if task.await.is_err() {
            log::error!("a load worker panicked or was cancelled");
        }
    }
    let elapsed = start.elapsed();
    let stats: Vec<_> = stats
        .iter()
        .map(|target_stats| target_stats.borrow())
        .collect();
    report(&stats, &options, elapsed)
}

async fn run_worker(
    client: Client,
    options: Rc<LoadOptions>,
    next: Rc<Cell<usize>>,
    stats: Vec<Rc<RefCell<TargetStats>>>,
) {
    loop {
        let number = next.get();
        if number >= options.requests {
            return;
        }
        next.set(number + 1);
        let target_stats = &stats[number % stats.len()];
        let addr = target_stats.borrow().target.addr;
        let outcome = send_request(&client, &options, addr, number, target_stats).await;
        *target_stats
            .borrow_mut()
            .outcomes
            .entry(outcome)
            .or_default() += 1;
    }
}

/// Returns the prompt of a request: it has the given length and starts with the request's number,
/// so that prompts differ.
fn prompt(number: usize, tokens: usize) -> String {
    let mut text = format!("request {number}: ");
    while text.len() < tokens * BYTES_PER_TOKEN {
        text.push_str("what does the funder expect? ");
    }
    text.truncate(tokens * BYTES_PER_TOKEN);
    text
}

async fn send_request(
    client: &Client,
    options: &LoadOptions,
    addr: SocketAddr,
    number: usize,
    target_stats: &RefCell<TargetStats>,
) -> Outcome {
    let prompt = prompt(number, options.prompt_tokens);
    let body = json!({
        "model": options.model,
        "prompt": prompt,
        "max_tokens": options.output_tokens,
        "stream": options.stream,
    });
    let start = Instant::now();
    let sent = client
        .post(format!("http://{addr}/v1/completions"))
        .address(addr)
        .header("authorization", format!("Bearer {}", options.key))
        .header("content-type", "application/json")
        .send_body(body.to_string());
    let Ok(Ok(mut answer)) = tokio::time::timeout(READ_TIMEOUT, sent).await else {
        return Outcome::Lost;
    };
    let status = answer.status().as_u16();
    let mut reader = AnswerReader::new(options.stream && status == 200);
    loop {
        let bytes = ntex::util::stream_recv(&mut answer);
        let bytes = match tokio::time::timeout(READ_TIMEOUT, bytes).await {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => return Outcome::Short,
        };
        if !reader.feed(&bytes, &mut target_stats.borrow_mut(), start) {
            return Outcome::Wrong;
        }
    }
    if status != 200 {
        return reader.refusal(status);
    }
    let good = reader.meets_targets(options);
    let Some(text) = reader.text() else {
        return Outcome::Short;
    };
    let tokens = options.output_tokens as u64;
    if text != expected(&options.model, &prompt, tokens) {
        return Outcome::Wrong;
    }
    if good {
        target_stats.borrow_mut().good += 1;
    }
    Outcome::Whole
}

/// Reads an answer chunk by chunk.
struct AnswerReader {
    stream: bool,
    parser: Parser,
    body: Vec<u8>,
    text: String,
    done: bool,
    first: Option<Duration>,
    last: Option<Instant>,
    gaps: Vec<Duration>,
}

impl AnswerReader {
    fn new(stream: bool) -> Self {
        Self {
            stream,
            parser: Parser::new(),
            body: Vec::new(),
            text: String::new(),
            done: false,
            first: None,
            last: None,
            gaps: Vec::new(),
        }
    }

    /// Parses the next bytes of the answer; returns false where they are malformed.
    fn feed(&mut self, bytes: &[u8], target_stats: &mut TargetStats, start: Instant) -> bool {
        let now = Instant::now();
        if !self.stream {
            self.body.extend_from_slice(bytes);
            return true;
        }
        if self.parser.push(bytes).is_err() {
            return false;
        }
        while let Some(event) = self.parser.pop() {
            if &*event.data == b"[DONE]" {
                self.done = true;
                continue;
            }
            let Ok(chunk) = serde_json::from_slice::<Value>(&event.data) else {
                return false;
            };
            let delta = chunk["choices"][0]["text"].as_str().unwrap_or_default();
            if delta.is_empty() {
                continue;
            }
            self.text.push_str(delta);
            match self.last.replace(now) {
                None => {
                    self.first = Some(now - start);
                    target_stats
                        .first_token
                        .saturating_record(micros(now - start));
                }
                Some(last) => {
                    self.gaps.push(now - last);
                    target_stats.token_gap.saturating_record(micros(now - last));
                }
            }
        }
        true
    }

    /// Returns whether a streamed answer is within the target times.
    fn meets_targets(&mut self, options: &LoadOptions) -> bool {
        self.gaps.sort_unstable();
        let index = self.gaps.len() * GAP_PERCENTILE / 100;
        let gap = self.gaps.get(index).copied().unwrap_or_default();
        self.first.is_some_and(|first| first <= options.first_token) && gap <= options.token_gap
    }

    /// Returns the answer's text; `None` for an incomplete answer.
    fn text(self) -> Option<String> {
        if self.stream {
            return self.done.then_some(self.text);
        }
        let answer: Value = serde_json::from_slice(&self.body).ok()?;
        answer["choices"][0]["text"].as_str().map(str::to_owned)
    }

    fn refusal(&self, status: u16) -> Outcome {
        let problem: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let code = problem["type"].as_str();
        let code = code.and_then(|code| code.strip_prefix("urn:chiveway:"));
        Outcome::Refused(code.map_or_else(|| status.to_string().into(), Box::from))
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(micros: u64) -> Box<str> {
    format!("{:.3}", micros as f64 / 1000.0).into()
}

/// Returns the row of one target in the table.
fn row(target_stats: &TargetStats) -> [Box<str>; 9] {
    let whole = target_stats
        .outcomes
        .get(&Outcome::Whole)
        .copied()
        .unwrap_or(0);
    let at = |times: &Histogram<u64>, quantile| millis(times.value_at_quantile(quantile));
    [
        target_stats.target.name.clone(),
        whole.to_string().into(),
        target_stats.good.to_string().into(),
        at(&target_stats.first_token, 0.5),
        at(&target_stats.first_token, 0.95),
        at(&target_stats.first_token, 0.99),
        at(&target_stats.token_gap, 0.5),
        at(&target_stats.token_gap, 0.95),
        at(&target_stats.token_gap, 0.99),
    ]
}

fn report(
    stats: &[std::cell::Ref<'_, TargetStats>],
    options: &LoadOptions,
    elapsed: Duration,
) -> Result<(), LoadError> {
    let mut rows = vec![HEADER.map(Box::from)];
    rows.extend(stats.iter().map(|target_stats| row(target_stats)));
    let mut lines = vec![output::columns(rows).trim_end().to_owned()];
    let mut valid = 0;
    for target_stats in stats {
        for (outcome, count) in &target_stats.outcomes {
            let name = &target_stats.target.name;
            match outcome {
                Outcome::Whole => valid += count,
                Outcome::Refused(code) => {
                    valid += count;
                    lines.push(format!("{name}: {count} refused as {code}"));
                }
                other => lines.push(format!("{name}: {count} {other:?}")),
            }
        }
    }
    let sent = options.requests as u64;
    let rate = options.requests as f64 / elapsed.as_secs_f64();
    lines.push(format!(
        "times in ms; {sent} requests in {elapsed:.2?}, {rate:.0} a second"
    ));
    output::print(&lines.join("\n")).context(OutputSnafu)?;
    // A worker that panicked has not counted its request.
    let count = sent.saturating_sub(valid);
    ensure!(count == 0, FailedAnswersSnafu { count });
    Ok(())
}
