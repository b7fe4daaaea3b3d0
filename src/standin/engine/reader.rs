//! Reads the tokens of one attempt as they are made, with the faults of a stream.

use std::future::pending;
use std::rc::Rc;

use ntex::util::Bytes;
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Shared;
use super::answer::write;
use super::batch::{End, RunKey};
use super::state::{State, Timer};
use super::wire::{Form, Frame, Usage};

/// The attempt ended without its last token; the connection is closed.
#[derive(Debug, Snafu)]
#[snafu(display("the attempt was cut"))]
pub(super) struct Cut;

/// What can be read at one moment.
enum Out {
    Wait,
    Events(String),
    Last(String),
    Cut,
}

/// One reader; the attempt is cancelled a while after its last reader is gone.
pub(super) struct Reader {
    shared: Rc<Shared>,
    key: RunKey,
    frame: Frame,
    stray: Frame,
    start: u64,
    offset: u64,
    /// Value of [`State::silent`] when the stream was opened.
    since: u64,
    changed: Rc<Notify>,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    First,
    Open,
    Closed,
}

impl Reader {
    /// Opens an attempt at `offset`, or at its beginning.
    pub fn new(shared: &Rc<Shared>, key: RunKey, form: Form, offset: Option<u64>) -> Option<Self> {
        let mut state = shared.state.borrow_mut();
        let state = &mut *state;
        let run = state.batch.runs.get_mut(key)?;
        let frame = Frame::new(form, &run.attempt, &state.model);
        let stray = Frame::new(form, &format!("{}-other", run.attempt), &state.model);
        run.readers += 1;
        run.opened += 1;
        let offset = offset.unwrap_or(run.first).max(run.first);
        Some(Self {
            shared: Rc::clone(shared),
            key,
            frame,
            stray,
            start: offset,
            offset,
            since: state.silent,
            changed: Rc::clone(&run.changed),
            phase: Phase::First,
        })
    }

    /// Returns the next events, or `None` after the last.
    pub async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        if self.phase == Phase::Closed {
            return None;
        }
        loop {
            let changed = Rc::clone(&self.changed);
            let changed = changed.notified();
            let out = self.read();
            if self.shared.state.borrow().silent > self.since {
                return pending().await;
            }
            match out {
                Out::Wait => changed.await,
                Out::Events(text) => return Some(Ok(text.into())),
                Out::Last(text) => {
                    self.phase = Phase::Closed;
                    return Some(Ok(text.into()));
                }
                Out::Cut => {
                    self.phase = Phase::Closed;
                    return Some(Err(Cut));
                }
            }
        }
    }

    /// Waits for the end and returns the text from the reader's offset on, with its counts.
    pub async fn whole(&mut self) -> Result<(String, Usage), Cut> {
        loop {
            let changed = Rc::clone(&self.changed);
            let changed = changed.notified();
            {
                let state = self.shared.state.borrow();
                let run = state.batch.runs.get(self.key).ok_or(Cut)?;
                match run.end {
                    None => {}
                    Some(End::Done) => {
                        let mut text = String::new();
                        write(&mut text, run.seed, self.offset, run.made);
                        let usage = Usage {
                            prompt: run.prompt_tokens,
                            completion: run.made - run.first,
                        };
                        return Ok((text, usage));
                    }
                    Some(_) => return Err(Cut),
                }
            }
            changed.await;
        }
    }

    fn read(&mut self) -> Out {
        let shared = Rc::clone(&self.shared);
        let mut state = shared.state.borrow_mut();
        let Some(run) = state.batch.runs.get(self.key) else {
            return Out::Cut;
        };
        let (mut upto, end) = (run.made, run.end);
        if let Some(n) = state.faults.drop_after.filter(|n| *n > 0) {
            if self.offset >= self.start + n {
                state.faults.drop_after = None;
                return Out::Cut;
            }
            upto = upto.min(self.start + n);
        }
        let pairs = state.faults.reorder_chunks == Some(true);
        if upto > self.offset {
            // A single chunk has no other to change places with.
            if pairs && upto == self.offset + 1 && end.is_none() {
                return Out::Wait;
            }
            return Out::Events(self.events(&state, upto));
        }
        match end {
            None => Out::Wait,
            Some(End::Done) => {
                let usage = Usage {
                    prompt: run.prompt_tokens,
                    completion: run.made - run.first,
                };
                let mut text = String::new();
                self.frame.last(&mut text, upto, usage);
                Out::Last(text)
            }
            Some(_) => Out::Cut,
        }
    }

    /// Returns the events up to an offset, in the order the faults give.
    fn events(&mut self, state: &State, upto: u64) -> String {
        let seed = state.batch.runs[self.key].seed;
        let mut events = Vec::new();
        let stray = self.phase == Phase::First && state.faults.wrong_attempt == Some(true);
        if stray {
            let mut event = String::new();
            self.stray.token(&mut event, self.offset + 1, " stray");
            events.push(event);
        }
        for i in self.offset..upto {
            let (mut word, mut event) = (String::new(), String::new());
            write(&mut word, seed, i, i + 1);
            self.frame.token(&mut event, i + 1, &word);
            if state.faults.repeat_chunk == Some(true) {
                events.push(event.clone());
            }
            events.push(event);
        }
        if state.faults.reorder_chunks == Some(true) {
            let own = &mut events[usize::from(stray)..];
            own.chunks_exact_mut(2).for_each(<[String]>::reverse);
        }
        self.phase = Phase::Open;
        self.offset = upto;
        events.concat()
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        let grace = state.opts.grace;
        let Some(run) = state.batch.runs.get_mut(self.key) else {
            return;
        };
        run.readers -= 1;
        if run.readers == 0 && run.end.is_none() {
            let timer = Timer::Orphan(self.key, run.opened);
            state.set_timer(Instant::now() + grace, timer);
            self.shared.timer.notify_one();
        }
    }
}
