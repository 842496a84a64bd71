package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A record consists of the payload's length (4 bytes, little endian), the payload's
// CRC-32C (4 bytes, little endian) and the payload.
const (
	headerBytes    = 8
	maxRecordBytes = 256 << 20
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

var (
	errShortRecord   = errors.New("record is incomplete")
	errInvalidRecord = errors.New("record length or checksum is invalid")
)

// encodeRecord returns the payload with its header.
func encodeRecord(payload []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(record[0:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:8], crc32.Checksum(payload, castagnoliTable))
	return append(record, payload...)
}

// decodeRecord returns the payload of the first record and the bytes after it.
func decodeRecord(data []byte) (payload, rest []byte, err error) {
	if len(data) < headerBytes {
		return nil, nil, errShortRecord
	}
	length := uint64(binary.LittleEndian.Uint32(data[0:4]))
	if length == 0 || length > maxRecordBytes {
		return nil, nil, errInvalidRecord
	}
	if uint64(len(data)-headerBytes) < length {
		return nil, nil, errShortRecord
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoliTable) != binary.LittleEndian.Uint32(data[4:8]) {
		return nil, nil, errInvalidRecord
	}
	return payload, data[headerBytes+length:], nil
}

// containsValidRecord reports whether a valid record starts anywhere after the first
// byte. Each sync writes one record, so a valid record after an invalid one means
// that stored data is damaged, and not that the last write was incomplete.
func containsValidRecord(data []byte) bool {
	for offset := 1; offset+headerBytes < len(data); offset++ {
		if _, _, err := decodeRecord(data[offset:]); err == nil {
			return true
		}
	}
	return false
}
