//! Extra responses that arrive late, where the response to the next request on their connection is expected.

use super::script::{Scripted, Turn, refusal, response};
use super::standin::{LONG_PROMPT, SHORT_PROMPT, config};
use super::{Site, http, is_listed_ready, wait_for};

/// Starts a host that has these servers listed.
pub fn site(servers: &[&Scripted]) -> Site {
    site_with(servers, |settings| settings)
}

/// Starts a host with changed settings that has these servers listed.
pub fn site_with(servers: &[&Scripted], change: impl Fn(String) -> String) -> Site {
    let site = Site::with_settings(change);
    site.store.put("op/config", &config(1, "/short/"));
    for server in servers {
        let key = format!("servers/{}", server.id);
        site.store.put(&key, &server.entry());
    }
    site.wait_ready();
    wait_for("the servers in the list", || {
        let log = site.log();
        servers
            .iter()
            .all(|server| is_listed_ready(&log, &server.id))
    });
    site
}

/// Returns the value of a counter of the host; 0 while it counted nothing.
fn count(site: &Site, name: &str) -> u64 {
    let page = http::send(site.metrics, "GET", "/metrics", &[], b"").expect("the metrics");
    let page = page.text();
    let lines = page.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

/// Returns whether a status states that the request did not run.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Sends requests until one reaches a server, which are avoided for a while after a refusal; returns its id and its status.
fn send_until_received(site: &Site, path: &str, servers: &[&Scripted]) -> (String, u16) {
    let received = || {
        servers
            .iter()
            .map(|server| server.heads().len())
            .sum::<usize>()
    };
    let (before, mut sent, mut last) = (received(), 1, 0);
    wait_for("a request at a server", || {
        sent += 1;
        let answer = site.send(path, &format!("id-{sent}"), &[]);
        last = answer.map_or(0, |answer| answer.status);
        received() > before
    });
    (format!("id-{sent}"), last)
}

/// Answers the first request on each connection with a refusal, and sends that once more before the answer to the next.
fn refuse_first(turn: &mut Turn<'_>) -> Option<()> {
    if turn.number == 0 {
        let id = turn.id.clone();
        return turn.send(refusal(503, &id));
    }
    turn.run();
    let answer = response(200, &turn.id, "", "done");
    turn.send(refusal(503, "id-1") + &answer)
}

/// Guards against a request that runs at two servers, since a late copy of the refusal of another one is taken for its own.
#[test]
fn a_late_copy_of_a_refusal_sends_no_request_to_a_second_server() {
    let servers = ["s-1", "s-2"].map(|id| Scripted::plain(id, refuse_first));
    let site = site(&servers.each_ref());
    let first = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!(first.status, 503);
    let (id, status) = send_until_received(&site, "/once/x", &servers.each_ref());
    let runs: usize = servers.iter().map(|server| server.runs(&id)).sum();
    assert_eq!((runs, status), (1, 502));
    assert!(site.log().contains(r#""received_id":"id-1""#));
    assert_eq!(count(&site, "chiveway_foreign_responses_total"), 1);
}

/// The same request comes back to the server that refused it. Guards against a connection on which its id does not distinguish the late
/// copy of the refusal from the answer.
#[test]
fn a_request_returns_to_a_server_on_another_connection() {
    let server = Scripted::plain("s-1", refuse_first);
    let site = site(&[&server]);
    wait_for("the request at the server for a third time", || {
        let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
        assert_eq!((answer.status, server.runs("id-1")), (503, 0));
        server.heads().len() == 3
    });
}

/// Returns a site and a plain server that sends an extra response with the id `id-1` before its answer to the second request on
/// each connection.
fn site_with_extra(extra: String) -> (Site, Scripted) {
    let server = Scripted::plain("s-1", move |turn| {
        turn.run();
        if turn.number == 1 {
            turn.send(&extra)?;
        }
        let answer = response(200, &turn.id, "", "done");
        turn.send(answer)
    });
    (site(&[&server]), server)
}

/// Defines a test for each kind of extra response.
macro_rules! extra_responses {
    ($($name:ident: $extra:expr;)*) => {$(
        /// Guards against a late response to another request that refuses a request as not run, that is passed on to its caller,
        /// or that keeps its server out of use.
        #[test]
        fn $name() {
            let (site, server) = site_with_extra($extra);
            assert_eq!(site.send("/once/x", "id-1", &[]).map(|answer| answer.status), Some(200));
            let second = site.send("/once/x", "id-2", &[]).expect("an answer");
            assert_eq!((second.status, server.runs("id-2")), (502, 1), "{}", second.text());
            assert!(!second.text().contains("stale"));
            wait_for("an answer of the server", || {
                let answer = site.send("/once/x", "id-3", &[]);
                answer.is_some_and(|answer| answer.status == 200)
            });
            assert_eq!(count(&site, "chiveway_foreign_responses_total"), 1);
        }
    )*};
}

/// Statements of a server that keep requests from it.
const NOTICES: &str = "server-leaving: 1\r\nserver-limit: 0\r\nretry-after: 60\r\n";

extra_responses! {
    a_late_success: response(200, "id-1", "", "stale");
    a_late_success_without_a_body: response(204, "id-1", "", "");
    a_late_redirection: response(302, "id-1", "location: /stale\r\n", "");
    a_late_invalid_request: refusal(400, "id-1");
    a_late_timeout: refusal(408, "id-1");
    a_late_wrong_instance: refusal(421, "id-1");
    a_late_wrong_instance_without_a_statement: response(421, "id-1", "", "");
    a_late_rate_limit: refusal(429, "id-1");
    a_late_failure: response(500, "id-1", "", "stale");
    a_late_refusal: refusal(503, "id-1");
    a_late_refusal_without_a_statement: response(503, "id-1", "", "stale");
    a_late_refusal_with_notices: response(503, "id-1", &format!("{NOTICES}x-chiveway-not-executed: 1\r\n"), "");
    a_late_success_with_notices: response(200, "id-1", NOTICES, "stale");
    a_late_response_without_an_id: response(503, "", "x-chiveway-not-executed: 1\r\n", "");
}

/// The same request meets a late response at two servers. Guards against taking these for crashes under the request, which would be
/// refused as one that crashes servers.
#[test]
fn late_responses_are_no_crashes() {
    let servers = ["s-1", "s-2"].map(|id| {
        Scripted::plain(id, |turn| {
            if turn.number == 1 {
                turn.send(response(200, "earlier", "", "stale"))?;
            }
            let answer = response(200, &turn.id, "", "done");
            turn.send(answer)
        })
    });
    let site = site(&servers.each_ref());
    let mut sent = 0;
    wait_for("late responses of both servers", || {
        sent += 1;
        site.send("/once/x", &format!("id-{sent}"), &[]);
        let log = site.log();
        let foreign = |id| {
            log.lines()
                .any(|line| line.contains("response.foreign") && line.contains(id))
        };
        foreign("s-1") && foreign("s-2")
    });
    assert!(!site.log().contains("request.suspect"));
    wait_for("an answer", || {
        sent += 1;
        let answer = site.send("/once/x", &format!("id-{sent}"), &[]);
        answer.is_some_and(|answer| answer.status == 200)
    });
}

/// Defines a test for each late head that is cut off, so that the true one continues it, and for the number of foreign responses
/// that are counted: none for a head that is no HTTP.
macro_rules! merged_heads {
    ($($name:ident: $head:expr => $count:expr;)*) => {$(
        /// Guards against a status of one response that is taken for that of another.
        #[test]
        fn $name() {
            let (site, server) = site_with_extra($head.to_owned());
            assert_eq!(site.send("/once/x", "id-1", &[]).map(|answer| answer.status), Some(200));
            let second = site.send("/once/x", "id-2", &[]).expect("an answer");
            assert_eq!((second.status, server.runs("id-2")), (502, 1), "{}", second.text());
            assert_eq!(count(&site, "chiveway_foreign_responses_total"), $count);
        }
    )*};
}

merged_heads! {
    a_head_cut_in_its_status_line: "HTTP/1.1 50" => 0;
    a_head_cut_after_its_status: "HTTP/1.1 503" => 0;
    a_head_cut_before_its_reason: "HTTP/1.1 404 " => 1;
    a_head_cut_in_its_reason: "HTTP/1.1 421 Mis" => 1;
    a_head_cut_in_the_name_of_a_header: "HTTP/1.1 503 x\r\nx-chiveway-not-exe" => 0;
    a_head_cut_before_the_value_of_a_header: "HTTP/1.1 503 x\r\nx-chiveway-not-executed:" => 1;
    a_head_cut_in_a_value: "HTTP/1.1 503 x\r\nx-chiveway-not-executed: 1\r\nserver: wor" => 1;
    a_head_cut_after_its_id: "HTTP/1.1 503 x\r\nx-chiveway-not-executed: 1\r\nx-chiveway-attempt-id: id-1\r\nserver: " => 1;
    a_head_cut_in_its_id: "HTTP/1.1 503 x\r\nx-chiveway-not-executed: 1\r\nx-chiveway-attempt-id: id" => 1;
    a_head_cut_before_a_line: "HTTP/1.1 503 x\r\nx-chiveway-not-executed: 1\r\n" => 0;
    a_head_cut_before_its_end: "HTTP/1.1 503 x\r\nx-chiveway-attempt-id: id-1\r\ncontent-length: 0\r\n" => 0;
    a_body_cut: "HTTP/1.1 503 x\r\nx-chiveway-attempt-id: id-1\r\nx-chiveway-not-executed: 1\r\ncontent-length: 9\r\n\r\nabc" => 1;
}

/// Guards against an informational response to an earlier request that fails the next one, whose answer follows.
#[test]
fn a_late_informational_response_is_skipped() {
    let (site, server) = site_with_extra(
        "HTTP/1.1 103 x\r\nx-chiveway-attempt-id: id-1\r\nx-chiveway-not-executed: 1\r\n\r\n"
            .to_owned(),
    );
    for id in ["id-1", "id-2", "id-3"] {
        assert_eq!(
            site.send("/once/x", id, &[]).map(|answer| answer.status),
            Some(200)
        );
        assert_eq!(server.runs(id), 1);
    }
}

/// A server refuses a request as the first on its connection and names no id. Guards against an error without a promise for a
/// request that certainly did not run.
#[test]
fn a_refusal_without_an_id_on_a_new_connection_is_believed() {
    let server = Scripted::plain("s-1", |turn| {
        turn.send("HTTP/1.1 503 x\r\nx-chiveway-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
    });
    let site = site(&[&server]);
    let answer = site.send("/once/x", "id-1", &[]).expect("an answer");
    assert_eq!((answer.status, server.runs("id-1")), (503, 0));
}

/// Answers a streamed request with one event.
fn stream(turn: &mut Turn<'_>) -> Option<()> {
    let events = "id: 1\ndata: done\n\n";
    let answer = response(200, &turn.id, "content-type: text/event-stream\r\n", events);
    turn.send(answer)
}

/// Returns the extra responses that an engine may send in place of each kind of answer, all with the id `id-1`.
fn extras() -> Vec<String> {
    let events = "id: 1\ndata: stale\n\n";
    vec![
        response(200, "id-1", "content-type: text/event-stream\r\n", events),
        response(
            200,
            "id-1",
            "",
            r#"{"kvHandle": "stale", "tokenCount": 1, "version": 1}"#,
        ),
        refusal(503, "id-1"),
        refusal(421, "id-1"),
        response(500, "id-1", "", ""),
    ]
}

/// Guards against a prefill that takes the handle of another prompt, or the refusal of another request.
#[test]
fn a_late_response_ends_no_prefill() {
    for extra in extras() {
        let prefill = Scripted::model("p-1", "prefill", move |turn| {
            if turn.number == 1 {
                turn.send(&extra)?;
            }
            let handle = format!(
                r#"{{"kvHandle": "of-{}", "tokenCount": 1, "version": 1}}"#,
                turn.id
            );
            let answer = response(200, &turn.id, "", &handle);
            turn.send(answer)
        });
        let decode = Scripted::model("d-1", "decode", stream);
        let site = site(&[&prefill, &decode]);
        for id in ["id-1", "id-2"] {
            let answer = site.send("/long/x", id, &LONG_PROMPT).expect("an answer");
            assert_eq!(
                (answer.status, answer.complete),
                (200, true),
                "{}",
                answer.text()
            );
        }
        assert!(prefill.heads().len() >= 2);
        let heads = decode.heads();
        let second = heads
            .iter()
            .filter(|head| head.contains("attempt-id: id-2"));
        for head in second {
            assert!(
                !head.contains("kv-source") || head.contains("/of-id-2"),
                "{head}"
            );
        }
        assert_eq!(count(&site, "chiveway_foreign_responses_total"), 1);
    }
}

/// Guards against a stream with the events of another one, and against one that is refused as not run though it runs.
#[test]
fn a_late_response_ends_no_stream() {
    for (extra, path) in extras()
        .into_iter()
        .flat_map(|extra| [(extra.clone(), "/long/x"), (extra, "/short/x")])
    {
        let decode = Scripted::model("d-1", "decode", move |turn| {
            turn.run();
            if turn.number == 1 {
                turn.send(&extra)?;
            }
            stream(turn)
        });
        let site = site(&[&decode]);
        assert_eq!(
            site.send(path, "id-1", &SHORT_PROMPT)
                .map(|answer| answer.status),
            Some(200)
        );
        let second = site.send(path, "id-2", &SHORT_PROMPT).expect("an answer");
        assert!(!is_promise(second.status), "{}", second.text());
        assert!(!second.text().contains("stale"), "{}", second.text());
        assert!(decode.runs("id-2") <= if path == "/long/x" { 1 } else { 2 });
        assert_eq!(count(&site, "chiveway_foreign_responses_total"), 1);
    }
}

/// Answers a stream or a call of the host's own; on a connection that carried a request, an extra response to that comes before
/// the answer to a call.
fn answer_with_extra(turn: &mut Turn<'_>) -> Option<()> {
    let Some(body) = turn.own_body() else {
        return stream(turn);
    };
    if turn.number > 0 {
        let extra = response(200, "id-0", NOTICES, &body);
        turn.send(extra)?;
    }
    turn.send(format!(
        "HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// All engines decode, so that the host asks them for their state and orders some to prefill. Guards against a late response to a
/// request that is taken for the answer to such a call.
#[test]
fn a_late_response_to_a_request_answers_no_call() {
    let engines: Vec<Scripted> = (0..4)
        .map(|number| {
            Scripted::model_with_calls(&format!("d-{number}"), "decode", answer_with_extra)
        })
        .collect();
    let site = site(&engines.iter().collect::<Vec<_>>());
    wait_for("an order", || {
        let answer = site
            .send("/short/x", "id-0", &SHORT_PROMPT)
            .expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        site.log().contains("engine.order_answered")
    });
    assert!(!site.log().contains("backend.named_leaving"));
    assert!(!site.log().contains("response.foreign"));
}

/// The responses to calls of the host's own name no request. Guards against a late response to one that is taken for the answer to
/// an order.
#[test]
fn an_order_goes_on_a_connection_of_its_own() {
    let engines: Vec<Scripted> = (0..4)
        .map(|number| {
            Scripted::model_with_calls(&format!("d-{number}"), "decode", |turn| {
                if turn.path == "/v1/order" && turn.number == 0 {
                    turn.run();
                }
                let body = turn.own_body().unwrap_or_default();
                turn.send(format!(
                    "HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                ))
            })
        })
        .collect();
    let site = site(&engines.iter().collect::<Vec<_>>());
    wait_for("an order", || site.log().contains("engine.order_answered"));
    let orders = site.log().matches("engine.order_answered").count();
    let on_new: usize = engines.iter().map(|engine| engine.runs("")).sum();
    assert!(on_new >= orders, "{on_new} of {orders}");
}
