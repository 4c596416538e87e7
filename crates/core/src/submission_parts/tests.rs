use super::*;

#[test]
fn parts_fit_into_values_and_make_up_the_text_again() {
    let text = "a\"b\\c\u{1}ä€😀".repeat(500);
    let parts = cut(&text, 300);
    assert!(parts.iter().all(|p| json!(p).to_string().len() <= 300) && parts.len() > 20);
    assert_eq!(parts.concat(), text);
}

#[test]
fn a_whole_record_and_one_in_parts_are_told_apart() {
    let large = json!({"p": "s/wk-1/n0-5-1/", "n": 3, "at": 5, "x": true, "k": true});
    assert!(matches!(StoredJob::read(large), Some(StoredJob::SplitSubmission(r)) if r.n == 3 && r.x));
    assert!(StoredJob::read(json!({"at": 5})).is_none());
}
