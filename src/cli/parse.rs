//! Arguments into commands.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;

use super::topics::{self, Opt, TOPICS, Topic};
use super::{
    Access, Action, AnswerForm, ApplyOptions, CheckOptions, Command, ExplainOptions, HostOptions,
    ListName, ListOptions, LoadOptions, Pace, StandinKind, StandinOptions, StatusOptions, Target,
    TryOptions, UsageError, help,
};
use crate::form;
use crate::platform;
use crate::settings::Fencing;
use crate::units;

type Parsed<T> = Result<T, UsageError>;

/// Reads the arguments after the program's name.
///
/// # Errors
///
/// Returns what is wrong with them and what is allowed.
pub fn parse(args: Vec<OsString>) -> Result<Command, UsageError> {
    let mut args = Arguments::from_vec(args);
    let words = words(&mut args)?;
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help(help::help(&words)));
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let Some(topic) = TOPICS.iter().find(|topic| topic.words == &*words) else {
        let known: Vec<_> = help::commands(&words).map(|topic| topic.words).collect();
        let problem = format!("Name one of the commands: {}.", known.join(", "));
        return usage(&problem, &words);
    };
    let given = Given { args, topic };
    given.command()
}

/// Takes the words of the command, of which some have two.
fn words(args: &mut Arguments) -> Parsed<Box<str>> {
    let mut words = String::new();
    while help::commands(&words).next().is_some() {
        let word = args.subcommand();
        let word = word.or_else(|err| usage(&format!("Use UTF-8 arguments: {err}."), &words))?;
        let Some(word) = word else {
            break;
        };
        let space = if words.is_empty() { "" } else { " " };
        let longer = format!("{words}{space}{word}");
        let exact = TOPICS.iter().any(|topic| topic.words == longer);
        if !exact && help::commands(&longer).next().is_none() {
            let known: Vec<_> = help::commands(&words).map(|topic| topic.words).collect();
            let problem = format!(
                "Unknown command {longer:?}; use one of {}.",
                known.join(", ")
            );
            return usage(&problem, &words);
        }
        words = longer;
    }
    Ok(words.into())
}

fn usage<T>(problem: &str, words: &str) -> Parsed<T> {
    let space = if words.is_empty() { "" } else { " " };
    Err(UsageError {
        problem: problem.into(),
        topic: format!("{words}{space}").into(),
    })
}

/// Arguments of a known command that have not been taken yet.
struct Given {
    args: Arguments,
    topic: &'static Topic,
}

impl Given {
    fn command(mut self) -> Parsed<Command> {
        match self.topic.words {
            "host" => self.host(),
            "check" => self.check(),
            "explain" => self.explain(),
            "status" => self.status(),
            "try" => self.trial(),
            "load" => self.load(),
            "standin kv" => self.standin(StandinKind::Kv),
            "standin engine" => self.standin(StandinKind::Engine),
            "standin service" => self.standin(StandinKind::Service),
            "standin hop" => self.standin(StandinKind::Hop),
            "hash" => self.end().map(|()| Command::Hash),
            words => {
                let (noun, verb) = words.split_once(' ').unwrap_or((words, ""));
                let list = if noun == "plans" {
                    ListName::Plans
                } else {
                    ListName::Uses
                };
                let action = self.action(verb)?;
                self.end()?;
                Ok(Command::List(ListOptions { list, action }))
            }
        }
    }

    fn host(mut self) -> Parsed<Command> {
        let config = match self.text(&topics::CONFIG, "-c")? {
            Some(config) => PathBuf::from(&*config),
            None => match platform::settings_file() {
                Some(config) => config,
                None => return self.fail("Name the settings: -c FILE."),
            },
        };
        self.end()?;
        Ok(Command::Host(HostOptions { config }))
    }

    fn check(mut self) -> Parsed<Command> {
        let files: Vec<_> = self.rest()?.into_iter().map(PathBuf::from).collect();
        if files.is_empty() {
            return self.fail("Name at least one settings file.");
        }
        Ok(Command::Check(CheckOptions { files }))
    }

