//! A site of stand-ins around the real controllers, and the cases of this review.

mod cases;
mod cloud;
mod controllers;
mod http;
mod search;
mod site;
mod store;
mod users;
mod worker;
mod world;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let record = PathBuf::from(arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // A stand-in that fails makes the case one that could not run.
    let code = std::panic::catch_unwind(|| cases::run(&case, &folder, &record, trouble)).unwrap_or(2);
    std::process::exit(code);
}
