//! What the pages claim stands in the tree.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use chiveway::error::Kind;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|err| panic!("{path}: {err}"))
}

/// Returns every file below a folder with this ending.
fn files(folder: &str, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let mut folders = vec![root().join(folder)];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).into_iter().flatten().flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|found| found == ending) {
                found.push(path);
            }
        }
    }
    found
}

/// Returns the words between back-quotes.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// An operator looks a code up and finds another status than the caller got.
#[test]
fn every_code_stands_on_the_operators_page() {
    let page = read("docs/OPERATIONS.md");
    for kind in Kind::ALL {
        let answer = kind.answer();
        if matches!(kind, Kind::CallerLeft) {
            continue;
        }
        let row = page
            .lines()
            .filter(|line| line.starts_with("| "))
            .find(|line| {
                let cell = line.split('|').nth(1).unwrap_or_default();
                cell.split(',').any(|code| code.trim() == answer.code)
            });
        let row = row.unwrap_or_else(|| panic!("{} is not on the page", answer.code));
        assert!(row.contains(&answer.status.to_string()), "{row}");
    }
}

/// A promise's row names a test that was renamed or removed since, and proves nothing.
#[test]
fn every_test_named_for_a_promise_exists() {
    let mut names = BTreeSet::new();
    for path in files("src", "rs").into_iter().chain(files("tests", "rs")) {
        let text = fs::read_to_string(path).expect("a source file");
        let words = text.split(|c: char| !c.is_alphanumeric() && c != '_');
        names.extend(words.map(str::to_owned));
    }
    let page = read("docs/INVARIANTS.md");
    let rows = page.lines().filter(|line| line.starts_with("| "));
    // The third column names tests; the first row of each table says so.
    let cells = rows.filter_map(|row| row.split('|').nth(3));
    let cells: Vec<&str> = cells.filter(|cell| cell.trim() != "tests").collect();
    assert!(cells.len() > 20, "the rows are gone");
    for cell in cells {
        for test in quoted(cell) {
            let name = test.rsplit("::").next().unwrap_or(test);
            assert!(names.contains(name), "no test {test}");
        }
    }
}

/// A reader elsewhere has no such folder.
#[test]
fn pages_name_no_machine() {
    for path in files("docs", "md") {
        let text = fs::read_to_string(&path).expect("a page");
        for folder in ["root", "home", "work", "tmp"] {
            let start = format!("/{folder}/");
            assert!(!text.contains(&start), "{} names {start}", path.display());
        }
    }
}
