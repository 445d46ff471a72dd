//! JSON schemas of declarations, and validation that lists all faults.

use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::sync::LazyLock;

use ids::{DomainId, UpstreamId};
use indexmap::IndexMap;
use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::{ValidationError, Validator};
use schemars::generate::SchemaSettings;
use schemars::transform::RecursiveTransform;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde_json::Value;

use crate::declare::{Domain, Entry, Upstream};
use crate::json;

/// Format name of an address in the schemas.
const ADDRESS_FORMAT: &str = "ip-and-port";

/// The schema of an address.
///
/// It replaces the schema of [`SocketAddr`], which accepts any text.
#[derive(Debug)]
pub struct AddressSchema;

impl JsonSchema for AddressSchema {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> Cow<'static, str> {
        "Address".into()
    }

    fn json_schema(_generator: &mut SchemaGenerator) -> Schema {
        json_schema!({"type": "string", "format": ADDRESS_FORMAT})
    }
}

pub(crate) const NAME_RULE: &str = "1 to 96 of a-z, A-Z, 0-9, '-', '_' and '.'";

/// The kinds of declaration files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FileKind {
    /// `domains.json`: all domains, by name.
    Domains,
    /// `entries/NAME.json`: one entry.
    Entry,
    /// `upstreams/*.json`: some of the upstreams, by name.
    Upstreams,
}

impl FileKind {
    /// All kinds.
    pub const ALL: &'static [Self] = &[Self::Domains, Self::Entry, Self::Upstreams];

    /// Returns the name of the kind on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Domains => "domains",
            Self::Entry => "entry",
            Self::Upstreams => "upstreams",
        }
    }

    /// Returns the JSON schema of files of this kind.
    #[must_use]
    pub fn schema(self) -> Schema {
        match self {
            Self::Domains => generate::<IndexMap<DomainId, Domain>>("Domains"),
            Self::Entry => generate::<Entry>("Entry"),
            Self::Upstreams => generate::<IndexMap<UpstreamId, Upstream>>("Upstreams"),
        }
    }

    fn compiled_schema(self) -> &'static CompiledSchema {
        static DOMAINS: LazyLock<CompiledSchema> =
            LazyLock::new(|| CompiledSchema::new(FileKind::Domains));
        static ENTRY: LazyLock<CompiledSchema> =
            LazyLock::new(|| CompiledSchema::new(FileKind::Entry));
        static UPSTREAMS: LazyLock<CompiledSchema> =
            LazyLock::new(|| CompiledSchema::new(FileKind::Upstreams));
        match self {
            Self::Domains => &DOMAINS,
            Self::Entry => &ENTRY,
            Self::Upstreams => &UPSTREAMS,
        }
    }
}

fn generate<T: JsonSchema>(title: &str) -> Schema {
    let settings = SchemaSettings::draft2020_12();
    let settings = settings.with_transform(RecursiveTransform(limit_integer));
    let generator = settings.into_generator();
    let mut schema = generator.into_root_schema_for::<T>();
    schema.insert("title".to_owned(), Value::from(title));
    schema
}

/// Adds the maximum of a 32-bit integer, which its format alone does not limit.
fn limit_integer(schema: &mut Schema) {
    if schema.get("format").is_some_and(|f| f == "uint32") {
        schema.insert("maximum".to_owned(), Value::from(u32::MAX));
    }
}

/// A schema and its compiled validator.
struct CompiledSchema {
    schema: Value,
    validator: Validator,
}

impl CompiledSchema {
    fn new(kind: FileKind) -> Self {
        Self::of(kind.schema())
    }

    fn of(schema: Schema) -> Self {
        let schema = schema.to_value();
        let validator = jsonschema::options()
            .with_format(ADDRESS_FORMAT, |text: &str| {
                text.parse::<SocketAddr>().is_ok()
            })
            .should_validate_formats(true)
            .build(&schema)
            .expect("a generated schema is valid");
        Self { schema, validator }
    }

    fn check(&self, body: &Value) -> Vec<SchemaFault> {
        let mut faults = Vec::new();
        for e in self.validator.iter_errors(body) {
            self.explain(&e, &mut faults);
        }
        faults
    }

    /// Returns the subschema with the keyword that `e` violates.
    fn object_schema(&self, e: &ValidationError<'_>) -> &Value {
        let path = e.schema_path().as_str();
        let parent = path.rsplit_once('/').map_or("", |(parent, _)| parent);
        self.schema.pointer(parent).unwrap_or(&Value::Null)
    }

    /// Appends the faults that `e` stands for to `faults`.
    fn explain(&self, e: &ValidationError<'_>, faults: &mut Vec<SchemaFault>) {
        match e.kind() {
            ValidationErrorKind::OneOfNotValid { context } => {
                self.explain_one_of(e, context, faults);
            }
            ValidationErrorKind::AdditionalProperties { unexpected } => {
                let allowed = allowed_members(self.object_schema(e));
                faults.extend(unexpected.iter().map(|name| SchemaFault {
                    pointer: json::join(e.instance_path().as_str(), name),
                    found: format!("member {name:?}"),
                    allowed: allowed.clone(),
                    unknown: true,
                }));
            }
            kind => faults.push(SchemaFault {
                pointer: e.instance_path().to_string(),
                found: describe_found(e, kind),
                allowed: describe_allowed(e, kind),
                unknown: false,
            }),
        }
    }

