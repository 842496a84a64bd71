package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/heatherwood/heatherwood/pkg/document"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

func addCheck(app *kingpin.Application, commands map[string]command) {
	c := app.Command("check", "Check section files together, or all in a folder. Example: heatherwood check examples/plaques")
	paths := c.Arg("path", "Files named after their section (places.toml, ...) or one folder.").Required().Strings()
	asJSON := c.Flag("json", "Print the findings as JSON.").Bool()
	commands[c.FullCommand()] = func(_ context.Context, out io.Writer) error {
		texts, err := readTexts(*paths)
		if err != nil {
			return err
		}
		_, messages := document.Parse(texts)
		if *asJSON {
			encoder := json.NewEncoder(out)
			encoder.SetIndent("", "  ")
			encoder.Encode(messages)
		} else {
			fmt.Fprint(out, messages.Error())
			fmt.Fprintf(out, "%d errors\n", len(messages))
		}
		if len(messages) > 0 {
			return findingsError{code: exitInvalid}
		}
		return nil
	}
}

var errNoSections = errors.New("no file is named after a section: places.toml, services.toml, ranks.toml, stops.toml, routes.toml or customers.toml")

// readTexts reads section files, and those in folders; other files are skipped.
func readTexts(paths []string) (document.Texts, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("read section file: %w", err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		for _, section := range document.Written() {
			file := filepath.Join(path, string(section)+".toml")
			if _, err := os.Stat(file); err == nil {
				files = append(files, file)
			}
		}
	}
	texts := make(document.Texts)
	for _, file := range files {
		name := document.Section(strings.TrimSuffix(filepath.Base(file), ".toml"))
		if !name.Known() {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read section file: %w", err)
		}
		texts[name] = document.Text{File: file, Bytes: text}
	}
	if len(texts) == 0 {
		return nil, errNoSections
	}
	return texts, nil
}

// vmFlags holds the flags of a command that calls a VM.
type vmFlags struct {
	entry *string
	token *string
}

func addVMFlags(c *kingpin.CmdClause) vmFlags {
	return vmFlags{
		entry: c.Flag("entry", "Address of any entry VM, IP:PORT.").Envar("HEATHERWOOD_ENTRY").Required().String(),
		token: c.Flag("token", "Token of your team.").Envar("HEATHERWOOD_TOKEN").Required().String(),
	}
}

func (f vmFlags) client() operator.Client { return operator.Client{Address: *f.entry, Token: *f.token} }

func sectionArg(c *kingpin.CmdClause) *string {
	var names []string
	for _, section := range document.Written() {
		names = append(names, string(section))
	}
	return c.Arg("section", "Section: "+strings.Join(names, ", ")+".").Required().Enum(names...)
}

func addSection(app *kingpin.Application, commands map[string]command) {
	section := app.Command("section", "Read and change sections of the steering document.")
	addSectionGet(section, commands)
	addSectionPut(section, commands)
	addSectionDiff(section, commands)
	addSectionHistory(section, commands)
}

func addSectionGet(parent *kingpin.CmdClause, commands map[string]command) {
	c := parent.Command("get", "Print a section. Example: heatherwood section get ranks --entry 10.0.0.1:8080 --token T > ranks.toml")
	name, vm := sectionArg(c), addVMFlags(c)
	asJSON := c.Flag("json", "Print version and text as JSON.").Bool()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		section, err := vm.client().Get(ctx, document.Section(*name))
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(out).Encode(struct {
				Version uint64 `json:"version"`
				Text    string `json:"text"`
			}{section.Version, string(section.Text)})
		}
		_, err = out.Write(section.Text)
		return err
	}
}

