//! Stand-in for a model engine.
//!
//! Implements the completions protocol with streamed, resumable answers, continuous batching, a
//! prefix cache, export and import of prefilled prompts, fenced orders, and faults set by request.

mod answer;
mod batch;
mod cache;
mod options;
mod orders;
mod reader;
mod routes;
mod state;
mod wire;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until};

pub use answer::{block_hashes, expected, prompt_tokens};
pub use cache::CacheOptions;
pub use options::{Answers, Crash, Fencing, Options, Role, StepCosts, Timing};
pub use wire::chat_prompt;

use self::batch::{EndReason, NextStep};
use self::state::{State, Timer};
use crate::backend::Client;
use crate::web;

/// Maximum delay of the batch behind its schedule that later steps make up for.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);
/// Backlog of the listener that is opened after a crash.
const LISTEN_BACKLOG: u32 = 1024;

/// State shared by the engine's tasks.
struct Shared {
    state: RefCell<State>,
    /// Notified when an attempt is queued.
    work_added: Notify,
    /// Notified when a timer is set.
    timer_set: Notify,
    client: Client,
}

impl Shared {
    /// Exits the process, or resets the engine, whose listener [`run`] then closes and reopens.
    fn crash(&self) {
        if self.state.borrow().opts.crash == Crash::Exit {
            std::process::exit(1);
        }
        self.state.borrow_mut().reset();
    }
}

/// Closes all connections when the engine's future is dropped, as the exit of a process would.
struct CloseOnDrop(Rc<Shared>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.state.borrow_mut().reset();
    }
}

/// Serves until the future is dropped; must run inside an ntex system.
pub async fn run(listener: TcpListener, opts: Options) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let Ok(client) = Client::new(crate::backend::Options::default()).await else {
        return;
    };
    let shared = Rc::new(Shared {
        state: RefCell::new(State::new(opts)),
        work_added: Notify::new(),
        timer_set: Notify::new(),
        client,
    });
    let _close_on_drop = CloseOnDrop(Rc::clone(&shared));
    let mut listener = listener;
    loop {
        let (_stop, stopped) = watch::channel(false);
        let handler = {
            let shared = Rc::clone(&shared);
            move |req| routes::handle(Rc::clone(&shared), req)
        };
        tokio::select! {
            () = web::serve(listener, web::CONNECTION_GRACE, stopped, handler) => return,
            () = run_batch(&shared) => {}
            () = run_timers(&shared) => {}
        }
        let crash = shared.state.borrow().opts.crash;
        listener = match listen_again(addr, crash).await {
            Ok(listener) => listener,
            Err(err) => {
                log::error!("cannot listen on {addr} after a crash: {err}");
                return;
            }
        };
    }
}

/// Listens on `addr` again; until the restart time has passed, the port is bound and connections
/// are refused.
async fn listen_again(addr: SocketAddr, crash: Crash) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Without it, connections closed a moment ago still occupy the port and the bind fails.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    if let Crash::Restart(time) = crash {
        sleep(time).await;
    }
    socket.listen(LISTEN_BACKLOG)
}

/// Runs the batch until the engine crashes.
async fn run_batch(shared: &Shared) {
    let mut due = Instant::now();
    loop {
        let next = shared.state.borrow_mut().next_step();
        match next {
            NextStep::Idle => {
                shared.work_added.notified().await;
                due = Instant::now();
            }
            NextStep::Crash => {
                shared.crash();
                return;
            }
            NextStep::Step(step) => {
                if step.duration.is_zero() {
                    tokio::task::yield_now().await;
                } else {
                    due = due.max(Instant::now().checked_sub(MAX_CATCH_UP).unwrap_or(due))
                        + step.duration;
                    sleep_until(due).await;
                }
                shared.state.borrow_mut().apply(&step);
            }
        }
    }
}

/// Runs the engine's timers until one of them crashes it.
async fn run_timers(shared: &Shared) {
    loop {
        let next = shared.state.borrow().timers.keys().next().copied();
        let Some((at, _)) = next else {
            shared.timer_set.notified().await;
            continue;
        };
        tokio::select! {
            () = sleep_until(at) => {}
            () = shared.timer_set.notified() => continue,
        }
        let mut state = shared.state.borrow_mut();
        match state.timers.pop_first().map(|(_, timer)| timer) {
            Some(Timer::ReaderGrace(key, open_count)) => {
                let attempt = state.batch.attempts.get(key);
                if attempt
                    .is_some_and(|attempt| attempt.readers == 0 && attempt.open_count == open_count)
                {
                    state.end_attempt(key, EndReason::Cancelled);
                }
            }
            Some(Timer::ChangeHalfway(number))
                if state.is_changing(number) && state.faults.crash_mid_change == Some(true) =>
            {
                state.faults.crash_mid_change = None;
                drop(state);
                shared.crash();
                return;
            }
            Some(Timer::ChangeDone(number)) if state.is_changing(number) => state.finish_change(),
            _ => {}
        }
    }
}
