package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/pkg/document"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the command failed
	exitUsage    = 2 // the command line is wrong
	exitInvalid  = 3 // a document or settings file has errors, or an audit found a breach
	exitRefused  = 4 // the system refused, for example a version conflict
	exitNotShown = 5 // an audit lacks evidence for a promise, or no log names a request
)

const help = `Steers requests from callers to backend servers.

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 errors in a document or a
broken promise in an audit, 4 refused by the system, 5 no evidence of a promise
or request.`

// command runs one command after its flags are parsed.
type command func(ctx context.Context, out io.Writer) error

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// helpShown is the panic value that returns control to run when kingpin, after
// printing help, would exit the process with the status.
type helpShown struct{ status int }

// run executes a command line and returns the exit code.
func run(args []string, out, errOut io.Writer) (code int) {
	app := kingpin.New("heatherwood", help)
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	app.Terminate(func(status int) { panic(helpShown{status}) })
	defer func() {
		switch recovered := recover().(type) {
		case nil:
		case helpShown:
			code = exitOK
			if len(args) == 0 || recovered.status != 0 {
				code = exitUsage
			}
		default:
			panic(recovered)
		}
	}()
	commands := make(map[string]command)
	addServe(app, commands)
	addPlatform(app, commands)
	addExplain(app, commands)
	addDemo(app, commands)
	addCheck(app, commands)
	addSection(app, commands)
	addStatus(app, commands)
	addLookup(app, commands)
	addAudit(app, commands)
	addReplica(app, commands)
	addQuarantine(app, commands)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "heatherwood: %v; try --help\n", err)
		return exitUsage
	}
	chosen, found := commands[name]
	if !found {
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return reportError(chosen(ctx, out), errOut)
}

// findingsError ends a command with an exit code after the errors it found were
// printed.
type findingsError struct{ code int }

func (e findingsError) Error() string { return "errors found" }

// reportError prints an error, unless its command did, and returns the exit code.
func reportError(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	var findings findingsError
	if errors.As(err, &findings) {
		return findings.code
	}
	fmt.Fprintf(errOut, "heatherwood: %v\n", err)
	var messages document.Messages
	if errors.As(err, &messages) {
		return exitInvalid
	}
	if problem, found := operator.AsProblem(err); found && !problem.Temporary() {
		return exitRefused
	}
	return exitFailed
}
