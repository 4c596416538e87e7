use super::*;

#[test]
fn a_set_survives_encoding_and_decoding_in_chunks() {
    let mut all = TaskSet::new(100_000);
    for i in (0..100_000).filter(|i| i % 7 == 0 || i % 11 == 3) {
        all.insert(i);
    }
    let mut back = TaskSet::new(100_000);
    for from in (0..100_000).step_by(32_768) {
        let text = all.encode(from, 32_768);
        assert!(serde_json::to_string(&text).unwrap().len() < 6000);
        back.decode(from, &text);
    }
    assert_eq!(all, back);
    assert_eq!(all.count(), back.count());
}
