package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A record is: length (4 bytes), CRC-32C of the payload (4 bytes), payload.
const (
	headerBytes    = 8
	maxRecordBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errShortRecord = errors.New("record is cut short")
	errBadChecksum = errors.New("record checksum does not match")
)

// frame puts the header before the payload.
func frame(payload []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(record[0:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:8], crc32.Checksum(payload, castagnoli))
	return append(record, payload...)
}

// unframe returns the first payload and the bytes after it.
func unframe(data []byte) (payload, rest []byte, err error) {
	if len(data) < headerBytes {
		return nil, nil, errShortRecord
	}
	length := uint64(binary.LittleEndian.Uint32(data[0:4]))
	if length == 0 || length > maxRecordBytes {
		return nil, nil, errBadChecksum
	}
	if uint64(len(data)-headerBytes) < length {
		return nil, nil, errShortRecord
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:8]) {
		return nil, nil, errBadChecksum
	}
	return payload, data[headerBytes+length:], nil
}

// validRecordWithin reports whether an intact record starts anywhere after the
// first byte. Each sync writes one record, so an intact record behind a broken
// one means damage in the middle and not a torn last write.
func validRecordWithin(data []byte) bool {
	for offset := 1; offset+headerBytes < len(data); offset++ {
		if _, _, err := unframe(data[offset:]); err == nil {
			return true
		}
	}
	return false
}
