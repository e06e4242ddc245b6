//! Patches of a configuration. The fields of a patch replace the fields of the document, except
//! that `delete` and `upsert` remove, replace or add items of the document's lists by name.

use super::document::{Document, Item, NAMED_LISTS, parse_items, parse_members};
use super::unreadable;
use crate::reader::Findings;
use serde_json::Value;

/// An operation on the named items of a list.
#[derive(Clone, Copy)]
enum Operation {
    /// Removes the items with the given names.
    Delete,
    /// Replaces the items of the same names by the given ones, or adds items with new names.
    Upsert,
}

impl Operation {
    /// All operations in the order of their application.
    const ALL: [Self; 2] = [Self::Delete, Self::Upsert];

    /// Returns the field of the patch that holds the operation.
    fn field(self) -> &'static str {
        match self {
            Self::Delete => "delete",
            Self::Upsert => "upsert",
        }
    }

    /// Returns the name of the item to which an element of the patch refers.
    fn name_of(self, element: &Value) -> Option<&str> {
        match self {
            Self::Delete => element.as_str(),
            Self::Upsert => element.get("name").and_then(Value::as_str),
        }
    }

    /// Applies one element of the patch to a list.
    fn apply(self, items: &mut Vec<Item>, name: &str, element: Item) {
        let has_name = |item: &Item| item.name.as_deref() == Some(name);
        let position = items.iter().position(has_name);
        match (self, position) {
            (Self::Delete, Some(position)) => drop(items.remove(position)),
            (Self::Delete, None) => {}
            (Self::Upsert, Some(position)) => items[position] = element,
            (Self::Upsert, None) => items.push(element),
        }
    }
}

/// Applies a patch to a document and returns the patched document. `change` is the value of the
/// patch `body`, which must be JSON.
pub(super) fn apply(document: &Document, change: &Value, body: &str) -> Result<Document, Findings> {
    let Some(change) = change.as_object() else {
        return Err(Findings::one("(document)", "must be an object"));
    };
    let members = parse_members(body).map_err(unreadable)?;
    let mut patched = document.clone();
    for (name, text) in &members {
        let is_operation = Operation::ALL
            .iter()
            .any(|operation| operation.field() == name);
        if !is_operation {
            patched.set(name.clone(), text.get()).map_err(unreadable)?;
        }
    }
    let mut findings = Findings::default();
    for operation in Operation::ALL {
        let field = operation.field();
        match (change.get(field), members.get(field)) {
            (None | Some(Value::Null), _) | (_, None) => {}
            (Some(lists @ Value::Object(_)), Some(text)) => {
                apply_to_lists(operation, lists, text.get(), &mut patched, &mut findings)?;
            }
            (Some(_), Some(_)) => findings.add(field, "must be an object"),
        }
    }
    if findings.is_empty() {
        Ok(patched)
    } else {
        Err(findings)
    }
}

/// Applies an operation to the lists that the object `lists`, whose text is `text`, names.
fn apply_to_lists(
    operation: Operation,
    lists: &Value,
    text: &str,
    document: &mut Document,
    findings: &mut Findings,
) -> Result<(), Findings> {
    for (list, text) in parse_members(text).map_err(unreadable)? {
        let path = format!("{}.{list}", operation.field());
        let elements = lists.get(&list).and_then(Value::as_array);
        let (true, Some(elements)) = (NAMED_LISTS.contains(&list.as_str()), elements) else {
            findings.add(path, "must be a list of routes or services");
            continue;
        };
        let element_texts = parse_items(text.get()).map_err(unreadable)?;
        let Some(items) = document.items_mut(&list) else {
            continue;
        };
        for (position, (element, text)) in elements.iter().zip(element_texts).enumerate() {
            match operation.name_of(element) {
                Some(name) => operation.apply(items, name, text),
                None => findings.add(format!("{path}[{position}]"), "has no name"),
            }
        }
    }
    Ok(())
}
