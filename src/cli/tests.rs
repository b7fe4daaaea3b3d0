//! Tests of command-line parsing.

use std::ffi::OsString;
use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;

use super::commands::COMMANDS;
use super::{
    Access, Action, ApplyOptions, Command, ListName, ListOptions, Pace, StandinKind,
    StandinOptions, parse,
};
use crate::settings::Fencing;

fn read(line: &str) -> Command {
    parse(line.split_whitespace().map(OsString::from).collect()).unwrap()
}

#[test]
fn engine_options_are_parsed() {
    let line = "standin engine --model raadgiver --speed 0.2 --lag 2s --fencing ignores --instant";
    let expected = StandinOptions {
        kind: StandinKind::Engine,
        listen: "127.0.0.1:0".parse().unwrap(),
        register: None,
        name: "standin".into(),
        pool: None,
        target: None,
        model: "raadgiver".into(),
        domain: "local".into(),
        fencing: Fencing::Ignores,
        speed: 0.2,
        prefill_cost: Duration::from_micros(125),
        decode_cost: Duration::from_millis(20),
        slots: 16,
        block_tokens: 2000,
        lag: Duration::from_secs(2),
        pace: Pace::Instant,
    };
    assert_eq!(read(line), Command::Standin(expected));
}

#[test]
fn apply_options_are_parsed() {
    let line = "use apply --operators 127.0.0.1:8081 --file use.ini --revision 12 --wait";
    let access = Access {
        addr: "127.0.0.1:8081".parse().unwrap(),
        key_file: None,
    };
    let options = ApplyOptions {
        file: "use.ini".into(),
        revision: Some(12),
        wait: true,
    };
    let expected = ListOptions {
        list: ListName::Uses,
        action: Action::Apply(access, options),
    };
    assert_eq!(read(line), Command::List(expected));
}

#[test]
fn every_command_has_help_and_valid_defaults() {
    for command in COMMANDS {
        let help = assert_matches!(read(&format!("{} --help", command.words)), Command::Help(text) => text);
        assert!(help.contains(command.about), "{}", command.words);
        for opt in command.opts {
            let valid = opt.default.is_none_or(|default| opt.form.allows(default));
            assert!(
                valid && help.contains(opt.name),
                "{} {}",
                command.words,
                opt.name
            );
        }
    }
}

proptest! {
    #[test]
    fn any_arguments_are_parsed_or_rejected(
        index in 0..COMMANDS.len(),
        rest in prop::collection::vec("(--[a-z]{1,12}|-c|--hosts|--lag|--file|[0-9]{1,30}|\\PC{0,8})", 0..6),
    ) {
        let words = COMMANDS[index].words.split(' ').map(OsString::from);
        let args = words.chain(rest.into_iter().map(OsString::from)).collect();
        if let Err(err) = parse(args) {
            prop_assert!(err.to_string().contains("\nFor help: chiveway "));
        }
    }
}
