//! `chiveway try`: a whole deployment in one process, to look at and to check.

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

/// Time the hosts have to be ready.
const READY_TIME: Duration = Duration::from_secs(20);
/// Time between two looks whether a host is ready.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time a record has to reach another host.
const TOLD_TIME: Duration = Duration::from_secs(5);
/// Prompt of the request that is tried.
const PROMPT: &str = "What does the funder still expect of us before the cutoff?";
/// Tokens that are asked for.
const TOKENS: u64 = 24;

/// Why a trial failed.
#[derive(Debug, Snafu)]
pub enum TrialError {
    /// A call got no answer.
    #[snafu(display("no answer to {what}: {source}"))]
    Call {
        /// What was asked.
        what: Box<str>,
        /// Why there is no answer.
        source: CallError,
    },
    /// A call got an answer that it should not get.
    #[snafu(display("{what} was answered with {status}: {body}"))]
    Wrong {
        /// What was asked.
        what: Box<str>,
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        body: Box<str>,
    },
    /// A host is not ready in time.
    #[snafu(display("the host at {addr} is not ready in time"))]
    NotReady {
        /// Its operators' listener.
        addr: SocketAddr,
    },
    /// An answer is not the one that belongs to the request.
    #[snafu(display("{what} is not what it should be: {found}"))]
    Differs {
        /// What was compared.
        what: Box<str>,
        /// What was found.
        found: Box<str>,
    },
    /// The HTTP client cannot be made.
    #[snafu(display("the HTTP client cannot be made"))]
    NoClient,
    /// Standard output failed.
    #[snafu(display("cannot write to standard output: {source}"))]
    Output {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Runs the trial.
///
/// # Errors
///
/// Returns what was not as it should be.
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
        return once(&client, &site).await;
    }
    show(&site)?;
    // Runs until it is interrupted.
    std::future::pending().await
}

fn say(text: &str) -> Result<(), TrialError> {
    output::say(text).context(OutputSnafu)
}

fn show(site: &Site) -> Result<(), TrialError> {
    for host in &site.hosts {
        let host = &host.settings.host;
        say(&format!(
            "{:<8}  callers http://{}  operators http://{}",
            host.name, host.callers, host.operators
        ))?;
    }
    say(&format!("operators' key: {OPERATOR_KEY}"))?;
    let Some(first) = site.hosts.first() else {
        return Ok(());
    };
    let callers = first.settings.host.callers;
    let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": TOKENS, "stream": true});
    say("\nAsk for a completion:\n")?;
    say(&format!(
        "curl -N http://{callers}/v1/completions -H 'Authorization: Bearer {CUSTOMER_KEY}' -d '{body}'"
    ))?;
    say("\nThe x-request-id header of the answer (curl -i) names it for `chiveway explain`.")
}

/// Puts the lists in force and waits until every host is ready.
///
/// # Errors
///
/// Returns what the hosts refused, or which is not ready in time.
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
            let whole = hosts == site.hosts.len() && backends == site.list().len();
            let current = status["revision"] == 2 && status["ready"] == true;
            (whole && current).then_some(())
        })
        .await?;
    }
    Ok(())
}

async fn wait_for<F, T>(addr: SocketAddr, look: F) -> Result<(), TrialError>
where
    F: Fn() -> T,
    T: Future<Output = Option<()>>,
{
    let looks = async {
        while look().await.is_none() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    tokio::time::timeout(READY_TIME, looks)
        .await
        .map_err(|_late| TrialError::NotReady { addr })
}

async fn send(client: &Client, what: &str, call: Call<'_>) -> Result<Answer, TrialError> {
    let answer = client.call(call).await.context(CallSnafu { what })?;
    let body = String::from_utf8_lossy(&answer.body);
    ensure!(
        answer.status == 200,
        WrongSnafu {
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
    base: u64,
    text: String,
) -> Result<Answer, TrialError> {
    let key = format!("Bearer {OPERATOR_KEY}");
    let base = format!("\"{base}\"");
    let call = Call {
        method: "PUT",
        addr,
        path,
        headers: &[("authorization", &key), ("if-match", &base)],
        body: text.into(),
    };
    send(client, path, call).await
}

/// Sends one streamed request and one call that may not repeat, and checks both.
async fn once(client: &Client, site: &Site) -> Result<(), TrialError> {
    let callers = |at: usize| site.hosts[at % site.hosts.len()].settings.host.callers;
    let key = format!("Bearer {CUSTOMER_KEY}");

    let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": TOKENS, "stream": true});
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
    let text = stream_text(&answer.body).context(DiffersSnafu {
        what: "the stream",
        found: "an answer without its end marker",
    })?;
    let wanted = expected(MODEL, PROMPT, TOKENS);
    ensure!(
        text == wanted,
        DiffersSnafu {
            what: "the answer",
            found: text,
        }
    );
    say(&format!("Answer of {TOKENS} tokens:\n{text}\n"))?;
    told(client, site, &answer, "host-1").await?;

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
        DiffersSnafu {
            what: "the count of the extension request",
            found: echo.to_string(),
        }
    );
    say(&format!("\nAnswer of the service:\n{echo}\n"))?;
    told(client, site, &answer, "host-2").await
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
        let piece = choice["text"]
            .as_str()
            .or_else(|| choice["delta"]["content"].as_str());
        text.push_str(piece.unwrap_or_default());
    }
    None
}

/// Checks the explanation of a request, as read from another host than the one that served it.
async fn told(
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
        .context(DiffersSnafu {
            what: "the answer",
            found: "no x-request-id",
        })?;
    let other = site
        .hosts
        .iter()
        .rfind(|host| &*host.settings.host.name != served)
        .context(DiffersSnafu {
            what: "the deployment",
            found: "no other host; give --hosts 2 or more",
        })?;
    let addr = other.settings.host.operators;
    let path = format!("/explain/{id}");
    let look = async {
        loop {
            let record: Value = match get(client, addr, &path).await {
                Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or_default(),
                Err(_) => Value::Null,
            };
            if record["outcome"] == "answered" {
                return record;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    let record = tokio::time::timeout(TOLD_TIME, look)
        .await
        .ok()
        .context(DiffersSnafu {
            what: "the explanation",
            found: "no finished record in time",
        })?;
    ensure!(
        record["host"] == served && record["customer"] == site::CUSTOMER,
        DiffersSnafu {
            what: "the explanation",
            found: record.to_string(),
        }
    );
    say(&format!(
        "Explained by {} for {id}, served by {served}:\n{record:#}",
        other.settings.host.name
    ))
}
