package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/demo"
)

// runCommand runs one command line, checks its exit code and returns what it
// printed.
func runCommand(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	if code := run(args, &out, &errOut); code != want {
		t.Errorf("heatherwood %s: exit code %d, want %d\n%s%s", strings.Join(args, " "), code, want, out.String(), errOut.String())
	}
	return out.String()
}

func checkContains(t *testing.T, text, want string) {
	t.Helper()
	if !strings.Contains(text, want) {
		t.Errorf("output lacks %q:\n%s", want, text)
	}
}

// TestOperatorProcedures runs the commands of docs/operators against the demo.
func TestOperatorProcedures(t *testing.T) {
	d, err := demo.Start(context.Background(), demo.Options{Site: "pottery", DataDir: t.TempDir(), StartServers: true, Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	folder := t.TempDir()
	entryFlags := []string{"--entry", d.VMSettings[0].Entry, "--token", d.Token("ranks")}
	withEntry := func(args ...string) []string { return append(args, entryFlags...) }

	t.Run("document", func(t *testing.T) {
		text := runCommand(t, exitOK, withEntry("section", "get", "ranks")...)
		checkContains(t, text, "paying")
		file := filepath.Join(folder, "ranks.toml")
		writeFile(t, file, text+"# friday\n")
		checkContains(t, runCommand(t, exitOK, withEntry("section", "diff", "ranks", file)...), "+# friday")
		put := withEntry("section", "put", "ranks", file, "--base", "1", "--change-id", "friday-1")
		checkContains(t, runCommand(t, exitOK, put...), "version 2")
		checkContains(t, runCommand(t, exitOK, put...), "version 2")
		runCommand(t, exitRefused, withEntry("section", "put", "ranks", file, "--base", "1", "--change-id", "friday-2")...)
		checkContains(t, runCommand(t, exitOK, withEntry("section", "history", "ranks")...), "friday-1")
		writeFile(t, file, "[[rank]]\nname = \"paying\"\nworth = 1.0\nfloor = \"200%\"\n")
		runCommand(t, exitRefused, withEntry("section", "put", "ranks", file, "--base", "2")...)
		checkContains(t, runCommand(t, exitInvalid, "check", file), "outside 0% to 100%")
	})
	t.Run("status", func(t *testing.T) {
		checkContains(t, runCommand(t, exitOK, withEntry("status")...), `"leader"`)
		lookup := runCommand(t, exitOK, "lookup", "payments", "--client", "10.30.0.1", "--entry", d.VMSettings[0].Entry)
		if lines := strings.Count(lookup, "\n"); lines < 2 {
			t.Errorf("look-up named %d entries, want at least 2", lines)
		}
	})
	t.Run("quarantine", func(t *testing.T) {
		runCommand(t, exitOK, withEntry("quarantine", "lift", "00f3a1b2c3d4e5f6")...)
	})
	t.Run("replica", func(t *testing.T) {
		runCommand(t, exitRefused, withEntry("replica", "promote", "nobody")...)
		added, err := d.AddVM("zagreb-a-9")
		if err != nil {
			t.Fatal(err)
		}
		runCommand(t, exitOK, withEntry("replica", "add", added.ID, "--peer", added.Peer)...)
		retryUntilOK(t, withEntry("replica", "promote", added.ID))
		runCommand(t, exitOK, withEntry("replica", "remove", d.VMSettings[8].ID)...)
		checkContains(t, runCommand(t, exitOK, "status", "--entry", added.Entry, "--token", d.Token("ranks")), `"ID": "`+added.ID+`"`)
	})
	t.Run("planned stop", func(t *testing.T) {
		file := filepath.Join(folder, "stops.toml")
		begin := time.Now().UTC().Add(-time.Minute).Format(time.RFC3339)
		end := time.Now().UTC().Add(time.Hour).Format(time.RFC3339)
		writeFile(t, file, "[[stop]]\nname = \"patch-a\"\nkind = \"domain\"\nwhat = \"zagreb-a\"\nbegin = "+begin+"\nend = "+end+"\n")
		runCommand(t, exitOK, "section", "put", "stops", file, "--entry", d.VMSettings[0].Entry, "--token", d.Token("stops"))
	})
	t.Run("audit", func(t *testing.T) {
		checkContains(t, runCommand(t, exitOK, withEntry("audit", "show", "--kind", "change")...), "friday-1")
		time.Sleep(time.Second)
		html := filepath.Join(folder, "report.html")
		text := verifyAudit(t, d.Options.DataDir, html)
		checkContains(t, text, "held       an accepted change is in force everywhere")
		page, err := os.ReadFile(html)
		if err != nil {
			t.Fatal(err)
		}
		checkContains(t, string(page), "<h1>Audit report</h1>")
	})
}

// retryUntilOK repeats a command that is refused until a new replica has caught
// up with the log.
func retryUntilOK(t *testing.T, args []string) {
	t.Helper()
	const timeout = 30 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var out, errOut bytes.Buffer
		if run(args, &out, &errOut) == exitOK {
			return
		}
	}
	t.Fatalf("command did not succeed in time: heatherwood %s", strings.Join(args, " "))
}

// verifyAudit verifies the audit trails of a running demo. No promise may be
// broken; those without evidence in any record are reported as not shown.
func verifyAudit(t *testing.T, data, html string) string {
	t.Helper()
	return runCommand(t, exitNotShown, "audit", "verify", data, "--html", html)
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want int
	}{
		"help":              {[]string{"--help"}, exitOK},
		"no command":        {nil, exitUsage},
		"unknown command":   {[]string{"fly"}, exitUsage},
		"missing flag":      {[]string{"section", "get", "ranks"}, exitUsage},
		"good documents":    {[]string{"check", "../../examples/plaques"}, exitOK},
		"missing document":  {[]string{"check", "nowhere"}, exitFailed},
		"missing settings":  {[]string{"serve", "--settings", "nowhere"}, exitInvalid},
		"no VM at the port": {[]string{"status", "--entry", "127.0.0.1:1", "--token", "t"}, exitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { runCommand(t, test.want, test.args...) })
	}
}
