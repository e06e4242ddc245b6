//! The bytes of seals, and the lines about keys at fault: both stay what they are.
//!
//! Each file of `tests/golden/` holds what one form was when it was written down, as hexadecimal digits or as text.

use std::path::PathBuf;
use woadstall_message_auth::{ADDS, Keys, SealError, Seals};

const KEY: &str = "00112233445566778899aabbccddeeff";
const OTHER: &str = "ffeeddccbbaa99887766554433221100";
const LIFE: u64 = 0x0123_4567_89ab_cdef;

fn fixture(form: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(form);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(form: &str) -> Vec<u8> {
    let text = fixture(form);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    text.trim().as_bytes().chunks_exact(2).map(byte).collect()
}

fn assert_golden(form: &str, bytes: &[u8]) {
    assert_eq!(hexadecimal(bytes), fixture(form).trim(), "{form}");
}

fn seals(keys: &str, life: u64) -> Seals {
    Seals::new(Keys::read(keys).unwrap(), life)
}

/// The first three of a life under one key: empty, short, and each byte there is.
#[test]
fn sealed_messages() {
    let all: Vec<u8> = (0..=255).collect();
    let messages: [(&str, &[u8]); 3] = [
        ("empty.hex", b""),
        ("short.hex", b"ping"),
        ("all-bytes.hex", &all),
    ];
    let (mut sender, mut receiver) = (seals(KEY, LIFE), seals(KEY, 2));
    for (form, message) in messages {
        assert_golden(form, &sender.seal(message));
        assert_eq!(receiver.open(&bytes_of(form)), Ok(message), "{form}");
    }
    assert_eq!(ADDS, 33);
}

/// The first key of a file seals; what is sealed under it is read by one that has it in the second place.
#[test]
fn sealed_under_the_first_key() {
    let mut sender = seals(&format!("# remark\n{OTHER} # seals\n\n{KEY}\n"), 1);
    assert_golden("first-key.hex", &sender.seal(b"ping"));
    let mut receiver = seals(&format!("{KEY}\n{OTHER}\n"), 2);
    assert_eq!(receiver.open(&bytes_of("first-key.hex")), Ok(&b"ping"[..]));
}

/// A key of more bytes than a block of the hash.
#[test]
fn sealed_under_a_long_key() {
    let long = "5a".repeat(100);
    assert_golden("long-key.hex", &seals(&long, LIFE).seal(b"ping"));
    assert_eq!(
        seals(&long, 2).open(&bytes_of("long-key.hex")),
        Ok(&b"ping"[..])
    );
}

#[test]
fn reasons_not_to_believe() {
    let mut receiver = seals(KEY, 2);
    let short = bytes_of("short.hex");
    let mut other_form = short.clone();
    other_form[0] = 2;
    let mut other_key = short.clone();
    *other_key.last_mut().unwrap() ^= 1;
    assert_eq!(receiver.open(&short), Ok(&b"ping"[..]));
    let errors = [&short[..32], &other_form, &other_key, &short]
        .map(|bytes| receiver.open(bytes).unwrap_err());
    assert_eq!(
        errors,
        [
            SealError::Short,
            SealError::Form(2),
            SealError::Key,
            SealError::Again
        ]
    );
    let lines: String = errors.iter().map(|error| format!("{error}\n")).collect();
    assert_eq!(lines, fixture("reasons-not-to-believe.txt"));
}

#[test]
fn key_files_at_fault() {
    let many = (0..4)
        .map(|number| format!("{number}{}\n", "0".repeat(31)))
        .collect::<String>();
    let twice = format!("{KEY}\n{KEY}");
    let files = ["", "\nxyz", "abc", "0011", &twice, &many];
    let lines: String = files
        .iter()
        .map(|text| format!("{}\n", Keys::read(text).unwrap_err()))
        .collect();
    assert_eq!(lines, fixture("key-files-at-fault.txt"));
    assert_eq!(format!("{:?}", Keys::read(KEY).unwrap()), "1 keys");
}
