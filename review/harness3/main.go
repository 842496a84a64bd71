package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case: it returns the events that break the rule, or an error if the case could not run.
type play func(s *site, trouble bool) (broken []string, err error)

// plays holds the cases with the number of edge machines that each zone has, and whether proxies stand
// between the machines.
var plays = map[string]struct {
	play    play
	edges   int
	proxied bool
}{
	"other-writer":    {playOtherWriter, 1, false},
	"crash":           {playCrash, 1, false},
	"unknown-service": {playUnknownService, 1, false},
	"denied":          {playDenied, 1, true},
	"homes":           {playHomes, 2, false},
}

func main() {
	os.Exit(run())
}

// run plays the case that the first argument names, and writes the record to the folder that the second
// one names.
func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	r.note("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := playCase(os.Args[1], r, trouble)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		r.note("the rule is broken, %d times", len(broken))
		for _, event := range broken {
			r.note("broken: %s", event)
		}
		fmt.Println("broken:", broken[0])
		return exitBroken
	default:
		r.note("the rule held")
		fmt.Println("held")
		return exitHeld
	}
}

const longestPlay = 110 * time.Second

var errTooLong = errors.New("the case took too long")

// playCase starts a site, plays the case and ends all processes.
func playCase(name string, r *record, trouble bool) ([]string, error) {
	chosen := plays[name]
	s, err := newSite(r, chosen.edges, chosen.proxied)
	if err != nil {
		return nil, err
	}
	defer s.end()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := chosen.play(s, trouble)
		results <- result{broken, err}
	}()
	select {
	case got := <-results:
		return got.broken, got.err
	case <-time.After(longestPlay):
		return nil, errTooLong
	}
}
