//! The one runner of `scenarios/*.txt`.

use shaleshunt_testkit::scenario::Scenario;
use std::path::Path;

#[test]
fn scenarios_hold() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<_> = std::fs::read_dir(&folder)
        .unwrap()
        .map(|e| e.unwrap().path())
        .filter(|p| p.extension().is_some_and(|e| e == "txt"))
        .filter(|p| only.as_ref().is_none_or(|o| p.file_stem().is_some_and(|s| s == o.as_str())))
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no scenario found");
    let plays: Vec<_> = files
        .into_iter()
        .map(|path| {
            std::thread::spawn(move || {
                let name = path.file_stem().unwrap().to_string_lossy().into_owned();
                let wrong = match Scenario::parse(&std::fs::read_to_string(&path).unwrap()) {
                    Ok(s) => s.play(),
                    Err(e) => vec![e.to_string()],
                };
                (name, wrong)
            })
        })
        .collect();
    let mut failed = 0;
    for play in plays {
        let (name, wrong) = play.join().unwrap();
        println!("{} {name}", if wrong.is_empty() { "ok  " } else { "FAIL" });
        for w in &wrong {
            println!("       {w}");
        }
        failed += u32::from(!wrong.is_empty());
    }
    assert_eq!(failed, 0, "scenarios failed");
}
