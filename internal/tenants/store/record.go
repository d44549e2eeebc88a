package store

import (
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/go-json-experiment/json"

	"stoatweir/internal/tenants"
)

// A record is a header and a payload, which is one line of JSON. The header consists of the payload's
// checksum and its length in bytes, both in hexadecimal digits and each followed by a space.
const (
	headerDigits = 8                      // number of digits of the checksum, and of the length
	headerLength = 2 * (headerDigits + 1) // bytes
	// maxRecordLength, in bytes, is more than the largest snapshot needs. A header with a greater
	// length is treated as damaged.
	maxRecordLength = 256 << 20
)

// currentSchema is the schema version of the records that are written. migrations, by version,
// convert the payload of a version into that of the next. There has been only one version so far;
// tests set others.
var (
	currentSchema = 1
	migrations    = map[int]migration{}
)

// migration converts a payload into that of the next schema version.
type migration func(payload []byte) ([]byte, error)

// record is one entry of the log: a snapshot or a change.
type record struct {
	Schema   int               `json:"schema,omitzero"`
	Snapshot *tenants.Snapshot `json:"snapshot,omitzero"`
	Change   *tenants.Change   `json:"change,omitzero"`
}

func snapshotRecord(d *tenants.Directory) record {
	snapshot := d.Snapshot()
	return record{Schema: currentSchema, Snapshot: &snapshot}
}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoliTable) }

// encodeRecord returns the bytes of a record, header and payload.
func encodeRecord(r record) ([]byte, error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	payload = append(payload, '\n')
	header := fmt.Appendf(nil, "%0*x %0*x ", headerDigits, checksum(payload), headerDigits, len(payload))
	return append(header, payload...), nil
}

// decodeRecord decodes the record at the start of b and returns its length in bytes, which is 0 if b
// ends before the record does. The error wraps ErrCorrupt or ErrNewerSchema; the length returned with
// it is 0 if the header itself is damaged.
func decodeRecord(b []byte) (r record, length int, err error) {
	if len(b) < headerLength {
		return record{}, 0, nil
	}
	sum, payloadLength, ok := parseHeader(b[:headerLength])
	if !ok {
		return record{}, 0, fmt.Errorf("%w: no head of a record", ErrCorrupt)
	}
	length = headerLength + payloadLength
	if len(b) < length {
		return record{}, 0, nil
	}
	payload := b[headerLength:length]
	if checksum(payload) != sum {
		return record{}, length, fmt.Errorf("%w: a checksum does not hold", ErrCorrupt)
	}
	r, err = decodePayload(payload)
	return r, length, err
}

func parseHeader(header []byte) (sum uint32, payloadLength int, ok bool) {
	const lengthStart = headerDigits + 1
	parsedSum, err := strconv.ParseUint(string(header[:headerDigits]), 16, 32)
	if err != nil || header[headerDigits] != ' ' {
		return 0, 0, false
	}
	parsedLength, err := strconv.ParseUint(string(header[lengthStart:headerLength-1]), 16, 32)
	if err != nil || header[headerLength-1] != ' ' || parsedLength > maxRecordLength {
		return 0, 0, false
	}
	return uint32(parsedSum), int(parsedLength), true
}

// decodePayload decodes a payload of the current schema version or an earlier one.
func decodePayload(payload []byte) (record, error) {
	var version struct {
		Schema int `json:"schema"`
	}
	if err := json.Unmarshal(payload, &version); err != nil {
		return record{}, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if version.Schema > currentSchema {
		return record{}, fmt.Errorf("%w: schema %d, this one knows %d", ErrNewerSchema, version.Schema, currentSchema)
	}
	payload, err := migrate(payload, max(1, version.Schema))
	if err != nil {
		return record{}, err
	}
	var r record
	if err := json.Unmarshal(payload, &r); err != nil {
		return record{}, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return r, nil
}

// migrate converts a payload of an earlier schema version into one of the current version.
func migrate(payload []byte, version int) ([]byte, error) {
	for ; version < currentSchema; version++ {
		step := migrations[version]
		if step == nil {
			return nil, fmt.Errorf("%w: no way from schema %d", ErrCorrupt, version)
		}
		migrated, err := step(payload)
		if err != nil {
			return nil, fmt.Errorf("%w: schema %d: %v", ErrCorrupt, version, err)
		}
		payload = migrated
	}
	return payload, nil
}
