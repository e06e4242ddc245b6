//! The configuration as the operator wrote it. All values are kept as text, so that numbers, strings
//! and unknown fields are read back exactly as they were sent, whatever their form.

use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The fields of a configuration that are lists of named items.
pub(super) const NAMED_LISTS: [&str; 2] = ["routes", "services"];

/// The text of an object's members, by name. Of members with the same name, the last one counts.
type Members = BTreeMap<String, Box<RawValue>>;

/// A configuration document: a JSON object.
#[derive(Clone, Debug, Default)]
pub(super) struct Document {
    fields: BTreeMap<String, Field>,
}

/// The value of a field of the document.
#[derive(Clone, Debug)]
enum Field {
    /// Any value, as text.
    Text(Arc<str>),
    /// A list of named items.
    Items(Vec<Item>),
}

/// An element of a list of named items.
#[derive(Clone, Debug)]
pub(super) struct Item {
    /// The name; `None` if the element has none.
    pub name: Option<String>,
    /// The element as JSON.
    text: Arc<str>,
}

impl Document {
    /// Parses a JSON object.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a JSON object.
    pub fn parse(json: &str) -> Result<Self, serde_json::Error> {
        let members = parse_members(json)?;
        let mut document = Self::default();
        for (name, value) in members {
            document.set(name, value.get())?;
        }
        Ok(document)
    }

    /// Replaces or adds a field.
    ///
    /// # Errors
    ///
    /// Fails if the value is not JSON.
    pub fn set(&mut self, name: String, value: &str) -> Result<(), serde_json::Error> {
        let is_list = NAMED_LISTS.contains(&name.as_str()) && value.starts_with('[');
        let field = if is_list {
            Field::Items(parse_items(value)?)
        } else {
            Field::Text(value.into())
        };
        self.fields.insert(name, field);
        Ok(())
    }

    /// Returns the items of a list, which is added if it is missing; `None` if the field is no list.
    pub fn items_mut(&mut self, list: &str) -> Option<&mut Vec<Item>> {
        let field = self
            .fields
            .entry(list.to_owned())
            .or_insert_with(|| Field::Items(Vec::new()));
        match field {
            Field::Items(items) => Some(items),
            Field::Text(_) => None,
        }
    }

    /// Returns the document as JSON.
    pub fn to_json(&self) -> String {
        let fields = self.fields.iter().map(|(name, field)| match field {
            Field::Text(text) => format!("{}:{text}", quoted(name)),
            Field::Items(items) => {
                let items: Vec<&str> = items.iter().map(|item| &*item.text).collect();
                format!("{}:[{}]", quoted(name), items.join(","))
            }
        });
        format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
    }
}

/// Returns the text of the members of a JSON object.
///
/// # Errors
///
/// Fails if the text is not a JSON object.
pub(super) fn parse_members(json: &str) -> Result<Members, serde_json::Error> {
    serde_json::from_str(json)
}

/// Parses a JSON list of named items.
///
/// # Errors
///
/// Fails if the text is not a JSON list.
pub(super) fn parse_items(json: &str) -> Result<Vec<Item>, serde_json::Error> {
    let elements: Vec<&RawValue> = serde_json::from_str(json)?;
    let items = elements.into_iter().map(|element| Item {
        name: name_of(element.get()),
        text: element.get().into(),
    });
    Ok(items.collect())
}

fn name_of(item: &str) -> Option<String> {
    let members = parse_members(item).ok()?;
    serde_json::from_str(members.get("name")?.get()).ok()
}

fn quoted(name: &str) -> String {
    serde_json::Value::from(name).to_string()
}
