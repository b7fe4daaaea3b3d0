//! HTTP client for the operators' listener of one host.

use std::fmt::Write as _;
use std::net::SocketAddr;

use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::header;
use ntex::service::cfg::SharedCfg;
use ntex::time::Millis;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{OperateError, read_key};
use crate::cli::Access;
use crate::settings::Secret;

/// Time-out for the head of an answer: an edit waits for the key-value service, which can be slow.
const HEAD_TIMEOUT: Millis = Millis(15_000);
/// Time-out for the body of an answer.
const BODY_TIMEOUT: Millis = Millis(30_000);
/// Largest body of an answer: holds lists of several times the size designed for.
const MAX_BODY_BYTES: usize = 64 << 20;

/// HTTP client of one host's operators' listener.
#[derive(Debug)]
pub(super) struct OperatorClient {
    client: Client,
    addr: SocketAddr,
    key: Secret,
}

/// A complete answer.
#[derive(Debug)]
pub(super) struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Revision from the `ETag` header.
    pub revision: Option<u64>,
    /// Body as text.
    pub body: Box<str>,
}

impl OperatorClient {
    /// Creates a client with the operators' key; no connection is opened yet.
    pub async fn open(access: &Access) -> Result<Self, OperateError> {
        let key = read_key(access.key_file.as_deref())?;
        let addr = access.addr;
        // A redirect would send the key and the edit to an address that the operator did not name.
        let builder = Client::builder()
            .disable_redirects()
            .response_timeout(HEAD_TIMEOUT)
            .response_payload_limit(MAX_BODY_BYTES)
            .response_payload_timeout(BODY_TIMEOUT);
        let client = builder.build(SharedCfg::new("operators")).await;
        let client = client.map_err(|err| no_answer(addr, &err.to_string()))?;
        Ok(Self { client, addr, key })
    }

    /// Returns the address for messages.
    pub fn addr(&self) -> Box<str> {
        self.addr.to_string().into()
    }

    /// Gets a path; any status but 200 is an error.
    pub async fn get(&self, path: &str) -> Result<Answer, OperateError> {
        let sent = self.request(self.client.get(self.url(path))).send().await;
        let response = sent.map_err(|err| no_answer(self.addr, &err.to_string()))?;
        let answer = read_answer(response).await;
        let answer = answer.map_err(|problem| no_answer(self.addr, &problem))?;
        if answer.status == 200 {
            Ok(answer)
        } else {
            Err(self.refusal(&answer))
        }
    }

    /// Puts a text on the condition that `revision` is in force; `Err` holds why no answer was
    /// received.
    pub async fn put(&self, path: &str, revision: u64, text: &str) -> Result<Answer, Box<str>> {
        let request = self.request(self.client.put(self.url(path)));
        let request = request
            .header(header::IF_MATCH, format!("\"{revision}\""))
            .content_type("text/plain; charset=utf-8");
        let sent = request.send_body(text.to_owned()).await;
        read_answer(sent.map_err(|err| Box::from(err.to_string()))?).await
    }

    /// Parses an answer as JSON; `wanted` names what it must hold.
    pub fn json<T: DeserializeOwned>(
        &self,
        answer: &Answer,
        wanted: &'static str,
    ) -> Result<T, OperateError> {
        let addr = self.addr();
        serde_json::from_str(&answer.body)
            .map_err(|_err| OperateError::UnexpectedBody { addr, wanted })
    }

    /// Returns the error for an answer that is a refusal.
    pub fn refusal(&self, answer: &Answer) -> OperateError {
        let problem: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        // The title is general advice to callers; the detail names what the host found.
        let reason = ["detail", "title"]
            .iter()
            .filter_map(|field| problem.get(field)?.as_str())
            .find(|reason| !reason.is_empty());
        let problem = match (reason, answer.status) {
            (Some(reason), _) => reason,
            (None, 401) => "the operators' key is wrong",
            (None, 404) => "not found",
            (None, _) => "no reason given",
        };
        OperateError::Refused {
            addr: self.addr(),
            status: answer.status,
            problem: problem.into(),
        }
    }

    fn request(&self, request: ClientRequest) -> ClientRequest {
        request.bearer_auth(self.key.expose())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }
}

async fn read_answer(response: ClientResponse) -> Result<Answer, Box<str>> {
    let tag = response.header(header::ETAG);
    let tag = tag.and_then(|tag| tag.to_str().ok());
    let revision = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    let body = response.body().await;
    let body = body.map_err(|err| Box::from(err.to_string()))?;
    let body = str::from_utf8(&body).map_err(|_err| Box::from("the body is not valid UTF-8"))?;
    Ok(Answer {
        status: response.status().as_u16(),
        revision,
        body: body.into(),
    })
}

fn no_answer(addr: SocketAddr, problem: &str) -> OperateError {
    OperateError::NoAnswer {
        addr: addr.to_string().into(),
        problem: problem.into(),
    }
}

/// Percent-encodes text as one segment of a path.
pub(super) fn percent_encode(text: &str) -> Box<str> {
    let mut path = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            path.push(char::from(byte));
        } else {
            let _ = write!(path, "%{byte:02X}");
        }
    }
    path.into()
}
