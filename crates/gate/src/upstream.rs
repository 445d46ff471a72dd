//! HTTP/1.1 connections to upstreams.
//!
//! - [`stream`]: a TCP stream that counts the bytes written to it.
//! - [`conn`]: a connection and one exchange on it.

pub mod conn;
pub mod stream;

pub use conn::{
    AnswerHead, BodyEnd, BodyRoom, ConnSettings, Exchange, ExchangeError, MaxBytes, UpstreamConn,
};
pub use stream::{CountedStream, ReadLimit};
