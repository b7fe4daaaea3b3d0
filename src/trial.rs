//! `chiveway try`: a whole deployment in one process, to explore or to check.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::backend::{self, Answer, Call, CallError, Client, Parser};
use crate::cli::TryOptions;
use crate::output;
use crate::site::{self, CUSTOMER_KEY, MODEL, OPERATOR_KEY, SERVICE, Site};
use crate::standin::engine::expected;

/// Longest wait for a host to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two polls of a host.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a finished record at another host.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Prompt of the streamed request.
const PROMPT: &str = "What does the funder still expect of us before the cutoff?";
/// Tokens requested.
const OUTPUT_TOKENS: u64 = 24;

/// Why `try` failed.
#[derive(Debug, Snafu)]
pub enum TrialError {
    /// A call got no answer.
    #[snafu(display("no answer to {what}: {source}"))]
    Call {
        /// The call.
        what: Box<str>,
        /// Error of the call.
        source: CallError,
    },
    /// A call was answered with a status other than 200.
    #[snafu(display("{what} was answered with status {status}: {body}"))]
    UnexpectedStatus {
        /// The call.
        what: Box<str>,
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        body: Box<str>,
    },
    /// A host was not ready in time.
    #[snafu(display("the host at {addr} was not ready in time"))]
    NotReady {
        /// Its operators' listener.
        addr: SocketAddr,
    },
    /// A check failed.
    #[snafu(display("check of {what} failed: found {found}"))]
    Mismatch {
        /// What was checked.
        what: Box<str>,
        /// What was found.
        found: Box<str>,
    },
    /// The HTTP client cannot be created.
    #[snafu(display("the HTTP client cannot be created"))]
    NoClient,
    /// Standard output failed.
    #[snafu(display("cannot write to standard output: {source}"))]
    Output {
        /// Error from the operating system.
        source: std::io::Error,
    },
}

/// Runs the deployment, and with `--once` the checks.
///
/// # Errors
///
/// Returns why the deployment did not start or which check failed.
pub async fn run(options: TryOptions) -> Result<(), TrialError> {
    let site = Site::start(site::Options {
        hosts: options.hosts,
        ..site::Options::default()
    });
    let client = Client::new(backend::Options::default())
        .await
        .ok()
        .context(NoClientSnafu)?;
    prepare(&client, &site).await?;
    if options.once {
        return run_once(&client, &site).await;
    }
    print_instructions(&site)?;
    // Runs until it is interrupted.
    std::future::pending().await
}

fn print(text: &str) -> Result<(), TrialError> {
    output::print(text).context(OutputSnafu)
}

fn print_instructions(site: &Site) -> Result<(), TrialError> {
    for host in &site.hosts {
        let host = &host.settings.host;
        print(&format!(
            "{:<8}  callers http://{}  operators http://{}",
            host.name, host.callers, host.operators
        ))?;
    }
    print(&format!("operators' key: {OPERATOR_KEY}"))?;
    let Some(first) = site.hosts.first() else {
        return Ok(());
    };
    let callers = first.settings.host.callers;
    let body =
        json!({"model": MODEL, "prompt": PROMPT, "max_tokens": OUTPUT_TOKENS, "stream": true});
    print("\nRequest a completion:\n")?;
    print(&format!(
        "curl -N http://{callers}/v1/completions -H 'Authorization: Bearer {CUSTOMER_KEY}' -d '{body}'"
    ))?;
    print("\nThe x-request-id header of the answer (curl -i) is the id for `chiveway explain`.")
}

/// Puts the lists in force and waits until every host is ready.
///
/// # Errors
///
/// Returns the call that failed or was refused, or the host that was not ready in time.
pub async fn prepare(client: &Client, site: &Site) -> Result<(), TrialError> {
    let Some(first) = site.hosts.first() else {
        return Ok(());
    };
    let addr = first.settings.host.operators;
    wait_for(addr, || async {
        let answer = get(client, addr, "/status").await.ok()?;
        let status: Value = serde_json::from_slice(&answer.body).ok()?;
        (status["store"] == "up").then_some(())
    })
    .await?;
    let (plans, uses) = site::lists();
    put(client, addr, "/lists/use", 0, uses).await?;
    put(client, addr, "/lists/plans", 1, plans).await?;
    for host in &site.hosts {
        let addr = host.settings.host.operators;
        wait_for(addr, || async {
            let status: Value = get(client, addr, "/status")
                .await
                .ok()
                .and_then(|answer| serde_json::from_slice(&answer.body).ok())?;
            let hosts = status["hosts"].as_array()?.len();
            let backends = status["backends"].as_array()?.len();
            let complete = hosts == site.hosts.len() && backends == site.list().len();
            let current = status["revision"] == 2 && status["ready"] == true;
            (complete && current).then_some(())
        })
        .await?;
    }
    Ok(())
}

async fn wait_for<F, T>(addr: SocketAddr, poll: F) -> Result<(), TrialError>
where
    F: Fn() -> T,
    T: Future<Output = Option<()>>,
{
    let polls = async {
        while poll().await.is_none() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, polls)
        .await
        .map_err(|_elapsed| TrialError::NotReady { addr })
}

