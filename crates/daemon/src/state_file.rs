//! Small files of the state folder: the epoch, and files of the folder's first layout. A file is written under a
//! temporary name, synced and renamed, so that after a crash it has either the old or the new content.

use runloom_netconf::tree::Element;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A folder of small XML files.
pub struct StateFiles {
    folder: PathBuf,
}

impl StateFiles {
    /// Opens the folder, and creates it if it does not exist.
    pub fn open(folder: &Path) -> io::Result<StateFiles> {
        fs::create_dir_all(folder)?;
        Ok(StateFiles { folder: folder.to_path_buf() })
    }

    /// Writes a file. Once this returns, the content survives a power failure.
    pub fn write(&self, name: &str, content: &Element) -> io::Result<()> {
        let temporary = self.folder.join(format!("{name}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(content.to_text().as_bytes())?;
        file.sync_all()?;
        fs::rename(&temporary, self.folder.join(name))?;
        File::open(&self.folder)?.sync_all()
    }

    /// Renames a file to `NAME.old`, if it exists.
    pub fn set_aside(&self, name: &str) -> io::Result<()> {
        match fs::rename(self.folder.join(name), self.folder.join(format!("{name}.old"))) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Reads a file; `None` if it does not exist. A malformed file is renamed to `NAME.broken`, logged, and taken as
    /// missing.
    pub fn read(&self, name: &str) -> io::Result<Option<Element>> {
        let path = self.folder.join(name);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        match Element::parse(&text) {
            Ok(element) => Ok(Some(element)),
            Err(malformed) => {
                let aside = self.folder.join(format!("{name}.broken"));
                fs::rename(&path, &aside)?;
                let reason = malformed.reason;
                tracing::error!(file = %path.display(), aside = %aside.display(), %reason, "malformed file");
                Ok(None)
            }
        }
    }
}
