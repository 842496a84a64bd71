package backendhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/heatherwood/heatherwood/internal/routing"
)

var errTrailingData = errors.New("the body must hold one JSON object and nothing more")

// DecodeAnnouncement reads an announcement from its JSON body; the caller limits the
// reader. Unknown keys are ignored, so that servers may send more.
func DecodeAnnouncement(r io.Reader) (routing.Announcement, error) {
	decoder := json.NewDecoder(r)
	var b announcementBody
	if err := decoder.Decode(&b); err != nil {
		return routing.Announcement{}, fmt.Errorf("the body is not an announcement in JSON: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return routing.Announcement{}, errTrailingData
	}
	return routing.Announcement{
		Address:     b.Address,
		Service:     b.Service,
		Slots:       b.Slots,
		Connections: b.Connections,
		Load:        b.Load,
		State:       routing.State(b.State),
		Start:       b.Start,
		Sequence:    b.Sequence,
	}, nil
}
