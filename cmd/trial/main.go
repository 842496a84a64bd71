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
	app := kingpin.New("trial", "Measures the decisions under load and faults in virtual time. Example: go run ./cmd/trial --site pottery --seeds 5")
	site := app.Flag("site", "Site to play.").Default("plaques").Enum(examples.SiteNames()...)
	seeds := app.Flag("seeds", "Seeds of each row; the worst is printed.").Default("20").Int()
	pairs := app.Flag("pairs", "Also play every pair of faults.").Bool()
	only := app.Flag("case", "Play only cases whose name contains this.").String()
	policies := app.Flag("policy", "Play only this policy.").Enums(trial.Policies()...)
	plots := app.Flag("plots", "Only draw the floods as SVG into this folder.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *plots != "" {
		if err := draw(*site, *plots); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if err := play(*site, *only, *seeds, *pairs, *policies); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func play(site, only string, seeds int, pairs bool, policies []string) error {
	if len(policies) == 0 {
		policies = trial.Policies()
	}
	cases := trial.Cases()
	if pairs {
		cases = append(cases, trial.Pairs()...)
	}
	trial.WriteHeader(os.Stdout, []string{"paying", "reserving", "browsing"})
	for _, c := range cases {
		if !strings.Contains(c.Name, only) {
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

// draw plots each flood under the product and under the best baseline.
func draw(site, folder string) error {
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
