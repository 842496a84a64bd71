package node

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Metrics holds the counters of one VM; VMs in the same process don't share them.
type Metrics struct {
	LogSyncs     *metrics.Counter // syncs of the replicated log
	Lookups      *metrics.Counter // answered look-ups of entries
	LookupsFar   *metrics.Counter // of Lookups, those with entries of regions that the routes of the host do not allow
	AuditDropped *metrics.Counter // audit records dropped before they were written or shipped

	SilentLinks   *metrics.Counter   // connections to peers that were replaced because they were silent
	SilentSeconds *metrics.Histogram // without progress on these, until they were found silent

	DetourSeconds *metrics.Histogram // from passing a request on to another VM to the header of its answer

	UnreadSeconds   *metrics.Histogram // from the arrival of a request until it was read
	TickLateSeconds *metrics.Histogram // by which the processor came late to a tick

	MalformedLoads  *metrics.Counter // load reports of servers that could not be read
	LateLoadAnswers *metrics.Counter // questions for the load of a server that a request did not wait for any longer

	DocumentBytesSent     *metrics.Counter // of document text, to other VMs
	DocumentBytesReceived *metrics.Counter // of document text, of all copies of it

	set *metrics.Set
}

// NewMetrics returns counters that are all zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		LogSyncs:     set.NewCounter("heatherwood_log_syncs_total"),
		Lookups:      set.NewCounter("heatherwood_lookups_total"),
		LookupsFar:   set.NewCounter("heatherwood_far_lookups_total"),
		AuditDropped: set.NewCounter("heatherwood_audit_dropped_total"),

		SilentLinks:   set.NewCounter("heatherwood_silent_links_total"),
		SilentSeconds: set.NewHistogram("heatherwood_silent_link_seconds"),

		DetourSeconds: set.NewHistogram("heatherwood_detour_seconds"),

		UnreadSeconds:   set.NewHistogram("heatherwood_request_unread_seconds"),
		TickLateSeconds: set.NewHistogram("heatherwood_tick_late_seconds"),

		MalformedLoads:  set.NewCounter("heatherwood_malformed_load_reports_total"),
		LateLoadAnswers: set.NewCounter("heatherwood_late_load_answers_total"),

		DocumentBytesSent:     set.NewCounter("heatherwood_document_bytes_sent_total"),
		DocumentBytesReceived: set.NewCounter("heatherwood_document_bytes_received_total"),

		set: set,
	}
}

// CountEvent counts a log event by its code.
func (m *Metrics) CountEvent(code reducer.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_events_total{event="HW%d"}`, code)).Inc()
}

// CountRequest counts a finished request by service, rank and outcome.
func (m *Metrics) CountRequest(service, rank, outcome string, duration time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_requests_total{service=%q,rank=%q,outcome=%q}`, service, rank, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`heatherwood_request_seconds{service=%q,rank=%q}`, service, rank)).Update(duration.Seconds())
}

// CountConnectionTimeout counts a caller's connection that was closed because no
// request arrived on it in time; reason is header or idle.
func (m *Metrics) CountConnectionTimeout(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_quiet_connections_total{reason=%q}`, reason)).Inc()
}

// CountCustomerRefusal counts a request that was refused for want of a known key or an allowed
// region.
func (m *Metrics) CountCustomerRefusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_customer_refusals_total{reason=%q}`, reason)).Inc()
}

// CountProbe counts a connection to a backend server that was opened to learn whether this VM
// reaches it.
func (m *Metrics) CountProbe(failure reach.Failure) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_server_probes_total{failure=%q}`, string(failure))).Inc()
}

// CountCallerLeft counts a caller that left before its request was answered, by what the request
// then waited for.
func (m *Metrics) CountCallerLeft(while string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_callers_left_total{while=%q}`, while)).Inc()
}

// WatchBytes adds a gauge of the bytes that requests of one kind hold together.
func (m *Metrics) WatchBytes(kind string, held func() int64) {
	m.set.NewGauge(fmt.Sprintf(`heatherwood_held_bytes{kind=%q}`, kind), func() float64 { return float64(held()) })
}

// CountSend counts a send to a server that has ended, by what is known of whether the request ran.
func (m *Metrics) CountSend(evidence string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_sends_total{evidence=%q}`, evidence)).Inc()
}

// CountQuestion counts a health check of a server by the answer, and by whether a request waited
// for it to learn the load.
func (m *Metrics) CountQuestion(a reducer.ServerAnswered) {
	answer := "warm"
	switch {
	case a.Why != "":
		answer = "none"
	case a.ID != a.Question.Server:
		answer = "another-server"
	case a.ColdFor > 0:
		answer = "cold"
	}
	name := "heatherwood_server_questions_total"
	if a.Question.Call != 0 {
		name = "heatherwood_load_questions_total"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{answer=%q}`, name, answer)).Inc()
}

// CountBelief counts a send to a server by whether it counted as cold, and on whose word.
func (m *Metrics) CountBelief(cold bool, word string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_sends_by_belief_total{cold="%v",word=%q}`, cold, word)).Inc()
}

// CountHedge counts a second try of a request by whether its answer came first.
func (m *Metrics) CountHedge(won bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_hedges_total{won="%v"}`, won)).Inc()
}

