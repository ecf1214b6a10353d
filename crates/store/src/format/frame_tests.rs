use super::{FRAME_HEADER_BYTES, FrameHeader};

#[test]
fn a_frame_is_taken_in_its_own_segment_alone_and_with_every_bit_as_written() {
    let mut bytes = Vec::new();
    let header = FrameHeader::for_body(b"body", 7, 5);
    header.encode(3, &mut bytes);
    assert_eq!(FrameHeader::decode(3, &bytes), Some(header));
    assert_eq!(FrameHeader::decode(4, &bytes), None);
    for bit in 0..8 * FRAME_HEADER_BYTES {
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(FrameHeader::decode(3, &bytes), None, "bit {bit}");
        bytes[bit / 8] ^= 1 << (bit % 8);
    }
}
