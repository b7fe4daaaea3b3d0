//! A fake of a host's operator API: two lists under one revision.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use chiveway::lists::{Plans, diff_plans};
use chiveway::web;
use futures_util::stream;
use ntex::http::{Method, Request, Response, StatusCode};
use ntex::rt::{DefaultRuntime, System};
use ntex::util::Bytes;
use serde_json::{Value, json};
use tokio::sync::watch;

/// Operator key that the fake accepts.
pub const KEY: &str = "operators-key";
/// Number of the poll at which all hosts have the revision.
const POLLS_UNTIL_IN_FORCE: u32 = 2;
const MAX_BODY_BYTES: usize = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How the fake answers the first edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Without a fault.
    None,
    /// Applies the edit and cuts its answer off.
    LostAnswer,
    /// Refuses the edit with faults in the list.
    InvalidLists,
    /// Refuses the edit because the key-value service is down.
    StoreDown,
}

/// A running fake.
#[derive(Debug)]
pub struct FakeOperatorApi {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

struct State {
    revision: u64,
    plans: Box<str>,
    uses: Box<str>,
    fault: Fault,
    polls: u32,
}

impl FakeOperatorApi {
    /// Starts a fake that holds two lists at revision 1.
    pub fn start(plans: &str, uses: &str, fault: Fault) -> Self {
        let (plans, uses) = (plans.into(), uses.into());
        let (stop, stopped) = watch::channel(false);
        let (addr_sender, addr_receiver) = mpsc::channel();
        let serve = move || {
            let state = State {
                revision: 1,
                plans,
                uses,
                fault,
                polls: 0,
            };
            let system = System::build().name("console").build(DefaultRuntime);
            system.block_on(async move {
                let state = Rc::new(RefCell::new(state));
                let addr = SocketAddr::from(([127, 0, 0, 1], 0));
                let listener = web::listen(addr).expect("a port is free");
                let addr = listener.local_addr().expect("the listener is bound");
                addr_sender.send(addr).expect("the test waits");
                web::serve(listener, web::CONNECTION_GRACE, stopped, move |req| {
                    answer(Rc::clone(&state), req)
                })
                .await;
            });
        };
        let thread = Some(thread::spawn(serve));
        let addr = addr_receiver.recv().expect("the fake starts");
        Self { addr, stop, thread }
    }

    /// Returns the command line options that select this fake.
    pub fn cli_args(&self) -> String {
        format!("--operators {}", self.addr)
    }
}

impl Drop for FakeOperatorApi {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the fake does not panic");
        }
    }
}

async fn answer(state: Rc<RefCell<State>>, mut req: Request) -> Response {
    let header = |req: &Request, name: &str| -> String {
        let value = req
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    if header(&req, "authorization") != format!("Bearer {KEY}") {
        web::discard_body(&mut req, MAX_BODY_BYTES, BODY_TIMEOUT).await;
        return Response::new(StatusCode::UNAUTHORIZED);
    }
    let tag = header(&req, "if-match");
    let body = web::read_body(&mut req, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
    let mut state = state.borrow_mut();
    match (req.method(), req.path()) {
        (&Method::GET, "/lists/plans") => list(&state, &state.plans),
        (&Method::GET, "/lists/use") => list(&state, &state.uses),
        (&Method::PUT, "/lists/plans") => edit(&mut state, &tag, &body),
        (&Method::GET, "/lists/force") => in_force(&mut state),
        (&Method::GET, "/explain/r%C3%B8d%2F7") => {
            let attempt = json!({"backend": "raadgiver-1", "reason": "least work", "ended_ms": 12});
            let value =
                json!({"id": "rød/7", "ran": "yes", "attempts": [attempt], "said": "a\u{1b}[2Jb"});
            reply(StatusCode::OK, &value)
        }
        _ => reply(
            StatusCode::NOT_FOUND,
            &json!({"title": "The id has aged out."}),
        ),
    }
}

fn list(state: &State, text: &str) -> Response {
    Response::build(StatusCode::OK)
        .header("etag", format!("\"{}\"", state.revision))
        .body(text.to_owned())
}

fn edit(state: &mut State, tag: &str, text: &str) -> Response {
    let fault = std::mem::replace(&mut state.fault, Fault::None);
    if fault == Fault::InvalidLists {
        let faults = json!({"faults": ["plans: first fault", "plans: second fault"]});
        return reply(StatusCode::UNPROCESSABLE_ENTITY, &faults);
    }
    if fault == Fault::StoreDown {
        let problem = json!({"title": "Edits are paused.", "detail": "The store is down."});
        return reply(StatusCode::SERVICE_UNAVAILABLE, &problem);
    }
    let parse = |text: &str| Plans::parse(text, "plans").expect("the program sends valid lists");
    if tag != format!("\"{}\"", state.revision) {
        let diff = diff_plans(&parse(text), &parse(&state.plans)).join("\n");
        let conflict = json!({"revision": state.revision, "diff": diff});
        return reply(StatusCode::CONFLICT, &conflict);
    }
    state.revision += 1;
    state.plans = text.into();
    if fault == Fault::LostAnswer {
        let err = std::io::Error::other("cut off");
        let chunks = stream::iter([Ok(Bytes::from_static(b"{\"rev")), Err(err)]);
        return Response::build(StatusCode::OK).streaming(chunks);
    }
    reply(StatusCode::OK, &json!({"revision": state.revision}))
}

/// Reports one host as missing the revision until poll number [`POLLS_UNTIL_IN_FORCE`].
fn in_force(state: &mut State) -> Response {
    state.polls += 1;
    let behind = state.polls < POLLS_UNTIL_IN_FORCE;
    let second = state.revision - u64::from(behind);
    let missing: &[&str] = if behind { &["dk-øst-2"] } else { &[] };
    let value = json!({
        "revision": state.revision,
        "hosts": [
            {"name": "dk-øst-1", "revision": state.revision},
            {"name": "dk-øst-2", "revision": second},
        ],
        "missing": missing,
    });
    reply(StatusCode::OK, &value)
}

fn reply(status: StatusCode, value: &Value) -> Response {
    Response::build(status)
        .content_type("application/json")
        .body(value.to_string())
}
