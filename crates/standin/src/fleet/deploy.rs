//! What the platform gives a process to start with: its settings, rendered from a template, and the
//! operator's configuration.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// A machine and its addresses.
#[derive(Debug, Clone, Copy)]
pub struct Node<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its failure domain.
    pub zone: &'a str,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Port at which it says whether it is ready.
    pub ready: u16,
    /// Ports for its own use.
    pub internal: [u16; 2],
    /// Where it finds the store.
    pub store: SocketAddr,
}

/// Renders a template of settings for `node`; returns the first placeholder without a value as an
/// error.
///
/// # Errors
///
/// Fails if the template asks for something that the stand-in does not have.
pub fn render(template: &str, node: &Node<'_>) -> Result<String, String> {
    let ip = node.callers.ip();
    let values = [
        ("node", node.name.to_owned()),
        ("zone", node.zone.to_owned()),
        ("ip", ip.to_string()),
        ("limits.cpu_share", "0.2".to_owned()),
        ("limits.cores", "1".to_owned()),
        ("limits.memory_mb", "256".to_owned()),
        ("listen.front", node.callers.to_string()),
        ("listen.ready", format!("{ip}:{}", node.ready)),
        ("internal_ports.0", node.internal[0].to_string()),
        ("internal_ports.1", node.internal[1].to_string()),
        ("platform.address", node.store.to_string()),
        ("bounds.budget_ratio", "0.2".to_owned()),
        ("bounds.budget_slack", "62".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.grace_s", "6".to_owned()),
        ("#bounds.cold_over", String::new()),
        ("bounds.cold_over", "1.5".to_owned()),
        ("bounds.cold_slack", "8".to_owned()),
        ("/bounds.cold_over", String::new()),
    ];
    let mut text = template.to_owned();
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

/// A request that callers may make.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Path.
    pub path: &'static str,
    /// Headers.
    pub headers: [(&'static str, &'static str); 3],
}

/// A read on one key, by the route of [`configuration`].
pub const SAMPLE: Sample = Sample {
    path: "/r/x",
    headers: [
        ("host", "reads.example"),
        ("medlardyke-request-id", "mine"),
        ("medlardyke-shard-key", "7"),
    ],
};

impl Sample {
    /// Returns a command that makes the request at `host`.
    #[must_use]
    pub fn curl(&self, host: SocketAddr) -> String {
        let headers = self.headers.map(|(k, v)| format!("-H '{k}: {v}'"));
        format!("curl -i {} http://{host}{}", headers.join(" "), self.path)
    }
}

/// Builds an operator's configuration with two routes: reads of a service that is divided by key,
/// and posts to `post_service`.
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

/// Adds to an operator's configuration how long the servers of all services are cold after a start, and how
/// many requests a second they bear meanwhile.
///
/// # Panics
///
/// Panics if `configuration` is none.
#[must_use]
pub fn with_warmup(mut configuration: Value, span_s: f64, per_s: f64) -> Value {
    let services = &mut configuration["services"];
    let columns = services["columns"].as_array_mut().expect("columns");
    columns.extend([json!("warmup_s"), json!("warmup_per_s")]);
    for row in services["rows"].as_array_mut().expect("rows") {
        let row = row.as_array_mut().expect("a row");
        row.extend([json!(span_s), json!(per_s)]);
    }
    configuration
}
