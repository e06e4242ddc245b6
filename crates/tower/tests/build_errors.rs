//! Errors of building a plug-in, and their texts.

mod common;

use common::{builder, settings};
use std::error::Error;
use woadstall_tower::{Balance, BuildError};

#[tokio::test]
async fn missing_settings_are_rejected() {
    let error = Balance::builder().build().err().unwrap();
    assert!(matches!(error, BuildError::NoSettings));
    assert_eq!(error.to_string(), "no settings are given");
}

#[tokio::test]
async fn zero_connections_are_rejected() {
    let builder = builder(&settings(|_| {})).connections(0);
    let error = builder.build().err().unwrap();
    assert!(matches!(error, BuildError::NoConnections));
    assert_eq!(error.to_string(), "`connections` is 0");
}

#[test]
fn error_of_invalid_settings_names_the_key_and_has_a_source() {
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
fn error_in_the_operators_file_names_the_field() {
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
fn building_outside_a_runtime_is_rejected() {
    let error = builder(&settings(|_| {})).build().err().unwrap();
    assert!(matches!(error, BuildError::Start(_)));
}
