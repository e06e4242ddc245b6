//! What is wrong with how a plug-in is set up, in the text that the error gives.

mod common;

use common::{builder, settings};
use std::error::Error;
use woadstall_tower::{Balance, BuildError};

#[tokio::test]
async fn missing_settings_are_an_error() {
    let error = Balance::builder().build().err().unwrap();
    assert!(matches!(error, BuildError::NoSettings));
    assert_eq!(error.to_string(), "no settings are given");
}

#[tokio::test]
async fn zero_connections_are_an_error() {
    let builder = builder(&settings(|_| {})).connections(0);
    let error = builder.build().err().unwrap();
    assert!(matches!(error, BuildError::NoConnections));
    assert_eq!(error.to_string(), "`connections` is 0");
}

#[test]
fn unreadable_settings_name_the_key_and_keep_the_source() {
    let json = settings(|settings| settings["Classes"] = 3.into());
    let error = Balance::builder().settings(&json).err().unwrap();
    assert!(matches!(error, BuildError::Settings(_)));
    assert!(
        error.to_string().starts_with("settings: Classes"),
        "{error}"
    );
    assert!(error.source().is_some());
}

#[test]
fn errors_in_the_operators_file_name_the_line_or_field() {
    let error = Balance::builder()
        .operator_config("[plugin]\nprotocol = 7")
        .err()
        .unwrap();
    assert!(matches!(error, BuildError::Operator(_)));
    assert!(
        error.to_string().starts_with("`plugin.protocol`: "),
        "{error}"
    );
}

#[test]
fn outside_a_runtime_nothing_starts() {
    let error = builder(&settings(|_| {})).build().err().unwrap();
    assert!(matches!(error, BuildError::Start(_)));
}
