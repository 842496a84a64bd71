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

// Measurement holds the cost of control in a fleet of one size. Rates are those
// of one VM by role; of several VMs with a role the highest counts.
type Measurement struct {
	Size  Size
	Rates map[Role]Rate
	// ChangeTime is the time from proposing a change until all VMs have loaded
	// it.
	ChangeTime time.Duration
	// LeaderMessagesPerChange is the number of messages that the leader sends
	// for one change beyond its idle rate.
	LeaderMessagesPerChange int
	// LeaderBytesPerClaim is the number of bytes that the leader sends for one
	// claim beyond its idle rate.
	LeaderBytesPerClaim float64
}

// Rate is the cost of one VM per second.
type Rate struct {
	Messages     float64
	Bytes        float64
	ReducerShare float64 // share of one core spent in the reducer
}

// Roles returns the roles in the order of the tables.
func Roles() []Role { return []Role{RoleLeader, RoleControl, RoleRelay, RoleEntry} }

const (
	idleDuration  = 10 * time.Second
	changeTimeout = 5 * time.Second // reported for a VM that has not loaded the change by then
)

// Measure runs a fleet of the size idle, then with one change, then with
// claims.
func Measure(size Size) (Measurement, error) {
	f, err := New(size)
	if err != nil {
		return Measurement{}, err
	}
	m := Measurement{Size: size, Rates: make(map[Role]Rate)}
	f.resetCosts()
	f.Run(idleDuration)
	for _, v := range f.vms {
		role := f.role(v)
		rate := Rate{
			Messages:     float64(v.cost.Messages) / idleDuration.Seconds(),
			Bytes:        float64(v.cost.Bytes) / idleDuration.Seconds(),
			ReducerShare: v.cost.ReducerTime.Seconds() / idleDuration.Seconds(),
		}
		m.Rates[role] = maxRate(m.Rates[role], rate)
	}
	f.measureChange(&m)
	f.measureClaims(&m)
	return m, nil
}

// measureClaims proposes claims at the leader one after the other.
func (f *Fleet) measureClaims(m *Measurement) {
	const claims, pause = 500, 10 * time.Millisecond
	leader := f.leader()
	if leader == nil {
		return
	}
	f.resetCosts()
	for i := range claims {
		key := ledger.Key{Service: "s0", Key: fmt.Sprintf("order-%08d", i)}
		claim := &ledger.Claim{Key: key, Digest: uint64(i), Holder: "d03-007", Attempt: "8a3f6b52-5f0e-4b39-9f5c-0d3f3a1c9e77", Hold: time.Minute, Keep: time.Hour}
		f.apply(leader, reducer.Propose{Command: ledger.Command{Claim: claim}})
		f.Run(pause)
	}
	idle := m.Rates[RoleLeader].Bytes * claims * pause.Seconds()
	m.LeaderBytesPerClaim = (float64(leader.cost.Bytes) - idle) / claims
}

// maxRate returns the higher of each cost.
func maxRate(a, b Rate) Rate {
	return Rate{Messages: max(a.Messages, b.Messages), Bytes: max(a.Bytes, b.Bytes), ReducerShare: max(a.ReducerShare, b.ReducerShare)}
}

func (f *Fleet) resetCosts() {
	for _, v := range f.vms {
		v.cost = Cost{}
	}
}

// role returns the role of a VM. The two lowest IDs of a domain are its relays.
func (f *Fleet) role(v *vm) Role {
	switch {
	case v.isLeader:
		return RoleLeader
	case v.settings.Control:
		return RoleControl
	case v.settings.VM[4:] == "000" || v.settings.VM[4:] == "001":
		return RoleRelay
	default:
		return RoleEntry
	}
}

