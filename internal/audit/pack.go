package audit

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// unpackLimit bounds the bytes that a shipment may unpack to: far above a full one.
const unpackLimit = 16 << 20

// Packer encodes shipments. It keeps the compressor's tables, 1.2 MB, from one shipment
// to the next.
type Packer struct{ writer *flate.Writer }

// Pack encodes records for the way to another VM. Their JSON is that of the files, so
// that hashes hold, and compressed, as shipments are a good part of what VMs on slow
// links send.
func (p *Packer) Pack(records []Record) ([]byte, error) {
	var packed bytes.Buffer
	if p.writer == nil {
		writer, err := flate.NewWriter(&packed, flate.BestSpeed)
		if err != nil {
			return nil, fmt.Errorf("pack audit records: %w", err)
		}
		p.writer = writer
	}
	p.writer.Reset(&packed)
	if err := json.NewEncoder(p.writer).Encode(records); err != nil {
		return nil, fmt.Errorf("pack audit records: %w", err)
	}
	if err := p.writer.Close(); err != nil {
		return nil, fmt.Errorf("pack audit records: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack decodes what Pack returned.
func Unpack(packed []byte) ([]Record, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	var records []Record
	if err := json.NewDecoder(io.LimitReader(r, unpackLimit)).Decode(&records); err != nil {
		return nil, fmt.Errorf("unpack audit records: %w", err)
	}
	return records, nil
}
