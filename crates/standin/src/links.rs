//! Failures of the links between single hosts and a simulated upstream.
//!
//! A hanging link loses packets: a filter on the server's sockets drops those of the host before the
//! system acknowledges them, so that connections neither open nor end.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use socket2::{SockFilter, SockRef, Socket};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http::{FullResponse, Request, serve_connection};

/// How the link between a host and an upstream fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkCut {
    /// All packets are lost.
    Hangs,
    /// Open connections and new ones are reset.
    Resets,
    /// Open connections work, new ones are reset.
    RefusesNew,
}

/// Failed links, by the address of the host.
pub(crate) type LinkCuts = HashMap<IpAddr, LinkCut>;

/// Classic BPF instructions: load a word of the packet, compare it, return.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// Offset of the source address in the IPv4 header, in a filter that runs above that header.
const SOURCE_ADDRESS: u32 = (-0x10_0000_i32).cast_unsigned() + 12;
/// Verdicts: the number of bytes of the packet that are kept.
const DROP: u32 = 0;
const ACCEPT: u32 = u32::MAX;

/// Loses the packets of new connections over hanging links.
pub(crate) fn apply_to_listener(listener: &TcpListener, cuts: &LinkCuts) {
    let hanging = cuts.iter().filter(|(_, cut)| **cut == LinkCut::Hangs);
    let hosts: Vec<Ipv4Addr> = hanging.filter_map(|(host, _)| as_v4(*host)).collect();
    drop_packets_of(&SockRef::from(listener), &hosts);
}

/// Returns whether new connections of `host` are accepted, and not reset.
pub(crate) fn accepts_from(cuts: &LinkCuts, host: IpAddr) -> bool {
    !matches!(cuts.get(&host), Some(LinkCut::Resets | LinkCut::RefusesNew))
}

/// Serves a connection; while the link to `peer` hangs, it receives and sends nothing.
pub(crate) async fn serve_over_link<F, Fut>(
    socket: TcpStream,
    peer: SocketAddr,
    mut cuts: watch::Receiver<LinkCuts>,
    stop: CancellationToken,
    handle: F,
) where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = FullResponse>,
{
    let Ok(handle_to_socket) = SockRef::from(&socket).try_clone() else {
        return;
    };
    let mut served = std::pin::pin!(serve_connection(socket, stop, handle));
    loop {
        let cut = cuts.borrow_and_update().get(&peer.ip()).copied();
        apply_to_connection(&handle_to_socket, peer.ip(), cut);
        let changed = match cut {
            Some(LinkCut::Resets) => return,
            Some(LinkCut::Hangs) => cuts.changed().await,
            Some(LinkCut::RefusesNew) | None => tokio::select! {
                () = served.as_mut() => return,
                changed = cuts.changed() => changed,
            },
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Loses the packets of a connection with `host`, or arranges that its close resets it.
fn apply_to_connection(socket: &Socket, host: IpAddr, cut: Option<LinkCut>) {
    match cut {
        Some(LinkCut::Hangs) => drop_packets_of(socket, as_v4(host).as_slice()),
        Some(LinkCut::Resets) => {
            // If this fails, the host observes an orderly close, which is a failure too.
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        Some(LinkCut::RefusesNew) | None => drop_packets_of(socket, &[]),
    }
}

fn as_v4(host: IpAddr) -> Option<Ipv4Addr> {
    match host {
        IpAddr::V4(host) => Some(host),
        IpAddr::V6(_) => None,
    }
}

/// Drops all packets that `socket` receives from `hosts`, and no others.
fn drop_packets_of(socket: &Socket, hosts: &[Ipv4Addr]) {
    if hosts.is_empty() {
        // Fails if there is no filter.
        let _ = socket.detach_filter();
        return;
    }
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for host in hosts {
        program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*host)));
        program.push(SockFilter::new(RETURN, 0, 0, DROP));
    }
    program.push(SockFilter::new(RETURN, 0, 0, ACCEPT));
    let attached = socket.attach_filter(&program);
    attached.expect("the system accepts a filter");
}
