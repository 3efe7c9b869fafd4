package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// kind is the type of a journal value.
type kind byte

const (
	kindCorrupt   kind = 0 // can't be decoded; never written
	kindSegment   kind = 1
	kindSnapshot  kind = 2 // a part of a snapshot
	kindSeal      kind = 3
	kindTombstone kind = 4 // a seal whose journal was removed
)

// magic is the start of every value and includes the version of the encoding.
const magic = "AYJ1"

// Sizes of the encoding in bytes.
const (
	headerBytes    = len(magic) + 1 + len(uuid.UUID{}) + 8 + 4 + 4
	checksumBytes  = 8
	maxLengthBytes = binary.MaxVarintLen32
	// maxValueBytes is below the store's limit of 1 MiB, which applies to the raw
	// value, not to its base64 form in the protocol.
	maxValueBytes = 960 << 10
)

// MaxRecordBytes is the largest record that can be appended.
const MaxRecordBytes = maxValueBytes - headerBytes - checksumBytes - maxLengthBytes

// value is one journal value. Its encoding is:
//
//	magic, kind, change identifier, number, part, parts, records, checksum
//
// Integers are big-endian. A record is encoded as its length (a varint) and its bytes.
// The checksum is the xxhash of everything before it.
type value struct {
	kind     kind
	changeID uuid.UUID // unique identifier of the write
	number   uint64    // number of the segment or seal; last covered segment of a snapshot
	part     uint32    // index of the part of a snapshot, from 0
	parts    uint32    // number of parts of a snapshot
	records  [][]byte
}

// maxEncodedBytes returns the most bytes that a record can add to a value.
func maxEncodedBytes(record []byte) int { return len(record) + maxLengthBytes }

func (v value) encode() []byte {
	size := headerBytes + checksumBytes
	for _, r := range v.records {
		size += maxEncodedBytes(r)
	}
	b := make([]byte, 0, size)
	b = append(b, magic...)
	b = append(b, byte(v.kind))
	b = append(b, v.changeID[:]...)
	b = binary.BigEndian.AppendUint64(b, v.number)
	b = binary.BigEndian.AppendUint32(b, v.part)
	b = binary.BigEndian.AppendUint32(b, v.parts)
	for _, r := range v.records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
	}
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decode returns the value, whose records alias b, or ErrCorrupt.
func decode(b []byte) (value, error) {
	if len(b) < headerBytes+checksumBytes || !bytes.HasPrefix(b, []byte(magic)) {
		return value{}, fmt.Errorf("%w: header is missing or invalid", ErrCorrupt)
	}
	body, sum := b[:len(b)-checksumBytes], b[len(b)-checksumBytes:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return value{}, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	v := value{kind: kind(body[len(magic)])}
	rest := body[len(magic)+1:]
	rest = rest[copy(v.changeID[:], rest):]
	v.number = binary.BigEndian.Uint64(rest)
	v.part = binary.BigEndian.Uint32(rest[8:])
	v.parts = binary.BigEndian.Uint32(rest[12:])
	records, err := decodeRecords(rest[16:])
	v.records = records
	return v, err
}

func decodeRecords(b []byte) ([][]byte, error) {
	var records [][]byte
	for len(b) > 0 {
		length, n := binary.Uvarint(b)
		if n <= 0 || length > uint64(len(b)-n) {
			return nil, fmt.Errorf("%w: invalid record length", ErrCorrupt)
		}
		end := n + int(length)
		records = append(records, b[n:end:end])
		b = b[end:]
	}
	return records, nil
}

// changeIDs returns the change identifier of an encoded value, for platform.PutWithReadBack.
func changeIDs(b []byte) []string {
	v, err := decode(b)
	if err != nil {
		return nil
	}
	return []string{v.changeID.String()}
}
