//! Who is believed, and what is not.

use proptest::prelude::*;
use std::collections::BTreeSet;
use woadstall_message_auth::{ADDS, Keys, SealError, Seals};

const ONE: &str = "00112233445566778899aabbccddeeff";
const OTHER: &str = "ffeeddccbbaa99887766554433221100";

fn seals(keys: &str, life: u64) -> Seals {
    Seals::new(Keys::read(keys).unwrap(), life)
}

/// A key changes member by member: first all believe the new one, then all seal under it, then the old one goes. At
/// no point is a member not believed; one that was left behind is not, and says why.
#[test]
fn keys_change_while_all_go_on() {
    let steps = [
        ONE.to_owned(),
        format!("{ONE}\n{OTHER}\n"),
        format!("{OTHER} # seals now\n{ONE}\n"),
        OTHER.to_owned(),
    ];
    for pair in steps.windows(2) {
        let (mut before, mut after) = (seals(&pair[0], 1), seals(&pair[1], 2));
        assert_eq!(after.open(&before.seal(b"a")), Ok(&b"a"[..]));
        assert_eq!(before.open(&after.seal(b"b")), Ok(&b"b"[..]));
    }
    let (mut first, mut last) = (seals(&steps[0], 1), seals(&steps[3], 2));
    assert_eq!(last.open(&first.seal(b"a")), Err(SealError::Key));
    first.rotate(Keys::read(OTHER).unwrap());
    assert_eq!(last.open(&first.seal(b"a")), Ok(&b"a"[..]));
}

#[test]
fn key_files_are_refused_by_line() {
    for (text, part) in [
        ("", "no key"),
        ("# nothing\n\n", "no key"),
        ("\nxyz", "line 2: not pairs"),
        ("abc", "line 1: not pairs"),
        ("0011", "a key of 2 bytes"),
        (
            &format!("{ONE}\n{ONE}"),
            "line 2: a key that stands there twice",
        ),
    ] {
        let error = Keys::read(text).unwrap_err().to_string();
        assert!(error.contains(part), "{text:?}: {error}");
        assert!(!error.contains("0011"), "nothing of a key is told");
    }
    assert!(!format!("{:?}", Keys::read(ONE).unwrap()).contains("0011"));
}

proptest! {
    /// Each message is believed once, in whatever order it and its copies come, unless it is far behind the others.
    #[test]
    fn nothing_is_believed_twice(order in prop::collection::vec(0_usize..200, 1..400)) {
        let (mut sender, mut receiver) = (seals(ONE, 7), seals(ONE, 8));
        let sealed: Vec<Vec<u8>> = (0..200_u32).map(|number| sender.seal(&number.to_be_bytes())).collect();
        let (mut had, mut highest) = (BTreeSet::new(), 0);
        for at in order {
            let believed = receiver.open(&sealed[at]).is_ok();
            let old = at + 64 <= highest;
            prop_assert_eq!(believed, had.insert(at) && !old, "{} behind {}", at, highest);
            highest = highest.max(at);
        }
    }

    /// A message of which any bit was changed, or that was cut, is not believed, nor is chance.
    #[test]
    fn forgeries_are_not_believed(
        message in prop::collection::vec(any::<u8>(), 0..100),
        bit in any::<prop::sample::Index>(),
        chance in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let (mut sender, mut receiver) = (seals(ONE, 7), seals(ONE, 8));
        let sealed = sender.seal(&message);
        prop_assert_eq!(sealed.len(), message.len() + ADDS);
        let mut forged = sealed.clone();
        let bit = bit.index(forged.len() * 8);
        forged[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(receiver.open(&forged).is_err());
        prop_assert!(receiver.open(&sealed[..bit / 8]).is_err());
        prop_assert!(receiver.open(&chance).is_err());
        prop_assert_eq!(receiver.open(&sealed), Ok(&message[..]));
    }
}
