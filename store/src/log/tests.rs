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
    let entries: Vec<LogEntry> = (0..6).map(record).collect();
    let mut writer = Writer::new(3);
    let mut bytes = Vec::new();
    entries.iter().for_each(|entry| writer.append(entry, &mut bytes));
    assert_eq!(writer.length, bytes.len() as u64);
    (bytes, entries)
}

#[test]
fn written_entries_are_read_and_a_torn_end_is_skipped() {
    let (bytes, entries) = file();
    assert_eq!(read(3, &bytes), LogContents { entries: entries.clone(), ..LogContents::default() });
    for end in 0..bytes.len() {
        let cut = read(3, &bytes[..end]);
        assert_eq!(cut.entries, entries[..cut.entries.len()]);
        assert_eq!(cut.gaps, 0);
        assert!(cut.entries.len() == 6 || cut.entries.len() == end * 6 / bytes.len());
    }
}

#[test]
fn a_flipped_bit_loses_one_entry_and_invents_none() {
    let (bytes, entries) = file();
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        let read = read(3, &damaged);
        let damaged_entry = bit / 8 * 6 / bytes.len();
        let intact: Vec<&LogEntry> = entries
            .iter()
            .enumerate()
            .filter(|(nth, _)| *nth != damaged_entry)
            .map(|(_, entry)| entry)
            .collect();
        assert_eq!(read.entries.iter().collect::<Vec<_>>(), intact);
        assert!(
            if damaged_entry == 5 { read.torn_bytes > 0 } else { read.gaps == 1 },
            "the damage of bit {bit} is not reported"
        );
    }
}

#[test]
fn entries_of_another_file_or_out_of_order_are_skipped() {
    let (bytes, entries) = file();
    assert_eq!(read(4, &bytes).entries, []);
    let half = bytes.len() / 2;
    let swapped = [&bytes[half..], &bytes[..half]].concat();
    // After the first entry found, entries with a lower index are not accepted.
    assert_eq!(read(3, &swapped).entries, entries[3..]);
    let twice = [&bytes[..], &bytes[..]].concat();
    assert_eq!(read(3, &twice).entries, entries);
}
