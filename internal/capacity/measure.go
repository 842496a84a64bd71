package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Measurement are the costs of one VM of each role per second; of several VMs the
// dearest counts.
type Measurement struct {
	Size  Size
	Roles map[Role]Rate
	// InForce is the time of a change until all VMs have it.
	InForce time.Duration
	// ChangeMessages is how many messages one change costs the leader.
	ChangeMessages int
	// ClaimBytes is what one claim costs the leader beyond being idle.
	ClaimBytes float64
}

// Rate is a cost per second.
type Rate struct {
	Messages float64
	Bytes    float64
	Busy     float64 // share of a core in the reducer
}

// Roles lists the roles in a fixed order.
func Roles() []Role { return []Role{RoleLeader, RoleControl, RoleRelay, RoleEntry} }

const (
	idleTime   = 10 * time.Second
	changeTime = 5 * time.Second
)

// Measure runs a fleet of the size idle, then makes one change.
func Measure(size Size) (Measurement, error) {
	f, err := New(size)
	if err != nil {
		return Measurement{}, err
	}
	figures := Measurement{Size: size, Roles: make(map[Role]Rate)}
	f.reset()
	f.Run(idleTime)
	for _, v := range f.vms {
		role := f.role(v)
		rate := Rate{
			Messages: float64(v.cost.Messages) / idleTime.Seconds(),
			Bytes:    float64(v.cost.Bytes) / idleTime.Seconds(),
			Busy:     v.cost.Busy.Seconds() / idleTime.Seconds(),
		}
		figures.Roles[role] = dearest(figures.Roles[role], rate)
	}
	f.measureChange(&figures)
	f.measureClaims(&figures)
	return figures, nil
}

// measureClaims lets the leader take claims one after the other.
func (f *Fleet) measureClaims(figures *Measurement) {
	const claims, pause = 500, 10 * time.Millisecond
	leader := f.leader()
	if leader == nil {
		return
	}
	f.reset()
	for i := range claims {
		key := ledger.Key{Service: "s0", Key: fmt.Sprintf("order-%08d", i)}
		claim := &ledger.Claim{Key: key, Digest: uint64(i), Holder: "d03-007", Attempt: "8a3f6b52-5f0e-4b39-9f5c-0d3f3a1c9e77", Hold: time.Minute, Keep: time.Hour}
		f.apply(leader, reducer.Propose{Command: ledger.Command{Claim: claim}})
		f.Run(pause)
	}
	idle := figures.Roles[RoleLeader].Bytes * claims * pause.Seconds()
	figures.ClaimBytes = (float64(leader.cost.Bytes) - idle) / claims
}

func dearest(a, b Rate) Rate {
	return Rate{Messages: max(a.Messages, b.Messages), Bytes: max(a.Bytes, b.Bytes), Busy: max(a.Busy, b.Busy)}
}

func (f *Fleet) reset() {
	for _, v := range f.vms {
		v.cost = Cost{}
	}
}

// role names what a VM does; the two lowest ids of a domain are its relays.
func (f *Fleet) role(v *vm) Role {
	switch {
	case v.lead:
		return RoleLeader
	case v.settings.Control:
		return RoleControl
	case v.settings.VM[4:] == "000" || v.settings.VM[4:] == "001":
		return RoleRelay
	default:
		return RoleEntry
	}
}

func (f *Fleet) measureChange(figures *Measurement) {
	f.reset()
	began := f.time.Now()
	base := f.versions().Stops
	f.Change(document.SectionStops, base, "measured", []byte("# a planned stop\n"))
	idle := figures.Roles[RoleLeader].Messages * changeTime.Seconds()
	f.Run(changeTime)
	if leader := f.leader(); leader != nil {
		figures.ChangeMessages = leader.cost.Messages - int(idle)
	}
	for _, v := range f.vms {
		if v.loadedAt.Before(began) {
			figures.InForce = changeTime
			continue
		}
		figures.InForce = max(figures.InForce, v.loadedAt.Sub(began))
	}
}

// Fit is a straight line through the figures of several sizes.
type Fit struct {
	Base  float64
	Slope float64
	Error float64 // largest distance of a point from the line, as a share of it
}

// FitLine fits y = base + slope x by least squares.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	fit := Fit{}
	if d := n*sxx - sx*sx; d != 0 {
		fit.Slope = (n*sxy - sx*sy) / d
	}
	fit.Base = (sy - fit.Slope*sx) / n
	for i := range x {
		line := fit.Base + fit.Slope*x[i]
		if line != 0 {
			fit.Error = max(fit.Error, math.Abs(y[i]-line)/math.Abs(line))
		}
	}
	return fit
}

// At returns the value of the line.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// Write prints the figures of one size as a row per role.
func (f Measurement) Write(w io.Writer) {
	for _, role := range Roles() {
		rate, found := f.Roles[role]
		if !found {
			continue
		}
		fmt.Fprintf(w, "| %d | %d | %d | %s | %.0f | %.2f | %.3f%% | %d |\n", f.Size.VMs(), f.Size.Domains, f.Size.VMsPerDomain, role, rate.Messages, rate.Bytes/1000, 100*rate.Busy, f.InForce.Milliseconds())
	}
}

// WriteHeader prints the head of the table.
func WriteHeader(w io.Writer) {
	fmt.Fprintln(w, "| VMs | domains | per domain | role | messages/s | KB/s | reducer of a core | change in force ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
}

// WriteFits prints the slopes by VMs per domain and by domains, and what they
// give at the size to design for beside the figure measured there, if any.
func WriteFits(w io.Writer, byVMs, byDomains []Measurement, target Measurement) {
	fmt.Fprintf(w, "a change costs the leader %d messages beyond being idle, a claim %.0f bytes with %d replicas\n\n", target.ChangeMessages, target.ClaimBytes, target.Size.Replicas)
	fmt.Fprintln(w, "| role | KB/s per VM of the domain | fit error | KB/s per domain | fit error | KB/s from slopes | KB/s measured |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, role := range Roles() {
		vms, err := fitOf(byVMs, role, func(s Size) float64 { return float64(s.VMsPerDomain) })
		domains, err2 := fitOf(byDomains, role, func(s Size) float64 { return float64(s.Domains) })
		if !err || !err2 {
			continue
		}
		base := byVMs[0].Size
		guess := vms.At(float64(target.Size.VMsPerDomain)) + domains.Slope*float64(target.Size.Domains-base.Domains)
		fmt.Fprintf(w, "| %s | %.3f | %.0f%% | %.3f | %.0f%% | %.1f | %.1f |\n", role, vms.Slope/1000, 100*vms.Error, domains.Slope/1000, 100*domains.Error, guess/1000, target.Roles[role].Bytes/1000)
	}
}

func fitOf(all []Measurement, role Role, size func(Size) float64) (Fit, bool) {
	var x, y []float64
	for _, figures := range all {
		if rate, found := figures.Roles[role]; found {
			x = append(x, size(figures.Size))
			y = append(y, rate.Bytes)
		}
	}
	if len(slices.Compact(slices.Clone(x))) < 2 {
		return Fit{}, false
	}
	return FitLine(x, y), true
}
