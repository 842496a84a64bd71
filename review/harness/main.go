// Command harness plays the scripted cases of the review: it starts a small deployment of
// the project's program on loopback addresses, disturbs it, and checks one rule by what
// clients, servers and the operator see.
//
//	harness CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// errBroken reports a broken rule.
var errBroken = errors.New("rule broken")

// cases holds the cases by name; the file of each adds it.
var cases = make(map[string]func(*record, string) error)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM RECORD")
		os.Exit(2)
	}
	signal.Ignore(syscall.SIGPIPE) // the exit code counts, whoever reads the output
	r, err := openRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](r, os.Args[2])
	switch {
	case err == nil:
		r.write("RESULT: the rule held (disruption played: %v)", trouble())
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		r.write("RESULT: %v (disruption played: %v)", err, trouble())
		fmt.Println(err)
		os.Exit(1)
	default:
		r.write("RESULT: could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
}
