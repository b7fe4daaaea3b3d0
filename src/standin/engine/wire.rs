//! Bodies and chunks of the completions protocol.

use std::fmt::Write as _;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{Value, json};

/// Tokens of an answer when the request names none.
const DEFAULT_TOKENS: u64 = 64;
/// Tokens of an answer at most.
pub(super) const MAX_TOKENS: u64 = 100_000;

/// Body of a request for an answer or a prefill.
#[derive(Debug, Deserialize)]
pub(super) struct Body {
    pub model: Option<Box<str>>,
    pub prompt: Option<Box<str>>,
    pub messages: Option<Vec<Message>>,
    #[serde(default)]
    pub stream: bool,
    pub max_tokens: Option<u64>,
    #[serde(default)]
    pub priority: i64,
    pub continue_from: Option<Continue>,
    pub kv_transfer: Option<Transfer>,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    pub role: Box<str>,
    pub content: Box<str>,
}

/// The part of an answer that was delivered before.
#[derive(Debug, Deserialize)]
pub(super) struct Continue {
    pub text: Box<str>,
    pub tokens: u64,
}

/// Where a prompt was worked through.
#[derive(Debug, Deserialize)]
pub(super) struct Transfer {
    pub source: SocketAddr,
    pub handle: Box<str>,
}

impl Body {
    /// Returns the prompt, or for a chat its messages, each as `role: content` and a line feed.
    pub fn prompt(&self) -> Option<String> {
        if let Some(prompt) = &self.prompt {
            return Some(prompt.to_string());
        }
        let messages = self.messages.as_ref()?;
        Some(chat_prompt(
            messages.iter().map(|m| (&*m.role, &*m.content)),
        ))
    }

    pub fn max_tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS)
    }
}

/// Returns the prompt that a chat's messages, as role and content, amount to.
pub fn chat_prompt<'a>(messages: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, content) in messages {
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(content);
        prompt.push('\n');
    }
    prompt
}

/// Form of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Form {
    Text,
    Chat,
}

/// Counts of one answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage {
    pub prompt: u64,
    pub completion: u64,
}

/// Returns the event of one token; `id` is the offset of the token after it.
pub(super) fn event(form: Form, attempt: &str, model: &str, id: u64, text: &str) -> String {
    let choice = match form {
        Form::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
    };
    let object = match form {
        Form::Text => "text_completion",
        Form::Chat => "chat.completion.chunk",
    };
    let chunk = json!({"id": attempt, "object": object, "model": model, "choices": [choice]});
    frame(id, &chunk)
}

/// Returns the events that end a stream: finish reason with usage, and the end mark.
pub(super) fn last(form: Form, attempt: &str, model: &str, id: u64, usage: Usage) -> String {
    let choice = match form {
        Form::Text => json!({"index": 0, "text": "", "finish_reason": "length"}),
        Form::Chat => json!({"index": 0, "delta": {}, "finish_reason": "length"}),
    };
    let object = match form {
        Form::Text => "text_completion",
        Form::Chat => "chat.completion.chunk",
    };
    let chunk = json!({
        "id": attempt, "object": object, "model": model, "choices": [choice],
        "usage": usage_json(usage),
    });
    let mut text = frame(id, &chunk);
    text.push_str("data: [DONE]\n\n");
    text
}

/// Returns a whole answer.
pub(super) fn whole(form: Form, attempt: &str, model: &str, text: &str, usage: Usage) -> Value {
    let (object, choice) = match form {
        Form::Text => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": "length"}),
        ),
        Form::Chat => (
            "chat.completion",
            json!({
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
        ),
    };
    json!({
        "id": attempt, "object": object, "model": model, "choices": [choice],
        "usage": usage_json(usage),
    })
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
    })
}

fn frame(id: u64, chunk: &Value) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write!(text, "id: {id}\ndata: {chunk}\n\n");
    text
}
