//! Parses the `prompt-prefix` header, in which a client describes the prompt of a model request.

use hyper::header::HeaderMap;
use woadstall_control::shards::short_hash;
use woadstall_routing::Prompt;

/// Name of the header. The header's value lists the sections of the prompt in order as
/// `id:tokens`, separated by commas.
const PROMPT_PREFIX: &str = "prompt-prefix";
/// Minimum length of a shared prefix that is routed by prefix cache, in tokens. Prefilling so many
/// tokens takes some ten milliseconds.
const MIN_SHARED_TOKENS: u64 = 1_024;

/// Returns the prompt described by the headers of a request. The shared prefix ends with the first
/// section at which the prefix has at least [`MIN_SHARED_TOKENS`] tokens. The last section of the
/// prompt is never part of the shared prefix.
pub(super) fn prompt_of(headers: &HeaderMap) -> Prompt {
    let value = headers
        .get(PROMPT_PREFIX)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    let sections: Vec<(&str, u64)> = value.split(',').filter_map(parse_section).collect();
    let mut prompt = Prompt {
        total_tokens: sections.iter().map(|(_, tokens)| tokens).sum(),
        ..Prompt::default()
    };
    let Some((_, shareable)) = sections.split_last() else {
        return prompt;
    };
    let mut ids = Vec::new();
    for (id, tokens) in shareable {
        ids.push(*id);
        prompt.prefix_tokens += tokens;
        if prompt.prefix_tokens >= MIN_SHARED_TOKENS {
            prompt.prefix_hash = Some(short_hash(&ids.join(",")));
            return prompt;
        }
    }
    Prompt {
        prefix_tokens: 0,
        ..prompt
    }
}

fn parse_section(section: &str) -> Option<(&str, u64)> {
    let (id, tokens) = section.trim().split_once(':')?;
    Some((id, tokens.trim().parse().ok()?))
}

#[cfg(test)]
mod tests;
