package node

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/codec"
	"github.com/heatherwood/heatherwood/internal/disk"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/roster"
)

const (
	rosterFolder = "roster"
	rosterName   = "roster"
	rosterAge    = 5 * time.Minute // older records say little about which servers live
)

// rosterContent is the file that lets a site that lost all its VMs at once know
// its servers before they announce themselves again.
type rosterContent struct {
	Format  int
	SavedAt time.Time
	Records []roster.Record
}

const rosterFormat = 1

// rosterFile keeps the newest records in a goroutine of its own: a slow disk
// holds up nobody.
type rosterFile struct {
	node   *Node
	folder *disk.Folder
	next   chan []roster.Record
}

// openRoster opens the file and returns what it holds; an unreadable one is
// logged and counts as empty, for servers announce themselves within seconds.
func openRoster(n *Node) (*rosterFile, []roster.Record, error) {
	if n.Settings.Data == "" {
		return nil, nil, nil
	}
	folder, err := disk.OpenFolder(filepath.Join(n.Settings.Data, rosterFolder))
	if err != nil {
		return nil, nil, fmt.Errorf("open roster: %w", err)
	}
	f := &rosterFile{node: n, folder: folder, next: make(chan []roster.Record, 1)}
	records, err := f.read()
	if err != nil {
		n.logEvent(reducer.Log{Code: reducer.CodeRosterLost, Detail: err.Error()})
	}
	return f, records, nil
}

func (f *rosterFile) read() ([]roster.Record, error) {
	names, err := f.folder.Names()
	if err != nil || !slices.Contains(names, rosterName) {
		return nil, err
	}
	data, err := f.folder.Read(rosterName)
	if err != nil {
		return nil, fmt.Errorf("read roster: %w", err)
	}
	var content rosterContent
	if err := codec.Unmarshal(data, &content); err != nil {
		return nil, fmt.Errorf("decode roster: %w", err)
	}
	if age := f.node.Clock.Now().Sub(content.SavedAt); content.Format != rosterFormat || age > rosterAge || age < -rosterAge {
		return nil, nil
	}
	return content.Records, nil
}

// add hands over newer records; those that still wait are dropped.
func (f *rosterFile) add(records []roster.Record) {
	select {
	case <-f.next:
	default:
	}
	f.next <- records
}

func (f *rosterFile) run() {
	for {
		select {
		case records := <-f.next:
			if err := f.write(records); err != nil {
				f.node.logEvent(reducer.Log{Code: reducer.CodeRosterLost, Detail: err.Error()})
			}
		case <-f.node.stopped:
			f.folder.Close()
			return
		}
	}
}

func (f *rosterFile) write(records []roster.Record) error {
	data, err := codec.Marshal(&rosterContent{Format: rosterFormat, SavedAt: f.node.Clock.Now(), Records: records})
	if err != nil {
		return fmt.Errorf("encode roster: %w", err)
	}
	return disk.Replace(f.folder, rosterName, data)
}
