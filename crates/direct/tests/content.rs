//! What requests are told apart by.

use direct::Content;

struct Case {
    name: &'static str,
    method: &'static str,
    host: &'static str,
    path: &'static str,
    body: &'static [u8],
}

const ONE: Case = Case {
    name: "one",
    method: "POST",
    host: "a.example",
    path: "/a/b?c=d",
    body: b"body",
};

impl Case {
    fn content(&self) -> Content {
        Content::of(self.method, self.host, self.path, self.body)
    }
}

#[test]
fn each_part_tells() {
    let others = [
        Case {
            name: "method",
            method: "PUT",
            ..ONE
        },
        Case {
            name: "host",
            host: "b.example",
            ..ONE
        },
        Case {
            name: "query",
            path: "/a/b?c=e",
            ..ONE
        },
        Case {
            name: "body",
            body: b"bodies",
            ..ONE
        },
        Case {
            name: "where a part ends",
            path: "/a/b?c=db",
            body: b"ody",
            ..ONE
        },
    ];
    for other in others {
        assert_ne!(other.content(), ONE.content(), "{}", other.name);
    }
    assert_eq!(
        ONE.content(),
        Content::of("POST", "a.example", "/a/b?c=d", b"body")
    );
}
