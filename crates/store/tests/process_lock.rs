//! One process at a time has a store open for writing.

use madderloom_store::{Error, Options, RealDisk, Store, verify};
use rstest::rstest;

#[rstest]
#[case::two_writers(false)]
#[case::a_reader_beside_a_writer(true)]
fn one_process_at_a_time_opens_a_store(#[case] read_only: bool) {
    let directory = tempfile::tempdir().expect("a directory");
    let disk = RealDisk::open(directory.path()).expect("it is there");
    let mut store = Store::open(disk.clone(), Options::default()).expect("it opens");
    store.put(b"a", b"1").expect("it is written");
    let options = Options {
        read_only,
        ..Options::default()
    };
    assert_eq!(
        Store::open(disk.clone(), options).err(),
        Some(Error::Locked)
    );
    assert_eq!(verify(&disk).err(), Some(Error::Locked));
    drop(store);
    let reader = Store::open(disk.clone(), options).expect("it opens");
    let beside = Store::open(
        disk,
        Options {
            read_only: true,
            ..Options::default()
        },
    );
    assert_eq!(
        beside.err(),
        if read_only { None } else { Some(Error::Locked) }
    );
    assert_eq!(reader.get(b"a", 0), Ok(Some(b"1".to_vec())));
}
