package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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

// soakVariable holds how long TestKilledProcesses runs, such as "2m"; it is
// short without it.
const soakVariable = "HEATHERWOOD_SOAK"

const shortSoak = 8 * time.Second

// processes is a site of real processes.
type processes struct {
	t      *testing.T
	demo   *Demo
	binary string
	mutex  sync.Mutex
	run    []*exec.Cmd
	kills  int
}

func startProcesses(t *testing.T) *processes {
	t.Helper()
	folder := t.TempDir()
	binary := filepath.Join(folder, "heatherwood")
	build := exec.Command("go", "build", "-o", binary, "github.com/heatherwood/heatherwood/cmd/heatherwood")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	d, err := Prepare(Options{Site: "plaques", DataDir: folder})
	if err != nil {
		t.Fatal(err)
	}
	p := &processes{t: t, demo: d, binary: binary, run: make([]*exec.Cmd, len(d.VMSettings))}
	t.Cleanup(p.stop)
	for i, own := range d.VMSettings {
		p.write(own)
		p.start(i)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := d.PutSections(ctx); err != nil {
		t.Fatal(err)
	}
	if err := d.StartServers(); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *processes) file(own settings.Settings) string {
	return filepath.Join(p.demo.Options.DataDir, own.ID+".toml")
}

func (p *processes) write(own settings.Settings) {
	text, err := toml.Marshal(own)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.file(own), text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *processes) start(vm int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	own := p.demo.VMSettings[vm]
	log, err := os.OpenFile(filepath.Join(p.demo.Options.DataDir, own.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer log.Close()
	command := exec.Command(p.binary, "serve", "--settings", p.file(own))
	command.Stderr = log
	if err := command.Start(); err != nil {
		p.t.Error(err)
		return
	}
	p.run[vm] = command
}

func (p *processes) kill(vm int) {
	p.mutex.Lock()
	command := p.run[vm]
	p.run[vm] = nil
	p.mutex.Unlock()
	if command != nil {
		p.kills++
		command.Process.Kill()
		command.Wait()
	}
}

func (p *processes) stop() {
	for _, server := range p.demo.Backends {
		server.Kill()
	}
	for vm := range p.run {
		p.kill(vm)
	}
}

// harass kills and restarts random VMs; at most two are down at a time, so that
// a quorum remains.
func (p *processes) harass(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		first, second := random.IntN(len(p.run)), random.IntN(len(p.run))
		p.kill(first)
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		p.kill(second)
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		p.start(first)
		if second != first {
			p.start(second)
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// ledgerOfTest is what the callers and operators were told.
type ledgerOfTest struct {
	mutex    sync.Mutex
	answered map[string]bool // keys with a whole answer
	notRun   map[string]bool // keys whose last word was "not run"
	changes  []string        // accepted change ids
	unknown  int
	refused  int
}

func TestKilledProcesses(t *testing.T) {
	length := shortSoak
	if text := os.Getenv(soakVariable); text != "" {
		var err error
		if length, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	p := startProcesses(t)
	told := &ledgerOfTest{answered: make(map[string]bool), notRun: make(map[string]bool)}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var group sync.WaitGroup
	const callers = 4
	for number := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			p.pay(ctx, told, number)
		}()
	}
	group.Add(1)
	go func() {
		defer group.Done()
		p.change(ctx, told)
	}()
	p.harass(ctx, rand.New(rand.NewPCG(1, 2)))
	group.Wait()
	for vm := range p.run {
		if p.run[vm] == nil {
			p.start(vm)
		}
	}
	p.checkRuns(told)
	p.checkChanges(told)
	p.checkAudit()
	t.Logf("%d kills, %d keys answered, %d unknown, %d refused, %d changes", p.kills, len(told.answered), told.unknown, told.refused, len(told.changes))
}

// pay sends operations that must not be repeated, each until its outcome is
// known or the caller gives up.
func (p *processes) pay(ctx context.Context, told *ledgerOfTest, number int) {
	client := &caller.Client{Service: "payments", Seeds: p.demo.Info().Entries, HTTP: &http.Client{Timeout: 3 * time.Second}}
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("pay-%d-%d", number, i)
		for ctx.Err() == nil && !p.payOnce(ctx, client, told, key) {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// payOnce returns true when the key needs no further send.
func (p *processes) payOnce(ctx context.Context, client *caller.Client, told *ledgerOfTest, key string) bool {
	response, err := client.Do(context.WithoutCancel(ctx), caller.Request{Method: http.MethodPost, Path: "/payments/" + key, Key: key, Body: []byte("5")})
	if response != nil {
		defer response.Body.Close()
	}
	told.mutex.Lock()
	defer told.mutex.Unlock()
	delete(told.notRun, key)
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		told.answered[key] = true
		return true
	case errors.Is(err, caller.ErrUnknown) && response != nil && response.StatusCode == http.StatusConflict:
		told.unknown++
		return true
	case errors.Is(err, caller.ErrRefused):
		told.refused++
		told.notRun[key] = true
		return false
	default:
		return false
	}
}

// change makes changes through random VMs, sending each again until it has an
// answer.
func (p *processes) change(ctx context.Context, told *ledgerOfTest) {
	random := rand.New(rand.NewPCG(3, 4))
	version := uint64(1)
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprint("soak-", i)
		text := []byte(fmt.Sprintf("# change %d\n", i))
		for ctx.Err() == nil {
			vm := random.IntN(len(p.demo.VMSettings))
			attempt, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
			accepted, err := p.demo.client(vm, document.SectionStops).Put(attempt, document.SectionStops, operator.Change{Base: version, ID: id, Text: text})
			cancel()
			if err == nil {
				version = accepted.Version
				told.changes = append(told.changes, id)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkRuns counts at the servers themselves.
func (p *processes) checkRuns(told *ledgerOfTest) {
	runs := make(map[string]int)
	for _, server := range p.demo.Backends {
		for key, n := range server.RunsByKey() {
			runs[key] += n
		}
	}
	for _, server := range p.demo.Backends {
		if most := server.MaxRunning(); most > int64(server.Settings.Slots) {
			p.t.Errorf("server %s ran %d requests at once in %d slots", server.Settings.ID, most, server.Settings.Slots)
		}
	}
	for key, n := range runs {
		if n > 1 {
			p.t.Errorf("key %s ran %d times", key, n)
		}
		if told.notRun[key] {
			p.t.Errorf("key %s was called not run, but it ran", key)
		}
	}
	for key := range told.answered {
		if runs[key] != 1 {
			p.t.Errorf("answered key %s ran %d times, want 1", key, runs[key])
		}
	}
	if len(told.answered) == 0 {
		p.t.Error("no operation was answered at all")
	}
}

// checkChanges asks every VM for the history: each accepted change is in it, in
// the order in which it was accepted.
func (p *processes) checkChanges(told *ledgerOfTest) {
	var section operator.Section
	eventually(p.t, "a quorum answers", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		var err error
		section, err = p.demo.client(0, document.SectionStops).Get(ctx, document.SectionStops)
		return err == nil
	})
	if want := uint64(1 + len(told.changes)); section.Version < want {
		p.t.Errorf("section has version %d after %d accepted changes, want at least %d", section.Version, len(told.changes), want)
	}
	versions, err := p.demo.client(0, document.SectionStops).History(context.Background(), document.SectionStops, false)
	if err != nil {
		p.t.Fatal(err)
	}
	kept := make(map[string]bool)
	for _, version := range versions {
		kept[version.ChangeID] = true
	}
	const remembered = 40 // of the kept versions, well within the bound
	for _, id := range told.changes[max(0, len(told.changes)-remembered):] {
		if !kept[id] {
			p.t.Errorf("accepted change %s is not in the history", id)
		}
	}
}

func (p *processes) checkAudit() {
	time.Sleep(time.Second)
	for vm := range p.run {
		p.kill(vm)
	}
	trails, err := audit.Read([]string{p.demo.Options.DataDir})
	if err != nil {
		p.t.Fatal(err)
	}
	report := audit.Verify(trails)
	if report.Worst() == audit.Broken {
		var text strings.Builder
		report.WriteText(&text)
		p.t.Errorf("audit:\n%s", text.String())
	}
}
