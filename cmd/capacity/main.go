package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/internal/capacity"
)

func main() {
	app := kingpin.New("capacity", "Measures what a VM spends on control messages, by the size of the fleet. Example: go run ./cmd/capacity")
	full := app.Flag("full", "Also measure the full fleet of 510 VMs.").Default("true").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*full); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleetSize returns the size of a fleet with four services of ten backend servers
// in each failure domain; perDomain counts VMs.
func fleetSize(domains, perDomain int) capacity.Size {
	return capacity.Size{Domains: domains, VMsPerDomain: perDomain, Replicas: 7, Services: 4, Places: 120, Servers: 10}
}

// run prints the measurements of growing fleets, the lines fitted to them, and what
// the lines predict for the full fleet, beside its own measurement if full is set.
func run(full bool) error {
	capacity.WriteHeader(os.Stdout)
	measureAll := func(sizes ...capacity.Size) ([]capacity.Measurement, error) {
		var all []capacity.Measurement
		for _, s := range sizes {
			s.Replicas = min(s.Replicas, s.Domains)
			measurement, err := capacity.Measure(s)
			if err != nil {
				return nil, err
			}
			measurement.Write(os.Stdout)
			all = append(all, measurement)
		}
		return all, nil
	}
	byVMs, err := measureAll(fleetSize(6, 3), fleetSize(6, 5), fleetSize(6, 10), fleetSize(6, 20))
	if err != nil {
		return err
	}
	byDomains, err := measureAll(fleetSize(3, 5), fleetSize(6, 5), fleetSize(10, 5))
	if err != nil {
		return err
	}
	target := capacity.Measurement{Size: fleetSize(10, 51)}
	if full {
		measured, err := measureAll(target.Size)
		if err != nil {
			return err
		}
		target = measured[0]
	}
	fmt.Println()
	capacity.WriteFits(os.Stdout, byVMs, byDomains, target)
	return nil
}
