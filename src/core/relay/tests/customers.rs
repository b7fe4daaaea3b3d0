//! Requests with and without a customer's key.

use std::rc::Rc;

use super::*;
use crate::core::relay::catalog::Access;
use crate::core::relay::customers::{Customer, Customers, Identity};
use crate::lists::KeyHash;

/// A configuration with two customers; the second one has a rank of its own.
fn keyed_catalog(version: u64) -> Catalog {
    let mut customers = Customers::default();
    let one = Customer {
        name: "one".into(),
        rank: None,
    };
    let two = Customer {
        name: "two".into(),
        rank: Some(4),
    };
    customers.add(one, ["key-1", "key-1b"].map(KeyHash::of));
    customers.add(two, [KeyHash::of("key-2")]);
    let mut catalog = Catalog {
        customers: Some(Rc::new(customers)),
        ..catalog(version)
    };
    let public = Route {
        access: Access::Public,
        ..route("/public/", "plain")
    };
    catalog.routes.push(public);
    catalog
}

fn site() -> TestHost {
    let mut site = TestHost::with_engines();
    site.register(vec![plain_entry("a")]);
    site.configure(keyed_catalog(2));
    site
}

fn key(key: &str) -> Credential {
    Credential::Key(KeyHash::of(key))
}

fn arrive(site: &mut TestHost, path: &str, credential: Credential) {
    site.arrive(Arrival {
        credential,
        ..plain_request(path)
    });
}

/// Returns the name of the customer on whose behalf the last request was sent, or the status of its refusal.
fn outcome(site: &TestHost) -> Result<Option<Box<str>>, u16> {
    if let Some((status, ran, _)) = site.refused() {
        assert_eq!((ran, site.sent().map(|out| out.addr)), (Ran::No, None));
        return Err(status);
    }
    let out = site.sent().expect("a request is sent or refused");
    Ok(out
        .identity
        .customer()
        .map(|customer| customer.name.clone()))
}

/// Generates a test for each path and credential: the customer, or the status of the refusal.
macro_rules! callers {
    ($($name:ident: $path:literal, $credential:expr => $outcome:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut site = site();
            arrive(&mut site, $path, $credential);
            assert_eq!(outcome(&site), $outcome);
        }
    )*};
}

callers! {
    a_key_identifies_its_customer: "/once/x", key("key-1") => Ok(Some("one".into()));
    each_key_of_a_customer_counts: "/again/x", key("key-1b") => Ok(Some("one".into()));
    a_missing_key_is_refused: "/once/x", Credential::Absent => Err(401);
    a_malformed_key_is_refused: "/once/x", Credential::Malformed => Err(401);
    an_unknown_key_is_refused: "/once/x", key("key-3") => Err(401);
    a_public_route_needs_no_key: "/public/x", Credential::Absent => Ok(None);
    an_unknown_key_does_no_harm_on_a_public_route: "/public/x", key("key-3") => Ok(None);
    a_known_key_counts_on_a_public_route: "/public/x", key("key-2") => Ok(Some("two".into()));
    an_unknown_path_is_unknown_with_any_key: "/none/x", key("key-3") => Err(404);
}

#[test]
fn without_customers_no_key_is_needed() {
    let mut site = TestHost::new();
    site.register(vec![plain_entry("a")]);
    arrive(&mut site, "/once/x", Credential::Malformed);
    assert_eq!(
        site.sent().map(|out| out.identity),
        Some(Identity::Unchecked)
    );
}

/// A key was added while this host could not read the store. Guards against the statement that no customer has the key,
/// after which its caller would not retry.
#[test]
fn an_unknown_key_may_be_new_while_the_store_is_unavailable() {
    let mut site = site();
    site.advance(3000);
    arrive(&mut site, "/once/x", key("key-3"));
    let (status, ran, retry) = site.refused().expect("an answer");
    assert_eq!((status, ran), (503, Ran::No));
    assert!(retry.is_some());
    arrive(&mut site, "/once/x", key("key-1"));
    assert_eq!(outcome(&site), Ok(Some("one".into())));
}

