package trial

import (
	"fmt"
	"io"
	"slices"
	"sync"
)

// Policies returns the names of policies that RunCase accepts; the last is
// heatherwood itself, the others are baselines.
func Policies() []string {
	return []string{string(BaselineRandom), string(BaselineRoundRobin), string(BaselineLeastRequests), "heatherwood"}
}

// RunCase runs one case under one policy and seed.
func RunCase(site string, c Case, policy string, seed uint64) (*Stats, error) {
	sm, err := NewSimulation(site, c, seed)
	if err != nil {
		return nil, err
	}
	if policy == "heatherwood" {
		sm.UseHeatherwood()
	} else {
		sm.UseBaseline(Baseline(policy))
	}
	sm.Run()
	return &sm.Stats, nil
}

// Row is a line of the table: the results of all seeds of one case and policy.
// A field holds the worst value over the seeds unless it says otherwise.
type Row struct {
	Case         string
	Policy       string
	TopShare     float64   // of the most urgent rank's upper bound that was served
	WorthShare   float64   // of the upper bound's worth that was served
	ServedShares []float64 // of each rank's upper bound
	Median       []float64 // ms, by rank
	P99          []float64 // ms, by rank
	P999         []float64 // ms, by rank
	TopTarget    float64   // target time of the most urgent rank, ms
	Headroom     float64
	DrainTime    float64 // seconds
	CapExceeded  int     // total over the seeds
	Overloads    int     // total over the seeds
	BelowFloor   int     // seeds in which a rank got less than its floor
	WastedShare  float64
	Crashes      int
}

// Measure runs a case once for each seed, up to parallel runs at a time.
func Measure(site string, c Case, policy string, seeds, parallel int) (Row, error) {
	row := Row{Case: c.Name, Policy: policy, TopShare: 1, WorthShare: 1, Headroom: 1}
	var mutex sync.Mutex
	var group sync.WaitGroup
	var runErr error
	semaphore := make(chan struct{}, parallel)
	for seed := range seeds {
		group.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-semaphore }()
			stats, err := RunCase(site, c, policy, uint64(seed+1))
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				runErr = err
				return
			}
			row.addRun(stats)
		}()
	}
	group.Wait()
	return row, runErr
}

// addRun merges the statistics of one seed into the row.
func (r *Row) addRun(s *Stats) {
	if r.ServedShares == nil {
		n := len(s.Ranks)
		r.ServedShares, r.Median = slices.Repeat([]float64{1}, n), make([]float64, n)
		r.P99, r.P999 = make([]float64, n), make([]float64, n)
	}
	r.TopTarget = float64(s.sim.ranks[0].Target.Std().Milliseconds())
	r.TopShare = min(r.TopShare, s.ServedShare(0))
	served, bound := s.Worth()
	r.WorthShare = min(r.WorthShare, served/bound)
	r.Headroom = min(r.Headroom, s.Headroom)
	r.DrainTime = max(r.DrainTime, s.MaxDrainTime.Seconds())
	r.CapExceeded += s.CapExceeded
	r.Overloads += s.Overloads
	r.WastedShare = max(r.WastedShare, s.WastedShare())
	r.Crashes = max(r.Crashes, s.Crashes)
	below := false
	for i, rank := range s.Ranks {
		r.ServedShares[i] = min(r.ServedShares[i], s.ServedShare(i))
		r.Median[i] = max(r.Median[i], rank.Quantile(0.5))
		r.P99[i] = max(r.P99[i], rank.Quantile(0.99))
		r.P999[i] = max(r.P999[i], rank.Quantile(0.999))
		below = below || s.belowFloor(i)
	}
	if below {
		r.BelowFloor++
	}
}

// belowFloor reports whether fewer requests of a rank were served than its
// floor alone guarantees.
func (s *Stats) belowFloor(rank int) bool {
	guaranteed := 0.0
	from, to := int(measureStart.Seconds()), int(runLength.Seconds())-2
	for _, second := range s.seconds[from:to] {
		for service, offered := range second.offered {
			guaranteed += min(float64(offered[rank]), float64(s.sim.ranks[rank].Floor)*second.capacity[service])
		}
	}
	return float64(s.Ranks[rank].Served) < guaranteed
}

// WriteHeader prints the header of the table in Markdown.
func WriteHeader(w io.Writer, ranks []string) {
	fmt.Fprint(w, "| case | policy | top rank | worth |")
	for _, rank := range ranks {
		fmt.Fprintf(w, " kept %s |", rank)
	}
	for _, rank := range ranks {
		fmt.Fprintf(w, " %s ms p50/p99/p99.9 |", rank)
	}
	fmt.Fprintln(w, " headroom | drain s | cap | overload | floor | wasted | killed |")
	fmt.Fprint(w, "|---|---|---|---|")
	for range 2 * len(ranks) {
		fmt.Fprint(w, "---|")
	}
	fmt.Fprintln(w, "---|---|---|---|---|---|---|")
}

// Write prints the row in Markdown.
func (r Row) Write(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s | %.1f%% | %.1f%% |", r.Case, r.Policy, 100*r.TopShare, 100*r.WorthShare)
	for _, share := range r.ServedShares {
		fmt.Fprintf(w, " %.0f%% |", 100*share)
	}
	for i := range r.Median {
		fmt.Fprintf(w, " %.0f/%.0f/%.0f |", r.Median[i], r.P99[i], r.P999[i])
	}
	fmt.Fprintf(w, " %.0f%% | %.1f | %d | %d | %d | %.1f%% | %d |\n", 100*r.Headroom, r.DrainTime, r.CapExceeded, r.Overloads, r.BelowFloor, 100*r.WastedShare, r.Crashes)
}
