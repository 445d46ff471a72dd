//! Reads and writes a directory of declarations.
//!
//! | file | content |
//! |---|---|
//! | `domains.json` | all domains, by name |
//! | `entries/NAME.json` | the entry called `NAME` |
//! | `upstreams/*.json` | upstreams, by name; customarily one file for each entry |

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
use crate::json;
use crate::schema::{self, FileKind, NAME_RULE, excerpt};
use crate::verify::{Sources, verify_with_sources};

/// Name of the file of the domains.
pub const DOMAINS_FILE: &str = "domains.json";
/// Name of the folder of the entries' files.
pub const ENTRIES_DIR: &str = "entries";
/// Name of the folder of the upstreams' files.
pub const UPSTREAMS_DIR: &str = "upstreams";

/// Reads the directory of declarations `dir`.
///
/// The items of the result are sorted by name.
///
/// # Errors
///
/// Lists all faults of all files, sorted by file and JSON pointer.
pub fn load(dir: impl AsRef<Path>) -> Result<Catalogue, Faults> {
    let (catalogue, _) = load_with_sources(dir)?;
    Ok(catalogue)
}

/// Reads the directory of declarations `dir` and returns the files of the upstreams too.
///
/// # Errors
///
/// Lists all faults of all files, sorted by file and JSON pointer.
pub fn load_with_sources(dir: impl AsRef<Path>) -> Result<(Catalogue, Sources), Faults> {
    let mut loader = Loader::default();
    let dir = dir.as_ref();
    loader.load_domains(dir);
    for file in loader.list_files(dir, ENTRIES_DIR) {
        loader.load_entry(dir, &file);
    }
    for file in loader.list_files(dir, UPSTREAMS_DIR) {
        loader.load_upstreams(dir, &file);
    }
    loader.catalogue.sort();
    let reported: Vec<(SmolStr, String)> = loader.faults.iter().map(location).collect();
    let verify_faults = verify_with_sources(&loader.catalogue, &loader.sources);
    loader.faults.extend(
        verify_faults
            .into_iter()
            .filter(|f| !reported.contains(&location(f))),
    );
    if loader.faults.is_empty() {
        return Ok((loader.catalogue, loader.sources));
    }
    loader.faults.sort();
    Err(Faults(loader.faults))
}

fn location(f: &Fault) -> (SmolStr, String) {
    (f.file.clone(), f.pointer.clone())
}

/// Reads the files of one directory and collects their faults.
#[derive(Default)]
struct Loader {
    catalogue: Catalogue,
    sources: Sources,
    faults: Vec<Fault>,
}

