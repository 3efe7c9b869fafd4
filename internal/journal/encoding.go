package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// kind says what a value of the journal holds.
type kind byte

const (
	kindSegment   kind = 1
	kindSnapshot  kind = 2 // a part of a snapshot
	kindSeal      kind = 3
	kindTombstone kind = 4 // the seal of a journal that was removed
)

// magic starts every value and carries the version of the encoding.
const magic = "AYJ1"

// Sizes of the encoding in bytes.
const (
	headerBytes    = len(magic) + 1 + len(uuid.UUID{}) + 8 + 4 + 4
	checksumBytes  = 8
	maxLengthBytes = binary.MaxVarintLen32
	// maxValueBytes stays under the store's limit of 1 MB with the base64 of the
	// protocol unaffected.
	maxValueBytes = 960 << 10
)

// MaxRecordBytes is the largest record that can be appended.
const MaxRecordBytes = maxValueBytes - headerBytes - checksumBytes - maxLengthBytes

// value is one value of the journal:
//
//	magic, kind, change identifier, number, part, parts, records, checksum
//
// Integers are big-endian. A record is its length as a varint and its bytes. The
// checksum is the xxhash of everything before it.
type value struct {
	kind    kind
	change  uuid.UUID // unique identifier of the write
	number  uint64    // of the segment or seal; last covered segment of a snapshot
	part    uint32    // of a snapshot, from 0
	parts   uint32    // of a snapshot
	records [][]byte
}

// encodedBytes returns how much a record adds to a value, at most.
func encodedBytes(record []byte) int { return len(record) + maxLengthBytes }

func (v value) encode() []byte {
	size := headerBytes + checksumBytes
	for _, r := range v.records {
		size += encodedBytes(r)
	}
	b := make([]byte, 0, size)
	b = append(b, magic...)
	b = append(b, byte(v.kind))
	b = append(b, v.change[:]...)
	b = binary.BigEndian.AppendUint64(b, v.number)
	b = binary.BigEndian.AppendUint32(b, v.part)
	b = binary.BigEndian.AppendUint32(b, v.parts)
	for _, r := range v.records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
	}
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decode returns the value, whose records share the memory of b, or ErrCorrupt.
func decode(b []byte) (value, error) {
	if len(b) < headerBytes+checksumBytes || !bytes.HasPrefix(b, []byte(magic)) {
		return value{}, fmt.Errorf("%w: no header", ErrCorrupt)
	}
	body, sum := b[:len(b)-checksumBytes], b[len(b)-checksumBytes:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return value{}, fmt.Errorf("%w: checksum differs", ErrCorrupt)
	}
	v := value{kind: kind(body[len(magic)])}
	rest := body[len(magic)+1:]
	rest = rest[copy(v.change[:], rest):]
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
			return nil, fmt.Errorf("%w: length of a record", ErrCorrupt)
		}
		end := n + int(length)
		records = append(records, b[n:end:end])
		b = b[end:]
	}
	return records, nil
}

// changeOf extracts the change identifier for platform.PutSettled.
func changeOf(b []byte) []string {
	v, err := decode(b)
	if err != nil {
		return nil
	}
	return []string{v.change.String()}
}
