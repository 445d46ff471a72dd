//! `medlardyke direct`.

use std::process::ExitCode;
use std::sync::Arc;

use adapter::{GrantConnections, Headers, Store};

use crate::args::ServeArgs;
use crate::exit;
use crate::serve::abort_on_panic;

/// Runs an entry host that sends to upstreams itself.
pub(crate) fn run(args: &ServeArgs) -> ExitCode {
    abort_on_panic();
    let store = |cfg: &front::Settings| {
        let grant_connections = GrantConnections::new(cfg.upstream_source);
        Store::with_grant_connections(cfg.store.address, grant_connections)
    };
    let header_format: Arc<dyn front::HeaderFormat> = Arc::new(Headers);
    match front::run(&args.settings, &header_format, store) {
        Ok(()) => ExitCode::from(exit::OK),
        Err(e) => exit::fail(exit::FAILED, format!("{e:#}")),
    }
}
