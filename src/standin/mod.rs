//! Small stand-ins for the systems around the program, for tests and trials only.

pub mod kv;
