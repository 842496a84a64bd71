package disk

import (
	"errors"
	"fmt"
	"strings"

	"github.com/heatherwood/heatherwood/internal/codec"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

const (
	formatVersion          = 1
	defaultMaxSegmentBytes = 16 << 20
	segmentPrefix          = "log-"
	snapshotPrefix         = "snapshot-"
	temporarySuffix        = ".tmp"
)

// CorruptError reports a file that is damaged other than by an incomplete last write.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Cause  error
}

// Error names the file, the position and the remedy.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%v); remove this replica, empty its data folder and add it again", e.File, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// batch is the payload of one log record: all that is written with one sync.
type batch struct {
	Format  int
	Hard    quorum.HardState
	Entries []quorum.Entry
}

// snapshotFile is the payload of a snapshot's only record.
type snapshotFile struct {
	Format   int
	Snapshot quorum.Snapshot
}

// Store writes the log and snapshots of a replica; only one goroutine may use it.
type Store struct {
	MaxSegmentBytes int64 // only a segment with a single record may be larger

	files         Files
	segment       File
	segmentNumber uint64 // of the open segment
	segmentSize   int64  // bytes in the open segment
	saveError     error  // of the first failed save; the store then refuses all others
}

// OpenStore reads the folder and returns the store and the state that it held. If the
// folder holds no snapshot, that state starts from the bootstrap snapshot.
func OpenStore(files Files, bootstrapSnapshot quorum.Snapshot) (*Store, quorum.DurableState, error) {
	s := &Store{MaxSegmentBytes: defaultMaxSegmentBytes, files: files}
	names, err := files.Names()
	if err != nil {
		return nil, quorum.DurableState{}, err
	}
	durable := quorum.DurableState{Snapshot: bootstrapSnapshot}
	if err := s.readSnapshot(names, &durable); err != nil {
		return nil, quorum.DurableState{}, err
	}
	if err := s.readSegments(names, &durable); err != nil {
		return nil, quorum.DurableState{}, err
	}
	if s.segment == nil {
		if err := s.startSegment(); err != nil {
			return nil, quorum.DurableState{}, err
		}
	}
	return s, durable, nil
}

// Close closes the open segment.
func (s *Store) Close() error { return s.segment.Close() }

// readSnapshot loads the newest snapshot. A damaged snapshot is an error, because the
// log entries that it replaced may have been removed.
func (s *Store) readSnapshot(names []string, durable *quorum.DurableState) error {
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
	payload, _, err := decodeRecord(data)
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
	durable.Snapshot = content.Snapshot
	return nil
}

// readSegments applies all log segments in their order.
func (s *Store) readSegments(names []string, durable *quorum.DurableState) error {
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		if err := s.readSegment(name, i == len(segments)-1, durable); err != nil {
			return err
		}
	}
	return nil
}

// readSegment applies the records of one segment. It cuts an incomplete last write
// off the last segment and opens that one for appending.
func (s *Store) readSegment(name string, isLast bool, durable *quorum.DurableState) error {
	data, err := s.files.Read(name)
	if err != nil {
		return fmt.Errorf("read log segment: %w", err)
	}
	rest := data
	for len(rest) > 0 {
		payload, remaining, err := decodeRecord(rest)
		offset := int64(len(data) - len(rest))
		if err != nil {
			if !isLast || containsValidRecord(rest) {
				return &CorruptError{File: name, Offset: offset, Cause: err}
			}
			break
		}
		if err := applyBatch(payload, durable); err != nil {
			return &CorruptError{File: name, Offset: offset, Cause: err}
		}
		rest = remaining
	}
	if !isLast {
		return nil
	}
	s.segmentSize = int64(len(data) - len(rest))
	if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &s.segmentNumber); err != nil {
		return fmt.Errorf("segment name %q: %w", name, err)
	}
	s.segment, err = s.files.Append(name, s.segmentSize)
	return err
}

var errEntryGap = errors.New("entries do not follow on from the log before them")

// applyBatch adds one batch to the state read so far.
func applyBatch(payload []byte, durable *quorum.DurableState) error {
	var b batch
	if err := codec.Unmarshal(payload, &b); err != nil {
		return fmt.Errorf("decode batch: %w", err)
	}
	if b.Format != formatVersion {
		return fmt.Errorf("format %d is not supported", b.Format)
	}
	durable.Hard = b.Hard
	if !durable.AppendEntries(b.Entries) {
		return errEntryGap
	}
	return nil
}

// Save writes all saves with one sync, except that each snapshot is synced on its own.
// After an error the store refuses all further saves, because it is no longer known
// what the disk holds.
func (s *Store) Save(saves []quorum.Save) error {
	if s.saveError != nil {
		return s.saveError
	}
	if err := s.save(saves); err != nil {
		s.saveError = fmt.Errorf("save to data folder: %w", err)
		return s.saveError
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
	return s.writeBatch(b)
}

// writeBatch appends one record to the log and syncs it; it starts a new segment if
// the record does not fit into the open one.
func (s *Store) writeBatch(b batch) error {
	b.Format = formatVersion
	payload, err := codec.Marshal(&b)
	if err != nil {
		return fmt.Errorf("encode batch: %w", err)
	}
	record := encodeRecord(payload)
	if s.segmentSize > 0 && s.segmentSize+int64(len(record)) > s.MaxSegmentBytes {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	if _, err := s.segment.Write(record); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	s.segmentSize += int64(len(record))
	if err := s.segment.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// startSegment closes the open segment and creates the next one.
func (s *Store) startSegment() error {
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			return fmt.Errorf("close log segment: %w", err)
		}
	}
	s.segmentNumber++
	segment, err := s.files.Create(segmentName(s.segmentNumber))
	if err != nil {
		return fmt.Errorf("create log segment: %w", err)
	}
	s.segment, s.segmentSize = segment, 0
	return s.files.SyncFolder()
}

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// writeSnapshot makes the snapshot durable, starts a segment with the entries after
// it, and only then removes the files that these replace.
func (s *Store) writeSnapshot(save quorum.Save) error {
	payload, err := codec.Marshal(&snapshotFile{Format: formatVersion, Snapshot: *save.Snapshot})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	name := snapshotName(save.Snapshot.Index)
	if err := WriteAtomic(s.files, name, encodeRecord(payload)); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	if err := s.startSegment(); err != nil {
		return err
	}
	if err := s.writeBatch(batch{Hard: save.Hard, Entries: save.Entries}); err != nil {
		return err
	}
	return s.removeReplaced(name)
}

// removeReplaced removes all segments before the open one and all other snapshots.
func (s *Store) removeReplaced(currentSnapshot string) error {
	names, err := s.files.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		isOldSegment := strings.HasPrefix(name, segmentPrefix) && name < segmentName(s.segmentNumber)
		isOldSnapshot := strings.HasPrefix(name, snapshotPrefix) && name != currentSnapshot
		if !isOldSegment && !isOldSnapshot {
			continue
		}
		if err := s.files.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	return nil
}
