//! Reading and writing a directory of declarations.
//!
//! | file | holds |
//! |---|---|
//! | `domains.json` | all domains, by name |
//! | `entries/NAME.json` | the entry called `NAME` |
//! | `upstreams/*.json` | upstreams, by name; customarily one file an entry |

use std::fs;
use std::io;
use std::path::Path;

use ids::{DomainId, EntryId, UpstreamId};
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::{Map, Value};
use smol_str::{SmolStr, format_smolstr};

use crate::declare::{Catalogue, Upstream};
use crate::fault::{Fault, Faults};
use crate::item::{Item, ItemKey};
use crate::shape::{self, FileKind, NAME_RULE, show};
use crate::strict;
use crate::verify::{Sources, verify_from};

/// File of the domains.
pub const DOMAINS_FILE: &str = "domains.json";
/// Folder of the entries' files.
pub const ENTRIES_DIR: &str = "entries";
/// Folder of the upstreams' files.
pub const UPSTREAMS_DIR: &str = "upstreams";

/// Reads the directory of declarations `dir`.
///
/// Items come out sorted by name.
///
/// # Errors
///
/// Lists all faults of all files, by file and place.
pub fn load(dir: impl AsRef<Path>) -> Result<Catalogue, Faults> {
    let (catalogue, _) = load_with_sources(dir)?;
    Ok(catalogue)
}

/// Reads the directory of declarations `dir` and tells where each item stands.
///
/// # Errors
///
/// Lists all faults of all files, by file and place.
pub fn load_with_sources(dir: impl AsRef<Path>) -> Result<(Catalogue, Sources), Faults> {
    let mut cx = Context::default();
    let dir = dir.as_ref();
    cx.domains(dir);
    for file in cx.files(dir, ENTRIES_DIR) {
        cx.entry(dir, &file);
    }
    for file in cx.files(dir, UPSTREAMS_DIR) {
        cx.upstreams(dir, &file);
    }
    cx.catalogue.sort();
    let seen: Vec<(SmolStr, String)> = cx.faults.iter().map(place).collect();
    let further = verify_from(&cx.catalogue, &cx.sources);
    cx.faults
        .extend(further.into_iter().filter(|f| !seen.contains(&place(f))));
    if cx.faults.is_empty() {
        return Ok((cx.catalogue, cx.sources));
    }
    cx.faults.sort();
    Err(Faults(cx.faults))
}

fn place(f: &Fault) -> (SmolStr, String) {
    (f.file.clone(), f.pointer.clone())
}

#[derive(Default)]
struct Context {
    catalogue: Catalogue,
    sources: Sources,
    faults: Vec<Fault>,
}

