//! Tests of overrides of scenario keys.

use super::*;

#[test]
fn keys_are_set_in_tables_and_lists() {
    let mut table: Table = "a = 1\n[b]\nc = 2\n[[d]]\ne = 3\n[[d]]\ne = 4\n"
        .parse()
        .unwrap();
    for (key, value) in [
        ("a", "5"),
        ("b.c", "x y"),
        ("d.1.e", "[1, 2]"),
        ("new.key", "\"7 s\""),
    ] {
        set_key(&mut table, key, value).unwrap();
    }
    let expected =
        "a = 5\nnew = { key = \"7 s\" }\n[b]\nc = \"x y\"\n[[d]]\ne = 3\n[[d]]\ne = [1, 2]\n";
    assert_eq!(table, expected.parse().unwrap());
    assert!(
        set_key(&mut table, "d.2.e", "1")
            .unwrap_err()
            .to_string()
            .contains("2 entries")
    );
    assert!(
        set_key(&mut table, "a.b", "1")
            .unwrap_err()
            .to_string()
            .contains("no further keys")
    );
    assert!(set_key(&mut table, "", "1").is_err());
}
