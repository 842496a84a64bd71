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

// invoke runs one command line and returns what it printed.
func invoke(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	if code := run(args, &out, &errOut); code != want {
		t.Errorf("heatherwood %s: exit code %d, want %d\n%s%s", strings.Join(args, " "), code, want, out.String(), errOut.String())
	}
	return out.String()
}

func contains(t *testing.T, text, want string) {
	t.Helper()
	if !strings.Contains(text, want) {
		t.Errorf("output lacks %q:\n%s", want, text)
	}
}

// TestOperatorsPages types the procedures of docs/operators against the demo.
func TestOperatorsPages(t *testing.T) {
	d, err := demo.Start(context.Background(), demo.Options{Site: "pottery", DataDir: t.TempDir(), StartServers: true, Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	folder := t.TempDir()
	entry := []string{"--entry", d.VMSettings[0].Entry, "--token", d.Token("ranks")}
	with := func(args ...string) []string { return append(args, entry...) }

	t.Run("document", func(t *testing.T) {
		text := invoke(t, exitOK, with("section", "get", "ranks")...)
		contains(t, text, "paying")
		file := filepath.Join(folder, "ranks.toml")
		write(t, file, text+"# friday\n")
		contains(t, invoke(t, exitOK, with("section", "diff", "ranks", file)...), "+# friday")
		put := with("section", "put", "ranks", file, "--base", "1", "--change-id", "friday-1")
		contains(t, invoke(t, exitOK, put...), "version 2")
		contains(t, invoke(t, exitOK, put...), "version 2")
		invoke(t, exitRefused, with("section", "put", "ranks", file, "--base", "1", "--change-id", "friday-2")...)
		contains(t, invoke(t, exitOK, with("section", "history", "ranks")...), "friday-1")
		write(t, file, "[[rank]]\nname = \"paying\"\nworth = 1.0\nfloor = \"200%\"\n")
		invoke(t, exitRefused, with("section", "put", "ranks", file, "--base", "2")...)
		contains(t, invoke(t, exitInvalid, "check", file), "outside 0% to 100%")
	})
	t.Run("status", func(t *testing.T) {
		contains(t, invoke(t, exitOK, with("status")...), `"leader"`)
		lookup := invoke(t, exitOK, "lookup", "payments", "--client", "10.30.0.1", "--entry", d.VMSettings[0].Entry)
		if lines := strings.Count(lookup, "\n"); lines < 2 {
			t.Errorf("look-up named %d entries, want at least 2", lines)
		}
	})
	t.Run("quarantine", func(t *testing.T) {
		invoke(t, exitOK, with("quarantine", "lift", "00f3a1b2c3d4e5f6")...)
	})
	t.Run("replica", func(t *testing.T) {
		invoke(t, exitRefused, with("replica", "promote", "nobody")...)
		added, err := d.AddVM("zagreb-a-9")
		if err != nil {
			t.Fatal(err)
		}
		invoke(t, exitOK, with("replica", "add", added.ID, "--peer", added.Peer)...)
		untilOK(t, with("replica", "promote", added.ID))
		invoke(t, exitOK, with("replica", "remove", d.VMSettings[8].ID)...)
		contains(t, invoke(t, exitOK, "status", "--entry", added.Entry, "--token", d.Token("ranks")), `"ID": "`+added.ID+`"`)
	})
	t.Run("planned stop", func(t *testing.T) {
		file := filepath.Join(folder, "stops.toml")
		begin := time.Now().UTC().Add(-time.Minute).Format(time.RFC3339)
		end := time.Now().UTC().Add(time.Hour).Format(time.RFC3339)
		write(t, file, "[[stop]]\nname = \"patch-a\"\nkind = \"domain\"\nwhat = \"zagreb-a\"\nbegin = "+begin+"\nend = "+end+"\n")
		invoke(t, exitOK, "section", "put", "stops", file, "--entry", d.VMSettings[0].Entry, "--token", d.Token("stops"))
	})
	t.Run("audit", func(t *testing.T) {
		contains(t, invoke(t, exitOK, with("audit", "show", "--kind", "change")...), "friday-1")
		time.Sleep(time.Second)
		html := filepath.Join(folder, "report.html")
		text := auditOf(t, d.Options.DataDir, html)
		contains(t, text, "held       an accepted change is in force everywhere")
		page, err := os.ReadFile(html)
		if err != nil {
			t.Fatal(err)
		}
		contains(t, string(page), "<h1>Audit report</h1>")
	})
}

// untilOK repeats a command that is refused until a new replica has caught up.
func untilOK(t *testing.T, args []string) {
	t.Helper()
	const patience = 30 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var out, errOut bytes.Buffer
		if run(args, &out, &errOut) == exitOK {
			return
		}
	}
	t.Fatalf("never done: heatherwood %s", strings.Join(args, " "))
}

// auditOf verifies a running demo: promises of which nothing happened are not
// shown, and none is broken.
func auditOf(t *testing.T, data, html string) string {
	t.Helper()
	return invoke(t, exitNotShown, "audit", "verify", data, "--html", html)
}

func write(t *testing.T, file, text string) {
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
		t.Run(name, func(t *testing.T) { invoke(t, test.want, test.args...) })
	}
}
