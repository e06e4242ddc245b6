//! The log line of a report, `request report cause=... attempts=...`. `Display` writes the line and
//! `FromStr` parses it.
//!
//! Attempts are separated by semicolons, the fields of an attempt by commas, and the counts of
//! excluded upstreams (`reason*count`) by plus signs. `-` stands for an empty or absent value.

use crate::outcome::Named;
use crate::report::{AttemptReport, RequestReport};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The start of the report within a log line.
pub const LINE_PREFIX: &str = "request report ";
/// The text written for an empty or absent value.
const EMPTY: &str = "-";
/// The characters that separate fields, other than white space.
const SEPARATORS: &str = ",;+*=";

/// The reason why a line cannot be parsed as a report.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseReportError {
    /// A field of the report is missing. A line without [`LINE_PREFIX`] has no field `cause`.
    #[error("the field `{0}` is missing")]
    MissingField(&'static str),
    /// The value of a field cannot be parsed.
    #[error("the field `{field}` can't be `{value}`")]
    InvalidValue {
        /// The name of the field in the log line.
        field: &'static str,
        /// The rejected value; for `attempts`, the rejected part of the list.
        value: String,
    },
}

impl ParseReportError {
    fn invalid(field: &'static str, value: &str) -> Self {
        Self::InvalidValue {
            field,
            value: value.to_owned(),
        }
    }
}

impl fmt::Display for RequestReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let route = escape(&self.route);
        let service = escape(&self.service);
        let zone = escape(&self.balancer_zone);
        write!(
            formatter,
            "{LINE_PREFIX}cause={} route={route} ",
            self.cause
        )?;
        write!(formatter, "service={service} zone={zone} ")?;
        write!(
            formatter,
            "priority={} total={} ",
            self.priority, self.total_ms
        )?;
        match self.first_data_ms {
            Some(first) => write!(formatter, "first={first} ")?,
            None => write!(formatter, "first={EMPTY} ")?,
        }
        write!(formatter, "pause={} ", self.longest_gap_ms)?;
        write!(formatter, "target={} ", self.target_latency_ms)?;
        write!(formatter, "prompt={} ", self.prompt_tokens)?;
        write!(formatter, "shared={} attempts=", self.shared_tokens)?;
        write_list(formatter, ";", &self.attempts)
    }
}

impl fmt::Display for AttemptReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let upstream = escape(&self.upstream);
        let zone = escape(&self.zone);
        write!(formatter, "{upstream},{zone},{},", self.outcome)?;
        write!(formatter, "{},{},", self.start_offset_ms, self.duration_ms)?;
        write!(formatter, "{},{},", self.in_flight, self.prefill_tokens)?;
        write!(formatter, "{},", self.candidates)?;
        let counts = self
            .excluded
            .iter()
            .map(|(reason, count)| format!("{reason}*{count}"));
        write_list(formatter, "+", counts)
    }
}

/// Writes items with a separator between them, or [`EMPTY`] if there are no items.
fn write_list(
    formatter: &mut fmt::Formatter<'_>,
    separator: &str,
    items: impl IntoIterator<Item: fmt::Display>,
) -> fmt::Result {
    let mut is_empty = true;
    for item in items {
        let before = if is_empty { "" } else { separator };
        write!(formatter, "{before}{item}")?;
        is_empty = false;
    }
    if is_empty {
        formatter.write_str(EMPTY)?;
    }
    Ok(())
}

/// Returns a name with all characters that separate fields replaced by `_`. An empty name becomes
/// [`EMPTY`].
fn escape(name: &str) -> String {
    if name.is_empty() {
        return EMPTY.to_owned();
    }
    let is_separator = |c: char| c.is_whitespace() || SEPARATORS.contains(c);
    name.replace(is_separator, "_")
}

impl FromStr for RequestReport {
    type Err = ParseReportError;

    /// Parses a log line from [`LINE_PREFIX`] on. Text before the prefix is ignored.
    fn from_str(line: &str) -> Result<Self, ParseReportError> {
        let (_, text) = line
            .split_once(LINE_PREFIX)
            .ok_or(ParseReportError::MissingField("cause"))?;
        let fields = Fields::split(text);
        let first_data_ms = match fields.text("first")? {
            EMPTY => None,
            value => Some(parse("first", value)?),
        };
        let attempts = match fields.text("attempts")? {
            EMPTY => Vec::new(),
            value => value.split(';').map(str::parse).collect::<Result<_, _>>()?,
        };
        Ok(Self {
            cause: parse_name("cause", fields.text("cause")?)?,
            route: fields.text("route")?.to_owned(),
            service: fields.text("service")?.to_owned(),
            balancer_zone: fields.text("zone")?.to_owned(),
            priority: fields.parse("priority")?,
            total_ms: fields.parse("total")?,
            first_data_ms,
            longest_gap_ms: fields.parse("pause")?,
            target_latency_ms: fields.parse("target")?,
            prompt_tokens: fields.parse("prompt")?,
            shared_tokens: fields.parse("shared")?,
            attempts,
        })
    }
}

/// The `key=value` fields of a report line, by key.
struct Fields<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn split(text: &'a str) -> Self {
        let pairs = text.split_whitespace();
        Self(pairs.filter_map(|pair| pair.split_once('=')).collect())
    }

    fn text(&self, field: &'static str) -> Result<&'a str, ParseReportError> {
        let value = self.0.get(field).copied();
        value.ok_or(ParseReportError::MissingField(field))
    }

    fn parse<T: FromStr>(&self, field: &'static str) -> Result<T, ParseReportError> {
        parse(field, self.text(field)?)
    }
}

impl FromStr for AttemptReport {
    type Err = ParseReportError;

    fn from_str(text: &str) -> Result<Self, ParseReportError> {
        const FIELD: &str = "attempts";
        let fields: Vec<&str> = text.split(',').collect();
        let [
            upstream,
            zone,
            outcome,
            start_offset,
            duration,
            in_flight,
            prefill,
            candidates,
            excluded,
        ] = fields[..]
        else {
            return Err(ParseReportError::invalid(FIELD, text));
        };
        Ok(Self {
            upstream: upstream.to_owned(),
            zone: zone.to_owned(),
            outcome: parse_name(FIELD, outcome)?,
            start_offset_ms: parse(FIELD, start_offset)?,
            duration_ms: parse(FIELD, duration)?,
            in_flight: parse(FIELD, in_flight)?,
            prefill_tokens: parse(FIELD, prefill)?,
            candidates: parse(FIELD, candidates)?,
            excluded: parse_counts(FIELD, excluded)?,
        })
    }
}

fn parse<T: FromStr>(field: &'static str, value: &str) -> Result<T, ParseReportError> {
    value
        .parse()
        .map_err(|_| ParseReportError::invalid(field, value))
}

fn parse_name<T: Named>(field: &'static str, value: &str) -> Result<T, ParseReportError> {
    T::from_name(value).ok_or_else(|| ParseReportError::invalid(field, value))
}

/// Parses the counts of excluded upstreams by reason, `reason*count+reason*count`.
fn parse_counts(
    field: &'static str,
    value: &str,
) -> Result<BTreeMap<String, usize>, ParseReportError> {
    if value == EMPTY {
        return Ok(BTreeMap::new());
    }
    let parse_count = |item: &str| {
        let (reason, count) = item
            .split_once('*')
            .ok_or_else(|| ParseReportError::invalid(field, value))?;
        Ok((reason.to_owned(), parse(field, count)?))
    };
    value.split('+').map(parse_count).collect()
}
