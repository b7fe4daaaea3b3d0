//! Routes language-model requests to a fixed fleet of engines and explains how each was handled.

pub mod backend;
pub mod cli;
pub mod core;
pub mod error;
pub mod form;
pub mod host;
pub mod lists;
pub mod load;
pub mod logs;
pub mod operate;
pub mod output;
pub mod platform;
pub mod run;
pub mod sections;
pub mod settings;
pub mod site;
pub mod standin;
pub mod store;
pub mod trial;
pub mod units;
pub mod web;
pub mod wire;
