use super::*;

#[test]
fn parts_fit_into_values_and_make_up_the_text_again() {
    let text = "a\"b\\c\u{1}ä€😀".repeat(500);
    let parts = split_text(&text, 300);
    assert!(parts.iter().all(|p| json!(p).to_string().len() <= 300) && parts.len() > 20);
    assert_eq!(parts.concat(), text);
}
