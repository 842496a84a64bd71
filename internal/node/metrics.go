package node

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Metrics are the counters of one VM; each VM has a set of its own.
type Metrics struct {
	LogSyncs     *metrics.Counter
	Lookups      *metrics.Counter
	AuditDropped *metrics.Counter // audit records lost before shipping
	set          *metrics.Set
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		LogSyncs:     set.NewCounter("heatherwood_log_syncs_total"),
		Lookups:      set.NewCounter("heatherwood_lookups_total"),
		AuditDropped: set.NewCounter("heatherwood_audit_dropped_total"),
		set:          set,
	}
}

// CountEvent counts a log event.
func (m *Metrics) CountEvent(code reducer.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_events_total{event="HW%d"}`, code)).Inc()
}

// CountRequest counts a finished request by service, rank and outcome.
func (m *Metrics) CountRequest(service, rank, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_requests_total{service=%q,rank=%q,outcome=%q}`, service, rank, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`heatherwood_request_seconds{service=%q,rank=%q}`, service, rank)).Update(took.Seconds())
}

// CountConnectionTimeout counts a caller's connection that was closed because nothing arrived on it.
func (m *Metrics) CountConnectionTimeout(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_quiet_connections_total{reason=%q}`, reason)).Inc()
}

// Write prints all metrics; gauges come from the status.
func (m *Metrics) Write(w io.Writer, status reducer.Status, sent int64) {
	m.set.WritePrometheus(w)
	fmt.Fprintf(w, "heatherwood_control_bytes_sent_total %d\n", sent)
	fmt.Fprintf(w, "heatherwood_term %d\n", status.Term)
	fmt.Fprintf(w, "heatherwood_commit_index %d\n", status.Commit)
	fmt.Fprintf(w, "heatherwood_document_index %d\n", status.Document.Index)
	fmt.Fprintf(w, "heatherwood_document_stale %d\n", flag(status.Stale))
	fmt.Fprintf(w, "heatherwood_claims %d\n", status.Claims)
	for _, service := range status.Services {
		if len(service.Servers) == 0 && service.Summary.Service == "" {
			continue
		}
		name := service.Service
		fmt.Fprintf(w, "heatherwood_slots{service=%q} %d\n", name, service.Summary.Capacity)
		fmt.Fprintf(w, "heatherwood_slots_in_use{service=%q} %d\n", name, service.Summary.InUse)
		fmt.Fprintf(w, "heatherwood_queue{service=%q} %d\n", name, service.Summary.Waiting)
		fmt.Fprintf(w, "heatherwood_shift_spill_share{service=%q} %g\n", name, service.Summary.Spilled)
		fmt.Fprintf(w, "heatherwood_slots_lent{service=%q} %d\n", name, lent(service))
	}
}

func lent(service reducer.ServiceStatus) int {
	total := 0
	for _, server := range service.Servers {
		total += server.Lent
	}
	return total
}

func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}