impl Context {
    fn fault(
        &mut self,
        file: &SmolStr,
        pointer: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.faults.push(Fault {
            file: file.clone(),
            pointer: pointer.into(),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    /// Lists the JSON files of a folder, sorted; a folder that is missing has none.
    fn files(&mut self, dir: &Path, folder: &str) -> Vec<SmolStr> {
        let names = match list(&dir.join(folder)) {
            Ok(names) => names,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => {
                self.fault(
                    &folder.into(),
                    "",
                    e.to_string(),
                    "a folder that can be read",
                );
                Vec::new()
            }
        };
        names
            .into_iter()
            .map(|name| format_smolstr!("{folder}/{name}"))
            .collect()
    }

    /// Reads a file and lists its faults of shape.
    ///
    /// Returns the body and whether it has none, or nothing if it is no JSON at all. Members
    /// that should not be there are left out, so that the rest can be checked further.
    fn read(&mut self, dir: &Path, file: &SmolStr, kind: FileKind) -> Option<(Value, bool)> {
        let body = match fs::read_to_string(dir.join(file.as_str())) {
            Ok(body) => body,
            Err(e) => {
                let found = match e.kind() {
                    io::ErrorKind::NotFound => "no such file".to_owned(),
                    _ => e.to_string(),
                };
                self.fault(file, "", found, "a file that can be read");
                return None;
            }
        };
        let parsed = match strict::parse(&body) {
            Ok(parsed) => parsed,
            Err(e) => {
                self.fault(file, "", e.to_string(), "JSON");
                return None;
            }
        };
        let faults = shape::check(kind, &parsed.value);
        let sound = faults.is_empty();
        for pointer in parsed.repeated {
            self.fault(
                file,
                pointer,
                "a member that is written twice",
                "each member once",
            );
        }
        let mut body = parsed.value;
        for f in faults {
            if f.unknown {
                strict::remove(&mut body, &f.pointer);
            }
            self.fault(file, f.pointer, f.found, f.allowed);
        }
        Some((body, sound))
    }

    /// Reads one item; its faults of shape are listed already unless the file is `sound`.
    fn item(&mut self, file: &SmolStr, pointer: &str, key: ItemKey, body: &Value, sound: bool) {
        match Item::from_json(&key, body) {
            Ok(item) => self.catalogue.set(&key, Some(item)),
            Err(e) => {
                self.sources.unreadable.insert(key);
                if sound {
                    self.fault(file, pointer, show(body), e.to_string());
                }
            }
        }
    }

    fn domains(&mut self, dir: &Path) {
        let file = SmolStr::new_static(DOMAINS_FILE);
        let Some((body, sound)) = self.read(dir, &file, FileKind::Domains) else {
            self.sources.no_domains = true;
            return;
        };
        for (name, body) in members(&body) {
            let Ok(id) = DomainId::new(name) else {
                continue;
            };
            let pointer = strict::join("", name);
            self.item(&file, &pointer, ItemKey::Domain(id), body, sound);
        }
    }

    fn entry(&mut self, dir: &Path, file: &SmolStr) {
        let name = stem(file);
        let id = match EntryId::new(name) {
            Ok(id) => id,
            Err(_not_a_name) => {
                let found = format!("file name {name:?}");
                self.fault(file, "", found, format!("a name of {NAME_RULE}, and .json"));
                return;
            }
        };
        let key = ItemKey::Entry(id);
        match self.read(dir, file, FileKind::Entry) {
            Some((body, sound)) => self.item(file, "", key, &body, sound),
            None => {
                self.sources.unreadable.insert(key);
            }
        }
    }

    fn upstreams(&mut self, dir: &Path, file: &SmolStr) {
        let Some((body, sound)) = self.read(dir, file, FileKind::Upstreams) else {
            return;
        };
        for (name, body) in members(&body) {
            let Ok(id) = UpstreamId::new(name) else {
                continue;
            };
            let pointer = strict::join("", name);
            if let Some(first) = self.sources.upstreams.insert(id.clone(), file.clone()) {
                let allowed = format!("each upstream once; {first} has it too");
                self.fault(file, pointer, format!("upstream {name}"), allowed);
                self.sources.upstreams.insert(id, first);
                continue;
            }
            self.item(file, &pointer, ItemKey::Upstream(id), body, sound);
        }
    }
}

fn list(folder: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for file in fs::read_dir(folder)? {
        let name = file?.file_name().to_string_lossy().into_owned();
        if Path::new(&name).extension().is_some_and(|x| x == "json") {
            names.push(name);
        }
    }
    names.sort();
    Ok(names)
}

fn stem(file: &str) -> &str {
    let name = file.rsplit('/').next().unwrap_or(file);
    name.strip_suffix(".json").unwrap_or(name)
}

fn members(body: &Value) -> impl Iterator<Item = (&String, &Value)> {
    body.as_object().into_iter().flat_map(Map::iter)
}

/// Writes `catalogue` to the directory `dir`, in the layout that [`load`] reads.
///
/// Files of items that are not in `catalogue` are removed; upstreams stay in the files that
/// `sources` names, and others go to the file of their entry.
///
/// # Errors
///
/// Fails if a file can't be written or removed.
pub fn store(dir: &Path, catalogue: &Catalogue, sources: &Sources) -> io::Result<()> {
    fs::create_dir_all(dir.join(ENTRIES_DIR))?;
    fs::create_dir_all(dir.join(UPSTREAMS_DIR))?;
    let mut files: IndexMap<SmolStr, String> = IndexMap::new();
    files.insert(DOMAINS_FILE.into(), pretty(&catalogue.domains));
    for (id, entry) in &catalogue.entries {
        files.insert(format_smolstr!("{ENTRIES_DIR}/{id}.json"), pretty(entry));
    }
    for (file, upstreams) in by_file(catalogue, sources) {
        files.insert(file, pretty(&upstreams));
    }
    for folder in [ENTRIES_DIR, UPSTREAMS_DIR] {
        for name in list(&dir.join(folder))? {
            let file = format_smolstr!("{folder}/{name}");
            if !files.contains_key(&file) {
                fs::remove_file(dir.join(file.as_str()))?;
            }
        }
    }
    for (file, body) in files {
        fs::write(dir.join(file.as_str()), body)?;
    }
    Ok(())
}

fn by_file<'a>(
    catalogue: &'a Catalogue,
    sources: &Sources,
) -> IndexMap<SmolStr, IndexMap<&'a UpstreamId, &'a Upstream>> {
    let mut files: IndexMap<SmolStr, IndexMap<&UpstreamId, &Upstream>> = IndexMap::new();
    for (id, upstream) in &catalogue.upstreams {
        let file = sources.upstreams.get(id).cloned();
        let file =
            file.unwrap_or_else(|| format_smolstr!("{UPSTREAMS_DIR}/{}.json", upstream.entry));
        files.entry(file).or_default().insert(id, upstream);
    }
    files
}

fn pretty<T: Serialize>(body: &T) -> String {
    let mut text = serde_json::to_string_pretty(body).expect("declarations are plain JSON");
    text.push('\n');
    text
}
