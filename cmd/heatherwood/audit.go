package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

func addAudit(app *kingpin.Application, commands map[string]command) {
	audit := app.Command("audit", "Read and verify audit trails.")
	addAuditShow(audit, commands)
}

func addAuditShow(parent *kingpin.CmdClause, commands map[string]command) {
	c := parent.Command("show", "Print the latest audit records of a VM. Example: heatherwood audit show --entry 10.0.0.1:8080 --token T")
	to := remoteFlags(c)
	limit := c.Flag("limit", "Most records.").Default("100").Int()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		records, err := to.client().Audit(ctx, *limit)
		if err != nil {
			return err
		}
		return printRaw(out, records)
	}
}