// CountPromise counts an answer that callers take to mean that their request did not run, by whose
// decision it was and the weakest evidence of the sends before it.
func (m *Metrics) CountPromise(status int, decided, evidence string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_promises_total{status="%d",decided=%q,evidence=%q}`, status, decided, evidence)).Inc()
}

// CountDetour counts a request that was passed on to another VM, by its result and the time
// until the header of the answer.
func (m *Metrics) CountDetour(result string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_detours_total{result=%q}`, result)).Inc()
	m.DetourSeconds.Update(took.Seconds())
}

// CountSent counts a message to another VM by its kind, and the bytes of document text
// in it.
func (m *Metrics) CountSent(message reducer.Message) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_messages_sent_total{kind=%q}`, message.Kind())).Inc()
	m.DocumentBytesSent.Add(message.DocumentBytes())
}

// CountDropped counts a message that was dropped before it was sent to another VM, by
// its kind.
func (m *Metrics) CountDropped(message reducer.Message) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`heatherwood_messages_dropped_total{kind=%q}`, message.Kind())).Inc()
}

// Write writes all metrics in the Prometheus text format. The gauges are taken from
// the status; bytesSent are the bytes sent to peers.
func (m *Metrics) Write(w io.Writer, status reducer.Status, bytesSent int64) {
	m.set.WritePrometheus(w)
	fmt.Fprintf(w, "heatherwood_control_bytes_sent_total %d\n", bytesSent)
	fmt.Fprintf(w, "heatherwood_term %d\n", status.Term)
	fmt.Fprintf(w, "heatherwood_commit_index %d\n", status.Commit)
	fmt.Fprintf(w, "heatherwood_document_index %d\n", status.Document.Index)
	fmt.Fprintf(w, "heatherwood_document_stale %d\n", gaugeValue(status.Stale))
	fmt.Fprintf(w, "heatherwood_claims %d\n", status.Claims)
	fmt.Fprintf(w, "heatherwood_limited_servers %d\n", len(status.Limits))
	fmt.Fprintf(w, "heatherwood_detours_for_others %d\n", status.Helped)
	for _, c := range status.Customers {
		for _, outcome := range []struct {
			name  string
			count int64
		}{{"asked", c.Asked}, {"allowed", c.Allowed}, {"refused", c.Refused}, {"no-room", c.NoRoom}, {"served", c.Served}, {"late", c.Late}} {
			fmt.Fprintf(w, "heatherwood_customer_requests{customer=%q,outcome=%q} %d\n", c.Customer, outcome.name, outcome.count)
		}
	}
	for _, way := range status.Ways {
		fmt.Fprintf(w, "heatherwood_way_open{domain=%q} %d\n", way.Domain, gaugeValue(way.Way == reach.Open.String()))
	}
	for _, share := range status.Shares {
		fmt.Fprintf(w, "heatherwood_fair_share_refused_total{service=%q,rank=\"%d\"} %d\n", share.Service, share.Rank, share.Refused)
		fmt.Fprintf(w, "heatherwood_fair_share_level{service=%q,rank=\"%d\"} %g\n", share.Service, share.Rank, share.Level)
	}
	for _, slots := range status.Slots {
		fmt.Fprintf(w, "heatherwood_slots_reserved{service=%q} %d\n", slots.Service, slots.Reserved)
		fmt.Fprintf(w, "heatherwood_slot_waiting{service=%q} %d\n", slots.Service, slots.Waiting)
		fmt.Fprintf(w, "heatherwood_slot_waiting_bytes{service=%q} %d\n", slots.Service, slots.Bytes)
		fmt.Fprintf(w, "heatherwood_slot_waits_total{service=%q} %d\n", slots.Service, slots.Waited)
		fmt.Fprintf(w, "heatherwood_slot_waits_ended_total{service=%q,outcome=\"placed\"} %d\n", slots.Service, slots.Placed)
		fmt.Fprintf(w, "heatherwood_slot_waits_ended_total{service=%q,outcome=\"refused\"} %d\n", slots.Service, slots.Refused)
	}
	for _, service := range status.Services {
		if len(service.Servers) == 0 && service.Summary.Service == "" {
			continue
		}
		name := service.Service
		fmt.Fprintf(w, "heatherwood_slots{service=%q} %d\n", name, service.Summary.Capacity)
		fmt.Fprintf(w, "heatherwood_slots_in_use{service=%q} %d\n", name, service.Summary.InUse)
		fmt.Fprintf(w, "heatherwood_queue{service=%q} %d\n", name, service.Summary.Waiting)
		fmt.Fprintf(w, "heatherwood_shift_spill_share{service=%q} %g\n", name, service.Summary.Spilled)
		fmt.Fprintf(w, "heatherwood_slots_lent{service=%q} %d\n", name, lentSlots(service))
	}
}

// lentSlots returns how many slots of a service are lent to other VMs.
func lentSlots(service reducer.ServiceStatus) int {
	total := 0
	for _, server := range service.Servers {
		total += server.Lent
	}
	return total
}

func gaugeValue(on bool) int {
	if on {
		return 1
	}
	return 0
}
