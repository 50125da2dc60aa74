//! Documents under crashes, failing disks and damage.

use nutmegdale_base::rng;
use nutmegdale_base::rng::Rng;
use nutmegdale_storage::{document, fake};

const NAME: &str = "crashes";

fn content(seed: u64) -> Vec<u8> {
    let mut rng = rng::SplitMix64::new(seed);
    let len = 1 + rng.below(2_000);
    (0..len).map(|_| rng.below(256) as u8).collect()
}

/// Guards against a document that a crash leaves in part, or that is older than the last one whose
/// write had ended.
#[test]
fn crash_leaves_the_old_or_the_new_document() {
    for seed in 0..500 {
        let mut rng = rng::SplitMix64::new(seed);
        let disk = fake::FakeDisk::new();
        let mut written = None;
        let mut last = None;
        disk.fail_sync_after(rng.below(12));
        for n in 0..6 {
            let new = content(seed * 10 + n);
            let is_written = document::write(&disk, NAME, &new).is_ok();
            last = Some(new.clone());
            if !is_written {
                break;
            }
            written = Some(new);
        }
        disk.crash(&mut rng);
        let read = document::read(&disk, NAME).expect("no damage");
        assert!(read == written || read == last, "seed {seed}");
    }
}

/// Guards against a damaged document that is taken for a whole one.
#[test]
fn damage_is_detected() {
    let disk = fake::FakeDisk::new();
    document::write(&disk, NAME, &content(1)).expect("a write");
    for offset in 0..disk.size_bytes(NAME) {
        let copy = disk.copy();
        copy.flip_bits(NAME, offset, 0x10);
        assert!(document::read(&copy, NAME).is_err(), "offset {offset}");
    }
}

/// Guards against a document that was never written and is taken for a damaged one.
#[test]
fn missing_document_is_no_error() {
    let disk = fake::FakeDisk::new();
    assert!(matches!(document::read(&disk, NAME), Ok(None)));
}

/// Guards against a full disk that costs the document that it holds.
#[test]
fn full_disk_keeps_the_old_document() {
    let disk = fake::FakeDisk::new();
    document::write(&disk, NAME, b"old").expect("a write");
    disk.set_capacity(8);
    assert!(document::write(&disk, NAME, &content(2)).is_err());
    let read = document::read(&disk, NAME).expect("no damage");
    assert_eq!(read.as_deref(), Some(&b"old"[..]));
}
