package disk

import (
	"errors"
	"maps"
	"slices"
)

// MemoryFiles is a file system in memory that can lose unsynced bytes.
type MemoryFiles struct {
	SyncError   error // returned by each sync while it is set
	contents    map[string][]byte
	syncedBytes map[string]int
}

// NewMemoryFiles returns an empty file system.
func NewMemoryFiles() *MemoryFiles {
	return &MemoryFiles{contents: make(map[string][]byte), syncedBytes: make(map[string]int)}
}

// Crash drops all bytes that were not synced.
func (m *MemoryFiles) Crash() {
	for name, data := range m.contents {
		m.contents[name] = data[:m.syncedBytes[name]]
	}
}

// CutEnd removes the given number of bytes from the end of a file.
func (m *MemoryFiles) CutEnd(name string, bytes int) {
	m.contents[name] = m.contents[name][:len(m.contents[name])-bytes]
}

// FlipByte inverts all bits of the byte at an offset.
func (m *MemoryFiles) FlipByte(name string, offset int) { m.contents[name][offset] ^= 0xff }

func (m *MemoryFiles) Names() ([]string, error) {
	return slices.Sorted(maps.Keys(m.contents)), nil
}

func (m *MemoryFiles) Read(name string) ([]byte, error) {
	data, found := m.contents[name]
	if !found {
		return nil, errors.New("no such file")
	}
	return slices.Clone(data), nil
}

func (m *MemoryFiles) Create(name string) (File, error) {
	m.contents[name], m.syncedBytes[name] = nil, 0
	return &memoryFile{files: m, name: name}, nil
}

func (m *MemoryFiles) Append(name string, size int64) (File, error) {
	m.contents[name] = m.contents[name][:size]
	m.syncedBytes[name] = min(m.syncedBytes[name], int(size))
	return &memoryFile{files: m, name: name}, nil
}

func (m *MemoryFiles) Rename(from, to string) error {
	m.contents[to], m.syncedBytes[to] = m.contents[from], m.syncedBytes[from]
	return m.Remove(from)
}

func (m *MemoryFiles) Remove(name string) error {
	delete(m.contents, name)
	delete(m.syncedBytes, name)
	return nil
}

func (m *MemoryFiles) SyncFolder() error { return m.SyncError }

type memoryFile struct {
	files *MemoryFiles
	name  string
}

func (f *memoryFile) Write(data []byte) (int, error) {
	f.files.contents[f.name] = append(f.files.contents[f.name], data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	if f.files.SyncError != nil {
		return f.files.SyncError
	}
	f.files.syncedBytes[f.name] = len(f.files.contents[f.name])
	return nil
}

func (f *memoryFile) Close() error { return nil }