impl Loader {
    fn report(
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

    /// Lists the JSON files of a folder, sorted by name; a missing folder has none.
    fn list_files(&mut self, dir: &Path, folder: &str) -> Vec<SmolStr> {
        let names = match list_json_files(&dir.join(folder)) {
            Ok(names) => names,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => {
                self.report(
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

    /// Reads a file and reports its schema violations.
    ///
    /// Returns the body and whether it matches the schema, or `None` if the file can't be read or
    /// is not JSON. Members that the schema does not have are removed from the body, so that the
    /// remaining members can be checked further.
    fn read_file(&mut self, dir: &Path, file: &SmolStr, kind: FileKind) -> Option<(Value, bool)> {
        let body = match fs::read_to_string(dir.join(file.as_str())) {
            Ok(body) => body,
            Err(e) => {
                let found = match e.kind() {
                    io::ErrorKind::NotFound => "no such file".to_owned(),
                    _ => e.to_string(),
                };
                self.report(file, "", found, "a file that can be read");
                return None;
            }
        };
        let parsed = match json::parse(&body) {
            Ok(parsed) => parsed,
            Err(e) => {
                self.report(file, "", e.to_string(), "JSON");
                return None;
            }
        };
        let faults = schema::check(kind, &parsed.value);
        let valid = faults.is_empty();
        for pointer in parsed.duplicates {
            self.report(
                file,
                pointer,
                "a member that is written twice",
                "each member once",
            );
        }
        let mut body = parsed.value;
        for f in faults {
            if f.unknown {
                json::remove(&mut body, &f.pointer);
            }
            self.report(file, f.pointer, f.found, f.allowed);
        }
        Some((body, valid))
    }

    /// Parses one item and adds it to the catalogue.
    ///
    /// A parse error is reported only if the file is `valid`: otherwise its schema violations are
    /// reported already.
    fn add_item(&mut self, file: &SmolStr, pointer: &str, key: ItemKey, body: &Value, valid: bool) {
        match Item::from_json(&key, body) {
            Ok(item) => self.catalogue.set(&key, Some(item)),
            Err(e) => {
                self.sources.unreadable.insert(key);
                if valid {
                    self.report(file, pointer, excerpt(body), e.to_string());
                }
            }
        }
    }

    fn load_domains(&mut self, dir: &Path) {
        let file = SmolStr::new_static(DOMAINS_FILE);
        let Some((body, valid)) = self.read_file(dir, &file, FileKind::Domains) else {
            self.sources.domains_unreadable = true;
            return;
        };
        for (name, body) in members(&body) {
            let Ok(id) = DomainId::new(name) else {
                continue;
            };
            let pointer = json::join("", name);
            self.add_item(&file, &pointer, ItemKey::Domain(id), body, valid);
        }
    }

    fn load_entry(&mut self, dir: &Path, file: &SmolStr) {
        let name = file_stem(file);
        let id = match EntryId::new(name) {
            Ok(id) => id,
            Err(_not_a_name) => {
                let found = format!("file name {name:?}");
                self.report(file, "", found, format!("a name of {NAME_RULE}, and .json"));
                return;
            }
        };
        let key = ItemKey::Entry(id);
        match self.read_file(dir, file, FileKind::Entry) {
            Some((body, valid)) => self.add_item(file, "", key, &body, valid),
            None => {
                self.sources.unreadable.insert(key);
            }
        }
    }

    fn load_upstreams(&mut self, dir: &Path, file: &SmolStr) {
        let Some((body, valid)) = self.read_file(dir, file, FileKind::Upstreams) else {
            return;
        };
        for (name, body) in members(&body) {
            let Ok(id) = UpstreamId::new(name) else {
                continue;
            };
            let pointer = json::join("", name);
            if let Some(first) = self.sources.upstreams.insert(id.clone(), file.clone()) {
                let allowed = format!("each upstream once; {first} has it too");
                self.report(file, pointer, format!("upstream {name}"), allowed);
                self.sources.upstreams.insert(id, first);
                continue;
            }
            self.add_item(file, &pointer, ItemKey::Upstream(id), body, valid);
        }
    }
}

/// Returns the names of the files with the extension `json`, sorted.
fn list_json_files(folder: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for file in fs::read_dir(folder)? {
        let name = file?.file_name().to_string_lossy().into_owned();
        if Path::new(&name)
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            names.push(name);
        }
    }
    names.sort();
    Ok(names)
}

/// Returns the name of a file without its folder and the extension `.json`.
fn file_stem(file: &str) -> &str {
    let name = file.rsplit('/').next().unwrap_or(file);
    name.strip_suffix(".json").unwrap_or(name)
}

fn members(body: &Value) -> impl Iterator<Item = (&String, &Value)> {
    body.as_object().into_iter().flat_map(Map::iter)
}

/// Writes `catalogue` to the directory `dir`, in the layout that [`load`] reads.
///
/// Declaration files without an item of `catalogue` are removed. Each upstream is written to the
/// file that `sources` names for it, or else to the file of its entry.
///
/// # Errors
///
/// Fails if a file can't be written or removed.
pub fn store(dir: &Path, catalogue: &Catalogue, sources: &Sources) -> io::Result<()> {
    fs::create_dir_all(dir.join(ENTRIES_DIR))?;
    fs::create_dir_all(dir.join(UPSTREAMS_DIR))?;
    let mut files: IndexMap<SmolStr, String> = IndexMap::new();
    files.insert(DOMAINS_FILE.into(), to_pretty_json(&catalogue.domains));
    for (id, entry) in &catalogue.entries {
        files.insert(
            format_smolstr!("{ENTRIES_DIR}/{id}.json"),
            to_pretty_json(entry),
        );
    }
    for (file, upstreams) in upstreams_by_file(catalogue, sources) {
        files.insert(file, to_pretty_json(&upstreams));
    }
    for folder in [ENTRIES_DIR, UPSTREAMS_DIR] {
        for name in list_json_files(&dir.join(folder))? {
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

/// Returns the upstreams of each file.
fn upstreams_by_file<'a>(
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

fn to_pretty_json<T: Serialize>(body: &T) -> String {
    let mut text =
        serde_json::to_string_pretty(body).expect("a declaration can be serialized as JSON");
    text.push('\n');
    text
}
