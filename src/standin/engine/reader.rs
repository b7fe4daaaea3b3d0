//! Reads the tokens of one attempt as they are generated, and applies the faults of streams.

use std::future::pending;
use std::rc::Rc;

use ntex::util::Bytes;
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Shared;
use super::answer::write_tokens;
use super::batch::{AttemptKey, EndReason};
use super::state::{State, Timer};
use super::wire::{AnswerFormat, ChunkTemplate, TokenUsage};

/// The attempt ended without its last token; the connection is closed.
#[derive(Debug, Snafu)]
#[snafu(display("the attempt ended before its last token"))]
pub(super) struct AttemptCut;

/// Events that can be read now.
enum ReadOutcome {
    /// None; the reader waits for progress.
    Wait,
    /// Events of tokens.
    Events(String),
    /// The events that end the stream.
    Last(String),
    /// None; the connection is closed.
    Cut,
}

/// One reader of an attempt, which is cancelled after the grace time once no reader is left.
pub(super) struct Reader {
    shared: Rc<Shared>,
    key: AttemptKey,
    template: ChunkTemplate,
    /// Template of chunks of another attempt, for the fault `wrong_attempt`.
    foreign_template: ChunkTemplate,
    start_offset: u64,
    offset: u64,
    /// Value of [`State::silence_epoch`] when the stream was opened.
    epoch: u64,
    progress: Rc<Notify>,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    First,
    Open,
    Closed,
}

impl Reader {
    /// Opens an attempt at `offset`, or at its first token.
    pub fn new(
        shared: &Rc<Shared>,
        key: AttemptKey,
        format: AnswerFormat,
        offset: Option<u64>,
    ) -> Option<Self> {
        let mut state = shared.state.borrow_mut();
        let state = &mut *state;
        let attempt = state.batch.attempts.get_mut(key)?;
        let template = ChunkTemplate::new(format, &attempt.id, &state.model);
        let foreign_template =
            ChunkTemplate::new(format, &format!("{}-other", attempt.id), &state.model);
        attempt.readers += 1;
        attempt.open_count += 1;
        let offset = offset
            .unwrap_or(attempt.start_offset)
            .max(attempt.start_offset);
        Some(Self {
            shared: Rc::clone(shared),
            key,
            template,
            foreign_template,
            start_offset: offset,
            offset,
            epoch: state.silence_epoch,
            progress: Rc::clone(&attempt.progress),
            phase: Phase::First,
        })
    }

    /// Returns the next events, or `None` after the last.
    pub async fn next(&mut self) -> Option<Result<Bytes, AttemptCut>> {
        if self.phase == Phase::Closed {
            return None;
        }
        loop {
            let progress = Rc::clone(&self.progress);
            let progress = progress.notified();
            let outcome = self.poll_events();
            if self.shared.state.borrow().silence_epoch > self.epoch {
                return pending().await;
            }
            match outcome {
                ReadOutcome::Wait => progress.await,
                ReadOutcome::Events(text) => return Some(Ok(text.into())),
                ReadOutcome::Last(text) => {
                    self.phase = Phase::Closed;
                    return Some(Ok(text.into()));
                }
                ReadOutcome::Cut => {
                    self.phase = Phase::Closed;
                    return Some(Err(AttemptCut));
                }
            }
        }
    }

    /// Waits for the end and returns the text from the reader's offset on, with the token counts.
    pub async fn read_to_end(&mut self) -> Result<(String, TokenUsage), AttemptCut> {
        loop {
            let progress = Rc::clone(&self.progress);
            let progress = progress.notified();
            {
                let state = self.shared.state.borrow();
                let attempt = state.batch.attempts.get(self.key).ok_or(AttemptCut)?;
                match attempt.end {
                    None => {}
                    Some(EndReason::Done) => {
                        let mut text = String::new();
                        write_tokens(&mut text, attempt.seed, self.offset, attempt.next_offset);
                        let usage = TokenUsage {
                            prompt: attempt.prompt_tokens,
                            completion: attempt.next_offset - attempt.start_offset,
                        };
                        return Ok((text, usage));
                    }
                    Some(_) => return Err(AttemptCut),
                }
            }
            progress.await;
        }
    }

    /// Returns the events that can be read now, and applies the fault `drop_after`.
    fn poll_events(&mut self) -> ReadOutcome {
        let shared = Rc::clone(&self.shared);
        let mut state = shared.state.borrow_mut();
        let Some(attempt) = state.batch.attempts.get(self.key) else {
            return ReadOutcome::Cut;
        };
        let (mut end_offset, end) = (attempt.next_offset, attempt.end);
        if let Some(n) = state.faults.drop_after.filter(|n| *n > 0) {
            if self.offset >= self.start_offset + n {
                state.faults.drop_after = None;
                return ReadOutcome::Cut;
            }
            end_offset = end_offset.min(self.start_offset + n);
        }
        let reorder = state.faults.reorder_chunks == Some(true);
        if end_offset > self.offset {
            // A single chunk cannot be swapped yet: wait for the next one.
            if reorder && end_offset == self.offset + 1 && end.is_none() {
                return ReadOutcome::Wait;
            }
            return ReadOutcome::Events(self.write_events(&state, end_offset));
        }
        match end {
            None => ReadOutcome::Wait,
            Some(EndReason::Done) => {
                let usage = TokenUsage {
                    prompt: attempt.prompt_tokens,
                    completion: attempt.next_offset - attempt.start_offset,
                };
                let mut text = String::new();
                self.template.write_end(&mut text, end_offset, usage);
                ReadOutcome::Last(text)
            }
            Some(_) => ReadOutcome::Cut,
        }
    }

    /// Returns the events up to `end_offset`, with chunks added, repeated or reordered by faults.
    fn write_events(&mut self, state: &State, end_offset: u64) -> String {
        let seed = state.batch.attempts[self.key].seed;
        let mut events = Vec::new();
        let foreign = self.phase == Phase::First && state.faults.wrong_attempt == Some(true);
        if foreign {
            let mut event = String::new();
            self.foreign_template
                .write_token(&mut event, self.offset + 1, " stray");
            events.push(event);
        }
        for i in self.offset..end_offset {
            let (mut word, mut event) = (String::new(), String::new());
            write_tokens(&mut word, seed, i, i + 1);
            self.template.write_token(&mut event, i + 1, &word);
            if state.faults.repeat_chunk == Some(true) {
                events.push(event.clone());
            }
            events.push(event);
        }
        if state.faults.reorder_chunks == Some(true) {
            let own_events = &mut events[usize::from(foreign)..];
            own_events.chunks_exact_mut(2).for_each(<[String]>::reverse);
        }
        self.phase = Phase::Open;
        self.offset = end_offset;
        events.concat()
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        let grace = state.opts.reader_grace;
        let Some(attempt) = state.batch.attempts.get_mut(self.key) else {
            return;
        };
        attempt.readers -= 1;
        if attempt.readers == 0 && attempt.end.is_none() {
            let timer = Timer::ReaderGrace(self.key, attempt.open_count);
            state.set_timer(Instant::now() + grace, timer);
            self.shared.timer_set.notify_one();
        }
    }
}
