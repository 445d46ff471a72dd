//! Fields of a request that its fingerprint depends on.

use direct::RequestFingerprint;

struct Case {
    name: &'static str,
    method: &'static str,
    host: &'static str,
    path: &'static str,
    body: &'static [u8],
}

const BASE: Case = Case {
    name: "one",
    method: "POST",
    host: "a.example",
    path: "/a/b?c=d",
    body: b"body",
};

impl Case {
    fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::of(self.method, self.host, self.path, self.body)
    }
}

#[test]
fn each_field_changes_the_fingerprint() {
    let others = [
        Case {
            name: "method",
            method: "PUT",
            ..BASE
        },
        Case {
            name: "host",
            host: "b.example",
            ..BASE
        },
        Case {
            name: "query",
            path: "/a/b?c=e",
            ..BASE
        },
        Case {
            name: "body",
            body: b"bodies",
            ..BASE
        },
        Case {
            name: "where a field ends",
            path: "/a/b?c=db",
            body: b"ody",
            ..BASE
        },
    ];
    for other in others {
        assert_ne!(other.fingerprint(), BASE.fingerprint(), "{}", other.name);
    }
    assert_eq!(
        BASE.fingerprint(),
        RequestFingerprint::of("POST", "a.example", "/a/b?c=d", b"body")
    );
}
