//! Completions: parses callers' bodies, builds bodies for engines and documents for callers.

use std::borrow::Cow;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::core::event::ModelRequest;

/// Estimated bytes per token, where the engine's own count is not known yet.
const BYTES_PER_TOKEN: usize = 4;
/// Token limit of an answer if the caller sets none.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Largest token limit that a caller may set.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// The fields of a chunk that hold its text. Parsed for every token, so strings are borrowed where
/// possible.
#[derive(Debug, Default, Deserialize)]
struct ChunkBody<'a> {
    #[serde(borrow, default)]
    choices: Vec<ChunkChoice<'a>>,
}

#[derive(Debug, Default, Deserialize)]
struct ChunkChoice<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    delta: Delta<'a>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Endpoint of a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Endpoint {
    /// Returns the request path at an engine.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// How the answer is delivered to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// As server-sent events, while it is generated.
    Stream,
    /// As one JSON document.
    Document,
}

/// A caller's request for a completion.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Endpoint, which decides the format of request and answer.
    pub endpoint: Endpoint,
    /// How the answer is delivered to the caller.
    pub delivery: Delivery,
    body: Map<String, Value>,
}

/// Parses a caller's body; `block_tokens` returns the size of a model's prefix blocks in tokens.
///
/// # Errors
///
/// Returns a description of what is wrong with the body, for the caller.
pub fn parse(
    endpoint: Endpoint,
    bytes: &[u8],
    block_tokens: impl FnOnce(&str) -> usize,
) -> Result<(Completion, ModelRequest), Box<str>> {
    let body: Value = serde_json::from_slice(bytes)
        .map_err(|err| format!("the body is not JSON: {err}").into_boxed_str())?;
    let Value::Object(mut body) = body else {
        return Err("the body is not a JSON object".into());
    };
    let model = text_field(&body, "model")?;
    let prompt = match endpoint {
        Endpoint::Text => text_prompt(&body)?,
        Endpoint::Chat => chat_prompt(&body)?,
    };
    let delivery = match body.get("stream") {
        None | Some(Value::Null | Value::Bool(false)) => Delivery::Document,
        Some(Value::Bool(true)) => Delivery::Stream,
        Some(_) => return Err("stream is neither true nor false".into()),
    };
    if body.get("n").is_some_and(|n| *n != json!(1)) {
        return Err("n is not 1; ask for each answer on its own".into());
    }
    let output = output_tokens(&body)?;
    body.insert("max_tokens".into(), json!(output));
    body.insert("stream".into(), json!(true));
    body.remove("max_completion_tokens");
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
    let want = ModelRequest {
        prompt_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        max_output: output,
        prefix_hashes: block_hashes(&model, &prompt, block_tokens(&model) * BYTES_PER_TOKEN),
        model,
    };
    let completion = Completion {
        endpoint,
        delivery,
        body,
    };
    Ok((completion, want))
}

fn text_field(body: &Map<String, Value>, key: &str) -> Result<Box<str>, Box<str>> {
    match body.get(key) {
        Some(Value::String(text)) if !text.is_empty() => Ok(text.as_str().into()),
        Some(_) => Err(format!("{key} is not a text").into()),
        None => Err(format!("{key} is missing").into()),
    }
}

fn text_prompt(body: &Map<String, Value>) -> Result<String, Box<str>> {
    match body.get("prompt") {
        Some(Value::String(prompt)) => Ok(prompt.clone()),
        Some(_) => Err("prompt is not a single text".into()),
        None => Err("prompt is missing".into()),
    }
}

fn chat_prompt(body: &Map<String, Value>) -> Result<String, Box<str>> {
    let Some(Value::Array(messages)) = body.get("messages") else {
        return Err("messages is missing or not a list".into());
    };
    let mut prompt = String::new();
    for message in messages {
        let (Some(role), Some(content)) = (message["role"].as_str(), message["content"].as_str())
        else {
            return Err("a message lacks role or content as a text".into());
        };
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(content);
        prompt.push('\n');
    }
    if prompt.is_empty() {
        return Err("messages is empty".into());
    }
    Ok(prompt)
}

fn output_tokens(body: &Map<String, Value>) -> Result<u32, Box<str>> {
    let given = body
        .get("max_tokens")
        .or_else(|| body.get("max_completion_tokens"));
    match given {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT_TOKENS),
        Some(value) => value
            .as_u64()
            .filter(|tokens| (1..=MAX_OUTPUT_TOKENS).contains(tokens))
            .and_then(|tokens| u32::try_from(tokens).ok())
            .ok_or_else(|| {
                format!("max_tokens is not a whole number from 1 to {MAX_OUTPUT_TOKENS}").into()
            }),
    }
}

/// Returns a hash for each complete prefix block of the prompt, over the model's name and all bytes
/// up to the end of the block.
fn block_hashes(model: &str, prompt: &str, size: usize) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let blocks = prompt.as_bytes().chunks_exact(size.max(1));
    blocks
        .map(|block| {
            hasher.update(block);
            let mut first = [0; 8];
            first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(first)
        })
        .collect()
}

impl Completion {
    /// Returns the body for an engine that continues after `tokens` tokens, whose text is
    /// `delivered`; with `kv`, it fetches the KV cache of the prompt from that address and handle.
    #[must_use]
    pub fn body(
        &self,
        priority: u8,
        delivered: &str,
        tokens: u64,
        kv: Option<(SocketAddr, &str)>,
    ) -> Bytes {
        let mut body = self.body.clone();
        body.insert("priority".into(), json!(priority));
        if tokens > 0 {
            body.insert(
                "continue_from".into(),
                json!({"text": delivered, "tokens": tokens}),
            );
        }
        if let Some((source, handle)) = kv {
            body.insert(
                "kv_transfer".into(),
                json!({"source": source.to_string(), "handle": handle}),
            );
        }
        Value::Object(body).to_string().into()
    }

    /// Returns the text in one chunk of an answer.
    #[must_use]
    pub fn text_of<'a>(&self, chunk: &'a [u8]) -> Cow<'a, str> {
        let chunk: ChunkBody<'a> = serde_json::from_slice(chunk).unwrap_or_default();
        let choice = chunk.choices.into_iter().next().unwrap_or_default();
        let text = match self.endpoint {
            Endpoint::Text => choice.text,
            Endpoint::Chat => choice.delta.content,
        };
        text.unwrap_or_default()
    }

    /// Builds one document from the text and the last chunk of an answer.
    #[must_use]
    pub fn document(&self, id: &str, text: &str, last: &[u8]) -> Value {
        let last: Value = serde_json::from_slice(last).unwrap_or_default();
        let reason = &last["choices"][0]["finish_reason"];
        let (object, choice) = match self.endpoint {
            Endpoint::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            ),
            Endpoint::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": reason,
                }),
            ),
        };
        json!({
            "id": id,
            "object": object,
            "model": self.body.get("model"),
            "choices": [choice],
            "usage": last["usage"],
        })
    }
}
