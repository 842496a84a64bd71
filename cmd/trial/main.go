package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/heatherwood/heatherwood/examples"
	"github.com/heatherwood/heatherwood/internal/trial"
)

func main() {
	app := kingpin.New("trial", "Measures steering decisions under load and faults in simulated time. Example: go run ./cmd/trial --site pottery --seeds 5")
	site := app.Flag("site", "Site to simulate.").Default("plaques").Enum(examples.SiteNames()...)
	seeds := app.Flag("seeds", "Number of seeds for each row; the worst result is printed.").Default("20").Int()
	pairs := app.Flag("pairs", "Also run every pair of faults.").Bool()
	nameFilter := app.Flag("case", "Run only cases whose name contains this.").String()
	policies := app.Flag("policy", "Run only this policy; may be repeated.").Enums(trial.Policies()...)
	plotFolder := app.Flag("plots", "Only plot the cases with a flood of requests, as SVG files in this folder.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *plotFolder != "" {
		if err := plotFloods(*site, *plotFolder); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if err := measureCases(*site, *nameFilter, *seeds, *pairs, *policies); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measureCases prints a row for each case and policy; no policies means all.
func measureCases(site, nameFilter string, seeds int, pairs bool, policies []string) error {
	if len(policies) == 0 {
		policies = trial.Policies()
	}
	cases := trial.Cases()
	if pairs {
		cases = append(cases, trial.Pairs()...)
	}
	trial.WriteHeader(os.Stdout, []string{"paying", "reserving", "browsing"})
	for _, c := range cases {
		if !strings.Contains(c.Name, nameFilter) {
			continue
		}
		for _, policy := range policies {
			row, err := trial.Measure(site, c, policy, seeds, runtime.NumCPU())
			if err != nil {
				return err
			}
			row.Write(os.Stdout)
		}
	}
	return nil
}

// plotFloods plots each case with a flood of requests under heatherwood and under
// the best baseline.
func plotFloods(site, folder string) error {
	for _, c := range trial.Cases() {
		if c.BrowseFlood == 0 && c.PayFlood == 0 {
			continue
		}
		for _, policy := range []string{string(trial.BaselineLeastRequests), "heatherwood"} {
			stats, err := trial.RunCase(site, c, policy, 1)
			if err != nil {
				return err
			}
			file := filepath.Join(folder, fmt.Sprintf("%s-%s-%s.svg", site, c.Name, policy))
			if err := stats.Plot(fmt.Sprintf("%s, %s, %s", site, c.Name, policy), file); err != nil {
				return err
			}
		}
	}
	return nil
}
