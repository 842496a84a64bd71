package demo

import (
	"context"
	"errors"
	"fmt"
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

// Options choose what the demo runs.
type Options struct {
	Site         string
	IP           string // loopback address to listen on
	DataDir      string // folder for the control replicas; empty makes one and removes it
	StartServers bool   // start the stand-in backend servers
	Logger       zerolog.Logger
}

// Demo is a running site.
type Demo struct {
	Options    Options
	VMSettings []settings.Settings
	VMs        []*entry.Server // by VM; nil once killed
	Backends   []*standin.Server
	Tokens     []TeamToken

	texts    document.Texts
	document *document.Document
	remove   string
}

// TeamToken is the token of a team.
type TeamToken struct {
	Team  string `json:"team"`
	Token string `json:"token"`
}

// vmsPerDomain spreads ten VMs over six failure domains.
var vmsPerDomain = []int{2, 2, 2, 2, 1, 1}

// controlVMs are the VMs with disks: two, two and one in the three regions.
var controlVMs = map[string]bool{"0-0": true, "1-0": true, "2-0": true, "3-0": true, "4-0": true}

const (
	siteKey      = "demo key, not a secret"
	startLimit   = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Start runs a site and returns once its document is in force everywhere and each VM
// knows entries of all failure domains.
func Start(ctx context.Context, options Options) (*Demo, error) {
	d, err := Prepare(options)
	if err != nil {
		return nil, err
	}
	for _, own := range d.VMSettings {
		vm, err := d.startVM(own)
		if err != nil {
			d.Stop()
			return nil, err
		}
		d.VMs = append(d.VMs, vm)
	}
	if err := d.load(ctx); err != nil {
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

func (d *Demo) dataFolder() error {
	if d.Options.DataDir != "" {
		return nil
	}
	folder, err := os.MkdirTemp("", "heatherwood-demo-")
	if err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}
	d.Options.DataDir, d.remove = folder, folder
	return nil
}

// portRange lies below the ports that systems give to outgoing connections.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var errNoPorts = errors.New("too few free ports")

func (d *Demo) startVM(own settings.Settings) (*entry.Server, error) {
	n, err := node.New(own, clock.System{}, d.Options.Logger)
	if err != nil {
		return nil, err
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

// Kill ends a VM at once; Restart starts it again.
func (d *Demo) Kill(vm int) {
	d.VMs[vm].Kill()
	d.VMs[vm] = nil
}

// Restart starts a killed VM again on its old data folder.
func (d *Demo) Restart(vm int) error {
	server, err := d.startVM(d.VMSettings[vm])
	if err != nil {
		return err
	}
	d.VMs[vm] = server
	return nil
}

// AddVM starts a further VM with a data folder beside the first one, as a
// replacement for a control VM.
func (d *Demo) AddVM(id string) (settings.Settings, error) {
	own := d.VMSettings[0]
	ports, err := freePorts(d.Options.IP, 2)
	if err != nil {
		return settings.Settings{}, err
	}
	own.ID, own.Entry, own.Peer = id, ports[0], ports[1]
	own.DataDir = filepath.Join(d.Options.DataDir, id)
	server, err := d.startVM(own)
	if err != nil {
		return settings.Settings{}, err
	}
	d.VMSettings = append(d.VMSettings, own)
	d.VMs = append(d.VMs, server)
	return own, nil
}

// load writes the example sections and waits until all VMs have them.
func (d *Demo) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := d.PutSections(ctx); err != nil {
		return err
	}
	return d.awaitSite(ctx)
}

// PutSections writes the example sections.
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

func (d *Demo) awaitSite(ctx context.Context) error {
	for _, vm := range d.VMs {
		for !settled(vm.Node.View()) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("document or entries of some failure domain not known on %s: %w", vm.Node.Settings.ID, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// settled reports whether a VM holds the whole document and can lead callers to every
// failure domain.
func settled(view *reducer.View) bool {
	if view == nil || !view.Ready || view.Versions.Stops == 0 {
		return false
	}
	return !slices.ContainsFunc(view.Domains, func(d reducer.ViewDomain) bool {
		return !d.Alive || len(d.Entries) == 0
	})
}

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

// Token returns the token of the team that owns a section.
func (d *Demo) Token(section document.Section) string {
	for _, token := range d.Tokens {
		if token.Team == string(section)+"-team" {
			return token.Token
		}
	}
	return ""
}

// fleet is how many backend servers a service of the brief has.
type fleet struct {
	servers int
	slots   int
	delay   time.Duration
}

var fleets = map[string]fleet{
	"proofs":       {servers: 16, slots: 6, delay: 30 * time.Millisecond},
	"approvals":    {servers: 12, slots: 4, delay: 40 * time.Millisecond},
	"catalogue":    {servers: 20, slots: 5, delay: 40 * time.Millisecond},
	"reservations": {servers: 12, slots: 3, delay: 50 * time.Millisecond},
	"payments":     {servers: 12, slots: 3, delay: 60 * time.Millisecond},
	"patterns":     {servers: 6, slots: 6, delay: 30 * time.Millisecond},
}

// StartServers starts the stand-in backend servers of the site.
func (d *Demo) StartServers() error {
	domains := d.document.Places.Domains
	for _, service := range d.document.Services.Services {
		size := fleets[service.Name]
		for i := range size.servers {
			domain := domains[i%len(domains)]
			server, err := standin.Start(d.Options.IP, standin.Settings{
				ID:      fmt.Sprintf("%s-%02d", service.Name, i+1),
				Service: service.Name,
				Slots:   size.slots,
				Delay:   size.delay,
				Entries: d.entriesOf(domain.Name),
			})
			if err != nil {
				return err
			}
			d.Backends = append(d.Backends, server)
		}
	}
	return nil
}

func (d *Demo) entriesOf(domain string) []string {
	var entries []string
	for _, own := range d.VMSettings {
		if own.Domain == domain {
			entries = append(entries, own.Entry)
		}
	}
	return entries
}

// Stop ends all servers and VMs.
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
	if d.remove != "" {
		os.RemoveAll(d.remove)
	}
}