// measureChange makes one change and gives it changeTimeout to get into force.
func (f *Fleet) measureChange(m *Measurement) {
	f.resetCosts()
	proposedAt := f.clock.Now()
	base := f.leaderVersions().Stops
	f.ProposeChange(document.SectionStops, base, "measured", []byte("# a planned stop\n"))
	idle := m.Rates[RoleLeader].Messages * changeTimeout.Seconds()
	f.Run(changeTimeout)
	if leader := f.leader(); leader != nil {
		m.LeaderMessagesPerChange = leader.cost.Messages - int(idle)
	}
	for _, v := range f.vms {
		if v.documentLoadedAt.Before(proposedAt) {
			m.ChangeTime = changeTimeout
			continue
		}
		m.ChangeTime = max(m.ChangeTime, v.documentLoadedAt.Sub(proposedAt))
	}
}

// Fit is a straight line fitted to the measurements of several sizes.
type Fit struct {
	Intercept float64
	Slope     float64
	MaxError  float64 // largest deviation of a point, as a share of the line's value
}

// FitLine fits y = intercept + slope x by least squares.
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
	fit.Intercept = (sy - fit.Slope*sx) / n
	for i := range x {
		line := fit.Intercept + fit.Slope*x[i]
		if line != 0 {
			fit.MaxError = max(fit.MaxError, math.Abs(y[i]-line)/math.Abs(line))
		}
	}
	return fit
}

// At returns the value of the line.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Write prints the measurement as one table row per role.
func (m Measurement) Write(w io.Writer) {
	for _, role := range Roles() {
		rate, found := m.Rates[role]
		if !found {
			continue
		}
		fmt.Fprintf(w, "| %d | %d | %d | %s | %.0f | %.2f | %.3f%% | %d |\n", m.Size.VMs(), m.Size.Domains, m.Size.VMsPerDomain, role, rate.Messages, rate.Bytes/1000, 100*rate.ReducerShare, m.ChangeTime.Milliseconds())
	}
}

// WriteHeader prints the header of the table.
func WriteHeader(w io.Writer) {
	fmt.Fprintln(w, "| VMs | domains | per domain | role | messages/s | KB/s | reducer of a core | change in force ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
}

// WriteFits prints the slopes by VMs per domain and by domains. It extrapolates
// them to the target size, which the system is designed for, and prints the
// rate measured there, if any, beside the estimate.
func WriteFits(w io.Writer, byVMs, byDomains []Measurement, target Measurement) {
	fmt.Fprintf(w, "a change costs the leader %d messages beyond being idle, a claim %.0f bytes with %d replicas\n\n", target.LeaderMessagesPerChange, target.LeaderBytesPerClaim, target.Size.Replicas)
	fmt.Fprintln(w, "| role | KB/s per VM of the domain | fit error | KB/s per domain | fit error | KB/s from slopes | KB/s measured |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, role := range Roles() {
		vmFit, vmsOK := fitRole(byVMs, role, func(s Size) float64 { return float64(s.VMsPerDomain) })
		domainFit, domainsOK := fitRole(byDomains, role, func(s Size) float64 { return float64(s.Domains) })
		if !vmsOK || !domainsOK {
			continue
		}
		base := byVMs[0].Size
		estimate := vmFit.At(float64(target.Size.VMsPerDomain)) + domainFit.Slope*float64(target.Size.Domains-base.Domains)
		fmt.Fprintf(w, "| %s | %.3f | %.0f%% | %.3f | %.0f%% | %.1f | %.1f |\n", role, vmFit.Slope/1000, 100*vmFit.MaxError, domainFit.Slope/1000, 100*domainFit.MaxError, estimate/1000, target.Rates[role].Bytes/1000)
	}
}

// fitRole fits the bytes per second of a role over a dimension of the size. It
// reports false with fewer than two different sizes.
func fitRole(measurements []Measurement, role Role, size func(Size) float64) (Fit, bool) {
	var x, y []float64
	for _, m := range measurements {
		if rate, found := m.Rates[role]; found {
			x = append(x, size(m.Size))
			y = append(y, rate.Bytes)
		}
	}
	if len(slices.Compact(slices.Clone(x))) < 2 {
		return Fit{}, false
	}
	return FitLine(x, y), true
}
