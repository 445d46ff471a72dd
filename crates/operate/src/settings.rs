//! The operator's name and token, and the addresses of the platform and the hosts.

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

/// The operator's name and token, and the addresses of the platform and the hosts.
///
/// Each of the environment variables overrides its field.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// The operator's name on the platform.
    pub operator: Option<OperatorId>,
    /// The operator's token; prefer `token_file` or the environment variable.
    #[schemars(with = "Option<String>")]
    pub token: Option<Token>,
    /// File that contains the token.
    pub token_file: Option<PathBuf>,
    /// The platform's address.
    #[schemars(with = "Option<AddressSchema>")]
    pub platform: Option<SocketAddr>,
    /// Timeout of one call to the platform, in milliseconds.
    pub timeout_ms: Option<u32>,
    /// Addresses of entry hosts, for `status` and for waiting until a change is in force.
    #[schemars(with = "Vec<AddressSchema>")]
    pub hosts: Vec<SocketAddr>,
}

impl OperatorSettings {
    /// Reads the file, if given, and the environment.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or has faults, or if a variable is invalid.
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

    /// Overrides fields with the variables that `var` returns.
    ///
    /// # Errors
    ///
    /// Fails if a variable is invalid.
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
        let action = || format!("read {}", file.display());
        let text = std::fs::read_to_string(&file).with_context(action)?;
        self.token = Some(Token::new(SmolStr::from(text.trim())).with_context(action)?);
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
