package disk

import (
	"errors"
	"fmt"
	"strings"

	"github.com/heatherwood/heatherwood/internal/codec"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

const (
	formatVersion       = 1
	defaultSegmentBytes = 16 << 20
	segmentPrefix       = "log-"
	snapshotPrefix      = "snapshot-"
	temporarySuffix     = ".tmp"
)

// CorruptError names a file that is damaged other than by a torn last write.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Cause  error
}

// Error shows the file and what to do.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%v); remove this replica, empty its data folder and add it again", e.File, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// batch is the payload of one log record: everything of one sync.
type batch struct {
	Format  int
	Hard    quorum.HardState
	Entries []quorum.Entry
}

type snapshotFile struct {
	Format   int
	Snapshot quorum.Snapshot
}

// Store writes what a replica must keep; it is used by one goroutine.
type Store struct {
	SegmentBytes int64

	files    Files
	segment  File
	sequence uint64 // number of the open segment
	size     int64
	failed   error
}

// OpenStore reads the folder and returns the store with what it held. A folder
// without a snapshot and log gets the bootstrap snapshot.
func OpenStore(files Files, bootstrap quorum.Snapshot) (*Store, quorum.DurableState, error) {
	s := &Store{SegmentBytes: defaultSegmentBytes, files: files}
	names, err := files.Names()
	if err != nil {
		return nil, quorum.DurableState{}, err
	}
	restart := quorum.DurableState{Snapshot: bootstrap}
	if err := s.readSnapshot(names, &restart); err != nil {
		return nil, quorum.DurableState{}, err
	}
	if err := s.readSegments(names, &restart); err != nil {
		return nil, quorum.DurableState{}, err
	}
	if s.segment == nil {
		if err := s.nextSegment(); err != nil {
			return nil, quorum.DurableState{}, err
		}
	}
	return s, restart, nil
}

// Close closes the open segment.
func (s *Store) Close() error { return s.segment.Close() }

// readSnapshot loads the newest snapshot; a damaged one is an error because
// the log before it may be gone.
func (s *Store) readSnapshot(names []string, restart *quorum.DurableState) error {
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			newest = name
		}
	}
	if newest == "" {
		return nil
	}
	data, err := s.files.Read(newest)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	payload, _, err := unframe(data)
	if err != nil {
		return &CorruptError{File: newest, Cause: err}
	}
	var content snapshotFile
	if err := codec.Unmarshal(payload, &content); err != nil {
		return &CorruptError{File: newest, Cause: err}
	}
	if content.Format != formatVersion {
		return fmt.Errorf("%s has format %d; this version reads format %d", newest, content.Format, formatVersion)
	}
	restart.Snapshot = content.Snapshot
	return nil
}

func (s *Store) readSegments(names []string, restart *quorum.DurableState) error {
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		if err := s.readSegment(name, i == len(segments)-1, restart); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) readSegment(name string, last bool, restart *quorum.DurableState) error {
	data, err := s.files.Read(name)
	if err != nil {
		return fmt.Errorf("read log segment: %w", err)
	}
	rest := data
	for len(rest) > 0 {
		payload, next, err := unframe(rest)
		offset := int64(len(data) - len(rest))
		if err != nil {
			if !last || validRecordWithin(rest) {
				return &CorruptError{File: name, Offset: offset, Cause: err}
			}
			break
		}
		if err := replay(payload, restart); err != nil {
			return &CorruptError{File: name, Offset: offset, Cause: err}
		}
		rest = next
	}
	if !last {
		return nil
	}
	s.size = int64(len(data) - len(rest))
	if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &s.sequence); err != nil {
		return fmt.Errorf("segment name %q: %w", name, err)
	}
	s.segment, err = s.files.Append(name, s.size)
	return err
}

var errGap = errors.New("entries do not follow the log before them")

// replay adds one batch to what was read so far.
func replay(payload []byte, restart *quorum.DurableState) error {
	var b batch
	if err := codec.Unmarshal(payload, &b); err != nil {
		return fmt.Errorf("decode batch: %w", err)
	}
	if b.Format != formatVersion {
		return fmt.Errorf("format %d is not supported", b.Format)
	}
	restart.Hard = b.Hard
	if !restart.AppendEntries(b.Entries) {
		return errGap
	}
	return nil
}

// Save writes all effects with one sync. After an error the store refuses
// everything, because what the disk holds is no longer known.
func (s *Store) Save(saves []quorum.Save) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.save(saves); err != nil {
		s.failed = fmt.Errorf("save to data folder: %w", err)
		return s.failed
	}
	return nil
}

func (s *Store) save(saves []quorum.Save) error {
	var b batch
	for _, save := range saves {
		if save.Snapshot != nil {
			if err := s.writeSnapshot(save); err != nil {
				return err
			}
			b = batch{}
			continue
		}
		b.Hard = save.Hard
		b.Entries = append(b.Entries, save.Entries...)
	}
	if b.Hard == (quorum.HardState{}) && len(b.Entries) == 0 {
		return nil
	}
	return s.write(b)
}

func (s *Store) write(b batch) error {
	b.Format = formatVersion
	payload, err := codec.Marshal(&b)
	if err != nil {
		return fmt.Errorf("encode batch: %w", err)
	}
	record := frame(payload)
	if s.size > 0 && s.size+int64(len(record)) > s.SegmentBytes {
		if err := s.nextSegment(); err != nil {
			return err
		}
	}
	if _, err := s.segment.Write(record); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	s.size += int64(len(record))
	if err := s.segment.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

func (s *Store) nextSegment() error {
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			return fmt.Errorf("close log segment: %w", err)
		}
	}
	s.sequence++
	segment, err := s.files.Create(segmentName(s.sequence))
	if err != nil {
		return fmt.Errorf("create log segment: %w", err)
	}
	s.segment, s.size = segment, 0
	return s.files.SyncFolder()
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// writeSnapshot makes the snapshot durable, starts a segment with the entries
// after it, and only then removes what both replace.
func (s *Store) writeSnapshot(save quorum.Save) error {
	payload, err := codec.Marshal(&snapshotFile{Format: formatVersion, Snapshot: *save.Snapshot})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	name := snapshotName(save.Snapshot.Index)
	if err := WriteAtomic(s.files, name, frame(payload)); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	if err := s.nextSegment(); err != nil {
		return err
	}
	if err := s.write(batch{Hard: save.Hard, Entries: save.Entries}); err != nil {
		return err
	}
	return s.removeOlder(name)
}

func (s *Store) removeOlder(snapshot string) error {
	names, err := s.files.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		oldSegment := strings.HasPrefix(name, segmentPrefix) && name < segmentName(s.sequence)
		oldSnapshot := strings.HasPrefix(name, snapshotPrefix) && name != snapshot
		if !oldSegment && !oldSnapshot {
			continue
		}
		if err := s.files.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	return nil
}
