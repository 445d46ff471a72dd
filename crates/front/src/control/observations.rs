//! Applies what this host's requests revealed about upstreams.

use std::rc::Rc;

use ids::{BootClock, Clock};
use tokio::net::UdpSocket;

use crate::control::state::SharedControl;
use crate::control::{crashes, heartbeat};
use crate::news::{News, NewsRx};

/// Applies observations of the request thread as they arrive.
pub async fn watch(ctl: SharedControl, socket: Rc<UdpSocket>, mut news: NewsRx) {
    while let Some(news) = news.next().await {
        let now = BootClock.now();
        match news {
            News::Ended { content, upstream } => {
                let notices = ctl.with(|c| crashes::record_crash(c, now, content, &upstream));
                for (to, notice) in notices {
                    heartbeat::send_to(&ctl, &socket, &notice, to).await;
                }
            }
            News::Said {
                upstream,
                sent,
                said,
            } => {
                if ctl.with(|c| c.apply_status(now, sent, &upstream, &said)) {
                    ctl.wake_lease_managers.notify_one();
                }
            }
        }
    }
}
