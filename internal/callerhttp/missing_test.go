package callerhttp

import (
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/heatherwood/heatherwood/internal/routing"
)

func TestBodyIsMissingOnlyForWantOfTheCaller(t *testing.T) {
	pending, _ := io.Pipe()
	defer pending.Close()
	tests := map[string]struct {
		rest             io.Reader
		awaited          bool // it does not end
		broken, timedOut bool // whether it is missing after such a result
	}{
		"kept whole":       {},
		"read to its end":  {rest: strings.NewReader("rest")},
		"failed":           {rest: iotest.ErrReader(errors.New("too large")), broken: true, timedOut: true},
		"awaited, no more": {rest: pending, awaited: true, timedOut: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &inboundBody{prefix: []byte("first "), rest: test.rest}
			body, err := b.open()
			if err != nil {
				t.Fatal(err)
			}
			read := make(chan struct{})
			go func() {
				defer close(read)
				io.Copy(io.Discard, body)
			}()
			if !test.awaited {
				<-read
			}
			for test.awaited && !b.isMissing(routing.ResultTimeout) {
				runtime.Gosched()
			}
			if broken, timedOut := b.isMissing(routing.ResultBroken), b.isMissing(routing.ResultTimeout); broken != test.broken || timedOut != test.timedOut {
				t.Errorf("missing when broken: %v, when timed out: %v; want %v and %v", broken, timedOut, test.broken, test.timedOut)
			}
		})
	}
}
