package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/entry"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/settings"
)

func addServe(app *kingpin.Application, commands map[string]command) {
	c := app.Command("serve", "Run this VM. Example: heatherwood serve --settings node.toml")
	path := c.Flag("settings", "Settings file of the VM.").Required().String()
	check := c.Flag("check", "Only check the settings file.").Bool()
	drainTimeout := c.Flag("drain", "Longest time from the stop signal to the end of the process: look-ups name other VMs for 10 s, then running requests finish. A second signal ends it at once.").Default("40s").Duration()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		nodeSettings, err := settings.Read(*path)
		if err != nil {
			fmt.Fprintln(out, err)
			return findingsError{code: exitInvalid}
		}
		if *check {
			fmt.Fprintln(out, "settings are valid")
			return nil
		}
		return serve(ctx, nodeSettings, *drainTimeout)
	}
}

// newLogger returns a JSON logger of the level, or of level info when the level is
// empty or unknown.
func newLogger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}

// serve runs the VM until the context ends or the VM fails.
func serve(ctx context.Context, nodeSettings settings.Settings, drainTimeout time.Duration) error {
	if nodeSettings.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(int64(nodeSettings.MemoryLimitMiB) << 20)
	}
	n, err := node.New(nodeSettings, clock.System{}, newLogger(os.Stderr, nodeSettings.LogLevel))
	if err != nil {
		return err
	}
	// The listener comes first: a VM whose port is taken takes no part in the site.
	server := entry.New(n)
	if err := server.Listen(); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	log.SetFlags(0)
	log.SetOutput(n.LibraryLog())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	select {
	case <-ctx.Done():
	case err = <-failed:
	case err = <-n.Failed():
	}
	shutDown(server, drainTimeout, err == nil)
	return err
}

// shutDown stops the VM. It waits for running requests until the timeout or a
// second signal; when graceful, it first directs callers to other VMs.
func shutDown(server *entry.Server, timeout time.Duration, graceful bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if graceful {
		server.Drain(ctx)
	}
	server.Stop(ctx)
}
