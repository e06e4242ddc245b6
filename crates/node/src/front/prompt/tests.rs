//! Parsing of the `prompt-prefix` header.

use super::{PROMPT_PREFIX, prompt_of};
use hyper::header::{HeaderMap, HeaderValue};
use woadstall_control::shards::short_hash;
use woadstall_routing::Prompt;

fn prompt(value: &str) -> Prompt {
    let mut headers = HeaderMap::new();
    headers.insert(PROMPT_PREFIX, HeaderValue::from_str(value).unwrap());
    prompt_of(&headers)
}

#[test]
fn a_request_without_the_header_has_no_prompt() {
    assert_eq!(prompt_of(&HeaderMap::new()), Prompt::default());
    assert_eq!(prompt("nothing"), Prompt::default());
}

#[test]
fn the_shared_prefix_ends_with_the_section_that_makes_it_long() {
    let prompt = prompt("system:1000, tools: 24 ,session:500,question:10");
    assert_eq!(prompt.total_tokens, 1_534);
    assert_eq!(prompt.prefix_tokens, 1_024);
    assert_eq!(prompt.prefix_hash, Some(short_hash("system,tools")));
}

#[test]
fn a_short_prefix_and_the_last_section_are_not_shared() {
    for value in [
        "system:1000,question:23",
        "question:5000",
        "system:1023,question:5000",
    ] {
        let prompt = prompt(value);
        assert_eq!(
            (prompt.prefix_tokens, prompt.prefix_hash),
            (0, None),
            "{value}"
        );
        assert!(prompt.total_tokens > 0, "{value}");
    }
}
