//! Guards against undetected corruption: a replica that starts with a shorter or different log has
//! lost entries that it acknowledged.

use nutmegdale_base::{rng, rng::Rng as _};
use nutmegdale_storage::disk::Disk as _;
use nutmegdale_storage::fake;

mod model;

fn file_names(disk: &fake::FakeDisk) -> Vec<String> {
    disk.list().expect("list")
}

/// Asserts that opening the damaged disk fails with an error that names the file.
fn assert_detected(disk: &fake::FakeDisk, damage: &str) {
    match model::open(disk) {
        Err(err) => {
            let text = err.to_string();
            assert!(text.contains("file "), "{damage}: {text}");
        }
        Ok(opened) => {
            let entries_count = opened.map(|(_, recovered)| recovered.entries.len());
            panic!("{damage} is not detected; recovered entries: {entries_count:?}");
        }
    }
}

#[test]
fn undamaged_folder_is_recovered_completely() {
    let (disk, expected) = model::filled_disk();
    assert!(file_names(&disk).len() >= 4, "{:?}", file_names(&disk));
    let (_, recovered) = model::open(&disk).expect("opens").expect("replica");
    assert_eq!(model::Model::from_recovered(&recovered), expected);
    assert_eq!(recovered.identity, model::IDENTITY);
    assert_eq!(recovered.torn_bytes, 0);
}

#[test]
fn every_flipped_byte_is_detected() {
    let (disk, _) = model::filled_disk();
    let mut rng = rng::SplitMix64::new(1);
    for name in file_names(&disk) {
        for offset in 0..disk.size_bytes(&name) {
            let mask = 1 << rng.below(8);
            for mask in [mask, 0xff] {
                let copy = disk.copy();
                copy.flip_bits(&name, offset, mask);
                assert_detected(&copy, &format!("{name} offset {offset} mask {mask:02x}"));
            }
        }
    }
}

#[test]
fn several_flipped_bytes_are_detected() {
    let (disk, _) = model::filled_disk();
    for seed in 0..3_000 {
        let mut rng = rng::SplitMix64::new(seed);
        let copy = disk.copy();
        let names = file_names(&disk);
        let name = &names[rng.below(names.len() as u64) as usize];
        let start = rng.below(copy.size_bytes(name) as u64) as usize;
        let end = copy
            .size_bytes(name)
            .min(start + 1 + rng.below(600) as usize);
        for offset in start..end {
            copy.flip_bits(name, offset, 1 + rng.below(255) as u8);
        }
        assert_detected(&copy, &format!("seed {seed}: {name} from {start} to {end}"));
    }
}

#[test]
fn every_missing_or_shortened_file_is_detected() {
    let (disk, _) = model::filled_disk();
    for name in file_names(&disk) {
        let copy = disk.copy();
        copy.remove(&name).expect("remove");
        assert_detected(&copy, &format!("{name} missing"));
        for cut in [1, 9, 40] {
            let copy = disk.copy();
            let len = copy.size_bytes(&name).saturating_sub(cut);
            let mut file = copy.open(&name).expect("open");
            file.truncate(len as u64).expect("truncate");
            assert_detected(&copy, &format!("{name} without its last {cut} bytes"));
        }
    }
}

/// A valid record or file in the wrong position must be detected too.
#[test]
fn every_swapped_segment_is_detected() {
    let (disk, _) = model::filled_disk();
    let segments: Vec<String> = file_names(&disk)
        .into_iter()
        .filter(|n| n.starts_with("log-"))
        .collect();
    for pair in segments.windows(2) {
        let copy = disk.copy();
        copy.rename(&pair[0], "other").expect("rename");
        copy.rename(&pair[1], &pair[0]).expect("rename");
        copy.rename("other", &pair[1]).expect("rename");
        assert_detected(&copy, &format!("{} and {} swapped", pair[0], pair[1]));
    }
}

#[test]
fn error_names_file_offset_and_expected_data() {
    let (disk, _) = model::filled_disk();
    let mut segments = file_names(&disk)
        .into_iter()
        .filter(|n| n.starts_with("log-"));
    let name = segments.next_back().expect("segment");
    disk.flip_bits(&name, 100, 1);
    let err = model::open(&disk).map(drop).expect_err("damage");
    let text = err.to_string();
    for part in [
        name.as_str(),
        "offset 86",
        "expected a record of",
        "CRC32C",
        "found",
    ] {
        assert!(text.contains(part), "{part:?} in {text:?}");
    }
}
