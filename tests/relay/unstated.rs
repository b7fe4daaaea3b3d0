//! Statuses by which callers take a request as not run, from servers that do not state so.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::late_copies::site;
use super::script::{Scripted, response};

/// Defines a test for each status.
macro_rules! statuses {
    ($($name:ident: $status:literal;)*) => {$(
        /// Guards against a request that is refused as not run although a server has run it.
        #[test]
        fn $name() {
            let servers = ["s-1", "s-2"].map(|id| {
                Scripted::plain(id, |turn| {
                    turn.run();
                    let answer = response($status, &turn.id, "", "own");
                    turn.send(answer)
                })
            });
            let site = site(&servers.each_ref());
            let runs = |id: &str| servers.iter().map(|server| server.runs(id)).sum::<usize>();
            for (path, id, most) in [("/once/x", "id-1", 1), ("/again/x", "id-2", 2)] {
                let answer = site.send(path, id, &[]).expect("an answer");
                assert_eq!((answer.status, runs(id)), (502, most), "{path}: {}", answer.text());
                assert_eq!(answer.header("x-chiveway-server-stamp"), None);
            }
        }
    )*};
}

statuses! {
    an_unstated_timeout_is_no_promise: 408;
    an_unstated_rate_limit_is_no_promise: 429;
    an_unstated_refusal_is_no_promise: 503;
}

/// Guards against a caller that gets a change of protocols for a request that asked for none.
#[test]
fn a_change_of_protocols_is_no_answer() {
    let server = Scripted::plain("s-1", |turn| {
        turn.run();
        let head = format!(
            "HTTP/1.1 101 x\r\nx-chiveway-attempt-id: {}\r\nupgrade: other\r\nconnection: upgrade\r\n\r\n",
            turn.id
        );
        turn.send(head)
    });
    let site = site(&[&server]);
    let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!((answer.status, server.runs("id-1")), (502, 1));
}

/// Guards against a request that reaches a server which must refuse it, without an id that the refusal could name.
#[test]
fn a_request_with_an_empty_id_is_refused_at_once() {
    let server = Scripted::plain("s-1", |turn| {
        turn.send(response(200, &turn.id.clone(), "", ""))
    });
    let site = site(&[&server]);
    let answer = site.send("/once/x", "", &[]).expect("an answer");
    assert_eq!((answer.status, server.heads().len()), (400, 0));
}

/// Guards against a failure of a server that its caller does not get as the server sent it.
#[test]
fn other_failures_are_passed_on_with_their_stamp() {
    for status in [400, 404, 500, 502, 504] {
        let server = Scripted::plain("s-1", move |turn| {
            turn.run();
            let answer = response(status, &turn.id, "", "own");
            turn.send(answer)
        });
        let site = site(&[&server]);
        let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
        assert_eq!((answer.status, answer.text()), (status, "own".to_owned()));
        assert_eq!(answer.header("x-chiveway-server-stamp"), Some("s"));
    }
}

/// Guards against a request that is refused though another server would have served it.
#[test]
fn a_request_that_may_repeat_goes_to_another_server_after_an_unstated_refusal() {
    let refused = Arc::new(AtomicBool::new(false));
    let servers = ["s-1", "s-2"].map(|id| {
        let refused = Arc::clone(&refused);
        Scripted::plain(id, move |turn| {
            turn.run();
            let status = if refused.swap(true, Ordering::Relaxed) {
                200
            } else {
                503
            };
            let answer = response(status, &turn.id, "", "");
            turn.send(answer)
        })
    });
    let site = site(&servers.each_ref());
    let answer = site.send("/again/x", "id-1", &[]);
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    assert_eq!(servers.each_ref().map(|server| server.runs("id-1")), [1, 1]);
}
