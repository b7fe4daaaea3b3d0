//! Request bodies, answers and stream chunks of the completions protocol.

use std::fmt::Write as _;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{Value, json};

/// Number of tokens of an answer if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 64;
/// Maximum number of tokens of an answer.
pub(super) const MAX_ANSWER_TOKENS: u64 = 100_000;

/// Body of a request for a completion or a prefill.
#[derive(Debug, Deserialize)]
pub(super) struct RequestBody {
    pub model: Option<Box<str>>,
    pub prompt: Option<Box<str>>,
    pub messages: Option<Vec<Message>>,
    #[serde(default)]
    pub stream: bool,
    pub max_tokens: Option<u64>,
    #[serde(default)]
    pub priority: i64,
    pub continue_from: Option<Continuation>,
    pub kv_transfer: Option<KvTransfer>,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    pub role: Box<str>,
    pub content: Box<str>,
}

/// The part of an answer that was already delivered, to be continued.
#[derive(Debug, Deserialize)]
pub(super) struct Continuation {
    pub text: Box<str>,
    pub tokens: u64,
}

/// The engine that prefilled a prompt, and the handle of its KV cache there.
#[derive(Debug, Deserialize)]
pub(super) struct KvTransfer {
    pub source: SocketAddr,
    pub handle: Box<str>,
}

impl RequestBody {
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
        self.max_tokens
            .unwrap_or(DEFAULT_MAX_TOKENS)
            .min(MAX_ANSWER_TOKENS)
    }
}

/// Returns the prompt of a chat, given its messages as role and content.
#[must_use]
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

/// Format of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerFormat {
    Text,
    Chat,
}

/// Token counts of one answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenUsage {
    pub prompt: u64,
    pub completion: u64,
}

/// Encoded text before and after the word of a chunk, the same for all chunks of a stream.
#[derive(Debug)]
pub(super) struct ChunkTemplate {
    prefix: Box<str>,
    suffix: &'static str,
}

impl ChunkTemplate {
    pub fn new(format: AnswerFormat, attempt: &str, model: &str) -> Self {
        let (attempt, model) = (json!(attempt), json!(model));
        let (object, field, suffix) = match format {
            AnswerFormat::Text => ("text_completion", r#""text":"#, ""),
            AnswerFormat::Chat => ("chat.completion.chunk", r#""delta":{"content":"#, "}"),
        };
        let prefix = format!(
            r#"{{"id":{attempt},"object":"{object}","model":{model},"choices":[{{"index":0,{field}"#
        );
        Self {
            prefix: prefix.into(),
            suffix,
        }
    }

    /// Appends the event of one token, a word that needs no JSON escapes; `id` is the offset of the
    /// token after it.
    pub fn write_token(&self, text: &mut String, id: u64, word: &str) {
        let Self { prefix, suffix } = self;
        // Writing to a `String` cannot fail.
        let _ = write!(
            text,
            "id: {id}\ndata: {prefix}\"{word}\"{suffix},\"finish_reason\":null}}]}}\n\n"
        );
    }

    /// Appends the events that end a stream: the finish reason with the usage, and `[DONE]`.
    pub fn write_end(&self, text: &mut String, id: u64, usage: TokenUsage) {
        let Self { prefix, suffix } = self;
        let usage = usage_json(usage);
        let _ = write!(
            text,
            "id: {id}\ndata: {prefix}\"\"{suffix},\"finish_reason\":\"length\"}}],\"usage\":{usage}}}\n\n\
             data: [DONE]\n\n"
        );
    }
}

/// Returns the body of an answer that is not streamed.
pub(super) fn completion_json(
    format: AnswerFormat,
    attempt: &str,
    model: &str,
    text: &str,
    usage: TokenUsage,
) -> Value {
    let (object, choice) = match format {
        AnswerFormat::Text => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": "length"}),
        ),
        AnswerFormat::Chat => (
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

fn usage_json(usage: TokenUsage) -> Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
    })
}