    /// Reports the faults of the alternative that the author intended, if the value has the tag
    /// of one, and otherwise lists the alternatives.
    fn explain_one_of(
        &self,
        e: &ValidationError<'_>,
        context: &[Vec<ValidationError<'static>>],
        faults: &mut Vec<SchemaFault>,
    ) {
        let alternatives = self.object_schema(e)["oneOf"]
            .as_array()
            .map_or(&[][..], Vec::as_slice);
        let tags: Vec<Tag<'_>> = alternatives.iter().filter_map(Tag::of).collect();
        let intended = tags.iter().position(|tag| tag.matches(e.instance()));
        if let Some(errors) = intended.and_then(|i| context.get(i)) {
            for e in errors {
                self.explain(e, faults);
            }
            return;
        }
        let tags: Vec<String> = tags.iter().map(Tag::to_string).collect();
        faults.push(SchemaFault {
            pointer: e.instance_path().to_string(),
            found: excerpt(e.instance()),
            allowed: format!("one of {}", tags.join(", ")),
            unknown: false,
        });
    }
}

/// The value or member that distinguishes one alternative of a `oneOf` from the others.
enum Tag<'a> {
    /// The alternative is this value.
    Value(&'a Value),
    /// The alternative has a member with this fixed value.
    Member(&'a str, &'a Value),
    /// The alternative requires this member.
    Presence(&'a str),
}

impl<'a> Tag<'a> {
    fn of(alternative: &'a Value) -> Option<Self> {
        if let Some(value) = alternative.get("const") {
            return Some(Self::Value(value));
        }
        let fixed = alternative["properties"]
            .as_object()?
            .iter()
            .find_map(|(name, schema)| Some((name, schema.get("const")?)));
        if let Some((name, value)) = fixed {
            return Some(Self::Member(name, value));
        }
        alternative["required"][0].as_str().map(Self::Presence)
    }

    fn matches(&self, instance: &Value) -> bool {
        match *self {
            Self::Value(value) => instance == value,
            Self::Member(name, value) => instance.get(name) == Some(value),
            Self::Presence(name) => instance.get(name).is_some(),
        }
    }
}

impl fmt::Display for Tag<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Value(value) => value.fmt(f),
            Self::Member(name, value) => write!(f, "{{{name:?}: {value}, ...}}"),
            Self::Presence(name) => write!(f, "{{{name:?}: ...}}"),
        }
    }
}

/// A violation of the schema within one file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SchemaFault {
    pub(crate) pointer: String,
    pub(crate) found: String,
    pub(crate) allowed: String,
    /// Whether the fault is a member that the schema does not have.
    pub(crate) unknown: bool,
}

/// Lists all schema violations in a declaration file of the given kind.
pub(crate) fn check(kind: FileKind, body: &Value) -> Vec<SchemaFault> {
    kind.compiled_schema().check(body)
}

/// Lists all schema violations in a file that holds one `T`.
pub(crate) fn check_as<T: JsonSchema>(body: &Value) -> Vec<SchemaFault> {
    CompiledSchema::of(generate::<T>("File")).check(body)
}

/// Returns a value as JSON text for a message, truncated after 80 characters.
pub(crate) fn excerpt(value: &Value) -> String {
    const MAX_CHARS: usize = 80;
    let text = value.to_string();
    if text.chars().count() <= MAX_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_CHARS).collect();
    format!("{start}...")
}

/// Describes the members that the object schema `schema` allows.
fn allowed_members(schema: &Value) -> String {
    let Some(properties) = schema["properties"].as_object() else {
        return format!("names of {NAME_RULE}");
    };
    let names: Vec<&str> = properties.keys().map(String::as_str).collect();
    format!("members {}", names.join(", "))
}

fn describe_found(e: &ValidationError<'_>, kind: &ValidationErrorKind) -> String {
    match kind {
        ValidationErrorKind::Required { .. } => "nothing".to_owned(),
        _ => excerpt(e.instance()),
    }
}

fn describe_allowed(e: &ValidationError<'_>, kind: &ValidationErrorKind) -> String {
    match kind {
        ValidationErrorKind::Required { property } => format!("required member {property}"),
        ValidationErrorKind::Type {
            kind: TypeKind::Single(t),
        } => format!("{t}"),
        ValidationErrorKind::Minimum { limit } => format!("at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("at most {limit}"),
        ValidationErrorKind::Format { format } if format == ADDRESS_FORMAT => {
            "an IP address and a port, as 10.0.0.1:8080 or [fd00::1]:8080".to_owned()
        }
        ValidationErrorKind::Pattern { .. } => format!("a name of {NAME_RULE}"),
        _ => e.to_string(),
    }
}
