package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/internal/explain"
)

func addExplain(app *kingpin.Application, commands map[string]command) {
	c := app.Command("explain", "Show the outcome of a request and its cause from log files. Example: heatherwood explain 9c41d07be2a35f68 edge-*.log")
	request := c.Arg("request", "Id of the request, as the answer gives it.").Required().String()
	files := c.Arg("file", "Log files of the VMs.").Required().ExistingFiles()
	commands[c.FullCommand()] = func(_ context.Context, out io.Writer) error {
		var logs []io.Reader
		for _, path := range *files {
			file, err := os.Open(path)
			if err != nil {
				return fmt.Errorf("open log file: %w", err)
			}
			defer file.Close()
			logs = append(logs, file)
		}
		report, err := explain.Read(*request, logs...)
		if errors.Is(err, explain.ErrNotFound) {
			fmt.Fprintln(out, err)
			return findingsError{code: exitNotShown}
		}
		if err != nil {
			return err
		}
		report.Write(out)
		return nil
	}
}