async fn send(client: &Client, what: &str, call: Call<'_>) -> Result<Answer, TrialError> {
    let answer = client.call(call).await.context(CallSnafu { what })?;
    let body = String::from_utf8_lossy(&answer.body);
    ensure!(
        answer.status == 200,
        UnexpectedStatusSnafu {
            what,
            status: answer.status,
            body,
        }
    );
    Ok(answer)
}

async fn get(client: &Client, addr: SocketAddr, path: &str) -> Result<Answer, TrialError> {
    let key = format!("Bearer {OPERATOR_KEY}");
    let call = Call {
        method: "GET",
        addr,
        path,
        headers: &[("authorization", &key)],
        body: Bytes::new(),
    };
    send(client, path, call).await
}

async fn put(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    revision: u64,
    text: String,
) -> Result<Answer, TrialError> {
    let key = format!("Bearer {OPERATOR_KEY}");
    let if_match = format!("\"{revision}\"");
    let call = Call {
        method: "PUT",
        addr,
        path,
        headers: &[("authorization", &key), ("if-match", &if_match)],
        body: text.into(),
    };
    send(client, path, call).await
}

/// Sends one streamed request and one non-retryable call, and checks both.
async fn run_once(client: &Client, site: &Site) -> Result<(), TrialError> {
    let callers = |index: usize| site.hosts[index % site.hosts.len()].settings.host.callers;
    let key = format!("Bearer {CUSTOMER_KEY}");

    let body =
        json!({"model": MODEL, "prompt": PROMPT, "max_tokens": OUTPUT_TOKENS, "stream": true});
    let call = Call {
        method: "POST",
        addr: callers(0),
        path: "/v1/completions",
        headers: &[
            ("authorization", &key),
            ("content-type", "application/json"),
        ],
        body: body.to_string().into(),
    };
    let answer = send(client, "a streamed completion", call).await?;
    let text = stream_text(&answer.body).context(MismatchSnafu {
        what: "the stream",
        found: "an answer without its end marker",
    })?;
    let expected_text = expected(MODEL, PROMPT, OUTPUT_TOKENS);
    ensure!(
        text == expected_text,
        MismatchSnafu {
            what: "the answer",
            found: text,
        }
    );
    print(&format!("Answer of {OUTPUT_TOKENS} tokens:\n{text}\n"))?;
    check_explanation(client, site, &answer, "host-1").await?;

    let call = Call {
        method: "POST",
        addr: callers(1),
        path: &format!("/services/{SERVICE}/extensions"),
        headers: &[
            ("authorization", &key),
            ("content-type", "application/json"),
            ("idempotency-key", "extension-2026-17"),
        ],
        body: json!({"grant": 17, "days": 14}).to_string().into(),
    };
    let answer = send(client, "an extension request", call).await?;
    let echo: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    ensure!(
        echo["count"] == 1,
        MismatchSnafu {
            what: "the count of the extension request",
            found: echo.to_string(),
        }
    );
    print(&format!("\nAnswer of the service:\n{echo}\n"))?;
    check_explanation(client, site, &answer, "host-2").await
}

/// Returns the text of a streamed answer; `None` without its end marker.
#[must_use]
pub fn stream_text(body: &[u8]) -> Option<String> {
    let mut parser = Parser::new();
    parser.push(body).ok()?;
    let mut text = String::new();
    while let Some(event) = parser.pop() {
        if &*event.data == b"[DONE]" {
            return Some(text);
        }
        let chunk: Value = serde_json::from_slice(&event.data).ok()?;
        let choice = &chunk["choices"][0];
        let delta = choice["text"]
            .as_str()
            .or_else(|| choice["delta"]["content"].as_str());
        text.push_str(delta.unwrap_or_default());
    }
    None
}

/// Checks the explanation of a request, read from another host than the one that served it.
async fn check_explanation(
    client: &Client,
    site: &Site,
    answer: &Answer,
    served: &str,
) -> Result<(), TrialError> {
    let id = answer
        .headers
        .iter()
        .find(|(name, _)| &**name == "x-request-id")
        .map(|(_, id)| id.clone())
        .context(MismatchSnafu {
            what: "the answer",
            found: "no x-request-id",
        })?;
    let other = site
        .hosts
        .iter()
        .rfind(|host| &*host.settings.host.name != served)
        .context(MismatchSnafu {
            what: "the deployment",
            found: "no other host; give --hosts 2 or more",
        })?;
    let addr = other.settings.host.operators;
    let path = format!("/explain/{id}");
    let poll = async {
        loop {
            let record: Value = match get(client, addr, &path).await {
                Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or_default(),
                Err(_) => Value::Null,
            };
            if record["outcome"] == "answered" {
                return record;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let record = tokio::time::timeout(RECORD_TIMEOUT, poll)
        .await
        .ok()
        .context(MismatchSnafu {
            what: "the explanation",
            found: "no finished record in time",
        })?;
    ensure!(
        record["host"] == served && record["customer"] == site::CUSTOMER,
        MismatchSnafu {
            what: "the explanation",
            found: record.to_string(),
        }
    );
    print(&format!(
        "Explained by {} for {id}, served by {served}:\n{record:#}",
        other.settings.host.name
    ))
}
