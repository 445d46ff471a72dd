//! Who the operator is, and where platform and hosts are.

use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, anyhow};
use catalogue::schema::AddressSchema;
use ids::OperatorId;
use platform::{HttpPlatform, HttpSettings, Token};
use schemars::JsonSchema;
use serde::Deserialize;
use smol_str::SmolStr;

/// Environment variable with the operator's name.
pub const OPERATOR_VAR: &str = "MEDLARDYKE_OPERATOR";
/// Environment variable with the operator's token.
pub const TOKEN_VAR: &str = "MEDLARDYKE_TOKEN";
/// Environment variable with the platform's address.
pub const PLATFORM_VAR: &str = "MEDLARDYKE_PLATFORM";

/// Who the operator is, and where platform and hosts are.
///
/// Each of the environment variables replaces its field.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// The operator's name, as the platform knows it.
    pub operator: Option<OperatorId>,
    /// The operator's token; better kept in a file of its own or in the environment.
    #[schemars(with = "Option<String>")]
    pub token: Option<Token>,
    /// File with the token.
    pub token_file: Option<PathBuf>,
    /// The platform's address.
    #[schemars(with = "Option<AddressSchema>")]
    pub platform: Option<SocketAddr>,
    /// Time for one call to the platform, in milliseconds.
    pub timeout_ms: Option<u32>,
    /// Addresses of entry hosts, for `status` and for waiting until a change is in force.
    #[schemars(with = "Vec<AddressSchema>")]
    pub hosts: Vec<SocketAddr>,
}

impl OperatorSettings {
    /// Reads the file, if there is one, and the environment.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or has faults, or if a variable makes no sense.
    pub fn load(file: Option<&Path>) -> anyhow::Result<Self> {
        let mut settings = match file {
            Some(file) => catalogue::document::read(file)?,
            None => Self::default(),
        };
        let dir = file.and_then(Path::parent).unwrap_or(Path::new("."));
        settings.read_token(dir)?;
        settings.overlay(|name| env::var(name).ok())?;
        Ok(settings)
    }

    /// Replaces fields by the variables that `var` finds.
    ///
    /// # Errors
    ///
    /// Fails if a variable makes no sense.
    pub fn overlay(&mut self, var: impl Fn(&str) -> Option<String>) -> anyhow::Result<()> {
        if let Some(text) = var(OPERATOR_VAR) {
            self.operator = Some(text.parse().context(OPERATOR_VAR)?);
        }
        if let Some(text) = var(TOKEN_VAR) {
            self.token = Some(Token::new(text).context(TOKEN_VAR)?);
        }
        if let Some(text) = var(PLATFORM_VAR) {
            self.platform = Some(text.parse().context(PLATFORM_VAR)?);
        }
        Ok(())
    }

    fn read_token(&mut self, dir: &Path) -> anyhow::Result<()> {
        let Some(file) = &self.token_file else {
            return Ok(());
        };
        let file = dir.join(file);
        let read = || format!("read {}", file.display());
        let text = std::fs::read_to_string(&file).with_context(read)?;
        self.token = Some(Token::new(SmolStr::from(text.trim())).with_context(read)?);
        Ok(())
    }

    /// Returns the operator's name.
    ///
    /// # Errors
    ///
    /// Fails if none is set.
    pub fn operator(&self) -> anyhow::Result<OperatorId> {
        let missing = || anyhow!("no operator: set {OPERATOR_VAR} or \"operator\" in --settings");
        self.operator.clone().ok_or_else(missing)
    }

    /// Returns a client of the platform.
    ///
    /// # Errors
    ///
    /// Fails if no address is set.
    pub fn platform(&self) -> anyhow::Result<HttpPlatform> {
        let missing = || anyhow!("no platform: set {PLATFORM_VAR} or \"platform\" in --settings");
        let mut http = HttpSettings {
            address: self.platform.ok_or_else(missing)?,
            token: self.token.clone().unwrap_or_default(),
            ..HttpSettings::default()
        };
        if let Some(ms) = self.timeout_ms {
            http.timeout = Duration::from_millis(ms.into());
        }
        Ok(HttpPlatform::new(http))
    }
}
