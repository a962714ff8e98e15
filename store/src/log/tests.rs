use super::*;

fn record(nth: u8) -> LogEntry {
    LogEntry::Record(Record {
        table: Table(1),
        key: format!("k{nth}"),
        form: 1,
        boot: 7,
        written: 1_700_000_000_000_000,
        value: Some(vec![nth; 40]),
    })
}

fn file() -> (Vec<u8>, Vec<LogEntry>) {
    let lines: Vec<LogEntry> = (0..6).map(record).collect();
    let mut writer = Writer::new(3);
    let mut bytes = Vec::new();
    lines.iter().for_each(|line| writer.seal(line, &mut bytes));
    assert_eq!(writer.length, bytes.len() as u64);
    (bytes, lines)
}

#[test]
fn what_is_written_is_read_and_a_torn_end_is_left_out() {
    let (bytes, lines) = file();
    assert_eq!(read(3, &bytes), LogContents { lines: lines.clone(), ..LogContents::default() });
    for end in 0..bytes.len() {
        let cut = read(3, &bytes[..end]);
        assert_eq!(cut.lines, lines[..cut.lines.len()]);
        assert_eq!(cut.holes, 0);
        assert!(cut.lines.len() == 6 || cut.lines.len() == end * 6 / bytes.len());
    }
}

#[test]
fn a_flipped_bit_costs_one_line_and_gives_none() {
    let (bytes, lines) = file();
    for at in 0..bytes.len() * 8 {
        let mut spoilt = bytes.clone();
        spoilt[at / 8] ^= 1 << (at % 8);
        let read = read(3, &spoilt);
        let hit = at / 8 * 6 / bytes.len();
        let left: Vec<&LogEntry> =
            lines.iter().enumerate().filter(|(nth, _)| *nth != hit).map(|(_, l)| l).collect();
        assert_eq!(read.lines.iter().collect::<Vec<_>>(), left);
        assert!(if hit == 5 { read.torn > 0 } else { read.holes == 1 });
    }
}

#[test]
fn lines_of_another_file_or_in_another_order_are_none() {
    let (bytes, lines) = file();
    assert_eq!(read(4, &bytes).lines, []);
    let half = bytes.len() / 2;
    let turned = [&bytes[half..], &bytes[..half]].concat();
    // Behind what is found first nothing earlier is believed.
    assert_eq!(read(3, &turned).lines, lines[3..]);
    let twice = [&bytes[..], &bytes[..]].concat();
    assert_eq!(read(3, &twice).lines, lines);
}
