/*!
A folder of declarations: every `.json` file in it and below it, in the order of their paths.
*/

use {
    crate::error::{CommandError, FileError},
    hemlockspool_model::{declaration, set::ObjectSet},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Reads a folder into a set that passes no check yet.
///
/// # Errors
///
/// [`CommandError::Unreadable`] or [`CommandError::Declarations`] with every fault found.
pub(crate) fn read(folder: &Path) -> Result<ObjectSet, CommandError> {
    let mut paths = Vec::new();
    find(folder, &mut paths)?;
    paths.sort();
    let mut objects = Vec::new();
    let mut faults = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(unreadable(&path))?;
        match declaration::parse(&text) {
            Ok(parsed) => objects.extend(parsed),
            Err(error) => faults.push(FileError { path, error }),
        }
    }
    let set = declaration::collect(objects).map_err(|errors| {
        let twice = errors.into_iter();
        twice.map(|error| FileError { path: folder.to_owned(), error }).collect::<Vec<_>>()
    });
    match set {
        Ok(set) if faults.is_empty() => Ok(set),
        Ok(_) => Err(CommandError::Declarations { faults }),
        Err(twice) => {
            faults.extend(twice);
            Err(CommandError::Declarations { faults })
        }
    }
}

fn find(folder: &Path, paths: &mut Vec<PathBuf>) -> Result<(), CommandError> {
    for entry in fs::read_dir(folder).map_err(unreadable(folder))? {
        let path = entry.map_err(unreadable(folder))?.path();
        if path.is_dir() {
            find(&path, paths)?;
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
