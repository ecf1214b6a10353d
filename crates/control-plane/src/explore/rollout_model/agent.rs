//! An agent of the model with its disk, and the hashes of both.

use crate::Fleet;
use crate::explore::state_hash::hash_of;
use crate::fleet::Record;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The durable records of an agent by their keys.
pub(super) type Disk = BTreeMap<String, Record>;

/// Hashes of the parts of an agent or of its disk.
#[derive(Clone, Debug)]
struct PartHashes {
    /// The part that concerns no single instance.
    common: u64,
    by_name: BTreeMap<String, u64>,
}

/// An agent with its disk.
#[derive(Clone, Debug)]
pub(super) struct Agent {
    pub(super) fleet: Arc<Fleet>,
    pub(super) disk: Arc<Disk>,
    disk_hashes: Arc<PartHashes>,
    /// The hash of the part of agent and disk that concerns no single instance.
    pub(super) common_hash: u64,
    /// The hashes of the parts of agent and disk by the number of the name that they concern.
    pub(super) name_hashes: Vec<u64>,
}

impl Agent {
    /// An agent of `names` names. `former` is the agent before the last transition: the hashes of an unchanged disk
    /// are taken from it.
    pub(super) fn new(fleet: Fleet, disk: Arc<Disk>, former: Option<&Agent>, names: usize) -> Self {
        let former = former.filter(|former| Arc::ptr_eq(&former.disk, &disk));
        let disk_hashes = former.map_or_else(
            || Arc::new(hash_disk(&disk)),
            |former| Arc::clone(&former.disk_hashes),
        );
        let (common, by_name) = fleet.parts();
        let name_hash = |name: usize| {
            let name = format!("i{name}");
            hash_of((by_name.get(&name), disk_hashes.by_name.get(&name)))
        };
        let name_hashes = (0..names).map(name_hash).collect();
        Agent {
            common_hash: hash_of((common, disk_hashes.common)),
            name_hashes,
            fleet: Arc::new(fleet),
            disk,
            disk_hashes,
        }
    }
}

fn hash_disk(disk: &Disk) -> PartHashes {
    let (mut common, mut by_name) = (Vec::new(), BTreeMap::<String, u64>::new());
    for (key, record) in disk {
        let place = key.rsplit_once('/').filter(|_| !key.starts_with("entry/"));
        match (record, place) {
            (_, Some((place, name))) => {
                let former = by_name.entry(name.to_string()).or_default();
                *former = hash_of((*former, place, record));
            }
            // The parts that contain names of instances are in the agent's memory too, and are hashed there.
            (Record::Settled(newest, layers), None) => {
                common.push(hash_of((key, newest, layers.0.len())))
            }
            (Record::Rollout(rollout), None) => {
                common.push(hash_of((
                    key,
                    rollout.revision,
                    rollout.phase,
                    rollout.rollback_revision,
                )));
            }
            (record, None) => common.push(hash_of((key, record))),
        }
    }
    PartHashes {
        common: hash_of(common),
        by_name,
    }
}
