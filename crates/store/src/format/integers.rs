//! Little-endian integers at an offset of a slice. `None` where the slice is too short.

pub(super) fn u16_at(bytes: &[u8], offset: usize) -> Option<u16> {
    Some(u16::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}

pub(super) fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}

pub(super) fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    Some(u64::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}
