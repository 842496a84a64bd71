package backendhttp

import (
	"strings"
	"testing"
)

func FuzzDecode(f *testing.F) {
	f.Add(`{"address":"127.0.0.1:9000","service":"pay","slots":3,"connections":360,"load":1.5,"state":"serving"}`)
	f.Add(`{"slots":-1}`)
	f.Fuzz(func(t *testing.T, text string) {
		DecodeAnnouncement(strings.NewReader(text))
	})
}

func TestDecodeAnnouncementRefuses(t *testing.T) {
	tests := map[string]string{
		"not JSON":    "slots=3",
		"wrong type":  `{"slots":"three"}`,
		"two objects": `{"slots":3}{"slots":4}`,
		"empty":       "",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodeAnnouncement(strings.NewReader(text)); err == nil {
				t.Error("announcement was accepted")
			}
		})
	}
}
