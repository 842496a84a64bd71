package audit

import (
	"os"
	"testing"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// The size of a file that an earlier process had begun was not counted.
func TestFileOfAnEarlierProcessKeepsItsLimit(t *testing.T) {
	folder := t.TempDir()
	writeTrail(t, folder, "vm.1", []reducer.Audit{at(0, reducer.Audit{Kind: reducer.AuditMember, Outcome: "announced"})})
	names, err := fileNames(folder)
	if err != nil || len(names) != 1 {
		t.Fatalf("files %v, error %v, want one file", names, err)
	}
	if err := os.Truncate(names[0], maxFileBytes-1); err != nil {
		t.Fatal(err)
	}
	writeTrail(t, folder, "vm.1", []reducer.Audit{at(0, reducer.Audit{Kind: reducer.AuditMember, Outcome: "announced"})})
	info, err := os.Stat(names[0])
	if err != nil {
		t.Fatal(err)
	}
	if info.Size() > maxFileBytes {
		t.Errorf("file of %d bytes, want at most %d", info.Size(), maxFileBytes)
	}
	if names, err = fileNames(folder); err != nil || len(names) != 2 {
		t.Errorf("files %v, error %v, want two files", names, err)
	}
}
