package disk

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// Files is the part of a file system that the store needs; names are relative to one
// folder.
type Files interface {
	// Names returns all file names in ascending order.
	Names() ([]string, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// Create opens a new empty file for appending.
	Create(name string) (File, error)
	// Append truncates an existing file to size bytes and opens it for appending.
	Append(name string, size int64) (File, error)
	// Rename renames a file and replaces any file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder() error
}

// File is a file that is open for appending.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once all written bytes are durable.
	Sync() error
}

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// Folder is a folder of the operating system's file system, locked by this process.
type Folder struct {
	Path string
	lock *os.File
}

// OpenFolder creates the folder if it is missing and locks it against use by another
// process.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("data folder %s is in use by another process: %w", path, err)
	}
	return &Folder{Path: path, lock: lock}, nil
}

const lockFileName = "lock"

// Close releases the lock on the folder.
func (f *Folder) Close() error { return f.lock.Close() }

func (f *Folder) path(name string) string { return filepath.Join(f.Path, name) }

// Names implements Files.
func (f *Folder) Names() ([]string, error) {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Read implements Files.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Create implements Files.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements Files.
func (f *Folder) Append(name string, size int64) (File, error) {
	if err := os.Truncate(f.path(name), size); err != nil {
		return nil, fmt.Errorf("truncate %s to its last complete record: %w", name, err)
	}
	return os.OpenFile(f.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements Files.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove implements Files.
func (f *Folder) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncFolder implements Files.
func (f *Folder) SyncFolder() error {
	folder, err := os.Open(f.Path)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer folder.Close()
	return folder.Sync()
}
