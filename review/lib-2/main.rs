//! The cases of the second review: each plays a small deployment with processes of the project.
//!
//! `review-2 CASE FOLDER` writes `record.txt` in the folder, and exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::sync::Arc;

use record::Record;

/// How a case ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    record.line(&format!("case {case} trouble={}", u8::from(has_trouble)));
    let play: fn(&Arc<Record>, bool) -> Verdict = match case.as_str() {
        "dropped-route" => cases::dropped_route,
        "behind-others" => cases::behind_others,
        "held-occurrences" => cases::held_occurrences,
        "lost-pace" => cases::lost_pace,
        "other-kind" => cases::other_kind,
        "slow-workers" => cases::slow_workers,
        _ => {
            eprintln!("there is no case {case}");
            std::process::exit(2);
        }
    };
    let verdict = play(&record, has_trouble);
    record.line(&format!("verdict: {verdict:?}"));
    println!("{case}: {verdict:?}");
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
