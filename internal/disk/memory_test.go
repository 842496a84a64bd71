package disk

import (
	"errors"
	"maps"
	"slices"
)

// MemoryFiles is a file system in memory that forgets unsynced bytes.
type MemoryFiles struct {
	SyncError error
	content   map[string][]byte
	synced    map[string]int
}

// NewMemoryFiles returns an empty file system.
func NewMemoryFiles() *MemoryFiles {
	return &MemoryFiles{content: make(map[string][]byte), synced: make(map[string]int)}
}

// Crash drops every byte that was not synced.
func (m *MemoryFiles) Crash() {
	for name, data := range m.content {
		m.content[name] = data[:m.synced[name]]
	}
}

// Cut removes bytes from the end of a file.
func (m *MemoryFiles) Cut(name string, bytes int) {
	m.content[name] = m.content[name][:len(m.content[name])-bytes]
}

// Flip damages one byte.
func (m *MemoryFiles) Flip(name string, at int) { m.content[name][at] ^= 0xff }

func (m *MemoryFiles) Names() ([]string, error) {
	return slices.Sorted(maps.Keys(m.content)), nil
}

func (m *MemoryFiles) Read(name string) ([]byte, error) {
	data, found := m.content[name]
	if !found {
		return nil, errors.New("no such file")
	}
	return slices.Clone(data), nil
}

func (m *MemoryFiles) Create(name string) (File, error) {
	m.content[name], m.synced[name] = nil, 0
	return &memoryFile{files: m, name: name}, nil
}

func (m *MemoryFiles) Append(name string, size int64) (File, error) {
	m.content[name] = m.content[name][:size]
	m.synced[name] = min(m.synced[name], int(size))
	return &memoryFile{files: m, name: name}, nil
}

func (m *MemoryFiles) Rename(from, to string) error {
	m.content[to], m.synced[to] = m.content[from], m.synced[from]
	return m.Remove(from)
}

func (m *MemoryFiles) Remove(name string) error {
	delete(m.content, name)
	delete(m.synced, name)
	return nil
}

func (m *MemoryFiles) SyncFolder() error { return m.SyncError }

type memoryFile struct {
	files *MemoryFiles
	name  string
}

func (f *memoryFile) Write(data []byte) (int, error) {
	f.files.content[f.name] = append(f.files.content[f.name], data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	if f.files.SyncError != nil {
		return f.files.SyncError
	}
	f.files.synced[f.name] = len(f.files.content[f.name])
	return nil
}

func (f *memoryFile) Close() error { return nil }
