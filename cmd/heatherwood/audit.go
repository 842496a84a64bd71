package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/internal/audit"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

func addAudit(app *kingpin.Application, commands map[string]command) {
	parent := app.Command("audit", "Read and verify audit trails.")
	addAuditShow(parent, commands)
	addAuditVerify(parent, commands)
}

// auditFilter selects records by the values of flags; an empty value matches all.
type auditFilter struct {
	since, until                  *string
	section, key, request, server *string
	kind                          *string
}

func addAuditShow(parent *kingpin.CmdClause, commands map[string]command) {
	c := parent.Command("show", "Print audit records from folders or from a running VM. Example: heatherwood audit show --key order-1 /var/lib/heatherwood/audit")
	folders := c.Arg("folder", "Audit folders; without one, the records of a VM are printed.").ExistingDirs()
	entry := c.Flag("entry", "Address of a VM to ask, IP:PORT.").Envar("HEATHERWOOD_ENTRY").String()
	token := c.Flag("token", "Token of your team.").Envar("HEATHERWOOD_TOKEN").String()
	limit := c.Flag("limit", "Maximum number of records from a VM.").Default("1000").Int()
	filter := auditFilter{
		since:   c.Flag("since", "Earliest time, RFC 3339.").String(),
		until:   c.Flag("until", "Latest time, RFC 3339.").String(),
		kind:    c.Flag("kind", "Kind of record, such as change or claim.").String(),
		section: c.Flag("section", "Section.").String(),
		key:     c.Flag("key", "Idempotency-Key.").String(),
		request: c.Flag("request", "Request id.").String(),
		server:  c.Flag("server", "Backend server.").String(),
	}
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		records, err := loadRecords(ctx, *folders, operator.Client{Address: *entry, Token: *token}, *limit)
		if err != nil {
			return err
		}
		encoder := json.NewEncoder(out)
		for _, record := range records {
			if filter.includes(record) {
				encoder.Encode(record)
			}
		}
		return nil
	}
}

func loadRecords(ctx context.Context, folders []string, client operator.Client, limit int) ([]audit.Record, error) {
	if len(folders) > 0 {
		trails, err := audit.Read(folders)
		if err != nil {
			return nil, err
		}
		return trails.Records, nil
	}
	raw, err := client.Audit(ctx, limit)
	if err != nil {
		return nil, err
	}
	var records []audit.Record
	if err := json.Unmarshal(raw, &records); err != nil {
		return nil, fmt.Errorf("decode audit records: %w", err)
	}
	return records, nil
}

// includes reports whether the record matches the filter; a server matches by its
// whole id or by the part after the last slash.
func (f auditFilter) includes(record audit.Record) bool {
	e := record.Entry
	if since, err := time.Parse(time.RFC3339, *f.since); err == nil && e.At.Before(since) {
		return false
	}
	if until, err := time.Parse(time.RFC3339, *f.until); err == nil && e.At.After(until) {
		return false
	}
	return matches(*f.kind, string(e.Kind)) &&
		matches(*f.section, e.Section) &&
		matches(*f.key, e.Key) &&
		matches(*f.request, e.Request) &&
		(matches(*f.server, e.Server) || strings.HasSuffix(e.Server, "/"+*f.server))
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

func addAuditVerify(parent *kingpin.CmdClause, commands map[string]command) {
	c := parent.Command("verify", "Verify every promise against the audit trails of all VMs. Example: heatherwood audit verify vm1/audit vm2/audit --html report.html")
	folders := c.Arg("folder", "Audit folders of all VMs with disks.").Required().ExistingDirs()
	asJSON := c.Flag("json", "Print the report as JSON.").Bool()
	html := c.Flag("html", "Also write the report as HTML to this file.").String()
	commands[c.FullCommand()] = func(_ context.Context, out io.Writer) error {
		trails, err := audit.Read(*folders)
		if err != nil {
			return err
		}
		summary := audit.Summarise(trails)
		if *html != "" {
			if err := writeHTML(*html, summary); err != nil {
				return err
			}
		}
		if *asJSON {
			encoder := json.NewEncoder(out)
			encoder.SetIndent("", "  ")
			encoder.Encode(summary)
		} else {
			summary.WriteText(out)
		}
		switch summary.Worst() {
		case audit.Broken:
			return findingsError{code: exitInvalid}
		case audit.NotShown:
			return findingsError{code: exitNotShown}
		default:
			return nil
		}
	}
}

func writeHTML(name string, summary audit.Summary) error {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create HTML report: %w", err)
	}
	defer file.Close()
	return summary.WriteHTML(file)
}
