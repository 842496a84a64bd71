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

// Sizes, suffix and permissions of the files in one folder.
const (
	maxFileBytes   = 16 << 20 // of one file
	maxFolderBytes = 4 << 30  // of all files; the oldest are removed first
	fileSuffix     = ".audit"
	folderMode     = 0o700
	fileMode       = 0o600
)

// Writer appends records of several chains to files in one folder.
type Writer struct {
	Folder string

	files      map[string]*chainFile // by chain
	totalBytes int64                 // of all files in the folder
}

// chainFile is the open file of a chain.
type chainFile struct {
	file         *os.File
	buffer       *bufio.Writer
	number       int    // of the file within its chain, from 0
	size         int64  // bytes, with those written before it was opened
	nextSequence uint64 // sequence number of the next record
	lastHash     string // hash of the last record
	unsynced     bool   // records were written since the last sync
}

// OpenWriter returns a Writer for the folder, which it creates if needed.
func OpenWriter(folder string) (*Writer, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("create audit folder: %w", err)
	}
	w := &Writer{Folder: folder, files: make(map[string]*chainFile)}
	names, err := fileNames(folder)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			w.totalBytes += info.Size()
		}
	}
	return w, nil
}

// fileNames returns the paths of all audit files below the folder, sorted.
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

// NextSequence returns the sequence number of the chain's next record, or 0 if
// this Writer wrote nothing of the chain.
func (w *Writer) NextSequence(chain string) uint64 {
	if f := w.files[chain]; f != nil {
		return f.nextSequence
	}
	return 0
}

// Write appends a record, which is durable after Sync. A record below the
// chain's NextSequence is skipped as already written. Gaps in the sequence are
// accepted: another VM may hold the records, and Read reports those that none of the
// files that it reads holds.
func (w *Writer) Write(record Record) error {
	f := w.files[record.Chain]
	if f == nil {
		opened, err := w.openFile(record.Chain, 0)
		if err != nil {
			return err
		}
		opened.nextSequence = record.Sequence
		f = opened
	}
	if record.Sequence < f.nextSequence {
		return nil
	}
	line, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode audit record: %w", err)
	}
	line = append(line, '\n')
	if f.size+int64(len(line)) > maxFileBytes {
		if f, err = w.rotate(record.Chain, f); err != nil {
			return err
		}
	}
	if _, err := f.buffer.Write(line); err != nil {
		return fmt.Errorf("write audit record: %w", err)
	}
	f.size += int64(len(line))
	w.totalBytes += int64(len(line))
	f.nextSequence, f.lastHash, f.unsynced = record.Sequence+1, record.Hash, true
	return nil
}

// openFile opens the file of the chain with the number and makes it the chain's
// current file.
func (w *Writer) openFile(chain string, number int) (*chainFile, error) {
	name := filepath.Join(w.Folder, fmt.Sprintf("%s.%04d%s", chain, number, fileSuffix))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open audit file: %w", err)
	}
	info, err := file.Stat()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("read size of audit file: %w", err), file.Close())
	}
	f := &chainFile{file: file, buffer: bufio.NewWriter(file), number: number, size: info.Size()}
	w.files[chain] = f
	return f, nil
}

// rotate closes the chain's file and continues the chain in the next one.
func (w *Writer) rotate(chain string, old *chainFile) (*chainFile, error) {
	if err := old.close(); err != nil {
		return nil, err
	}
	f, err := w.openFile(chain, old.number+1)
	if err != nil {
		return nil, err
	}
	f.nextSequence, f.lastHash = old.nextSequence, old.lastHash
	return f, w.removeOldest()
}

// removeOldest removes the files modified longest ago until the folder is within
// maxFolderBytes; it keeps files that are open.
func (w *Writer) removeOldest() error {
	if w.totalBytes <= maxFolderBytes {
		return nil
	}
	names, err := fileNames(w.Folder)
	if err != nil {
		return err
	}
	sort.Slice(names, func(i, j int) bool { return modTime(names[i]) < modTime(names[j]) })
	for _, name := range names {
		if w.totalBytes <= maxFolderBytes {
			return nil
		}
		info, err := os.Stat(name)
		if err != nil || w.isOpen(name) {
			continue
		}
		if err := os.Remove(name); err != nil {
			return fmt.Errorf("remove old audit file: %w", err)
		}
		w.totalBytes -= info.Size()
	}
	return nil
}

// modTime returns when the file was last written, in Unix nanoseconds, or 0 if it
// cannot be read.
func modTime(name string) int64 {
	info, err := os.Stat(name)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}

func (w *Writer) isOpen(name string) bool {
	for _, f := range w.files {
		if f.file.Name() == name {
			return true
		}
	}
	return false
}

func (f *chainFile) sync() error {
	if !f.unsynced {
		return nil
	}
	if err := f.buffer.Flush(); err != nil {
		return fmt.Errorf("write audit file: %w", err)
	}
	if err := f.file.Sync(); err != nil {
		return fmt.Errorf("sync audit file: %w", err)
	}
	f.unsynced = false
	return nil
}

func (f *chainFile) close() error {
	if err := f.sync(); err != nil {
		return err
	}
	return f.file.Close()
}

// Sync makes all written records durable.
func (w *Writer) Sync() error {
	for _, f := range w.files {
		if err := f.sync(); err != nil {
			return err
		}
	}
	return nil
}

// Head identifies the last record of a chain.
type Head struct {
	Chain    string
	Sequence uint64
	Hash     string
}

// Heads returns the head of each chain that this Writer wrote, sorted by chain.
func (w *Writer) Heads() []Head {
	var heads []Head
	for chain, f := range w.files {
		if f.lastHash != "" {
			heads = append(heads, Head{Chain: chain, Sequence: f.nextSequence - 1, Hash: f.lastHash})
		}
	}
	sort.Slice(heads, func(i, j int) bool { return heads[i].Chain < heads[j].Chain })
	return heads
}

// Close syncs and closes all files.
func (w *Writer) Close() error {
	var errs []error
	for _, f := range w.files {
		errs = append(errs, f.close())
	}
	return errors.Join(errs...)
}
