//! Applies what this host's requests revealed about upstreams.

use std::rc::Rc;

use ids::{BootClock, Clock};
use tokio::net::UdpSocket;

use crate::control::state::Ctl;
use crate::control::{beat, crashes};
use crate::news::{News, NewsRx};

/// Applies observations of the request thread as they arrive.
pub async fn watch(ctl: Ctl, socket: Rc<UdpSocket>, mut news: NewsRx) {
    while let Some(news) = news.next().await {
        let now = BootClock.now();
        match news {
            News::Ended { content, upstream } => {
                let told = ctl.with(|c| crashes::take_end(c, now, content, &upstream));
                for (to, beat) in told {
                    beat::send_to(&ctl, &socket, &beat, to).await;
                }
            }
            News::Said {
                upstream,
                sent,
                said,
            } => {
                if ctl.with(|c| c.hear(now, sent, &upstream, &said)) {
                    ctl.wake_keys.notify_one();
                }
            }
        }
    }
}
