/*!
Reading declared objects from JSON text.

A text holds a list of objects. Names that stand twice within what is published together are found
by [`collect`], since a set by itself would keep the last one silently.
*/

use {
    crate::{
        objects::{DeclaredObject, ObjectKey},
        set::ObjectSet,
    },
    thiserror::Error,
};

/// Why declarations can't be read.
#[derive(Debug, Error)]
pub enum DeclarationError {
    /// The text isn't a JSON list of known objects.
    #[error("not a list of declared objects: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Two objects have the same type and name.
    #[error("{0} is declared twice")]
    Duplicate(ObjectKey),
}

/// Reads the objects of one text.
///
/// # Errors
///
/// [`DeclarationError::Malformed`] names the line and the field at fault.
pub fn parse(text: &str) -> Result<Vec<DeclaredObject>, DeclarationError> {
    Ok(serde_json::from_str(text)?)
}

/// Makes a set of objects.
///
/// # Errors
///
/// Every [`DeclarationError::Duplicate`] found.
pub fn collect(objects: Vec<DeclaredObject>) -> Result<ObjectSet, Vec<DeclarationError>> {
    let mut set = ObjectSet::default();
    let mut errors = Vec::new();
    for object in objects {
        let key = object.key();
        if set.upsert(object).is_some() {
            errors.push(DeclarationError::Duplicate(key));
        }
    }
    if errors.is_empty() { Ok(set) } else { Err(errors) }
}
