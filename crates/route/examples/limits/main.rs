//! Measures the decisions about limits and load, and prints one JSON line for each case.
//!
//! ```text
//! cargo run --release -p route --example limits -- overload   # queue orders at 0.5x, 1x, 2x load
//! cargo run --release -p route --example limits -- designs    # direct sending or one dispatcher
//! cargo run --release -p route --example limits -- reports    # upstreams that misreport or shed
//! cargo run --release -p route --example limits -- rates      # hosts that share a rate equally
//! cargo run --release -p route --example limits -- lookup     # lookup time and memory
//! cargo run --release -p route --example limits -- steps      # time of a dispatcher's step
//! ```
//!
//! The first four run the decision code in a simulation with virtual time: their output depends on
//! the seed alone, not on the hardware.

mod cost;
mod designs;
mod overload;
mod rates;
mod reports;
mod world;

fn main() {
    let command = std::env::args().nth(1).unwrap_or_default();
    match command.as_str() {
        "overload" => overload::run(),
        "designs" => designs::run(),
        "reports" => reports::run(),
        "rates" => rates::run(),
        "lookup" => cost::lookup(),
        "steps" => cost::steps(),
        _ => {
            eprintln!("usage: limits overload | designs | reports | rates | lookup | steps");
            std::process::exit(2);
        }
    }
}
