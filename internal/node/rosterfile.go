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
// its servers before they announce themselves again, and its VMs meet at once.
type rosterContent struct {
	Format  int
	SavedAt time.Time
	Records []roster.Record
	Peers   []string // host:port of the other VMs of the failure domain
}

const rosterFormat = 1

// rosterFile keeps the newest records in a goroutine of its own: a slow disk
// holds up nobody.
type rosterFile struct {
	node   *Node
	folder *disk.Folder
	next   chan reducer.SaveRoster
}

// openRoster opens the file and returns what it holds; an unreadable one is
// logged and counts as empty, for servers announce themselves within seconds.
func openRoster(n *Node) (*rosterFile, rosterContent, error) {
	if n.Settings.DataDir == "" {
		return nil, rosterContent{}, nil
	}
	folder, err := disk.OpenFolder(filepath.Join(n.Settings.DataDir, rosterFolder))
	if err != nil {
		return nil, rosterContent{}, fmt.Errorf("open roster: %w", err)
	}
	f := &rosterFile{node: n, folder: folder, next: make(chan reducer.SaveRoster, 1)}
	content, err := f.read()
	if err != nil {
		n.logEvent(reducer.Log{Code: reducer.CodeRosterFailed, Detail: err.Error()})
	}
	return f, content, nil
}

func (f *rosterFile) read() (rosterContent, error) {
	names, err := f.folder.Names()
	if err != nil || !slices.Contains(names, rosterName) {
		return rosterContent{}, err
	}
	data, err := f.folder.Read(rosterName)
	if err != nil {
		return rosterContent{}, fmt.Errorf("read roster: %w", err)
	}
	var content rosterContent
	if err := codec.Unmarshal(data, &content); err != nil {
		return rosterContent{}, fmt.Errorf("decode roster: %w", err)
	}
	if age := f.node.Clock.Now().Sub(content.SavedAt); content.Format != rosterFormat || age > rosterAge || age < -rosterAge {
		return rosterContent{}, nil
	}
	return content, nil
}

// add hands over newer content; what still waits is dropped.
func (f *rosterFile) add(save reducer.SaveRoster) {
	select {
	case <-f.next:
	default:
	}
	f.next <- save
}

func (f *rosterFile) run() {
	for {
		select {
		case save := <-f.next:
			if err := f.write(save); err != nil {
				f.node.logEvent(reducer.Log{Code: reducer.CodeRosterFailed, Detail: err.Error()})
			}
		case <-f.node.stopped:
			f.folder.Close()
			return
		}
	}
}

func (f *rosterFile) write(save reducer.SaveRoster) error {
	content := rosterContent{Format: rosterFormat, SavedAt: f.node.Clock.Now(), Records: save.Records, Peers: save.Peers}
	data, err := codec.Marshal(&content)
	if err != nil {
		return fmt.Errorf("encode roster: %w", err)
	}
	return disk.WriteAtomic(f.folder, rosterName, data)
}
