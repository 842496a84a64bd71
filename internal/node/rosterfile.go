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
	rosterFolderName = "roster"
	rosterFileName   = "roster"
	maxRosterAge     = 5 * time.Minute // older records no longer tell which servers are alive
)

// rosterContent is the stored form of the roster. After all VMs of a site failed at
// the same time, it lets them know the backend servers before these announce
// themselves again, and lets the VMs find each other at once.
type rosterContent struct {
	Format  int
	SavedAt time.Time
	Records []roster.Record
	Peers   []string // host:port of the other VMs of the failure domain
}

const rosterFormatVersion = 1

// rosterFile writes the newest records from its own goroutine, so that a slow disk
// delays nothing else.
type rosterFile struct {
	node    *Node
	folder  *disk.Folder
	pending chan reducer.SaveRoster
}

// openRosterFile opens the file and returns its content. A file that cannot be read
// is logged and treated as empty, because backend servers announce themselves again
// within seconds.
func openRosterFile(n *Node) (*rosterFile, rosterContent, error) {
	if n.Settings.DataDir == "" {
		return nil, rosterContent{}, nil
	}
	folder, err := disk.OpenFolder(filepath.Join(n.Settings.DataDir, rosterFolderName))
	if err != nil {
		return nil, rosterContent{}, fmt.Errorf("open roster folder: %w", err)
	}
	f := &rosterFile{node: n, folder: folder, pending: make(chan reducer.SaveRoster, 1)}
	content, err := f.read()
	if err != nil {
		n.logEvent(reducer.Log{Code: reducer.CodeRosterFailed, Detail: err.Error()})
	}
	return f, content, nil
}

// read returns the content of the file, or none if the file is missing, too old, in
// another format, or from a clock far ahead of this one.
func (f *rosterFile) read() (rosterContent, error) {
	names, err := f.folder.Names()
	if err != nil || !slices.Contains(names, rosterFileName) {
		return rosterContent{}, err
	}
	data, err := f.folder.Read(rosterFileName)
	if err != nil {
		return rosterContent{}, fmt.Errorf("read roster: %w", err)
	}
	var content rosterContent
	if err := codec.Unmarshal(data, &content); err != nil {
		return rosterContent{}, fmt.Errorf("decode roster: %w", err)
	}
	if age := f.node.Clock.Now().Sub(content.SavedAt); content.Format != rosterFormatVersion || age > maxRosterAge || age < -maxRosterAge {
		return rosterContent{}, nil
	}
	return content, nil
}

// setPending queues newer content in place of content that is not written yet.
func (f *rosterFile) setPending(save reducer.SaveRoster) {
	select {
	case <-f.pending:
	default:
	}
	f.pending <- save
}

func (f *rosterFile) run() {
	for {
		select {
		case save := <-f.pending:
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
	content := rosterContent{Format: rosterFormatVersion, SavedAt: f.node.Clock.Now(), Records: save.Records, Peers: save.Peers}
	data, err := codec.Marshal(&content)
	if err != nil {
		return fmt.Errorf("encode roster: %w", err)
	}
	return disk.WriteAtomic(f.folder, rosterFileName, data)
}
