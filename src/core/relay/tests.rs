//! Tests of the relay.
