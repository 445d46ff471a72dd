//! Applies what this host's requests revealed about upstreams.

use std::rc::Rc;

use ids::{BootClock, Clock};
use tokio::net::UdpSocket;

use crate::control::state::Ctl;
use crate::control::{beat, crashes};
use crate::observation::{ObservationRx, UpstreamObservation};

/// Applies observations of the request thread as they arrive.
pub async fn watch(ctl: Ctl, socket: Rc<UdpSocket>, mut news: ObservationRx) {
    while let Some(news) = news.next().await {
        let now = BootClock.now();
        match news {
            UpstreamObservation::Crashed {
                fingerprint,
                upstream,
            } => {
                let told = ctl.with(|c| crashes::take_end(c, now, fingerprint, &upstream));
                for (to, beat) in told {
                    beat::send_to(&ctl, &socket, &beat, to).await;
                }
            }
            UpstreamObservation::Status {
                upstream,
                sent_at,
                status,
            } => {
                if ctl.with(|c| c.hear(now, sent_at, &upstream, &status)) {
                    ctl.wake_keys.notify_one();
                }
            }
        }
    }
}
