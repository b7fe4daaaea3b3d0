//! Tests of the adapters of relayed requests.