    fn explain(mut self) -> Parsed<Command> {
        let form = self.form();
        let access = self.access()?;
        let mut ids = self.rest()?;
        let Some(id) = ids.pop().filter(|_| ids.is_empty()) else {
            return self.fail("Give one request id.");
        };
        let Ok(id) = id.into_string() else {
            return self.fail("A request id is UTF-8 text.");
        };
        let id = id.into();
        Ok(Command::Explain(ExplainOptions { id, form, access }))
    }

    fn status(mut self) -> Parsed<Command> {
        let form = self.form();
        let access = self.access()?;
        self.end()?;
        Ok(Command::Status(StatusOptions { form, access }))
    }

    fn trial(mut self) -> Parsed<Command> {
        let once = self.switch(&topics::ONCE);
        let hosts = self.need(&topics::HOSTS, units::count)?;
        self.end()?;
        Ok(Command::Try(TryOptions { once, hosts }))
    }

    fn load(mut self) -> Parsed<Command> {
        let options = LoadOptions {
            targets: self.need(&topics::TARGET, targets)?,
            key: self.need(&topics::KEY, owned)?,
            model: self.need(&topics::MODEL, owned)?,
            requests: self.need(&topics::REQUESTS, units::count)?,
            concurrency: self.need(&topics::CONCURRENCY, units::count)?,
            prompt: self.need(&topics::PROMPT, units::count)?,
            output: self.need(&topics::OUTPUT, units::count)?,
            stream: self.switch(&topics::STREAM),
            first: self.time(&topics::FIRST)?,
            between: self.time(&topics::BETWEEN)?,
        };
        self.end()?;
        Ok(Command::Load(options))
    }

    fn standin(mut self, kind: StandinKind) -> Parsed<Command> {
        let instant = self.switch(&topics::INSTANT);
        let options = StandinOptions {
            kind,
            listen: self.need(&topics::LISTEN, form::parse_address)?,
            register: self.read(&topics::REGISTER, form::parse_address)?,
            name: self.need(&topics::NAME, owned)?,
            pool: self.read(&topics::POOL, owned)?,
            target: self.read(&topics::BEHIND, form::parse_address)?,
            model: self.need(&topics::MODEL, owned)?,
            domain: self.need(&topics::DOMAIN, owned)?,
            fencing: self.need(&topics::FENCING, Fencing::from_name)?,
            speed: self.need(&topics::SPEED, units::number)?,
            prefill: self.time(&topics::PREFILL)?,
            decode: self.time(&topics::DECODE)?,
            slots: self.need(&topics::SLOTS, units::count)?,
            piece: self.need(&topics::PIECE, units::count)?,
            lag: self.time(&topics::LAG)?,
            pace: if instant {
                Pace::Instant
            } else {
                Pace::Modelled
            },
        };
        self.end()?;
        Ok(Command::Standin(options))
    }

    fn action(&mut self, verb: &str) -> Parsed<Action> {
        match verb {
            "get" => Ok(Action::Get(self.access()?)),
            "edit" => Ok(Action::Edit(self.access()?, self.file()?)),
            "diff" => Ok(Action::Diff(self.access()?, self.file()?)),
            "check" => {
                let key_file = self.path(&topics::KEY_FILE)?;
                let addr = self.read(&topics::OPERATORS, form::parse_address)?;
                let access = addr.map(|addr| Access { addr, key_file });
                Ok(Action::Check(access, self.file()?))
            }
            _ => {
                let options = ApplyOptions {
                    file: self.file()?,
                    revision: self.read(&topics::REVISION, |text| text.parse().ok())?,
                    wait: self.switch(&topics::WAIT),
                };
                Ok(Action::Apply(self.access()?, options))
            }
        }
    }

    fn access(&mut self) -> Parsed<Access> {
        Ok(Access {
            addr: self.need::<SocketAddr>(&topics::OPERATORS, form::parse_address)?,
            key_file: self.path(&topics::KEY_FILE)?,
        })
    }

    fn form(&mut self) -> AnswerForm {
        if self.switch(&topics::JSON) {
            AnswerForm::Json
        } else {
            AnswerForm::Text
        }
    }

