use super::*;

#[test]
fn what_was_used_least_recently_gives_way() {
    let mut kept = KeptPrompts::default();
    kept.set_capacity(30_000);
    (1..=3).for_each(|beginning| kept.note_beginning(beginning, 10_000));
    kept.note_beginning(1, 10_000);
    kept.note_beginning(4, 10_000);
    let has: Vec<bool> = (1..=4).map(|beginning| kept.has(beginning)).collect();
    assert_eq!(has, [true, false, true, true]);
}

#[test]
fn parts_of_single_prompts_take_room_too() {
    let mut kept = KeptPrompts::default();
    kept.set_capacity(20_000);
    kept.note_beginning(1, 10_000);
    (0..99).for_each(|_| kept.note_own(100));
    assert!(kept.has(1), "9,900 tokens more fit");
    kept.note_own(101);
    assert!(!kept.has(1));
}

#[test]
fn entries_are_bounded_where_the_memory_is_not_known() {
    let mut kept = KeptPrompts::default();
    (0..65).for_each(|beginning| kept.note_beginning(beginning, 1));
    assert!(!kept.has(0) && kept.has(1));
}

#[test]
fn a_smaller_memory_holds_less_at_once() {
    let mut kept = KeptPrompts::default();
    (0..4).for_each(|beginning| kept.note_beginning(beginning, 10));
    kept.set_capacity(20);
    assert!(!kept.has(1) && kept.has(2));
    kept.note_beginning(9, 50);
    assert!(!kept.has(9), "what is larger than the memory is not kept");
}
