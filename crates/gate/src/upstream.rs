//! HTTP/1.1 connections to upstreams.
//!
//! - [`carried`]: which requests a connection has carried, and which answers belong to them.
//! - [`stream`]: a TCP stream that counts the bytes written to it.
//! - [`conn`]: a connection and one exchange on it.

pub mod carried;
pub mod conn;
pub mod stream;

pub use carried::{Sending, Unidentified};
pub use conn::{
    AnswerHead, BodyEnd, BodyRoom, ConnSettings, Exchange, ExchangeError, MaxBytes, UpstreamConn,
};
pub use stream::{CountedStream, ReadLimit};