    fn file(&mut self) -> Parsed<PathBuf> {
        self.need(&topics::FILE, |text| Some(text.into()))
    }

    fn path(&mut self, opt: &Opt) -> Parsed<Option<PathBuf>> {
        self.read(opt, |text| Some(text.into()))
    }

    fn time(&mut self, opt: &Opt) -> Parsed<Duration> {
        self.need(opt, units::time)
    }

    /// Takes a switch where the command has it.
    fn switch(&mut self, opt: &Opt) -> bool {
        self.takes(opt) && self.args.contains(opt.name)
    }

    /// Takes an option that must have a value or a default.
    fn need<T>(&mut self, opt: &Opt, read: impl Fn(&str) -> Option<T>) -> Parsed<T> {
        match self.read(opt, read)? {
            Some(value) => Ok(value),
            None => self.fail(&format!("Give {} {}, {}.", opt.name, opt.value, opt.about)),
        }
    }

    fn read<T>(&mut self, opt: &Opt, read: impl Fn(&str) -> Option<T>) -> Parsed<Option<T>> {
        let Some(text) = self.text(opt, opt.name)? else {
            return Ok(None);
        };
        match read(&text) {
            Some(value) => Ok(Some(value)),
            None => self.fault(opt, &text),
        }
    }

    /// Takes an option's text, in its form, or its default; `short` is its other name.
    fn text(&mut self, opt: &Opt, short: &'static str) -> Parsed<Option<Box<str>>> {
        let default = opt.default.map(Into::into);
        if !self.takes(opt) {
            return Ok(default);
        }
        let mut text = None;
        for name in [opt.name, short] {
            if text.is_none() {
                let given = self.args.opt_value_from_str::<_, String>(name);
                text = given.or_else(|_err| self.fail(&format!("Give {name} a value.")))?;
            }
        }
        match text {
            None => Ok(default),
            Some(text) if text.starts_with("--") => {
                self.fail(&format!("Give {} a value.", opt.name))
            }
            Some(text) if !opt.form.allows(&text) => self.fault(opt, &text),
            Some(text) => Ok(Some(text.into())),
        }
    }

    fn takes(&self, opt: &Opt) -> bool {
        self.topic.opts.iter().any(|known| known.name == opt.name)
    }

    /// Takes what is left, none of which may be an option.
    fn rest(&mut self) -> Parsed<Vec<OsString>> {
        let args = std::mem::replace(&mut self.args, Arguments::from_vec(Vec::new()));
        let rest = args.finish();
        let dashed = rest.iter().filter_map(|arg| arg.to_str());
        let Some(name) = dashed.into_iter().find(|arg| arg.starts_with('-')) else {
            return Ok(rest);
        };
        let known: Vec<_> = self.topic.opts.iter().map(|opt| opt.name).collect();
        let problem = if known.contains(&name) {
            format!("Give {name} once.")
        } else if known.is_empty() {
            format!("Leave out {name:?}: this command has no options.")
        } else {
            format!("Unknown option {name:?}; use {}.", known.join(", "))
        };
        self.fail(&problem)
    }

    fn end(&mut self) -> Parsed<()> {
        match self.rest()?.first() {
            None => Ok(()),
            Some(extra) => self.fail(&format!("Leave out {}.", extra.display())),
        }
    }

    fn fault<T>(&self, opt: &Opt, text: &str) -> Parsed<T> {
        let allowed = opt.form.description();
        self.fail(&format!("{} given {text:?}, allowed {allowed}.", opt.name))
    }

    fn fail<T>(&self, problem: &str) -> Parsed<T> {
        usage(problem, self.topic.words)
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "has the shape of the other readers"
)]
fn owned(text: &str) -> Option<Box<str>> {
    Some(text.into())
}

/// Reads addresses with commas between them, each with a name before it or named by itself.
fn targets(text: &str) -> Option<Vec<Target>> {
    let read = |item: &str| {
        let (name, addr) = item.split_once('=').unwrap_or((item, item));
        Some(Target {
            name: name.trim().into(),
            addr: form::parse_address(addr.trim())?,
        })
    };
    form::split_items(text).map(read).collect()
}
