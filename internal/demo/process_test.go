package demo

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/heatherwood/heatherwood/internal/audit"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/pkg/caller"
	"github.com/heatherwood/heatherwood/pkg/document"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

// soakVariable is the environment variable that holds how long the tests that disturb
// processes run, such as "2m"; without it they run for defaultSoakTime.
const soakVariable = "HEATHERWOOD_SOAK"

const defaultSoakTime = 8 * time.Second

// soakTimeOf returns how long the tests that disturb processes run.
func soakTimeOf(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv(soakVariable)
	if text == "" {
		return defaultSoakTime
	}
	length, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return length
}

// processSite is a site whose VMs run as processes of their own, so that a kill ends
// them as a crash would.
type processSite struct {
	t         *testing.T
	demo      *Demo
	binary    string // path of the heatherwood binary
	mutex     sync.Mutex
	commands  []*exec.Cmd // in the order of VMSettings; nil while a VM is down
	killCount int
}

func startProcesses(t *testing.T) *processSite { return startProcessesWith(t, false) }

// startProcessesWith starts the site; with managed replicas a control VM that has lost its disk is
// replaced by itself.
func startProcessesWith(t *testing.T, managed bool) *processSite {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "heatherwood")
	build := exec.Command("go", "build", "-o", binary, "github.com/heatherwood/heatherwood/cmd/heatherwood")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	d, err := Prepare(Options{Site: "plaques", DataDir: dir})
	if err != nil {
		t.Fatal(err)
	}
	p := &processSite{t: t, demo: d, binary: binary, commands: make([]*exec.Cmd, len(d.VMSettings))}
	t.Cleanup(p.stopAll)
	for i := range d.VMSettings {
		s := &d.VMSettings[i]
		if managed {
			s.ManageReplicas, s.Bootstrap = true, true
			s.InitialReplicas = slices.Clone(s.InitialReplicas)
			for k := range s.InitialReplicas {
				s.InitialReplicas[k].ID = s.InitialReplicas[k].Peer
			}
		}
		p.writeSettings(*s)
		p.startVM(i)
	}
	ctx, cancel := context.WithTimeout(context.Background(), progressTimeout)
	defer cancel()
	if err := d.PutSections(ctx); err != nil {
		t.Fatal(err)
	}
	if err := d.StartServers(); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *processSite) settingsFile(s settings.Settings) string {
	return filepath.Join(p.demo.Options.DataDir, s.ID+".toml")
}

