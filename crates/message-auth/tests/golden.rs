//! Golden tests of the bytes of frames and of the messages about invalid keys. The bytes and the
//! messages must not change.
//!
//! Each file of `tests/golden/` holds one encoding as first released, in hexadecimal digits or as
//! text.

use std::path::PathBuf;
use woadstall_message_auth::{KeyRing, MessageAuthenticator, OVERHEAD_BYTES, VerifyError};

const KEY: &str = "00112233445566778899aabbccddeeff";
const OTHER_KEY: &str = "ffeeddccbbaa99887766554433221100";
const SENDER: u64 = 0x0123_4567_89ab_cdef;

fn fixture(file_name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file_name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(file_name: &str) -> Vec<u8> {
    let text = fixture(file_name);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    text.trim().as_bytes().chunks_exact(2).map(byte).collect()
}

fn assert_golden(file_name: &str, bytes: &[u8]) {
    assert_eq!(hexadecimal(bytes), fixture(file_name).trim(), "{file_name}");
}

fn authenticator(keys: &str, sender: u64) -> MessageAuthenticator {
    MessageAuthenticator::new(KeyRing::parse(keys).unwrap(), sender)
}

/// The first three frames of a sender: an empty message, a short message, and a message with each
/// byte value.
#[test]
fn signed_messages() {
    let all_bytes: Vec<u8> = (0..=255).collect();
    let messages: [(&str, &[u8]); 3] = [
        ("empty.hex", b""),
        ("short.hex", b"ping"),
        ("all-bytes.hex", &all_bytes),
    ];
    let (mut sender, mut receiver) = (authenticator(KEY, SENDER), authenticator(KEY, 2));
    for (file_name, message) in messages {
        assert_golden(file_name, &sender.sign(message));
        assert_eq!(
            receiver.verify(&bytes_of(file_name)),
            Ok(message),
            "{file_name}"
        );
    }
    assert_eq!(OVERHEAD_BYTES, 33);
}

/// The first key of a file signs. A frame is also accepted where the signing key is the second key.
#[test]
fn the_first_key_signs() {
    let mut sender = authenticator(&format!("# remark\n{OTHER_KEY} # seals\n\n{KEY}\n"), 1);
    assert_golden("first-key.hex", &sender.sign(b"ping"));
    let mut receiver = authenticator(&format!("{KEY}\n{OTHER_KEY}\n"), 2);
    assert_eq!(
        receiver.verify(&bytes_of("first-key.hex")),
        Ok(&b"ping"[..])
    );
}

/// A key longer than a block of the hash function.
#[test]
fn a_long_key_signs() {
    let long_key = "5a".repeat(100);
    assert_golden(
        "long-key.hex",
        &authenticator(&long_key, SENDER).sign(b"ping"),
    );
    assert_eq!(
        authenticator(&long_key, 2).verify(&bytes_of("long-key.hex")),
        Ok(&b"ping"[..])
    );
}

#[test]
fn rejected_frames() {
    let mut receiver = authenticator(KEY, 2);
    let short = bytes_of("short.hex");
    let mut other_format = short.clone();
    other_format[0] = 2;
    let mut other_key = short.clone();
    *other_key.last_mut().unwrap() ^= 1;
    assert_eq!(receiver.verify(&short), Ok(&b"ping"[..]));
    let errors = [&short[..32], &other_format, &other_key, &short]
        .map(|bytes| receiver.verify(bytes).unwrap_err());
    assert_eq!(
        errors,
        [
            VerifyError::TooShort,
            VerifyError::UnsupportedFormat(2),
            VerifyError::UnknownKey,
            VerifyError::Replayed
        ]
    );
    let lines: String = errors.iter().map(|error| format!("{error}\n")).collect();
    assert_eq!(lines, fixture("reasons-not-to-believe.txt"));
}

#[test]
fn invalid_key_files() {
    let too_many = (0..4)
        .map(|number| format!("{number}{}\n", "0".repeat(31)))
        .collect::<String>();
    let duplicate = format!("{KEY}\n{KEY}");
    let files = ["", "\nxyz", "abc", "0011", &duplicate, &too_many];
    let lines: String = files
        .iter()
        .map(|text| format!("{}\n", KeyRing::parse(text).unwrap_err()))
        .collect();
    assert_eq!(lines, fixture("key-files-at-fault.txt"));
    assert_eq!(format!("{:?}", KeyRing::parse(KEY).unwrap()), "1 keys");
}
