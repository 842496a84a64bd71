package demo

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/settings"
)

// A VM whose port was taken joined the running site and stayed for minutes, without a cause in its log.
func TestVMWhosePortIsTakenEndsAtOnce(t *testing.T) {
	const limit = time.Second
	p := startProcesses(t)
	vm := len(p.commands) - 1
	tests := map[string]func(settings.Settings) string{
		"callers": func(s settings.Settings) string { return s.Entry },
		"peers":   func(s settings.Settings) string { return s.Peer },
	}
	for name, address := range tests {
		t.Run(name, func(t *testing.T) {
			p.killVM(vm)
			s := p.demo.VMSettings[vm]
			listener, err := net.Listen("tcp", address(s))
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			logName := filepath.Join(p.demo.Options.DataDir, s.ID+".log")
			before, err := os.ReadFile(logName)
			if err != nil {
				t.Fatal(err)
			}
			begin := time.Now()
			p.startVM(vm)
			ended := make(chan error, 1)
			go func() { ended <- p.commands[vm].Wait() }()
			select {
			case err := <-ended:
				if took := time.Since(begin); err == nil || took > limit {
					t.Errorf("ended after %v with %v, want a failure within %v", took, err, limit)
				}
			case <-time.After(progressTimeout):
				t.Errorf("still there after %v", progressTimeout)
				p.commands[vm].Process.Kill()
				<-ended
			}
			p.commands[vm] = nil
			after, err := os.ReadFile(logName)
			if err != nil {
				t.Fatal(err)
			}
			if text := string(after[len(before):]); !strings.Contains(text, "address already in use") {
				t.Errorf("log has no cause: %q", text)
			}
		})
	}
}