func (p *processSite) writeSettings(s settings.Settings) {
	text, err := toml.Marshal(s)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.settingsFile(s), text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *processSite) startVM(vm int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.demo.VMSettings[vm]
	logFile, err := os.OpenFile(filepath.Join(p.demo.Options.DataDir, s.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer logFile.Close()
	command := exec.Command(p.binary, "serve", "--settings", p.settingsFile(s))
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		p.t.Error(err)
		return
	}
	p.commands[vm] = command
}

func (p *processSite) killVM(vm int) {
	p.mutex.Lock()
	command := p.commands[vm]
	p.commands[vm] = nil
	p.mutex.Unlock()
	if command != nil {
		p.killCount++
		command.Process.Kill()
		command.Wait()
	}
}

func (p *processSite) stopAll() {
	for _, server := range p.demo.Backends {
		server.Kill()
	}
	for vm := range p.commands {
		p.killVM(vm)
	}
}

// killAtRandom kills and restarts random VMs until the context ends. At most two are
// down at a time, so that a quorum of the control replicas remains.
func (p *processSite) killAtRandom(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		first, second := random.IntN(len(p.commands)), random.IntN(len(p.commands))
		p.killVM(first)
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		p.killVM(second)
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		p.startVM(first)
		if second != first {
			p.startVM(second)
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// outcomes holds the results that the callers and the operator got.
type outcomes struct {
	mutex    sync.Mutex
	answered map[string]bool     // keys of requests that got a complete answer
	notRun   map[string]bool     // keys of requests whose last answer said that nothing ran
	changes  []string            // ids of accepted changes, in the order of acceptance
	unknown  int                 // payments given up because they may have run
	refused  int                 // answers that said that nothing ran
	results  map[string][]string // of each try, by key
}

// Kills of VM processes must not make answers to callers and operators untrue: no key runs
// twice, a request reported as not run has not run, and accepted changes stay.
func TestKilledProcesses(t *testing.T) {
	soakTime := soakTimeOf(t)
	p := startProcesses(t)
	seen := p.disturb(soakTime, p.killAtRandom)
	p.checkRuns(seen)
	p.checkChanges(seen)
	p.checkAudit()
	t.Logf("%d kills, %d keys answered, %d unknown, %d refused, %d changes", p.killCount, len(seen.answered), seen.unknown, seen.refused, len(seen.changes))
}

// disturb lets the callers and an operator work for so long while faults are injected, starts all
// VMs again and returns what was seen.
func (p *processSite) disturb(length time.Duration, inject func(context.Context, *rand.Rand)) *outcomes {
	seen := &outcomes{answered: make(map[string]bool), notRun: make(map[string]bool), results: make(map[string][]string)}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var group sync.WaitGroup
	const callers = 4
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			p.sendPayments(ctx, seen, i)
		}()
	}
	group.Add(1)
	go func() {
		defer group.Done()
		p.sendChanges(ctx, seen)
	}()
	inject(ctx, rand.New(rand.NewPCG(1, 2)))
	group.Wait()
	for vm := range p.commands {
		if p.commands[vm] == nil {
			p.startVM(vm)
		}
	}
	return seen
}

// Disks of control VMs are lost in turn, and all other VMs lose power at the same moment.
func TestKeysRunOnceThroughLossOfDisksAndPower(t *testing.T) {
	length := soakTimeOf(t)
	p := startProcessesWith(t, true)
	for i := range p.demo.VMSettings {
		p.demo.VMSettings[i].Bootstrap = false
		p.writeSettings(p.demo.VMSettings[i])
	}
	losses := 0
	seen := p.disturb(length, func(ctx context.Context, random *rand.Rand) {
		for ; ctx.Err() == nil; losses++ {
			time.Sleep(time.Duration(1000+random.IntN(1000)) * time.Millisecond)
			vm := random.IntN(len(p.commands))
			for p.demo.VMSettings[vm].DataDir == "" {
				vm = random.IntN(len(p.commands))
			}
			others := random.IntN(3) > 0 // they lose power too
			for i := range p.commands {
				if i == vm || others {
					p.killVM(i)
				}
			}
			if err := os.RemoveAll(p.demo.VMSettings[vm].DataDir); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			for i := range p.commands {
				if i == vm || others {
					p.startVM(i)
				}
			}
			p.awaitChanges(ctx, len(p.demo.VMSettings))
		}
	})
	p.askAgain(seen)
	p.checkRuns(seen)
	// A history is that of the VM that is asked, which may have an empty disk still.
	waitUntil(t, "the first VM holds the newest change again", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		versions, err := p.demo.client(0, document.SectionStops).History(ctx, document.SectionStops, false)
		return err == nil && (len(seen.changes) == 0 || slices.ContainsFunc(versions, func(v operator.Version) bool { return v.ChangeID == seen.changes[len(seen.changes)-1] }))
	})
	p.checkChanges(seen)
	t.Logf("%d disks lost, %d keys answered, %d unknown, %d refused, %d changes", losses, len(seen.answered), seen.unknown, seen.refused, len(seen.changes))
}

// askAgain sends the payments whose last try was refused again, until the outcome of each is known.
// A refusal speaks of one try: where an earlier one got no answer, that may have run.
func (p *processSite) askAgain(seen *outcomes) {
	ran := make(map[string]bool)
	for _, server := range p.demo.Backends {
		for key := range server.RunsByKey() {
			ran[key] = true
		}
	}
	client := &caller.Client{Service: "payments", Seeds: p.demo.Info().Entries, HTTP: &http.Client{Timeout: 3 * time.Second}}
	for _, key := range slices.Collect(maps.Keys(seen.notRun)) {
		if ran[key] && !slices.ContainsFunc(seen.results[key], func(result string) bool { return !strings.Contains(result, caller.ErrRefused.Error()) }) {
			p.t.Errorf("key %s was refused at each try, but it ran: %q", key, seen.results[key])
		}
		waitUntil(p.t, "the outcome of "+key+" is known", func() bool { return p.sendPayment(context.Background(), client, seen, key) })
	}
}

const replaceTime = 4 * time.Second // in which a replica on an empty disk holds everything again

