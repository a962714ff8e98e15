//! The stand-ins and the judge of the review's cases: `standin CASE ROOT FOLDER TEMPORARY RUN`, with `TROUBLE=0` in the
//! environment for the same without the disruption. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.

mod calls;
mod common;
mod crowd;
mod outage;
mod overrides;
mod reload;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, temporary, run] = &arguments[..] else {
        eprintln!("usage: standin CASE ROOT FOLDER TEMPORARY RUN");
        std::process::exit(2);
    };
    let place = common::Place {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        temporary: PathBuf::from(temporary),
        run: run.clone(),
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "calls" => calls::run(&place, trouble),
        "crowd" => crowd::run(&place, trouble),
        "reload" => reload::run(&place, trouble),
        "outage" => outage::run(&place, trouble),
        "overrides" => overrides::run(&place, trouble),
        _ => None,
    };
    std::process::exit(match verdict {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
