//! Tests of `grid`.

use super::*;

#[test]
fn keys_are_set_where_they_say() {
    let mut table: Table = "a = 1\n[b]\nc = 2\n[[d]]\ne = 3\n[[d]]\ne = 4\n"
        .parse()
        .unwrap();
    for (key, value) in [
        ("a", "5"),
        ("b.c", "x y"),
        ("d.1.e", "[1, 2]"),
        ("new.key", "\"7 s\""),
    ] {
        put(&mut table, key, value).unwrap();
    }
    let expected =
        "a = 5\nnew = { key = \"7 s\" }\n[b]\nc = \"x y\"\n[[d]]\ne = 3\n[[d]]\ne = [1, 2]\n";
    assert_eq!(table, expected.parse().unwrap());
    assert!(
        put(&mut table, "d.2.e", "1")
            .unwrap_err()
            .contains("2 entries")
    );
    assert!(
        put(&mut table, "a.b", "1")
            .unwrap_err()
            .contains("no further keys")
    );
    assert!(put(&mut table, "", "1").is_err());
}

#[test]
fn lists_are_read() {
    assert_eq!(seeds("1..3, 9").unwrap(), [1, 2, 3, 9]);
    assert!(seeds("3..1").is_err() && seeds("x").is_err() && seeds("0..99999999").is_err());
    let varied = [
        ("a".to_owned(), "1,2".to_owned()),
        ("b".to_owned(), "x, y".to_owned()),
    ];
    let all = combinations(&Set::new(), &varied);
    let text: Vec<_> = all
        .iter()
        .map(|set| format!("{}{}", set["a"], set["b"]))
        .collect();
    assert_eq!(text, ["1x", "1y", "2x", "2y"]);
}
