package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/entry"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/internal/standin"
	"github.com/heatherwood/heatherwood/pkg/document"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

// Options select what the demo runs.
type Options struct {
	Site         string // name of an example site
	IP           string // loopback address to listen on; 127.0.0.1 if empty
	DataDir      string // directory for the control replicas; if empty, a temporary one that Stop removes
	StartServers bool   // whether Start also starts the simulated backend servers
	Logger       zerolog.Logger

	// DialServer, if set, returns how a VM connects to backend servers.
	DialServer func(vm string) func(ctx context.Context, address string) (net.Conn, error)
}

// Demo is a site whose VMs and backend servers run in this process.
type Demo struct {
	Options    Options
	VMSettings []settings.Settings // one element per VM
	VMs        []*entry.Server     // in the order of VMSettings; nil after Kill
	Backends   []*standin.Server
	Tokens     []TeamToken

	texts    document.Texts // sections of the example site
	document *document.Document
	tempDir  string // data directory that Stop removes; empty if the options name one
}

// TeamToken is the access token of an operator team.
type TeamToken struct {
	Team  string `json:"team"`
	Token string `json:"token"`
}

// vmsPerDomain is the number of VMs in each of the six failure domains, ten in all.
var vmsPerDomain = []int{2, 2, 2, 2, 1, 1}

// controlVMs are the VMs that hold a control replica on disk, as domain index and
// VM index: two, two and one in the three regions.
var controlVMs = map[string]bool{"0-0": true, "1-0": true, "2-0": true, "3-0": true, "4-0": true}

