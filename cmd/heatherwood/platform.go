package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/platform"
)

func addPlatform(app *kingpin.Application, commands map[string]command) {
	c := app.Command("platform", "Run this VM on the platform; the settings file is named by "+platform.EnvSettings+".")
	check := c.Flag("check", "Only check the settings file.").Bool()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		logger := newLogger(os.Stdout, "info")
		if *check {
			if _, err := platform.ReadSettings(logger); err != nil {
				fmt.Fprintln(out, err)
				return invalidError{code: exitInvalid}
			}
			fmt.Fprintln(out, "settings are valid")
			return nil
		}
		return platform.Run(ctx, logger)
	}
}
