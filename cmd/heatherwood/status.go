package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/pkg/caller"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

func addStatus(app *kingpin.Application, commands map[string]command) {
	c := app.Command("status", "Show the status of a VM as JSON. Example: heatherwood status --entry 10.0.0.1:8080 --token T")
	vm := addVMFlags(c)
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		status, err := vm.client().Status(ctx)
		if err != nil {
			return err
		}
		return printRaw(out, status)
	}
}

func printRaw(out io.Writer, raw json.RawMessage) error {
	_, err := out.Write(raw)
	return err
}

func addLookup(app *kingpin.Application, commands map[string]command) {
	c := app.Command("lookup", "Look up the entry VMs that a client should use. Example: heatherwood lookup payments --client 10.20.0.1 --entry 10.0.0.1:8080")
	service := c.Arg("service", "Service.").Required().String()
	client := c.Flag("client", "IP address of the client; without it, that of this machine.").String()
	entry := c.Flag("entry", "Address of any entry VM, IP:PORT.").Envar("HEATHERWOOD_ENTRY").Required().String()
	asJSON := c.Flag("json", "Print as JSON.").Bool()
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		query := url.Values{"service": {*service}}
		if *client != "" {
			query.Set("client", *client)
		}
		answer, err := caller.Lookup(ctx, http.DefaultClient, *entry, query)
		if err != nil {
			return err
		}
		if *asJSON {
			return json.NewEncoder(out).Encode(answer)
		}
		for _, address := range answer.Entries {
			fmt.Fprintln(out, address)
		}
		return nil
	}
}

func addReplica(app *kingpin.Application, commands map[string]command) {
	replica := app.Command("replica", "Add, promote or remove a control replica.")
	actions := map[string]string{
		"add":     "Add a replica that follows the log without a vote. Example: heatherwood replica add bne-a-2 --peer 10.0.0.2:7080 --entry 10.0.0.1:8080 --token T",
		"promote": "Give a vote to a replica that has caught up. Example: heatherwood replica promote bne-a-2 --entry 10.0.0.1:8080 --token T",
		"remove":  "Remove a replica. Example: heatherwood replica remove bne-a-1 --entry 10.0.0.1:8080 --token T",
	}
	for _, action := range []string{"add", "promote", "remove"} {
		c := replica.Command(action, actions[action])
		id := c.Arg("id", "Id of the VM.").Required().String()
		vm := addVMFlags(c)
		peer := c.Flag("peer", "Peer address of the VM, IP:PORT; required to add.").String()
		commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
			if err := vm.client().ChangeReplica(ctx, *id, operator.ReplicaAction{Action: action, Peer: *peer}); err != nil {
				return err
			}
			fmt.Fprintf(out, "%s %s: done\n", action, *id)
			return nil
		}
	}
}

func addQuarantine(app *kingpin.Application, commands map[string]command) {
	quarantine := app.Command("quarantine", "Manage requests that are kept from backend servers.")
	c := quarantine.Command("lift", "End the suspicion or quarantine of a request. Example: heatherwood quarantine lift 00f3a1b2c3d4e5f6 --entry 10.0.0.1:8080 --token T")
	fingerprint := c.Arg("fingerprint", "Fingerprint of the request, as the status shows it.").Required().String()
	vm := addVMFlags(c)
	commands[c.FullCommand()] = func(ctx context.Context, out io.Writer) error {
		if err := vm.client().Lift(ctx, *fingerprint); err != nil {
			return err
		}
		fmt.Fprintln(out, "lifted")
		return nil
	}
}
