// Command site runs the scripted cases of the review: it starts a small deployment from the
// deploy file's program on loopback addresses, with stand-ins for the platform, the upstreams, the
// operator and the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays one case and returns how the rule was broken, nothing if it held.
type caseFunc func(s *site, trouble bool) (broken []string, err error)

// caseSpec is a case with the size of its deployment.
type caseSpec struct {
	cores, edges int
	play         caseFunc
	proxied      bool // connections between machines pass through proxies
}

var cases = map[string]caseSpec{}

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func run(name, folder string) (int, error) {
	spec, found := cases[name]
	if !found {
		return exitNotRun, fmt.Errorf("there is no case %q", name)
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitNotRun, fmt.Errorf("create record: %w", err)
	}
	defer file.Close()
	rec := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with its disruption: %v", name, trouble)
	s, err := newSite(spec.cores, spec.edges, rec)
	if err != nil {
		return exitNotRun, err
	}
	defer s.close()
	stopEarly(s)
	if spec.proxied {
		if s.links, err = s.startLinks(); err != nil {
			return exitNotRun, err
		}
	}
	if err := s.start(); err != nil {
		return exitNotRun, err
	}
	broken, err := spec.play(s, trouble)
	if err != nil {
		return exitNotRun, err
	}
	if len(broken) == 0 {
		rec.printf("held")
		return exitHeld, nil
	}
	for _, text := range broken {
		rec.printf("BROKEN: %s", text)
	}
	return exitBroken, nil
}

const longestCase = 110 * time.Second

// stopEarly ends all processes when the case takes too long or is stopped itself.
func stopEarly(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestCase):
		}
		s.close()
		os.Exit(exitNotRun)
	}()
}

var errUsage = errors.New("usage: site CASE FOLDER")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(exitNotRun)
	}
	code, err := run(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
	}
	os.Exit(code)
}
