package examples

import (
	"testing"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Each example site's document must parse without any message, also without warnings.
func TestExamplesAreValid(t *testing.T) {
	for _, site := range SiteNames() {
		texts, err := ReadTexts(site)
		if err != nil {
			t.Fatal(err)
		}
		if _, messages := document.Parse(texts); len(messages) > 0 {
			t.Errorf("%s:\n%s", site, messages.Error())
		}
	}
}
