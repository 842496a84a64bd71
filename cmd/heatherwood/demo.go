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
	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/examples"
	"github.com/heatherwood/heatherwood/internal/demo"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

const tableInterval = 2 * time.Second

func addDemo(app *kingpin.Application, commands map[string]command) {
	c := app.Command("demo", "Run a whole site on loopback until Ctrl-C. Example: heatherwood demo --site pottery")
	site := c.Flag("site", "Site to run.").Default("plaques").Enum(examples.SiteNames()...)
	asJSON := c.Flag("json", "Print addresses, tokens and servers as one JSON object and no table.").Bool()
	length := c.Flag("for", "End after this time; 0 runs until Ctrl-C.").Default("0s").Duration()
	data := c.Flag("data", "Folder for the control replicas; empty makes one and removes it.").String()
	bare := c.Flag("no-servers", "Start no stand-in backend servers.").Bool()
	logs := c.Flag("logs", "Write log events of all VMs to standard error.").Bool()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		if *length > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, *length)
			defer cancel()
		}
		logger := zerolog.Nop()
		if *logs {
			logger = newLogger(os.Stderr, "info")
		}
		d, err := demo.Start(ctx, demo.Options{Site: *site, DataDir: *data, StartServers: !*bare, Logger: logger})
		if err != nil {
			return err
		}
		defer d.Stop()
		if *asJSON {
			return printInfo(ctx, out, d)
		}
		printIntroduction(out, d.Info())
		showTable(ctx, out, d)
		fmt.Fprintln(out, "stopping")
		return nil
	}
}

func printInfo(ctx context.Context, out io.Writer, d *demo.Demo) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(d.Info()); err != nil {
		return fmt.Errorf("print demo: %w", err)
	}
	<-ctx.Done()
	return nil
}

func printIntroduction(out io.Writer, info demo.Info) {
	fmt.Fprintf(out, "site %s: %d VMs, %d backend servers\n\n", info.Site, len(info.Entries), len(info.Backends))
	for _, domain := range info.Domains {
		fmt.Fprintf(out, "  %-16s %s\n", domain.Name, strings.Join(domain.Entries, " "))
	}
	fmt.Fprintln(out, "\ntokens:")
	for _, token := range info.Tokens {
		fmt.Fprintf(out, "  %-16s %s\n", token.Team, token.Token)
	}
	entry, service := info.Entries[0], info.Services[0]
	once := service
	for _, service := range info.Services {
		if service.Once {
			once = service
		}
	}
	fmt.Fprintf(out, `
try:
  curl 'http://%[1]s/v1/entries?service=%[2]s&client=10.20.0.1'
  curl -H 'Host: %[3]s' http://%[1]s/hello
  curl -H 'Host: %[4]s' -H 'Idempotency-Key: order-1' -d amount=5 http://%[1]s/%[5]s/1
  heatherwood section get ranks --entry %[1]s --token %[6]s
  heatherwood status --entry %[1]s --token %[6]s

`, entry, service.Name, service.Hosts[0], once.Hosts[0], once.Name, info.Tokens[2].Token)
}

// showTable prints what each service does until the context ends.
func showTable(ctx context.Context, out io.Writer, d *demo.Demo) {
	for {
		fmt.Fprintf(out, "%-14s %-10s %6s %6s %7s %6s %6s\n", "service", "domains", "slots", "in use", "waiting", "spare", "rate/s")
		for _, line := range tableLines(ctx, d) {
			fmt.Fprintln(out, line)
		}
		fmt.Fprintln(out)
		select {
		case <-ctx.Done():
			return
		case <-time.After(tableInterval):
		}
	}
}

func tableLines(ctx context.Context, d *demo.Demo) []string {
	var names []string
	sums := make(map[string]*serviceSum)
	for _, vm := range d.VMs {
		if vm == nil {
			continue
		}
		status, err := vm.Node.Status(ctx)
		if err != nil {
			continue
		}
		for _, service := range status.Services {
			if sums[service.Service] == nil {
				sums[service.Service] = &serviceSum{seen: make(map[string]bool)}
				names = append(names, service.Service)
			}
			sums[service.Service].add(status.Domain, service)
		}
	}
	var lines []string
	for _, name := range names {
		s := sums[name]
		lines = append(lines, fmt.Sprintf("%-14s %-10d %6d %6d %7d %6d %6.1f", name, s.domains, s.slots, s.inUse, s.waiting, s.spare, s.rate))
	}
	return lines
}

type serviceSum struct {
	seen                                  map[string]bool // failure domains; two VMs of one may think they own the service
	domains, slots, inUse, waiting, spare int
	rate                                  float64
}

func (s *serviceSum) add(domain string, service reducer.ServiceStatus) {
	if service.Summary.Service == "" || s.seen[domain] {
		return
	}
	s.seen[domain] = true
	s.domains++
	s.slots += service.Summary.Capacity
	s.inUse += service.Summary.InUse
	s.waiting += service.Summary.Waiting
	s.spare += service.Summary.Spare
	s.rate += service.Summary.Rate
}
