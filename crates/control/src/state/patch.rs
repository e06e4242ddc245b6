//! Patches of a configuration. The fields of a patch replace the fields of the document, except
//! that `delete` and `upsert` remove, replace or add items of the document's lists by name.

use crate::reader::Findings;
use serde_json::{Map, Value};

/// The fields of a configuration that are lists of named items.
const NAMED_LISTS: [&str; 2] = ["routes", "services"];

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
            Self::Upsert => name_of(element),
        }
    }

    /// Applies one element of the patch to a list.
    fn apply(self, items: &mut Vec<Value>, name: &str, element: &Value) {
        let position = items.iter().position(|item| name_of(item) == Some(name));
        match (self, position) {
            (Self::Delete, Some(position)) => drop(items.remove(position)),
            (Self::Delete, None) => {}
            (Self::Upsert, Some(position)) => items[position] = element.clone(),
            (Self::Upsert, None) => items.push(element.clone()),
        }
    }
}

fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

/// Applies a patch to a document and returns the patched document.
pub(super) fn apply(document: &Value, change: &Value) -> Result<Value, Findings> {
    let Some(change) = change.as_object() else {
        return Err(Findings::one("(document)", "must be an object"));
    };
    let mut fields: Map<String, Value> = document.as_object().cloned().unwrap_or_default();
    for (name, value) in change {
        let is_operation = Operation::ALL
            .iter()
            .any(|operation| operation.field() == name);
        if !is_operation {
            fields.insert(name.clone(), value.clone());
        }
    }
    let mut findings = Findings::default();
    for operation in Operation::ALL {
        match change.get(operation.field()) {
            None | Some(Value::Null) => {}
            Some(Value::Object(lists)) => {
                apply_to_lists(operation, lists, &mut fields, &mut findings)
            }
            Some(_) => findings.add(operation.field(), "must be an object"),
        }
    }
    if findings.is_empty() {
        Ok(Value::Object(fields))
    } else {
        Err(findings)
    }
}

fn apply_to_lists(
    operation: Operation,
    lists: &Map<String, Value>,
    fields: &mut Map<String, Value>,
    findings: &mut Findings,
) {
    for (list, elements) in lists {
        let path = format!("{}.{list}", operation.field());
        let (true, Some(elements)) = (NAMED_LISTS.contains(&list.as_str()), elements.as_array())
        else {
            findings.add(path, "must be a list of routes or services");
            continue;
        };
        let items = fields
            .entry(list.clone())
            .or_insert_with(|| Value::Array(Vec::new()));
        let Some(items) = items.as_array_mut() else {
            continue;
        };
        for (position, element) in elements.iter().enumerate() {
            match operation.name_of(element) {
                Some(name) => operation.apply(items, name, element),
                None => findings.add(format!("{path}[{position}]"), "has no name"),
            }
        }
    }
}