func addSectionPut(parent *kingpin.CmdClause, commands map[string]command) {
	c := parent.Command("put", "Replace a section. Example: heatherwood section put ranks ranks.toml --base 3 --entry 10.0.0.1:8080 --token T")
	name := sectionArg(c)
	file := c.Arg("file", "New text.").Required().ExistingFile()
	vm := addVMFlags(c)
	base := c.Flag("base", "Version that the change starts from; without it, the current version.").Default("-1").Int64()
	id := c.Flag("change-id", "Id of the change; use the same id to send the change again.").String()
	asJSON := c.Flag("json", "Print the answer as JSON.").Bool()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		change, err := buildChange(ctx, vm, *name, *file, *base, *id)
		if err != nil {
			return err
		}
		accepted, err := vm.client().Put(ctx, document.Section(*name), change)
		if err != nil {
			return fmt.Errorf("change %s: %w", change.ID, err)
		}
		if *asJSON {
			return json.NewEncoder(out).Encode(accepted)
		}
		fmt.Fprintf(out, "section %s has version %d (change %s)\n", accepted.Section, accepted.Version, change.ID)
		return nil
	}
}

// buildChange reads the new text. It uses the current version when base is
// negative and makes an id when id is empty.
func buildChange(ctx context.Context, vm vmFlags, name, file string, base int64, id string) (operator.Change, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return operator.Change{}, fmt.Errorf("read section file: %w", err)
	}
	change := operator.Change{Base: uint64(base), ID: id, Text: text}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if base < 0 {
		current, err := vm.client().Get(ctx, document.Section(name))
		if err != nil {
			return operator.Change{}, err
		}
		change.Base = current.Version
	}
	return change, nil
}

func addSectionDiff(parent *kingpin.CmdClause, commands map[string]command) {
	c := parent.Command("diff", "Compare a file with the current section. Example: heatherwood section diff ranks ranks.toml --entry 10.0.0.1:8080 --token T")
	name := sectionArg(c)
	file := c.Arg("file", "Text to compare.").Required().ExistingFile()
	vm := addVMFlags(c)
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		section, err := vm.client().Get(ctx, document.Section(*name))
		if err != nil {
			return err
		}
		text, err := os.ReadFile(*file)
		if err != nil {
			return fmt.Errorf("read section file: %w", err)
		}
		printDiff(out, string(section.Text), string(text))
		return nil
	}
}

// printDiff prints the lines that differ between the common start and end of two
// texts.
func printDiff(out io.Writer, oldText, newText string) {
	oldLines, newLines := strings.Split(oldText, "\n"), strings.Split(newText, "\n")
	commonStart := 0
	for commonStart < len(oldLines) && commonStart < len(newLines) && oldLines[commonStart] == newLines[commonStart] {
		commonStart++
	}
	commonEnd := 0
	for commonEnd < len(oldLines)-commonStart && commonEnd < len(newLines)-commonStart && oldLines[len(oldLines)-1-commonEnd] == newLines[len(newLines)-1-commonEnd] {
		commonEnd++
	}
	if commonStart == len(oldLines) && commonStart == len(newLines) {
		fmt.Fprintln(out, "no difference")
		return
	}
	fmt.Fprintf(out, "@@ line %d @@\n", commonStart+1)
	for _, line := range oldLines[commonStart : len(oldLines)-commonEnd] {
		fmt.Fprintln(out, "-"+line)
	}
	for _, line := range newLines[commonStart : len(newLines)-commonEnd] {
		fmt.Fprintln(out, "+"+line)
	}
}

func addSectionHistory(parent *kingpin.CmdClause, commands map[string]command) {
	c := parent.Command("history", "List the versions of a section. Example: heatherwood section history ranks --entry 10.0.0.1:8080 --token T")
	name, vm := sectionArg(c), addVMFlags(c)
	asJSON := c.Flag("json", "Print as JSON, with the texts that are still kept.").Bool()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		versions, err := vm.client().History(ctx, document.Section(*name), *asJSON)
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(out).Encode(versions)
		}
		for _, version := range versions {
			fmt.Fprintf(out, "%6d  %s  %-16s %s\n", version.Version, version.At.Format("2006-01-02 15:04:05"), version.Team, version.ChangeID)
		}
		return nil
	}
}
