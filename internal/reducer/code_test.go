package reducer

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const catalogueFile = "../../docs/EVENTS.md"

// The event catalogue in docs/EVENTS.md must equal the one in the code.
func TestCatalogueMatchesDocs(t *testing.T) {
	text, err := os.ReadFile(catalogueFile)
	if err != nil {
		t.Fatal(err)
	}
	inDocs := make(map[string]bool)
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "| HW") {
			inDocs[line] = true
		}
	}
	for i, info := range Codes {
		if i > 0 && info.Code <= Codes[i-1].Code {
			t.Errorf("HW%d is out of order", info.Code)
		}
		line := fmt.Sprintf("| HW%d | %s | %s |", info.Code, info.Level, info.Text)
		if !inDocs[line] {
			t.Errorf("docs/EVENTS.md lacks: %s", line)
		}
		delete(inDocs, line)
	}
	for line := range inDocs {
		t.Errorf("docs/EVENTS.md has a line that Codes lacks: %s", line)
	}
}
