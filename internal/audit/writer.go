package audit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
)

// Bounds on the files of one folder.
const (
	partBytes     = 16 << 20 // of one file
	maxTrailBytes = 4 << 30  // of all files; the oldest go first
	fileSuffix    = ".audit"
	folderMode    = 0o700
	fileMode      = 0o600
)

// Writer appends records of several chains to files in one folder.
type Writer struct {
	Folder string

	files map[string]*part
	total int64
}

// part is the open file of a chain.
type part struct {
	file   *os.File
	buffer *bufio.Writer
	number int
	size   int64
	next   uint64 // sequence that the chain goes on with
	head   string // hash of the last record
	dirty  bool
}

// OpenWriter opens or creates the folder.
func OpenWriter(folder string) (*Writer, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("create audit folder: %w", err)
	}
	w := &Writer{Folder: folder, files: make(map[string]*part)}
	names, err := fileNames(folder)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			w.total += info.Size()
		}
	}
	return w, nil
}

func fileNames(folder string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && strings.HasSuffix(path, fileSuffix) {
			names = append(names, path)
		}
		return nil
	})
	sort.Strings(names)
	if err != nil {
		return nil, fmt.Errorf("list audit folder: %w", err)
	}
	return names, nil
}

// Next returns the sequence that a chain goes on with in this folder.
func (w *Writer) Next(chain string) uint64 {
	if p := w.files[chain]; p != nil {
		return p.next
	}
	return 0
}

// Write appends a record; it is durable after Sync. Records held already are
// skipped. Records may be left out: another VM may hold them, and Read shows
// those that nobody holds.
func (w *Writer) Write(record Record) error {
	p := w.files[record.Chain]
	if p == nil {
		opened, err := w.open(record.Chain, 0)
		if err != nil {
			return err
		}
		opened.next = record.Sequence
		p = opened
	}
	if record.Sequence < p.next {
		return nil
	}
	line, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode audit record: %w", err)
	}
	line = append(line, '\n')
	if p.size+int64(len(line)) > partBytes {
		if p, err = w.rotate(record.Chain, p); err != nil {
			return err
		}
	}
	if _, err := p.buffer.Write(line); err != nil {
		return fmt.Errorf("write audit record: %w", err)
	}
	p.size += int64(len(line))
	w.total += int64(len(line))
	p.next, p.head, p.dirty = record.Sequence+1, record.Hash, true
	return nil
}

func (w *Writer) open(chain string, number int) (*part, error) {
	name := filepath.Join(w.Folder, fmt.Sprintf("%s.%04d%s", chain, number, fileSuffix))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open audit file: %w", err)
	}
	p := &part{file: file, buffer: bufio.NewWriter(file), number: number}
	w.files[chain] = p
	return p, nil
}

func (w *Writer) rotate(chain string, old *part) (*part, error) {
	if err := old.close(); err != nil {
		return nil, err
	}
	p, err := w.open(chain, old.number+1)
	if err != nil {
		return nil, err
	}
	p.next, p.head = old.next, old.head
	return p, w.retire()
}

// retire removes the oldest files beyond the bound.
func (w *Writer) retire() error {
	if w.total <= maxTrailBytes {
		return nil
	}
	names, err := fileNames(w.Folder)
	if err != nil {
		return err
	}
	sort.Slice(names, func(i, j int) bool { return modified(names[i]) < modified(names[j]) })
	for _, name := range names {
		if w.total <= maxTrailBytes {
			return nil
		}
		info, err := os.Stat(name)
		if err != nil || w.isOpen(name) {
			continue
		}
		if err := os.Remove(name); err != nil {
			return fmt.Errorf("remove old audit file: %w", err)
		}
		w.total -= info.Size()
	}
	return nil
}

func modified(name string) int64 {
	info, err := os.Stat(name)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}

func (w *Writer) isOpen(name string) bool {
	for _, p := range w.files {
		if p.file.Name() == name {
			return true
		}
	}
	return false
}

func (p *part) sync() error {
	if !p.dirty {
		return nil
	}
	if err := p.buffer.Flush(); err != nil {
		return fmt.Errorf("write audit file: %w", err)
	}
	if err := p.file.Sync(); err != nil {
		return fmt.Errorf("sync audit file: %w", err)
	}
	p.dirty = false
	return nil
}

func (p *part) close() error {
	if err := p.sync(); err != nil {
		return err
	}
	return p.file.Close()
}

// Sync makes all written records durable.
func (w *Writer) Sync() error {
	for _, p := range w.files {
		if err := p.sync(); err != nil {
			return err
		}
	}
	return nil
}

// Head is the last record of a chain held here.
type Head struct {
	Chain    string
	Sequence uint64
	Hash     string
}

// Heads returns the last record of each chain written since the start, by name.
func (w *Writer) Heads() []Head {
	var heads []Head
	for chain, p := range w.files {
		if p.head != "" {
			heads = append(heads, Head{Chain: chain, Sequence: p.next - 1, Hash: p.head})
		}
	}
	sort.Slice(heads, func(i, j int) bool { return heads[i].Chain < heads[j].Chain })
	return heads
}

// Close syncs and closes all files.
func (w *Writer) Close() error {
	var failures []error
	for _, p := range w.files {
		failures = append(failures, p.close())
	}
	return errors.Join(failures...)
}
