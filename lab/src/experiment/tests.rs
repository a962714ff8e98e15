use super::*;

#[test]
fn a_difference_has_the_textbook_interval() {
    // Differences 1, 2, 3: mean 2, standard deviation 1, t(0.975, 2) = 4.3027.
    let found = Difference::of(&[(1.0, 0.0), (2.0, 0.0), (3.0, 0.0)]).unwrap();
    assert_eq!((found.mean, found.half_width), (2.0, 2.4841));
    assert!(!found.is_significant());
    assert!(Difference::of(&[(1.0, 0.0)]).is_none());
}

#[test]
fn a_field_is_set_by_its_path_or_refused() {
    let text = "a = 1\n[clients]\nload = 0.5\n[[fault]]\nsize = 1.0\n";
    let mut table: toml::Table = toml::from_str(text).unwrap();
    set_field(&mut table, "clients.load", "0.7").unwrap();
    set_field(&mut table, "fault.0.at", "5s").unwrap();
    assert_eq!(table["clients"]["load"].as_float(), Some(0.7));
    assert_eq!(table["fault"][0]["at"].as_str(), Some("5s"));
    for bad in ["fault.size", "fault.3.size", "a.b"] {
        assert!(set_field(&mut table, bad, "1").unwrap_err().starts_with(bad), "{bad}");
    }
}
