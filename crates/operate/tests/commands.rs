//! Tests of the commands on an in-memory platform.

mod support;

use std::fs;

use catalogue::{Base, ItemKey, load};
use ids::Version;
use operate::Exit;
use operate::args::Against;
use operate::command::pull::ConflictResolution;
use operate::command::{check, diff, history, plan, pull, rollback, settle, show};
use platform::FakePlatform;
use platform::fake::Faults;
use serde_json::json;

use support::{Dir, apply, apply_with, context, name, report};

fn key(text: &str) -> ItemKey {
    text.parse().unwrap()
}

#[tokio::test]
async fn a_limit_is_changed_shown_and_rolled_back() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    assert_eq!(check::check(dir.path()).unwrap().exit, Exit::Done);

    let first = apply(&platform, &dir, "anna").await;
    assert_eq!(
        (first.exit, &first.json["version"]),
        (Exit::Done, &json!(1))
    );

    dir.set_limit("slotbook", 40);
    let against = Against::default();
    let planned = report(plan::plan(&platform, dir.path(), &against, &name("anna")).await);
    assert_eq!(planned.exit, Exit::Done);
    assert!(
        planned.text.contains("~ entry/slotbook"),
        "{}",
        planned.text
    );
    assert!(
        planned.text.contains("/limits/queue: 64 -> 40"),
        "{}",
        planned.text
    );

    let second = apply(&platform, &dir, "anna").await;
    assert_eq!(
        (second.exit, &second.json["version"]),
        (Exit::Done, &json!(2))
    );
    let again = apply(&platform, &dir, "anna").await;
    assert_eq!(
        (again.exit, &again.json["version"]),
        (Exit::Done, &json!(2))
    );
    assert_eq!(again.json["changes"], json!([]));

    let items = [key("entry/slotbook")];
    let shown = report(show::show(&platform, &items, None).await);
    assert_eq!(shown.json["items"][0]["body"]["limits"]["queue"], 40);
    assert_eq!(shown.json["items"][0]["operator"], "anna");
    let before = report(show::show(&platform, &items, Some(Version(1))).await);
    assert_eq!(before.json["items"][0]["body"]["limits"]["queue"], 64);

    let listed = report(history::history(&platform, 20, Some(&items[0])).await);
    assert_eq!(listed.json["changes"].as_array().map(Vec::len), Some(2));
    assert_eq!(listed.json["changes"][0]["version"], 2);

    let between = report(diff::diff(&platform, Version(1), None).await);
    let expected = json!([{
        "item": "entry/slotbook",
        "differences": [{"pointer": "/limits/queue", "before": 64, "after": 40}],
    }]);
    assert_eq!(between.json["items"], expected);

    let cx = context("anna");
    let rolled_back = report(rollback::rollback(&platform, Version(1), &[], false, &cx).await);
    assert_eq!(
        (rolled_back.exit, &rolled_back.json["version"]),
        (Exit::Done, &json!(3))
    );
    let same = report(diff::diff(&platform, Version(1), Some(Version(3))).await);
    assert_eq!(same.json["items"], json!([]));

    // The directory has version 2 of the entry without later local changes.
    let kept = apply(&platform, &dir, "anna").await;
    assert_eq!(kept.exit, Exit::Done);
    assert_eq!(kept.json["kept"][0]["item"], "entry/slotbook");
    let pulled = report(pull::pull(&platform, dir.path(), ConflictResolution::Leave).await);
    assert_eq!(pulled.json["taken"], json!(["entry/slotbook"]));
    let queue = load(dir.path()).unwrap().entries[&name::<ids::EntryId>("slotbook")]
        .limits
        .queue;
    assert_eq!(queue, 64);
}

