//! Completions: what a caller's body asks for, what an engine is sent, what a caller gets back.

use std::borrow::Cow;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::core::event::ModelRequest;

/// Bytes taken for one token where the engine's own count is not known yet.
const TOKEN_BYTES: usize = 4;
/// Tokens generated when the caller names no bound.
const DEFAULT_OUTPUT: u32 = 256;
/// Most tokens a caller may ask for.
const MOST_OUTPUT: u64 = 1_000_000;

/// The fields of a piece that hold its text; read for every token, so nothing is copied that can
/// be borrowed.
#[derive(Debug, Default, Deserialize)]
struct Piece<'a> {
    #[serde(borrow, default)]
    choices: Vec<PieceChoice<'a>>,
}

#[derive(Debug, Default, Deserialize)]
struct PieceChoice<'a> {
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

/// Form of a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Form {
    /// Returns the path at an engine.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// How the caller takes the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// As events, while it is generated.
    Stream,
    /// As one document.
    Whole,
}

/// A completion that a caller asked for.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Form of request and answer.
    pub form: Form,
    /// How the caller takes the answer.
    pub delivery: Delivery,
    body: Map<String, Value>,
}

/// Reads a caller's body; `piece` is the size of the engines' prefix pieces in tokens.
///
/// # Errors
///
/// Returns what is wrong with the body, for the caller.
pub fn parse(
    form: Form,
    bytes: &[u8],
    piece: impl FnOnce(&str) -> usize,
) -> Result<(Completion, ModelRequest), Box<str>> {
    let body: Value = serde_json::from_slice(bytes)
        .map_err(|err| format!("the body is not JSON: {err}").into_boxed_str())?;
    let Value::Object(mut body) = body else {
        return Err("the body is not a JSON object".into());
    };
    let model = text(&body, "model")?;
    let prompt = match form {
        Form::Text => text_prompt(&body)?,
        Form::Chat => chat_prompt(&body)?,
    };
    let delivery = match body.get("stream") {
        None | Some(Value::Null | Value::Bool(false)) => Delivery::Whole,
        Some(Value::Bool(true)) => Delivery::Stream,
        Some(_) => return Err("stream is neither true nor false".into()),
    };
    if body.get("n").is_some_and(|n| *n != json!(1)) {
        return Err("n is not 1; ask for each answer on its own".into());
    }
    let output = output(&body)?;
    body.insert("max_tokens".into(), json!(output));
    body.insert("stream".into(), json!(true));
    body.remove("max_completion_tokens");
    let tokens = prompt.len().div_ceil(TOKEN_BYTES);
    let want = ModelRequest {
        prompt_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        max_output: output,
        prefix_hashes: pieces(&model, &prompt, piece(&model) * TOKEN_BYTES),
        model,
    };
    let completion = Completion {
        form,
        delivery,
        body,
    };
    Ok((completion, want))
}

fn text(body: &Map<String, Value>, key: &str) -> Result<Box<str>, Box<str>> {
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

fn output(body: &Map<String, Value>) -> Result<u32, Box<str>> {
    let given = body
        .get("max_tokens")
        .or_else(|| body.get("max_completion_tokens"));
    match given {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT),
        Some(value) => value
            .as_u64()
            .filter(|tokens| (1..=MOST_OUTPUT).contains(tokens))
            .and_then(|tokens| u32::try_from(tokens).ok())
            .ok_or_else(|| {
                format!("max_tokens is not a whole number from 1 to {MOST_OUTPUT}").into()
            }),
    }
}

/// Returns the hash of each whole piece of the prompt, over everything up to its end.
fn pieces(model: &str, prompt: &str, size: usize) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let whole = prompt.as_bytes().chunks_exact(size.max(1));
    whole
        .map(|piece| {
            hasher.update(piece);
            let mut first = [0; 8];
            first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(first)
        })
        .collect()
}

impl Completion {
    /// Returns the body for an engine that goes on after `tokens` tokens, the text of which is
    /// `done`; with `kv`, it takes the KV cache of the prompt from there.
    #[must_use]
    pub fn body(
        &self,
        priority: u8,
        done: &str,
        tokens: u64,
        kv: Option<(SocketAddr, &str)>,
    ) -> Bytes {
        let mut body = self.body.clone();
        body.insert("priority".into(), json!(priority));
        if tokens > 0 {
            body.insert(
                "continue_from".into(),
                json!({"text": done, "tokens": tokens}),
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

    /// Returns the text in one piece of an answer.
    #[must_use]
    pub fn text_of<'a>(&self, piece: &'a [u8]) -> Cow<'a, str> {
        let piece: Piece<'a> = serde_json::from_slice(piece).unwrap_or_default();
        let choice = piece.choices.into_iter().next().unwrap_or_default();
        let text = match self.form {
            Form::Text => choice.text,
            Form::Chat => choice.delta.content,
        };
        text.unwrap_or_default()
    }

    /// Makes one document of an answer's text and its last piece.
    #[must_use]
    pub fn document(&self, id: &str, text: &str, last: &[u8]) -> Value {
        let last: Value = serde_json::from_slice(last).unwrap_or_default();
        let reason = &last["choices"][0]["finish_reason"];
        let (object, choice) = match self.form {
            Form::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            ),
            Form::Chat => (
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