// awaitChanges waits until a quorum answers and the replica that was lost is replaced.
func (p *processSite) awaitChanges(ctx context.Context, vms int) {
	for vm := 0; ctx.Err() == nil; vm = (vm + 1) % vms {
		readCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := p.demo.client(vm, document.SectionStops).Get(readCtx, document.SectionStops)
		cancel()
		if err == nil {
			break
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(replaceTime):
	}
}

// sendPayments sends payments, which must not run twice. Each is sent again until its
// outcome is known or the context ends.
func (p *processSite) sendPayments(ctx context.Context, seen *outcomes, callerIndex int) {
	client := &caller.Client{Service: "payments", Seeds: p.demo.Info().Entries, HTTP: &http.Client{Timeout: 3 * time.Second}}
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("pay-%d-%d", callerIndex, i)
		for ctx.Err() == nil && !p.sendPayment(ctx, client, seen, key) {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// sendPayment sends one payment and reports whether it need not be sent again.
func (p *processSite) sendPayment(ctx context.Context, client *caller.Client, seen *outcomes, key string) bool {
	response, err := client.Do(context.WithoutCancel(ctx), caller.Request{Method: http.MethodPost, Path: "/payments/" + key, Key: key, Body: []byte("5")})
	if response != nil {
		defer response.Body.Close()
	}
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	delete(seen.notRun, key)
	result := fmt.Sprint(err)
	if response != nil {
		result = response.Status + " " + response.Header.Get("Heatherwood-Run") + " " + result
	}
	seen.results[key] = append(seen.results[key], result)
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		seen.answered[key] = true
		return true
	case errors.Is(err, caller.ErrUnknown) && response != nil && response.StatusCode == http.StatusConflict:
		seen.unknown++
		return true
	case errors.Is(err, caller.ErrRefused):
		seen.refused++
		seen.notRun[key] = true
		return false
	default:
		return false
	}
}

// sendChanges makes changes through random VMs, one after the other, and sends each
// again until it is accepted.
func (p *processSite) sendChanges(ctx context.Context, seen *outcomes) {
	random := rand.New(rand.NewPCG(3, 4))
	version := uint64(1)
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprint("soak-", i)
		text := []byte(fmt.Sprintf("# change %d\n", i))
		for ctx.Err() == nil {
			vm := random.IntN(len(p.demo.VMSettings))
			attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
			accepted, err := p.demo.client(vm, document.SectionStops).Put(attemptCtx, document.SectionStops, operator.Change{Base: version, ID: id, Text: text})
			cancel()
			if err == nil {
				version = accepted.Version
				seen.changes = append(seen.changes, id)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkRuns compares the answers that the callers got with the runs that the backend
// servers counted, and checks that no server ran more requests at once than its slots.
func (p *processSite) checkRuns(seen *outcomes) {
	runs := make(map[string]int)
	for _, server := range p.demo.Backends {
		for key, n := range server.RunsByKey() {
			runs[key] += n
		}
	}
	for _, server := range p.demo.Backends {
		if highest := server.MaxRunning(); highest > int64(server.Settings.Slots) {
			p.t.Errorf("server %s ran %d requests at once in %d slots", server.Settings.ID, highest, server.Settings.Slots)
		}
	}
	for key, n := range runs {
		if n > 1 {
			p.t.Errorf("key %s ran %d times", key, n)
		}
		if seen.notRun[key] {
			p.t.Errorf("key %s was reported as not run, but it ran; its tries: %q", key, seen.results[key])
		}
	}
	for key := range seen.answered {
		if runs[key] != 1 {
			p.t.Errorf("answered key %s ran %d times, want 1", key, runs[key])
		}
	}
	if len(seen.answered) == 0 {
		p.t.Error("no payment was answered")
	}
}

// checkChanges checks that the section's version counts every accepted change and that
// the history holds the latest of them.
func (p *processSite) checkChanges(seen *outcomes) {
	var section operator.Section
	waitUntil(p.t, "a quorum answers a read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		var err error
		section, err = p.demo.client(0, document.SectionStops).Get(ctx, document.SectionStops)
		return err == nil
	})
	if want := uint64(1 + len(seen.changes)); section.Version < want {
		p.t.Errorf("section has version %d after %d accepted changes, want at least %d", section.Version, len(seen.changes), want)
	}
	versions, err := p.demo.client(0, document.SectionStops).History(context.Background(), document.SectionStops, false)
	if err != nil {
		p.t.Fatal(err)
	}
	inHistory := make(map[string]bool)
	for _, version := range versions {
		inHistory[version.ChangeID] = true
	}
	const latestChanges = 40 // fewer than the versions that the history keeps
	for _, id := range seen.changes[max(0, len(seen.changes)-latestChanges):] {
		if !inHistory[id] {
			p.t.Errorf("accepted change %s is not in the history", id)
		}
	}
}

// checkAudit kills all VMs and checks that their audit trails show no broken promise.
func (p *processSite) checkAudit() {
	time.Sleep(time.Second)
	for vm := range p.commands {
		p.killVM(vm)
	}
	trails, err := audit.Read([]string{p.demo.Options.DataDir})
	if err != nil {
		p.t.Fatal(err)
	}
	report := audit.Verify(trails)
	if report.Worst() == audit.Broken {
		var text strings.Builder
		report.WriteText(&text)
		p.t.Errorf("audit of the run:\n%s", text.String())
	}
}