#[tokio::test]
async fn operators_on_different_entries_both_succeed_and_on_the_same_one_does() {
    let platform = FakePlatform::new();
    let anna = Dir::new();
    apply(&platform, &anna, "anna").await;
    let bo = anna.copy();
    let cleo = anna.copy();

    anna.set_limit("slotbook", 40);
    let first = apply(&platform, &anna, "anna").await;
    bo.set_limit("windowcast", 50);
    let second = apply(&platform, &bo, "bo").await;
    assert_eq!(
        (second.exit, &second.json["version"]),
        (Exit::Done, &json!(3))
    );

    cleo.set_limit("slotbook", 60);
    let third = apply(&platform, &cleo, "cleo").await;
    assert_eq!(third.exit, Exit::Conflict);
    let by = &third.json["conflicts"][0]["by"];
    assert_eq!(by["change"], first.json["change"]);
    assert_eq!(by["operator"], "anna");
    assert!(
        third.text.contains("changed by anna in change c-"),
        "{}",
        third.text
    );

    let left = report(pull::pull(&platform, cleo.path(), ConflictResolution::Leave).await);
    assert_eq!(left.exit, Exit::Conflict);
    assert_eq!(left.json["conflicts"], json!(["entry/slotbook"]));
    report(pull::pull(&platform, cleo.path(), ConflictResolution::Mine).await);
    let fourth = apply(&platform, &cleo, "cleo").await;
    assert_eq!(
        (fourth.exit, &fourth.json["version"]),
        (Exit::Done, &json!(4))
    );
}

#[tokio::test]
async fn a_directory_without_a_base_replaces_nothing_of_others() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    apply(&platform, &dir, "anna").await;
    fs::remove_file(dir.path().join("base.json")).unwrap();
    dir.set_limit("slotbook", 40);
    let other = apply(&platform, &dir, "bo").await;
    assert_eq!(other.exit, Exit::Conflict, "{}", other.text);
    let expecting = Against {
        expect: Some(Version(1)),
        admin: false,
    };
    let planned = report(plan::plan(&platform, dir.path(), &expecting, &name("bo")).await);
    assert_eq!(planned.exit, Exit::Done, "{}", planned.text);
    let own = apply(&platform, &dir, "anna").await;
    assert_eq!(own.exit, Exit::Done, "{}", own.text);
    // The entry changed after version 1.
    fs::remove_file(dir.path().join("base.json")).unwrap();
    dir.set_limit("slotbook", 41);
    let late = report(plan::plan(&platform, dir.path(), &expecting, &name("bo")).await);
    assert_eq!(late.exit, Exit::Conflict, "{}", late.text);
}

#[tokio::test]
async fn nothing_changes_in_a_dry_run() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    let cx = operate::command::submit::SubmitContext {
        dry_run: true,
        ..context("anna")
    };
    let dry = apply_with(&platform, &dir, &cx).await;
    assert_eq!(dry.exit, Exit::Done);
    assert_eq!(dry.json["changes"].as_array().map(Vec::len), Some(6));
    assert_eq!(platform.with_table(|t| t.revision()), ids::Revision(0));
    assert_eq!(Base::load(dir.path()).unwrap(), None);
}

#[tokio::test]
async fn non_owners_and_faulty_directories_change_nothing() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    apply(&platform, &dir, "anna").await;
    dir.set_limit("slotbook", 40);
    let denied = apply(&platform, &dir, "dora").await;
    assert_eq!(denied.exit, Exit::Denied);
    assert!(
        denied.text.contains("dora is not among the owners"),
        "{}",
        denied.text
    );
    dir.set_limit("slotbook", 70_000);
    let faulty = apply(&platform, &dir, "anna").await;
    assert_eq!(faulty.exit, Exit::Invalid);
    assert_eq!(faulty.json["faults"][0]["pointer"], "/limits/queue");
    assert_eq!(platform.with_table(|t| t.revision()), ids::Revision(1));
}

#[tokio::test]
async fn declarations_that_do_not_fit_together_are_refused() {
    let platform = FakePlatform::new();
    let anna = Dir::new();
    apply(&platform, &anna, "anna").await;
    let bo = anna.copy();
    anna.remove_entry("slotbook");
    assert_eq!(apply(&platform, &anna, "anna").await.exit, Exit::Done);
    bo.add_upstream("slotbook", 9);
    let second = apply(&platform, &bo, "bo").await;
    assert_eq!(second.exit, Exit::Invalid, "{}", second.text);
    assert_eq!(second.json["faults"][0]["pointer"], "/slotbook-9/entry");
}

