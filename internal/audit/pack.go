package audit

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// maxUnpackedBytes bounds the unpacked size of a batch, far above the size of a full one.
const maxUnpackedBytes = 16 << 20

// Packer encodes batches of records for other VMs. It reuses the compressor, whose tables
// take 1.2 MB, for each batch.
type Packer struct{ writer *flate.Writer }

// Pack encodes records to send them to another VM. The JSON is the same as in the files,
// so that the hashes stay valid; it is compressed, as batches are a large part of what VMs
// on slow links send.
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

// Unpack decodes records that Pack encoded.
func Unpack(packed []byte) ([]Record, error) {
	decompressor := flate.NewReader(bytes.NewReader(packed))
	var records []Record
	if err := json.NewDecoder(io.LimitReader(decompressor, maxUnpackedBytes)).Decode(&records); err != nil {
		return nil, fmt.Errorf("unpack audit records: %w", err)
	}
	return records, nil
}