const (
	siteKey      = "demo key, not a secret" // shared by the VMs
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Start runs a site and returns once its document, but for the routes section, is in
// force on every VM and each VM knows entries of all failure domains.
func Start(ctx context.Context, options Options) (*Demo, error) {
	d, err := Prepare(options)
	if err != nil {
		return nil, err
	}
	for _, s := range d.VMSettings {
		vm, err := d.startVM(s)
		if err != nil {
			d.Stop()
			return nil, err
		}
		d.VMs = append(d.VMs, vm)
	}
	if err := d.installDocument(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	if options.StartServers {
		if err := d.StartServers(); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

// createDataDir creates a temporary data directory if the options name none.
func (d *Demo) createDataDir() error {
	if d.Options.DataDir != "" {
		return nil
	}
	dir, err := os.MkdirTemp("", "heatherwood-demo-")
	if err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}
	d.Options.DataDir, d.tempDir = dir, dir
	return nil
}

// VMs listen on ports from firstPort to below lastPort. The range ends below the
// ephemeral ports that operating systems give to outgoing connections.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var errTooFewPorts = errors.New("too few free ports")

func (d *Demo) startVM(vmSettings settings.Settings) (*entry.Server, error) {
	n, err := node.New(vmSettings, clock.System{}, d.Options.Logger)
	if err != nil {
		return nil, err
	}
	if d.Options.DialServer != nil {
		n.DialServer = d.Options.DialServer(vmSettings.ID)
	}
	if err := n.Start(); err != nil {
		return nil, err
	}
	server := entry.New(n)
	if err := server.Listen(); err != nil {
		n.Stop()
		return nil, err
	}
	go server.Serve()
	return server, nil
}

// Kill stops a VM at once, cutting off running requests; Restart starts it again.
func (d *Demo) Kill(vm int) {
	d.VMs[vm].Kill()
	d.VMs[vm] = nil
}

// Restart starts a killed VM again on its old data directory.
func (d *Demo) Restart(vm int) error {
	server, err := d.startVM(d.VMSettings[vm])
	if err != nil {
		return err
	}
	d.VMs[vm] = server
	return nil
}

// AddVM starts a further VM in the failure domain of the first one, with a data
// directory of its own, so that it can replace a control VM.
func (d *Demo) AddVM(id string) (settings.Settings, error) {
	added := d.VMSettings[0]
	ports, err := findFreePorts(d.Options.IP, 2)
	if err != nil {
		return settings.Settings{}, err
	}
	added.ID, added.Entry, added.Peer = id, ports[0], ports[1]
	added.DataDir = filepath.Join(d.Options.DataDir, id)
	server, err := d.startVM(added)
	if err != nil {
		return settings.Settings{}, err
	}
	d.VMSettings = append(d.VMSettings, added)
	d.VMs = append(d.VMs, server)
	return added, nil
}

// installDocument writes the example sections and waits until every VM is ready as
// isReady defines it.
func (d *Demo) installDocument(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.PutSections(ctx); err != nil {
		return err
	}
	return d.waitUntilReady(ctx)
}

// PutSections writes the sections of the example site, each with the token of its
// team, and returns once all are accepted.
func (d *Demo) PutSections(ctx context.Context) error {
	order := []document.Section{document.SectionPlaces, document.SectionRanks, document.SectionServices, document.SectionStops, document.SectionRoutes}
	for _, section := range order {
		client := operator.Client{Address: d.VMSettings[0].Entry, Token: d.Token(section)}
		if err := putUntilAccepted(ctx, client, section, d.texts[section].Bytes); err != nil {
			return fmt.Errorf("write section %s: %w", section, err)
		}
	}
	return nil
}

func (d *Demo) waitUntilReady(ctx context.Context) error {
	for _, vm := range d.VMs {
		for !isReady(vm.Node.View()) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("document or entries of some failure domain not known on %s: %w", vm.Node.Settings.ID, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// isReady reports whether a VM holds the document and can direct callers to an entry
// of every failure domain. It looks for the stops section only, so the routes section,
// which is written after it, may still be missing.
func isReady(view *reducer.View) bool {
	if view == nil || !view.Ready || view.Versions.Stops == 0 {
		return false
	}
	return !slices.ContainsFunc(view.Domains, func(d reducer.ViewDomain) bool {
		return !d.Alive || len(d.Entries) == 0
	})
}

// putUntilAccepted writes a section and tries again after each temporary failure.
func putUntilAccepted(ctx context.Context, client operator.Client, section document.Section, text []byte) error {
	for {
		_, err := client.Put(ctx, section, operator.Change{Base: 0, ID: "demo-" + string(section), Text: text})
		if err == nil || ctx.Err() != nil {
			return err
		}
		if problem, found := operator.AsProblem(err); found && !problem.Temporary() {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// Token returns the token of the team that owns a section, empty if there is none.
func (d *Demo) Token(section document.Section) string {
	for _, token := range d.Tokens {
		if token.Team == string(section)+"-team" {
			return token.Token
		}
	}
	return ""
}

// fleetSize is the number and the capacity of the simulated servers of a service.
type fleetSize struct {
	servers int
	slots   int           // of each server
	delay   time.Duration // of each answer
}

var fleetSizes = map[string]fleetSize{
	"proofs":       {servers: 16, slots: 6, delay: 30 * time.Millisecond},
	"approvals":    {servers: 12, slots: 4, delay: 40 * time.Millisecond},
	"catalogue":    {servers: 20, slots: 5, delay: 40 * time.Millisecond},
	"reservations": {servers: 12, slots: 3, delay: 50 * time.Millisecond},
	"payments":     {servers: 12, slots: 3, delay: 60 * time.Millisecond},
	"patterns":     {servers: 6, slots: 6, delay: 30 * time.Millisecond},
}

// StartServers starts the simulated backend servers of the site and spreads those of
// each service over the failure domains.
func (d *Demo) StartServers() error {
	domains := d.document.Places.Domains
	for _, service := range d.document.Services.Services {
		fleet := fleetSizes[service.Name]
		for i := range fleet.servers {
			domain := domains[i%len(domains)]
			server, err := standin.Start(d.Options.IP, standin.Settings{
				ID:      fmt.Sprintf("%s-%02d", service.Name, i+1),
				Service: service.Name,
				Slots:   fleet.slots,
				Delay:   fleet.delay,
				Entries: d.entriesInDomain(domain.Name),
			})
			if err != nil {
				return err
			}
			d.Backends = append(d.Backends, server)
		}
	}
	return nil
}

func (d *Demo) entriesInDomain(domain string) []string {
	var entries []string
	for _, s := range d.VMSettings {
		if s.Domain == domain {
			entries = append(entries, s.Entry)
		}
	}
	return entries
}

// Stop kills all backend servers and VMs and removes the temporary data directory.
func (d *Demo) Stop() {
	for _, server := range d.Backends {
		server.Kill()
	}
	done := make(chan struct{})
	running := 0
	for _, vm := range d.VMs {
		if vm == nil {
			continue
		}
		running++
		go func() {
			vm.Kill()
			done <- struct{}{}
		}()
	}
	for range running {
		<-done
	}
	if d.tempDir != "" {
		os.RemoveAll(d.tempDir)
	}
}
