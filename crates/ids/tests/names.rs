//! Validation of names and parsing of reasons.

use ids::name::MAX_NAME_BYTES;
use ids::{EntryId, Outcome, Reason};

struct Case {
    text: String,
    valid: bool,
}

#[test]
fn names_are_checked() {
    let cases = [
        ("tariffbok", true),
        ("A.b_c-9", true),
        ("", false),
        ("a b", false),
        ("a/b", false),
        ("å", false),
    ];
    let mut cases: Vec<Case> = cases
        .into_iter()
        .map(|(text, valid)| Case {
            text: text.to_owned(),
            valid,
        })
        .collect();
    cases.push(Case {
        text: "x".repeat(MAX_NAME_BYTES + 1),
        valid: false,
    });
    for case in cases {
        let name = EntryId::new(case.text.as_str());
        assert_eq!(name.is_ok(), case.valid, "{:?}", case.text);
    }
}

#[test]
fn reasons_are_read_back_and_agree_with_their_status() {
    for &reason in Reason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(reason));
        assert!((400..600).contains(&reason.status()), "{reason}");
        assert_ne!(reason.outcome(), Outcome::Answered, "{reason}");
    }
    let unknown = "no-such-reason".parse::<Reason>();
    assert!(matches!(unknown, Err(e) if e.0 == "no-such-reason"));
}
