//! Initial inputs of a process: its settings, rendered from a template, and the operator's
//! configuration.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// A host's name, failure domain and addresses.
#[derive(Debug, Clone, Copy)]
pub struct HostDeployment<'a> {
    /// Name.
    pub name: &'a str,
    /// Failure domain.
    pub domain: &'a str,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Port of the readiness endpoint.
    pub ready: u16,
    /// Ports for internal use.
    pub internal: [u16; 2],
    /// Address of the store.
    pub store: SocketAddr,
    /// Whether all hosts start for the first time.
    pub is_first_start: bool,
}

/// Renders a template of settings for `host`.
///
/// # Errors
///
/// Fails with the name of the first placeholder for which the stand-in has no value.
pub fn render(template: &str, host: &HostDeployment<'_>) -> Result<String, String> {
    let ip = host.callers.ip();
    let values = [
        ("node", host.name.to_owned()),
        ("zone", host.domain.to_owned()),
        ("ip", ip.to_string()),
        ("limits.cpu_share", "0.2".to_owned()),
        ("limits.cores", "1".to_owned()),
        ("limits.memory_mb", "256".to_owned()),
        ("listen.front", host.callers.to_string()),
        ("listen.ready", format!("{ip}:{}", host.ready)),
        ("internal_ports.0", host.internal[0].to_string()),
        ("internal_ports.1", host.internal[1].to_string()),
        ("platform.address", host.store.to_string()),
        ("bounds.budget_ratio", "0.2".to_owned()),
        ("bounds.budget_slack", "62".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.grace_s", "6".to_owned()),
        ("#bounds.cold_over", String::new()),
        ("bounds.cold_over", "1.5".to_owned()),
        ("bounds.cold_slack", "8".to_owned()),
        ("/bounds.cold_over", String::new()),
    ];
    let mut text = render_first_start(template, host.is_first_start);
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    match text.split_once("{{") {
        None => Ok(text),
        Some((_, rest)) => {
            let name = rest.split("}}").next().unwrap_or_default();
            Err(format!("no value for {name}"))
        }
    }
}

/// Renders the section of a template that is for the first start only.
fn render_first_start(template: &str, is_first_start: bool) -> String {
    let section = template
        .split_once("{{#bootstrap}}")
        .and_then(|(before, rest)| Some((before, rest.split_once("{{/bootstrap}}")?)));
    match section {
        None => template.to_owned(),
        Some((before, (inside, after))) if is_first_start => format!("{before}{inside}{after}"),
        Some((before, (_, after))) => format!("{before}{after}"),
    }
}

/// An example of a caller's request.
#[derive(Debug, Clone, Copy)]
pub struct SampleRequest {
    /// Path.
    pub path: &'static str,
    /// Headers.
    pub headers: [(&'static str, &'static str); 3],
}

/// A read of one key on the route in [`configuration`].
pub const SAMPLE_REQUEST: SampleRequest = SampleRequest {
    path: "/r/x",
    headers: [
        ("host", "reads.example"),
        ("medlardyke-request-id", "mine"),
        ("medlardyke-shard-key", "7"),
    ],
};

impl SampleRequest {
    /// Returns a `curl` command that sends the request to `host`.
    #[must_use]
    pub fn curl(&self, host: SocketAddr) -> String {
        let headers = self.headers.map(|(k, v)| format!("-H '{k}: {v}'"));
        format!("curl -i {} http://{host}{}", headers.join(" "), self.path)
    }
}

/// Builds an operator's configuration with three routes: reads and orders of a service that is divided
/// by key, and posts to `post_service`.
#[must_use]
pub fn configuration(version: u64, post_timeout_s: f64, post_service: &str) -> Value {
    json!({
        "version": format!("{version:08x}"),
        "routes": {
            "columns": ["name", "host", "prefix", "route_kind", "timeout_s", "aim_s", "priority",
                "split", "max_attempts", "service"],
            "rows": [
                ["reads", "reads.example", "/r/", "safe", 4.0, 0.6, 1, null, 2, "reads"],
                ["posts", "posts.example", "/p/", "unsafe", post_timeout_s, 0.8, 0, null, 2,
                    post_service],
                ["orders", "reads.example", "/o/", "unsafe", 4.0, 0.8, 1, null, 2, "reads"],
            ],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "protocol", "tls", "sharded",
                "warm_s", "grants"],
            "rows": [
                ["reads", "/healthz", 130, "h1", false, true, 2.0, "invoke"],
                ["posts", "/healthz", 130, "h1", false, null, null, null],
                ["other", "/healthz", 130, "h1", false, null, null, null],
            ],
        },
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout_s": 3,
            "idle_timeout_s": 15},
    })
}

/// Adds warm-up limits to all services of an operator's configuration: the duration after a
/// server's start, and the requests per second that the server can handle in that time.
///
/// # Panics
///
/// Panics if `configuration` is not an operator's configuration.
#[must_use]
pub fn with_warmup(mut configuration: Value, duration_s: f64, per_s: f64) -> Value {
    let services = &mut configuration["services"];
    let columns = services["columns"].as_array_mut().expect("columns");
    columns.extend([json!("warmup_s"), json!("warmup_per_s")]);
    for row in services["rows"].as_array_mut().expect("rows") {
        let row = row.as_array_mut().expect("a row");
        row.extend([json!(duration_s), json!(per_s)]);
    }
    configuration
}
