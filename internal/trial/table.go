package trial

import (
	"fmt"
	"io"
	"slices"
	"sync"
)

// Policies lists the names that Play takes; the product is the last.
func Policies() []string {
	return []string{string(BaselineRandom), string(BaselineRoundRobin), string(BaselineLeastRequests), "heatherwood"}
}

// RunCase runs one case under one policy and seed.
func RunCase(site string, c Case, policy string, seed uint64) (*Stats, error) {
	w, err := NewWorld(site, c, seed)
	if err != nil {
		return nil, err
	}
	if policy == "heatherwood" {
		w.UseSystem()
	} else {
		w.UseBaseline(Baseline(policy))
	}
	w.Run()
	return &w.Stats, nil
}

// Row sums up the seeds of one case and policy; of each figure the worst seed
// stands.
type Row struct {
	Case      string
	Policy    string
	TopShare  float64 // of the bound served to the most urgent rank
	Worth     float64 // share of the bound's worth
	Kept      []float64
	Median    []float64 // ms, by rank
	P99       []float64
	P999      []float64
	TopTarget float64 // ms
	Headroom  float64
	Drain     float64 // seconds
	CapOver   int
	Overload  int
	Floor     int // seeds in which a rank fell below its floor
	Wasted    float64
	Killed    int
}

// Measure plays all seeds of a case, several at a time.
func Measure(site string, c Case, policy string, seeds, parallel int) (Row, error) {
	row := Row{Case: c.Name, Policy: policy, TopShare: 1, Worth: 1, Headroom: 1}
	var mutex sync.Mutex
	var group sync.WaitGroup
	var failure error
	gate := make(chan struct{}, parallel)
	for seed := range seeds {
		group.Add(1)
		gate <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-gate }()
			stats, err := RunCase(site, c, policy, uint64(seed+1))
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failure = err
				return
			}
			row.add(stats)
		}()
	}
	group.Wait()
	return row, failure
}

func (r *Row) add(s *Stats) {
	if r.Kept == nil {
		n := len(s.Ranks)
		r.Kept, r.Median = slices.Repeat([]float64{1}, n), make([]float64, n)
		r.P99, r.P999 = make([]float64, n), make([]float64, n)
	}
	r.TopTarget = float64(s.world.ranks[0].Target.Std().Milliseconds())
	r.TopShare = min(r.TopShare, s.Kept(0))
	served, bound := s.Worth()
	r.Worth = min(r.Worth, served/bound)
	r.Headroom = min(r.Headroom, s.Headroom)
	r.Drain = max(r.Drain, s.Drain.Seconds())
	r.CapOver += s.CapOver
	r.Overload += s.Overload
	r.Wasted = max(r.Wasted, s.Wasted())
	r.Killed = max(r.Killed, s.Killed)
	below := false
	for i, rank := range s.Ranks {
		r.Kept[i] = min(r.Kept[i], s.Kept(i))
		r.Median[i] = max(r.Median[i], rank.Quantile(0.5))
		r.P99[i] = max(r.P99[i], rank.Quantile(0.99))
		r.P999[i] = max(r.P999[i], rank.Quantile(0.999))
		below = below || s.belowFloor(i)
	}
	if below {
		r.Floor++
	}
}

// belowFloor reports whether a rank got less than what its floor alone gives it.
func (s *Stats) belowFloor(rank int) bool {
	floor := 0.0
	from, to := int(measureFrom.Seconds()), int(runLength.Seconds())-2
	for _, second := range s.seconds[from:to] {
		for service, offered := range second.offered {
			floor += min(float64(offered[rank]), float64(s.world.ranks[rank].Floor)*second.capacity[service])
		}
	}
	return float64(s.Ranks[rank].Served) < floor
}

// WriteHeader prints the head of the table in Markdown.
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
	fmt.Fprintf(w, "| %s | %s | %.1f%% | %.1f%% |", r.Case, r.Policy, 100*r.TopShare, 100*r.Worth)
	for _, kept := range r.Kept {
		fmt.Fprintf(w, " %.0f%% |", 100*kept)
	}
	for i := range r.Median {
		fmt.Fprintf(w, " %.0f/%.0f/%.0f |", r.Median[i], r.P99[i], r.P999[i])
	}
	fmt.Fprintf(w, " %.0f%% | %.1f | %d | %d | %d | %.1f%% | %d |\n", 100*r.Headroom, r.Drain, r.CapOver, r.Overload, r.Floor, 100*r.Wasted, r.Killed)
}
