package examples

import (
	"embed"
	"fmt"

	"github.com/heatherwood/heatherwood/pkg/document"
)

//go:embed plaques/*.toml pottery/*.toml
var files embed.FS

// SiteNames returns the names of the example sites.
func SiteNames() []string { return []string{"plaques", "pottery"} }

// ReadTexts returns the text of each section of an example site's document. It fails
// if there is no site of that name.
func ReadTexts(site string) (document.Texts, error) {
	texts := make(document.Texts)
	for _, section := range document.Written() {
		name := fmt.Sprintf("%s/%s.toml", site, section)
		text, err := files.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read example: %w", err)
		}
		texts[section] = document.Text{File: name, Bytes: text}
	}
	return texts, nil
}
