//! Refusals that the core reports as not run, whatever became of the request's bytes.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use slotmap::SlotMap;

use super::super::{AnswerPart, OpenCall, Prepared, execute};
use crate::backend::pool::{Answer, Call, ConnectionPool, PoolError};
use crate::core::effect::Refusal;
use crate::core::key::CallKey;
use crate::core::relay::event::RelayEffect;
use crate::core::relay::tests::SETTINGS;
use crate::error::{Kind, Ran};
use crate::host::node::Node;
use crate::host::queue::{self, QueueReceiver};
use crate::settings::Settings;

const TIME_LIMIT: Duration = Duration::from_secs(10);
const REFUSAL: &[u8] = b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n";

/// A request under way at a host, and the messages to its caller.
struct Site {
    node: Rc<Node>,
    call: CallKey,
    parts: QueueReceiver<AnswerPart>,
}

impl Site {
    async fn new() -> Self {
        let settings = Settings::parse_relay(SETTINGS, "host.ini").expect("settings");
        let node = Node::new(settings).await.expect("a host");
        let (queue, parts) = queue::channel(None, node.held.clone(), |_| None);
        let call = SlotMap::<CallKey, ()>::with_key().insert(());
        let prepared = Prepared {
            method: hyper::Method::POST,
            path: "/".into(),
            credentials: Vec::new(),
            headers: Vec::new(),
            body: "body".into(),
        };
        let open = OpenCall {
            queue,
            prepared: Rc::new(prepared),
            evidence: Rc::default(),
            head_sent: Cell::new(false),
        };
        node.relay.open_calls.borrow_mut().insert(call, open);
        Self { node, call, parts }
    }

    async fn send(&self, pool: &ConnectionPool, addr: SocketAddr) -> Result<Answer, PoolError> {
        let call = Call {
            addr,
            method: hyper::Method::POST,
            path: "/".into(),
            id: None,
            may_repeat: false,
            headers: Vec::new(),
            body: "body".into(),
        };
        let evidence = self.node.relay.evidence(self.call).expect("a request");
        let answer = pool.send_counted(&call, TIME_LIMIT, &evidence.sends).await;
        answer.inspect(|answer| {
            if answer.response.status() == 503 {
                evidence.not_run();
            }
        })
    }

    /// Has the core refuse the request as not run; returns the answer to its caller.
    async fn refuse(mut self) -> (Ran, Option<Duration>) {
        let refusal = Refusal::new(Kind::Overloaded, "").with_ran(Ran::No);
        let call = self.call;
        execute(&self.node, RelayEffect::Refuse { call, refusal });
        match std::future::poll_fn(|cx| self.parts.poll(cx)).await {
            Some(AnswerPart::Refused(refusal)) => (refusal.ran, refusal.retry_after),
            other => panic!("{other:?}"),
        }
    }
}

/// Answers one request on each of so many connections, and closes them.
fn answer_each(count: usize, answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for _ in 0..count {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"body") {
                let mut part = [0; 1024];
                let read = stream.read(&mut part).expect("a request");
                bytes.extend_from_slice(&part[..read]);
            }
            stream.write_all(answer).expect("the host reads");
        }
    });
    addr
}

/// Defines a test for each way in which a send ends.
macro_rules! sends {
    ($($name:ident: $answer:expr => $expected:expr;)*) => {$(
        /// Guards against a request that is refused as not run, although a server has taken it.
        #[ntex::test]
        async fn $name() {
            let site = Site::new().await;
            let addr = answer_each(1, $answer);
            let _answer = site.send(&ConnectionPool::default(), addr).await;
            assert_eq!(site.refuse().await.0, $expected);
        }
    )*};
}

sends! {
    a_stated_refusal_is_passed_on: REFUSAL => Ran::No;
    a_broken_connection_is_no_refusal: b"" => Ran::Unknown;
    an_answer_is_no_refusal: b"HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n" => Ran::Unknown;
}

/// Guards against a promise for a request without an answer.
#[ntex::test]
async fn a_request_that_is_under_way_is_not_refused_as_not_run() {
    let site = Site::new().await;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let pool = ConnectionPool::default();
    let sent = ntex::time::timeout(Duration::from_millis(200), site.send(&pool, addr)).await;
    assert!(sent.is_err(), "nothing answers");
    assert_eq!(site.refuse().await, (Ran::Unknown, None));
}

/// Guards against a truthful refusal that is withheld, since no connection was made or an idle one gave the request back.
#[ntex::test]
async fn a_request_that_was_not_written_is_refused_as_not_run() {
    let site = Site::new().await;
    let unused = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = unused.local_addr().expect("an address");
    drop(unused);
    let pool = ConnectionPool::default();
    let refused = site.send(&pool, addr).await;
    assert_matches!(refused, Err(PoolError::Connect { .. }));
    let addr = answer_each(2, REFUSAL);
    for _ in 0..2 {
        let answer = site.send(&pool, addr).await.expect("a refusal");
        pool.put_back(answer, TIME_LIMIT, 1).await;
    }
    let (ran, retry_after) = site.refuse().await;
    assert_eq!(ran, Ran::No);
    assert!(retry_after.is_some());
}
