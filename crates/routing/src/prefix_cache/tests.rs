use super::*;

#[test]
fn the_least_recently_used_prefix_is_evicted() {
    let mut cache = PrefixCache::default();
    cache.set_capacity(30_000);
    (1..=3).for_each(|prefix| cache.insert_prefix(prefix, 10_000));
    cache.insert_prefix(1, 10_000);
    cache.insert_prefix(4, 10_000);
    let cached: Vec<bool> = (1..=4).map(|prefix| cache.contains(prefix)).collect();
    assert_eq!(cached, [true, false, true, true]);
}

#[test]
fn unshared_tokens_take_up_capacity() {
    let mut cache = PrefixCache::default();
    cache.set_capacity(20_000);
    cache.insert_prefix(1, 10_000);
    (0..99).for_each(|_| cache.insert_unshared(100));
    assert!(
        cache.contains(1),
        "the prefix and 9,900 unshared tokens must fit"
    );
    cache.insert_unshared(101);
    assert!(!cache.contains(1));
}

#[test]
fn entries_are_bounded_where_the_capacity_is_unknown() {
    let mut cache = PrefixCache::default();
    (0..65).for_each(|prefix| cache.insert_prefix(prefix, 1));
    assert!(!cache.contains(0) && cache.contains(1));
}

#[test]
fn a_smaller_capacity_evicts_at_once() {
    let mut cache = PrefixCache::default();
    (0..4).for_each(|prefix| cache.insert_prefix(prefix, 10));
    cache.set_capacity(20);
    assert!(!cache.contains(1) && cache.contains(2));
    cache.insert_prefix(9, 50);
    assert!(
        !cache.contains(9),
        "a prefix larger than the cache must not be cached"
    );
}
