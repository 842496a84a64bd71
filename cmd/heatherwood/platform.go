package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/stdout"
	"github.com/heatherwood/heatherwood/platform"
)

const closeTimeout = 200 * time.Millisecond // for writing the last log lines

// formatDroppedLines returns the log event that reports how many lines were
// dropped.
func formatDroppedLines(lines int64) []byte {
	info := reducer.CodeLogDropped.Info()
	return fmt.Appendf(nil, "{\"level\":%q,\"event\":\"HW%d\",\"lines\":%d,\"message\":%q}\n", info.Level, info.Code, lines, info.Text)
}

func addPlatform(app *kingpin.Application, commands map[string]command) {
	c := app.Command("platform", "Run this VM on the platform; the path of its settings file is read from "+platform.EnvSettings+".")
	check := c.Flag("check", "Only check the settings file.").Bool()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		writer := stdout.New(os.Stdout, clock.System{}, formatDroppedLines)
		defer writer.Close(closeTimeout)
		logger := newLogger(writer, "info")
		if *check {
			if _, err := platform.ReadSettings(logger); err != nil {
				fmt.Fprintln(out, err)
				return findingsError{code: exitInvalid}
			}
			fmt.Fprintln(out, "settings are valid")
			return nil
		}
		return platform.Run(ctx, logger)
	}
}
