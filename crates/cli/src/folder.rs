/*!
Reading of a folder of declarations: all `.json` files in it and in its subfolders, ordered by path.
*/

use {
    crate::error::{CommandError, FileError},
    hemlockspool_model::{declaration, set::ObjectSet},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Reads a folder into a set, which is not validated yet.
///
/// # Errors
///
/// Returns [`CommandError::Unreadable`] if the folder or a file cannot be read, or
/// [`CommandError::InvalidDeclarations`] with all errors found in the files.
pub(crate) fn read(folder: &Path) -> Result<ObjectSet, CommandError> {
    let mut paths = Vec::new();
    find_json_files(folder, &mut paths)?;
    paths.sort();
    let mut objects = Vec::new();
    let mut file_errors = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(unreadable(&path))?;
        match declaration::parse(&text) {
            Ok(parsed) => objects.extend(parsed),
            Err(error) => file_errors.push(FileError { path, error }),
        }
    }
    let set = declaration::collect(objects).map_err(|errors| {
        let duplicates = errors.into_iter();
        duplicates.map(|error| FileError { path: folder.to_owned(), error }).collect::<Vec<_>>()
    });
    match set {
        Ok(set) if file_errors.is_empty() => Ok(set),
        Ok(_) => Err(CommandError::InvalidDeclarations { errors: file_errors }),
        Err(duplicates) => {
            file_errors.extend(duplicates);
            Err(CommandError::InvalidDeclarations { errors: file_errors })
        }
    }
}

fn find_json_files(folder: &Path, paths: &mut Vec<PathBuf>) -> Result<(), CommandError> {
    for entry in fs::read_dir(folder).map_err(unreadable(folder))? {
        let path = entry.map_err(unreadable(folder))?.path();
        if path.is_dir() {
            find_json_files(&path, paths)?;
        } else if path.extension().is_some_and(|extension| extension == "json") {
            paths.push(path);
        }
    }
    Ok(())
}

fn unreadable(path: &Path) -> impl FnOnce(std::io::Error) -> CommandError {
    let path = path.to_owned();
    move |source| CommandError::Unreadable { path, source }
}
