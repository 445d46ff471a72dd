//! The shape of declarations: JSON schemas, and all faults against them.

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
use crate::strict;

/// Format name of an address in the schemas.
const ADDRESS_FORMAT: &str = "ip-and-port";

/// The schema of an address; stands in for [`SocketAddr`], whose own schema takes any text.
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
    /// `domains.json`: all domains by name.
    Domains,
    /// `entries/NAME.json`: one entry.
    Entry,
    /// `upstreams/*.json`: some upstreams by name.
    Upstreams,
}

impl FileKind {
    /// All kinds.
    pub const ALL: &'static [Self] = &[Self::Domains, Self::Entry, Self::Upstreams];

    /// Returns the name used on the command line.
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

    fn shape(self) -> &'static Shape {
        static DOMAINS: LazyLock<Shape> = LazyLock::new(|| Shape::new(FileKind::Domains));
        static ENTRY: LazyLock<Shape> = LazyLock::new(|| Shape::new(FileKind::Entry));
        static UPSTREAMS: LazyLock<Shape> = LazyLock::new(|| Shape::new(FileKind::Upstreams));
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

/// States the largest value of a 32-bit number, which its format alone does not.
fn limit_integer(schema: &mut Schema) {
    if schema.get("format").is_some_and(|f| f == "uint32") {
        schema.insert("maximum".to_owned(), Value::from(u32::MAX));
    }
}

/// A schema, ready for checks.
struct Shape {
    schema: Value,
    validator: Validator,
}

impl Shape {
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

    fn check(&self, body: &Value) -> Vec<ShapeFault> {
        let mut faults = Vec::new();
        for e in self.validator.iter_errors(body) {
            self.explain(&e, &mut faults);
        }
        faults
    }

    /// Returns the part of the schema whose keyword `e` breaks.
    fn part(&self, e: &ValidationError<'_>) -> &Value {
        let path = e.schema_path().as_str();
        let parent = path.rsplit_once('/').map_or("", |(parent, _)| parent);
        self.schema.pointer(parent).unwrap_or(&Value::Null)
    }

    fn explain(&self, e: &ValidationError<'_>, faults: &mut Vec<ShapeFault>) {
        match e.kind() {
            ValidationErrorKind::OneOfNotValid { context } => {
                self.explain_choice(e, context, faults);
            }
            ValidationErrorKind::AdditionalProperties { unexpected } => {
                let allowed = members(self.part(e));
                faults.extend(unexpected.iter().map(|name| ShapeFault {
                    pointer: strict::join(e.instance_path().as_str(), name),
                    found: format!("member {name:?}"),
                    allowed: allowed.clone(),
                    unknown: true,
                }));
            }
            kind => faults.push(ShapeFault {
                pointer: e.instance_path().to_string(),
                found: found(e, kind),
                allowed: allowed(e, kind),
                unknown: false,
            }),
        }
    }

    /// Explains the faults of the alternative that the author meant, if its tag tells,
    /// or lists the alternatives.
    fn explain_choice(
        &self,
        e: &ValidationError<'_>,
        context: &[Vec<ValidationError<'static>>],
        faults: &mut Vec<ShapeFault>,
    ) {
        let choices = self.part(e)["oneOf"]
            .as_array()
            .map_or(&[][..], Vec::as_slice);
        let tags: Vec<Tag<'_>> = choices.iter().filter_map(Tag::of).collect();
        let meant = tags.iter().position(|tag| tag.fits(e.instance()));
        if let Some(errors) = meant.and_then(|i| context.get(i)) {
            for e in errors {
                self.explain(e, faults);
            }
            return;
        }
        let tags: Vec<String> = tags.iter().map(Tag::to_string).collect();
        faults.push(ShapeFault {
            pointer: e.instance_path().to_string(),
            found: show(e.instance()),
            allowed: format!("one of {}", tags.join(", ")),
            unknown: false,
        });
    }
}

/// What tells one alternative of a choice from the others.
enum Tag<'a> {
    /// The value itself.
    Value(&'a Value),
    /// A member with a fixed value.
    Member(&'a str, &'a Value),
    /// The presence of a member.
    Presence(&'a str),
}

impl<'a> Tag<'a> {
    fn of(choice: &'a Value) -> Option<Self> {
        if let Some(value) = choice.get("const") {
            return Some(Self::Value(value));
        }
        let fixed = choice["properties"]
            .as_object()?
            .iter()
            .find_map(|(name, schema)| Some((name, schema.get("const")?)));
        if let Some((name, value)) = fixed {
            return Some(Self::Member(name, value));
        }
        choice["required"][0].as_str().map(Self::Presence)
    }

    fn fits(&self, instance: &Value) -> bool {
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

/// A fault of shape within one file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ShapeFault {
    pub(crate) pointer: String,
    pub(crate) found: String,
    pub(crate) allowed: String,
    /// Whether this is a member that should not be there at all.
    pub(crate) unknown: bool,
}

/// Lists all faults of shape of a file.
pub(crate) fn check(kind: FileKind, body: &Value) -> Vec<ShapeFault> {
    kind.shape().check(body)
}

/// Lists all faults of shape of a file that holds one `T`.
pub(crate) fn check_as<T: JsonSchema>(body: &Value) -> Vec<ShapeFault> {
    Shape::of(generate::<T>("File")).check(body)
}

/// Writes a value for a message; a long one is cut.
pub(crate) fn show(value: &Value) -> String {
    const LONGEST: usize = 80;
    let text = value.to_string();
    if text.chars().count() <= LONGEST {
        return text;
    }
    let start: String = text.chars().take(LONGEST).collect();
    format!("{start}...")
}

/// Says which members the object schema `part` allows.
fn members(part: &Value) -> String {
    let Some(properties) = part["properties"].as_object() else {
        return format!("names of {NAME_RULE}");
    };
    let names: Vec<&str> = properties.keys().map(String::as_str).collect();
    format!("members {}", names.join(", "))
}

fn found(e: &ValidationError<'_>, kind: &ValidationErrorKind) -> String {
    match kind {
        ValidationErrorKind::Required { .. } => "nothing".to_owned(),
        _ => show(e.instance()),
    }
}

fn allowed(e: &ValidationError<'_>, kind: &ValidationErrorKind) -> String {
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