#[tokio::test]
async fn a_lost_confirmation_is_settled_by_reading_back() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    platform.set_faults(Faults {
        lose_confirmations: 1,
        ..Faults::default()
    });
    let applied = apply(&platform, &dir, "anna").await;
    assert_eq!(
        (applied.exit, &applied.json["version"]),
        (Exit::Done, &json!(1))
    );
    assert_eq!(applied.json["again"], json!(false));
    assert_eq!(platform.with_table(|t| t.revision()), ids::Revision(1));
}

#[tokio::test]
async fn a_change_of_unknown_outcome_is_settled_or_withdrawn() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    platform.set_faults(Faults {
        late_transactions: 100,
        ..Faults::default()
    });
    let lost = apply(&platform, &dir, "anna").await;
    assert_eq!(lost.exit, Exit::Unknown, "{}", lost.text);
    let change = lost.json["change"].as_str().unwrap();
    assert!(
        lost.text
            .contains(&format!("medlardyke catalogue settle {change}"))
    );
    let change = name(change);
    let open = report(settle::settle(&platform, &change, None).await);
    assert_eq!(open.exit, Exit::Unknown);

    platform.set_faults(Faults::default());
    let withdrawn = report(settle::settle(&platform, &change, Some(&name("anna"))).await);
    assert_eq!(withdrawn.exit, Exit::Done);
    assert_eq!(withdrawn.json["accepted"], json!(false));
    platform.deliver_late();
    let settled = report(settle::settle(&platform, &change, None).await);
    assert_eq!(settled.json["withdrawn_by"], "anna");
    assert_eq!(
        report(show::show(&platform, &[], None).await).json["version"],
        0
    );

    let refused = apply(&platform, &dir, "anna").await;
    assert_eq!(refused.exit, Exit::Conflict, "{}", refused.text);
    let cx = operate::command::submit::SubmitContext {
        change: Some(name("second-try")),
        ..context("anna")
    };
    let second = apply_with(&platform, &dir, &cx).await;
    assert_eq!(
        (second.exit, &second.json["version"]),
        (Exit::Done, &json!(1))
    );
    let settled = report(settle::settle(&platform, &name("second-try"), None).await);
    assert_eq!(settled.json["version"], 1);
}

#[tokio::test]
async fn a_version_that_is_not_there_is_a_usage_error() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    apply(&platform, &dir, "anna").await;
    let shown = report(show::show(&platform, &[], Some(Version(9))).await);
    assert_eq!(shown.exit, Exit::Usage);
    assert!(
        shown
            .text
            .contains("there is no version 9 yet; the newest is 1")
    );
    let cx = context("anna");
    let rolled_back = report(rollback::rollback(&platform, Version(9), &[], false, &cx).await);
    assert_eq!(rolled_back.exit, Exit::Usage);
}

#[tokio::test]
async fn one_item_is_rolled_back_alone() {
    let platform = FakePlatform::new();
    let dir = Dir::new();
    apply(&platform, &dir, "anna").await;
    dir.set_limit("slotbook", 40);
    dir.set_limit("windowcast", 50);
    apply(&platform, &dir, "anna").await;
    let only = [key("entry/slotbook")];
    let cx = context("anna");
    let rolled_back = report(rollback::rollback(&platform, Version(1), &only, false, &cx).await);
    assert_eq!(
        rolled_back.json["changes"].as_array().map(Vec::len),
        Some(1)
    );
    let items = [key("entry/slotbook"), key("entry/windowcast")];
    let shown = report(show::show(&platform, &items, None).await);
    assert_eq!(shown.json["items"][0]["body"]["limits"]["queue"], 64);
    assert_eq!(shown.json["items"][1]["body"]["limits"]["queue"], 50);
}