/// Keys may be withdrawn while a host cannot read the store. Guards against use of a withdrawn key beyond the bound
/// that the operator sets.
#[test]
fn a_host_with_an_old_configuration_refuses_keys_where_revocation_is_strict() {
    let mut site = site();
    let relay = site.core.settings.relay.as_mut().expect("relay settings");
    relay.revocation_bound = Some(Duration::from_secs(5));
    site.advance(4000);
    arrive(&mut site, "/once/x", key("key-1"));
    assert_eq!(outcome(&site), Ok(Some("one".into())));
    site.advance(2000);
    arrive(&mut site, "/once/x", key("key-1"));
    assert_eq!(outcome(&site), Err(503));
    arrive(&mut site, "/public/x", key("key-1"));
    assert_eq!(outcome(&site), Ok(Some("one".into())));
}

/// A version withdraws a key. Guards against accepting it further.
#[test]
fn a_withdrawn_key_is_refused() {
    let mut site = site();
    let mut next = keyed_catalog(3);
    let mut customers = Customers::default();
    customers.add(Customer::default(), [KeyHash::of("key-2")]);
    next.customers = Some(Rc::new(customers));
    site.configure(next);
    arrive(&mut site, "/once/x", key("key-1"));
    assert_eq!(outcome(&site), Err(401));
}

/// A request is sent to one server, fails and is repeated at another. Guards against a repeat without its customer.
#[test]
fn a_repeat_bears_the_same_customer() {
    let mut site = site();
    site.register(vec![plain_entry("b")]);
    arrive(&mut site, "/again/x", key("key-2"));
    let first = site.sent().expect("a first attempt");
    site.fail_attempt(first.attempt, Ran::Unknown, AttemptFailure::Cut);
    let second = site.sent().expect("a repeat");
    assert_ne!(first.addr, second.addr);
    assert_eq!(first.identity, second.identity);
}

/// Prefill and decode are separate requests. Guards against one without its customer.
#[test]
fn prefill_and_decode_bear_the_customer() {
    let mut site = site();
    site.arrive(Arrival {
        credential: key("key-1"),
        ..model_request("/long/x", (7, 13_000), 4000)
    });
    let prefill = site.sent().expect("a prefill");
    site.event(RelayEvent::Prefilled {
        attempt: prefill.attempt,
        handle: "h".into(),
    });
    let decode = site.sent().expect("a decode");
    for out in [prefill, decode] {
        let customer = out.identity.customer().map(|customer| &*customer.name);
        assert_eq!(customer, Some("one"));
    }
}

#[test]
fn a_customers_rank_goes_before_that_of_the_route() {
    let urgency = |credential| {
        let mut site = site();
        site.arrive(Arrival {
            credential,
            ..model_request("/short/x", (7, 90), 290)
        });
        site.sent().and_then(|out| out.urgency)
    };
    assert_eq!(urgency(key("key-1")), Some(2));
    assert_eq!(urgency(key("key-2")), Some(6));
}

/// A request of one customer crashes two servers, and an equal one of another customer is answered. Guards against an
/// answer that clears the crashes under another customer's request, and against a refusal of that one.
#[test]
fn an_equal_request_of_another_customer_is_another_request() {
    let mut site = site();
    site.register(["b", "c", "d", "e"].map(plain_entry).to_vec());
    for _ in 0..2 {
        arrive(&mut site, "/once/x", key("key-1"));
        let sent = site.sent().expect("a request is sent");
        site.fail_attempt(sent.attempt, Ran::Unknown, AttemptFailure::Cut);
    }
    arrive(&mut site, "/once/x", key("key-2"));
    let sent = site.sent().expect("a request is sent");
    site.event(RelayEvent::Answered {
        attempt: sent.attempt,
        status: 200,
    });
    arrive(&mut site, "/once/x", key("key-1b"));
    assert_eq!(outcome(&site), Err(422));
    arrive(&mut site, "/once/x", key("key-2"));
    assert_eq!(outcome(&site), Ok(Some("two".into())));
}
