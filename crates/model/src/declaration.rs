/*!
Parsing of declared objects from JSON text.

Each text contains a list of objects. [`collect`] builds a set from the objects of all texts and
reports duplicates, since inserting them one by one would silently keep the last of them.
*/

use {
    crate::{
        objects::{DeclaredObject, ObjectKey},
        set::ObjectSet,
    },
    thiserror::Error,
};

/// An error in the text of declarations or in their combination.
#[derive(Debug, Error)]
pub enum DeclarationError {
    /// The text is not a JSON list of known objects.
    #[error("not a list of declared objects: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Two objects have the same type and the same name or prefix.
    #[error("{0} is declared twice")]
    Duplicate(ObjectKey),
}

/// Parses the objects in one text.
///
/// # Errors
///
/// Returns [`DeclarationError::Malformed`] with the position of the error, and the field if one is
/// unknown or missing.
pub fn parse(text: &str) -> Result<Vec<DeclaredObject>, DeclarationError> {
    Ok(serde_json::from_str(text)?)
}

/// Builds a set from objects.
///
/// # Errors
///
/// Returns a [`DeclarationError::Duplicate`] for each object whose key is already used.
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
