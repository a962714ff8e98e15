//! The scanner that finds complete JSON objects in a watch.

use crate::upstream::object_scanner::ObjectScanner;

/// At which lengths of a text that grows byte by byte something is found.
fn found_at(text: &str) -> Vec<usize> {
    let mut scanner = ObjectScanner::default();
    (1..=text.len()).filter(|length| scanner.scan(&text.as_bytes()[..*length])).collect()
}

#[test]
fn an_object_is_found_with_its_last_byte() {
    assert_eq!(found_at("{\"a\":[{},{\"b\":1}]}\n"), [18]);
    assert_eq!(found_at("\n\n {\n}\n{}\n"), [6, 9]);
    assert!(found_at("{\"a\":[{}").is_empty());
}

#[test]
fn brackets_and_quotes_in_strings_end_nothing() {
    assert_eq!(found_at(r#"{"}]":"\"}\\"}"#), [14]);
}

/// What belongs to no object is passed on at once, so that it is rejected.
#[test]
fn other_text_is_found_at_once() {
    assert_eq!(found_at("x"), [1]);
    assert_eq!(found_at("{}}"), [2, 3]);
    assert_eq!(found_at("\"{"), [1]);
}

/// Text that has been processed may be removed in between.
#[test]
fn scanning_goes_on_after_a_removal() {
    let mut scanner = ObjectScanner::default();
    assert!(scanner.scan(b"{}\n{\"a"));
    scanner.removed(3);
    assert!(!scanner.scan(b"{\"a\":\"}\""));
    assert!(scanner.scan(b"{\"a\":\"}\"}"));
}
