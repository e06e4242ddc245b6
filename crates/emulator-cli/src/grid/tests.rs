//! Tests of combinations of overrides.

use super::*;

#[test]
fn last_key_varies_fastest() {
    let varied = [
        ("a".to_owned(), "1,2".to_owned()),
        ("b".to_owned(), "x, y".to_owned()),
    ];
    let combined = combinations(&Overrides::new(), &varied);
    let text: Vec<_> = combined
        .iter()
        .map(|set| format!("{}{}", set["a"], set["b"]))
        .collect();
    assert_eq!(text, ["1x", "1y", "2x", "2y"]);
}
