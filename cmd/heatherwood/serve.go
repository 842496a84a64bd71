package main

import (
	"context"
	"fmt"
	"io"
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
	drain := c.Flag("drain", "Longest time from the signal to stop to the end: callers are led elsewhere for 10 s, then running requests end. A second signal ends at once.").Default("40s").Duration()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		own, err := settings.Read(*path)
		if err != nil {
			fmt.Fprintln(out, err)
			return invalidError{code: exitInvalid}
		}
		if *check {
			fmt.Fprintln(out, "settings are valid")
			return nil
		}
		return serve(ctx, own, *drain)
	}
}

func newLogger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}

func serve(ctx context.Context, own settings.Settings, drain time.Duration) error {
	if own.MemoryLimitMiB > 0 {
		debug.SetMemoryLimit(int64(own.MemoryLimitMiB) << 20)
	}
	n, err := node.New(own, clock.System{}, newLogger(os.Stderr, own.LogLevel))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	server := entry.New(n)
	if err := server.Listen(); err != nil {
		n.Stop()
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	select {
	case <-ctx.Done():
	case err = <-failed:
	case err = <-n.Failed():
	}
	leave(server, drain, err == nil)
	return err
}

// leave ends the VM without cutting off requests, unless a second signal comes.
func leave(server *entry.Server, drain time.Duration, gently bool) {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if gently {
		server.Drain(ctx)
	}
	server.Stop(ctx)
}
