//! Tests of the acceptance and rejection of frames and key files.

use proptest::prelude::*;
use std::collections::BTreeSet;
use woadstall_message_auth::{KeyRing, MessageAuthenticator, OVERHEAD_BYTES, VerifyError};

const KEY: &str = "00112233445566778899aabbccddeeff";
const OTHER_KEY: &str = "ffeeddccbbaa99887766554433221100";

fn authenticator(keys: &str, sender: u64) -> MessageAuthenticator {
    MessageAuthenticator::new(KeyRing::parse(keys).unwrap(), sender)
}

/// During a key rotation, all members first accept the new key, then sign with it, and then drop
/// the old key. No frame is rejected between members at adjacent steps. A member that was left
/// behind is rejected with the reason.
#[test]
fn keys_change_without_rejections() {
    let steps = [
        KEY.to_owned(),
        format!("{KEY}\n{OTHER_KEY}\n"),
        format!("{OTHER_KEY} # signs now\n{KEY}\n"),
        OTHER_KEY.to_owned(),
    ];
    for pair in steps.windows(2) {
        let (mut before, mut after) = (authenticator(&pair[0], 1), authenticator(&pair[1], 2));
        assert_eq!(after.verify(&before.sign(b"a")), Ok(&b"a"[..]));
        assert_eq!(before.verify(&after.sign(b"b")), Ok(&b"b"[..]));
    }
    let (mut first, mut last) = (authenticator(&steps[0], 1), authenticator(&steps[3], 2));
    assert_eq!(last.verify(&first.sign(b"a")), Err(VerifyError::UnknownKey));
    first.set_keys(KeyRing::parse(OTHER_KEY).unwrap());
    assert_eq!(last.verify(&first.sign(b"a")), Ok(&b"a"[..]));
}

#[test]
fn invalid_key_files_are_rejected_by_line() {
    for (text, expected) in [
        ("", "no key"),
        ("# nothing\n\n", "no key"),
        ("\nxyz", "line 2: not pairs"),
        ("abc", "line 1: not pairs"),
        ("0011", "a key of 2 bytes"),
        (
            &format!("{KEY}\n{KEY}"),
            "line 2: a key that stands there twice",
        ),
    ] {
        let error = KeyRing::parse(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{text:?}: {error}");
        assert!(
            !error.contains("0011"),
            "the error reveals no part of a key"
        );
    }
    assert!(!format!("{:?}", KeyRing::parse(KEY).unwrap()).contains("0011"));
}

proptest! {
    /// Each message is accepted exactly once, whatever the order of arrival of the message and its
    /// duplicates, unless the message falls behind the replay window.
    #[test]
    fn each_message_is_accepted_once(order in prop::collection::vec(0_usize..200, 1..400)) {
        let (mut sender, mut receiver) = (authenticator(KEY, 7), authenticator(KEY, 8));
        let frames: Vec<Vec<u8>> = (0..200_u32).map(|number| sender.sign(&number.to_be_bytes())).collect();
        let (mut received, mut highest) = (BTreeSet::new(), 0);
        for index in order {
            let accepted = receiver.verify(&frames[index]).is_ok();
            let is_too_old = index + 64 <= highest;
            prop_assert_eq!(accepted, received.insert(index) && !is_too_old, "{} behind {}", index, highest);
            highest = highest.max(index);
        }
    }

    /// A frame with any bit changed, a truncated frame and random bytes are rejected.
    #[test]
    fn forged_frames_are_rejected(
        message in prop::collection::vec(any::<u8>(), 0..100),
        bit in any::<prop::sample::Index>(),
        random_bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let (mut sender, mut receiver) = (authenticator(KEY, 7), authenticator(KEY, 8));
        let frame = sender.sign(&message);
        prop_assert_eq!(frame.len(), message.len() + OVERHEAD_BYTES);
        let mut forged = frame.clone();
        let bit = bit.index(forged.len() * 8);
        forged[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(receiver.verify(&forged).is_err());
        prop_assert!(receiver.verify(&frame[..bit / 8]).is_err());
        prop_assert!(receiver.verify(&random_bytes).is_err());
        prop_assert_eq!(receiver.verify(&frame), Ok(&message[..]));
    }
}
