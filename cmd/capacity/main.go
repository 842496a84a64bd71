package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/internal/capacity"
)

func main() {
	app := kingpin.New("capacity", "Measures the cost of control by the size of the fleet. Example: go run ./cmd/capacity")
	full := app.Flag("full", "Also run the whole fleet of 510 VMs.").Default("true").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*full); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// size is a fleet with four services of ten servers in each domain.
func size(domains, perDomain int) capacity.Size {
	return capacity.Size{Domains: domains, VMsPerDomain: perDomain, Replicas: 7, Services: 4, Places: 120, Servers: 10}
}

func run(full bool) error {
	capacity.WriteHeader(os.Stdout)
	measure := func(sizes ...capacity.Size) ([]capacity.Measurement, error) {
		var all []capacity.Measurement
		for _, s := range sizes {
			s.Replicas = min(s.Replicas, s.Domains)
			figures, err := capacity.Measure(s)
			if err != nil {
				return nil, err
			}
			figures.Write(os.Stdout)
			all = append(all, figures)
		}
		return all, nil
	}
	byVMs, err := measure(size(6, 3), size(6, 5), size(6, 10), size(6, 20))
	if err != nil {
		return err
	}
	byDomains, err := measure(size(3, 5), size(6, 5), size(10, 5))
	if err != nil {
		return err
	}
	target := capacity.Measurement{Size: size(10, 51)}
	if full {
		reached, err := measure(target.Size)
		if err != nil {
			return err
		}
		target = reached[0]
	}
	fmt.Println()
	capacity.WriteFits(os.Stdout, byVMs, byDomains, target)
	return nil
}
