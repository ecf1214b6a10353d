//! Records that were committed survive the process.

use madderloom_agent::{DurableStorage, RecordChanges, Storage};
use madderloom_control_plane::Record;

#[test]
fn what_was_committed_is_there_when_it_is_opened_again() {
    let directory = tempfile::TempDir::new().expect("a directory");
    let place = directory.path().join("state");
    let mut first = DurableStorage::new(&place);
    assert_eq!(first.load().expect("opened"), []);
    let changes = |term: u64| RecordChanges::from([("term".to_string(), Some(Record::Term(term)))]);
    first.commit(changes(1)).expect("written");
    assert!(
        DurableStorage::new(&place).load().is_err(),
        "one process at a time"
    );
    first.commit(changes(2)).expect("written");
    assert_eq!(
        first.load().expect("opened again"),
        [("term".to_string(), Record::Term(2))]
    );
    first
        .commit(RecordChanges::from([("term".to_string(), None)]))
        .expect("written");
    assert_eq!(first.load().expect("opened again"), []);
}
