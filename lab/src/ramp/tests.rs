use super::*;

#[test]
fn the_most_valuable_work_comes_first_and_the_last_in_part() {
    assert_eq!(best(vec![(1.0, 100.0), (8.0, 100.0)], 100.0), round(8.0 / 9.0));
    assert_eq!(best(vec![(1.0, 100.0), (8.0, 100.0)], 150.0), round(8.5 / 9.0));
    assert_eq!(best(vec![(1.0, 100.0)], 300.0), 1.0);
    assert_eq!(best(vec![], 0.0), 1.0);
}

#[test]
fn the_comparison_begins_when_power_is_back_and_ends_with_the_last_cold_second() {
    let window = |at: usize, ramp, goodput| Window { at: at as f64, ramp, goodput, ..Window::default() };
    let windows = [(1.0, 1.0), (0.0, 0.1), (0.5, 0.2), (0.7, 0.69), (1.0, 0.2)];
    let windows: Vec<Window> = windows.iter().enumerate().map(|(at, (r, g))| window(at, *r, *g)).collect();
    let found = compare_with_ramp(&windows).unwrap();
    assert_eq!((found.from, found.until, found.achieved, found.ramp), (2.0, 4.0, 0.89, 1.2));
    assert_eq!(found.caught_up, Some(1.0));
    assert_eq!(compare_with_ramp(&windows[..2]), None);
}
