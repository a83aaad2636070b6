//! Single small files that outlast a planner's process: its epoch, and what folders of an earlier form held. A file is
//! written beside, synced and renamed, so that it is the old one or the new one, never a half of one.

use runloom_netconf::tree::Element;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

pub struct StateFile {
    folder: PathBuf,
}

impl StateFile {
    pub fn open(folder: &Path) -> io::Result<StateFile> {
        fs::create_dir_all(folder)?;
        Ok(StateFile { folder: folder.to_path_buf() })
    }

    /// Writes one file; once this returns, it is there after a power cut.
    pub fn write(&self, name: &str, content: &Element) -> io::Result<()> {
        let (beside, place) = (self.folder.join(format!("{name}.new")), self.folder.join(name));
        let mut file = File::create(&beside)?;
        file.write_all(content.to_text().as_bytes())?;
        file.sync_all()?;
        fs::rename(&beside, &place)?;
        File::open(&self.folder)?.sync_all()
    }

    /// Puts a file of an earlier form under another name, once what it held is kept otherwise.
    pub fn set_aside(&self, name: &str) -> io::Result<()> {
        match fs::rename(self.folder.join(name), self.folder.join(format!("{name}.old"))) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Reads one file. One that is broken is set aside under another name, and told.
    pub fn read(&self, name: &str) -> io::Result<Option<Element>> {
        let place = self.folder.join(name);
        let text = match fs::read_to_string(&place) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        match Element::parse(&text) {
            Ok(element) => Ok(Some(element)),
            Err(e) => {
                let aside = self.folder.join(format!("{name}.broken"));
                fs::rename(&place, &aside)?;
                tracing::error!(file = %place.display(), aside = %aside.display(), reason = %e.reason, "broken file");
                Ok(None)
            }
        }
    }
}
