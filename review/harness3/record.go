package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	start time.Time

	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// note writes one line with the time since the start in seconds.
func (r *record) note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.writer, format, args...)
	fmt.Fprintln(r.writer)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.writer.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "write the record:", err)
	}
	r.file.Close()
}
