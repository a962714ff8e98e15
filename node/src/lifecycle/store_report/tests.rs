use expect_test::expect;
use topazsail_store::Store;

use super::*;

/// A folder with a roster, an override and a record of an unknown table.
fn folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let open =
        || Store::open(Box::new(DirectoryDisk::new(folder.path())), "d0", 7, 1_700_000_000_000_000).unwrap();
    let (mut store, _) = open();
    let roster = StoredRoster {
        discovery: "127.0.0.1:8500".into(),
        generation: 4,
        json: r#"{"instances":[{}]}"#.into(),
    };
    store.put_typed("", Some(&roster), 1_700_000_000_000_000);
    let out_override = StoredOverride { out_since: Some(1_700_000_000_500_000), ..StoredOverride::default() };
    store.put_typed("s-a", Some(&out_override), 1_700_000_001_000_000);
    store.put(topazsail_store::Table(40), "x", 1, Some(vec![1, 2]), 1_700_000_001_000_000);
    store.close(1_700_000_002_000_000).unwrap();
    folder
}

/// Guards against a report that hides damage, or that changes the folder it reports on.
#[test]
fn an_intact_and_a_damaged_folder_are_reported() {
    let folder = folder();
    let intact = report_store(folder.path(), true, false).unwrap();
    assert!(intact.is_intact);
    expect![[r#"
            owner     d0
            boot      1
            state     the last life ended as it should
            written   1700000002.000
            file      log-0000000000000001, 250 bytes
            records   3
            table     key                   boot           written value
            list                               1    1700000000.000 1 runners, generation 4, from 127.0.0.1:8500
            hand      s-a                      1    1700000001.000 out since 1700000000.500
            table-40  x                        1    1700000001.000 {"bytes":2}
        "#]].assert_eq(&intact.text);
    let json: Value = serde_json::from_str(&report_store(folder.path(), true, true).unwrap().text).unwrap();
    assert_eq!((&json["clean"], &json["records"][1]["key"]), (&json!(true), &json!("s-a")));
    let log = folder.path().join("log-0000000000000001");
    let mut bytes = std::fs::read(&log).unwrap();
    bytes[30] ^= 1;
    std::fs::write(&log, &bytes).unwrap();
    let damaged = report_store(folder.path(), false, false).unwrap();
    assert!(!damaged.is_intact && damaged.text.contains("doubt     spoilt in 1 places"), "{}", damaged.text);
    assert_eq!(std::fs::read(&log).unwrap(), bytes, "nothing was changed");
}

#[test]
fn a_missing_folder_is_an_error_and_an_empty_one_is_reported() {
    assert!(report_store(Path::new("/nowhere/at/all"), true, false).is_err());
    let folder = tempfile::tempdir().unwrap();
    assert!(report_store(folder.path(), true, false).unwrap().text.starts_with("state     empty"));
}
