//! Serves language-model requests from a fixed fleet of engines and explains what became of each.

pub mod error;
pub mod lists;
pub mod settings;
pub mod standin;
pub mod store;
pub mod web;
