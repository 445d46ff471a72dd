//! Applies what this host's requests revealed about upstreams.

use std::rc::Rc;

use ids::{BootClock, Clock};
use tokio::net::UdpSocket;

use crate::control::shared::SharedControl;
use crate::control::{crashes, heartbeat};
use crate::observation::{ObservationRx, UpstreamObservation};

/// Applies observations of the request thread as they arrive.
pub async fn watch(ctl: SharedControl, socket: Rc<UdpSocket>, mut observations: ObservationRx) {
    while let Some(observation) = observations.next().await {
        let now = BootClock.now();
        match observation {
            UpstreamObservation::Crashed {
                fingerprint,
                upstream,
            } => {
                let notices = ctl.with(|c| crashes::record_crash(c, now, fingerprint, &upstream));
                for (to, notice) in notices {
                    heartbeat::send_to(&ctl, &socket, &notice, to).await;
                }
            }
            UpstreamObservation::Status {
                upstream,
                sent_at,
                status,
            } => {
                if ctl.with(|c| c.apply_status(now, sent_at, &upstream, &status)) {
                    ctl.wake_lease_managers.notify_one();
                }
            }
        }
    }
}
