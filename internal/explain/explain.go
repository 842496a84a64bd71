package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
)

// Line is one parsed log line.
type Line struct {
	At      time.Time
	VM      string
	Event   string // event id, such as HW1028
	Message string
	Outcome string
	Request string         // request id, empty in lines that are not about a request
	Fields  map[string]any // all other fields but the level
}

// Report holds the log lines that explain how one request ended.
type Report struct {
	Request      string
	Lines        []Line // of the request, sorted by time
	StateChanges []Line // lines of no request that may explain the outcome, sorted by time
	Cause        string // why the request ended as it did, in one sentence
}

// ErrNotFound is returned when no log line names the request.
var ErrNotFound = errors.New("no line names the request; look at the logs of all entries, and whether lines were dropped (HW1037)")

// lookback is how long before the first line of a request a state change may be
// logged and still be relevant to it.
const lookback = 15 * time.Second

// Read returns the report on a request, or ErrNotFound if no line names it. Lines
// that are not in heatherwood's log format are skipped.
func Read(request string, logs ...io.Reader) (Report, error) {
	r := Report{Request: request}
	var stateChanges []Line
	for _, log := range logs {
		reader := bufio.NewReader(log)
		for {
			rawLine, err := reader.ReadBytes('\n')
			line, ok := parseLine(rawLine)
			switch {
			case !ok:
			case line.Request == request:
				r.Lines = append(r.Lines, line)
			case line.Request == "" && !slices.Contains(ignoredEvents, line.Event):
				stateChanges = append(stateChanges, line)
			}
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return Report{}, fmt.Errorf("read log: %w", err)
			}
		}
	}
	if len(r.Lines) == 0 {
		return Report{}, ErrNotFound
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(r.Lines, byTime)
	slices.SortStableFunc(stateChanges, byTime)
	for _, line := range stateChanges {
		if r.isRelevant(line) {
			r.StateChanges = append(r.StateChanges, line)
		}
	}
	r.Cause = r.describeCause()
	return r, nil
}

// ignoredEvents are events that never explain how a request ended.
var ignoredEvents = []string{eventID(reducer.CodeSnapshot), eventID(reducer.CodeAuditDropped)}

// eventID returns the id that log lines of the event carry.
func eventID(code reducer.Code) string { return fmt.Sprintf("HW%d", code) }

// parseLine decodes a log line and reports whether it has a time and an event.
func parseLine(rawLine []byte) (Line, bool) {
	fields := make(map[string]any)
	if err := json.Unmarshal(rawLine, &fields); err != nil {
		return Line{}, false
	}
	takeField := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := Line{VM: takeField("vm"), Event: takeField("event"), Message: takeField("message"), Outcome: takeField("outcome"), Request: takeField("request")}
	at, err := time.Parse(time.RFC3339Nano, takeField("time"))
	delete(fields, "level")
	line.At, line.Fields = at, fields
	return line, err == nil && line.Event != ""
}

// isRelevant reports whether a state change may have affected the request: it was
// logged from lookback before the request's first line to its last line, and on one
// of the request's VMs or about one of its servers. What servers announce counts only
// if it is about one of the request's servers.
func (r Report) isRelevant(line Line) bool {
	firstAt, lastAt := r.Lines[0].At, r.Lines[len(r.Lines)-1].At
	if line.At.After(lastAt) || line.At.Before(firstAt.Add(-lookback)) {
		return false
	}
	for _, requestLine := range r.Lines {
		server := requestLine.stringField("server")
		if requestLine.VM == line.VM && line.Event != eventID(reducer.CodeServerChanged) {
			return true
		}
		if server != "" && (line.stringField("server") == server || line.stringField("name") == server) {
			return true
		}
	}
	return false
}

// stringField returns the field, or "" if it is missing or no string.
func (l Line) stringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// numberField returns the field, or 0 if it is missing or no number.
func (l Line) numberField(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

// describeCause explains in one sentence why the request ended as it did.
func (r Report) describeCause() string {
	var notPlaced, sendFailed, placed, waits, left, ended, allowance *Line
	for i := range r.Lines {
		line := &r.Lines[i]
		switch line.Event {
		case eventID(reducer.CodeNotPlaced), eventID(reducer.CodeFairShareRefused):
			notPlaced = line
		case eventID(reducer.CodeSendFailed):
			sendFailed, notPlaced = line, nil
		case eventID(reducer.CodePlaced):
			placed = line
		case eventID(reducer.CodeSlotWait):
			waits = line
		case eventID(reducer.CodeCallerLeft):
			left = line
		case eventID(reducer.CodeRequestEnded):
			ended = line
		case eventID(reducer.CodeAllowance):
			allowance = line
		}
	}
	switch {
	case ended == nil && placed != nil:
		return fmt.Sprintf("it was sent to server %s and no end is logged: the VM died or its last lines were lost", placed.stringField("server"))
	case ended == nil && waits != nil:
		return fmt.Sprintf("it waited on %s for a slot of %s, as one of %.0f requests, and no end is logged: it still waits, the VM died or its last lines were lost",
			waits.VM, waits.stringField("service"), waits.numberField("waiting"))
	case ended == nil:
		return "its end is not logged: the VM died or its last lines were lost"
	case left != nil:
		return describeLeave(left)
	case ended.numberField("status") < 400 && ended.numberField("status") > 0:
		return r.describeAnswer(ended, placed, sendFailed)
	case ended.stringField("decided") == "other-vm":
		return fmt.Sprintf("another VM refused it (%s), and its caller was told with status %.0f that it did not run; it had been sent to %s",
			ended.Outcome, ended.numberField("status"), ended.stringField("sends"))
	case isCustomerRefusal(ended) && sendFailed == nil && notPlaced == nil:
		return describeCustomerRefusal(ended)
	case allowance != nil:
		return describeAllowance(allowance)
	case notPlaced != nil && sendFailed != nil:
		return fmt.Sprintf("the send to server %s ended %s after %.0f ms (%s); then %s",
			sendFailed.stringField("server"), sendFailed.Outcome, sendFailed.numberField("took_ms"), describeEvidence(sendFailed), describeRefusal(notPlaced))
	case notPlaced != nil:
		return describeRefusal(notPlaced)
	case sendFailed != nil:
		text := fmt.Sprintf("the send to server %s ended %s after %.0f ms (%s); then: %s",
			sendFailed.stringField("server"), sendFailed.Outcome, sendFailed.numberField("took_ms"), describeEvidence(sendFailed), sendFailed.stringField("next"))
		if isCustomerRefusal(ended) {
			text += "; " + describeCustomerRefusal(ended)
		}
		return text
	case ended.stringField("host") != "":
		return fmt.Sprintf("it ended with status %.0f: %s; nothing in the document with log index %.0f, then in force on %s, fits %s%s",
			ended.numberField("status"), ended.Outcome, ended.numberField("document"), ended.VM, ended.stringField("host"), ended.stringField("path"))
	default:
		return fmt.Sprintf("it ended with status %.0f: %s", ended.numberField("status"), ended.Outcome)
	}
}

// isCustomerRefusal reports whether a request ended because of its customer or for want of one.
func isCustomerRefusal(ended *Line) bool {
	return slices.Contains([]string{"unknown-key", relay.ReasonKeyRevoked, "no-region"}, ended.Outcome)
}

// describeCustomerRefusal names the customer and the document by which a request was refused.
func describeCustomerRefusal(ended *Line) string {
	customer, document := ended.stringField("customer"), ended.numberField("document")
	switch ended.Outcome {
	case "unknown-key":
		return fmt.Sprintf("it ended with status %.0f: its key is missing, malformed or that of no customer in the document with log index %.0f, then in force on %s", ended.numberField("status"), document, ended.VM)
	case "no-region":
		return fmt.Sprintf("it ended with status %.0f: customer %s and the route have no region in common in the document with log index %.0f, then in force on %s", ended.numberField("status"), customer, document, ended.VM)
	default:
		return fmt.Sprintf("it ended with status %.0f: its key was that of customer %s in the document with log index %.0f, and a later one has revoked the key or given it to another customer", ended.numberField("status"), customer, document)
	}
}

// describeAnswer describes a request that was answered: a failed send before, the
// load that the expected time came from if the answer took more than twice that time,
// and whether the server was not known to have handled the object. placed and
// sendFailed may be nil.
func (r Report) describeAnswer(ended, placed, sendFailed *Line) string {
	text := fmt.Sprintf("it was answered with status %.0f after %.0f ms", ended.numberField("status"), ended.numberField("took_ms"))
	if sendFailed != nil {
		text += fmt.Sprintf("; the send before it, to server %s, had ended %s", sendFailed.stringField("server"), sendFailed.Outcome)
	}
	if placed != nil && ended.numberField("took_ms") > 2*placed.numberField("expected_ms") {
		text += fmt.Sprintf("; %.0f ms were expected of server %s from a load of %.1f that was %.0f ms old",
			placed.numberField("expected_ms"), placed.stringField("server"), placed.numberField("load"), placed.numberField("load_age_ms"))
	}
	if placed != nil && placed.numberField("waited_ms") > 0 {
		text += "; it was sent" + describeWait(placed)
	}
	if placed != nil && placed.Fields["warm"] == false {
		text += "; the server was not known to have handled the object"
	}
	return text
}

// describeLeave describes a line that logs that the caller left.
func describeLeave(left *Line) string {
	stages := map[string]string{
		"unread":  "before it was read",
		"body":    "before its body had arrived",
		"turn":    "while it waited for a claim, a slot or a retry",
		"connect": "while it waited for a connection to a server or another VM",
		"server":  "while it waited for an answer",
		"answer":  "before it had taken the whole answer",
	}
	sent := "it had not been sent to a server"
	if left.Fields["sent"] == true {
		sent = "it had been sent on"
	}
	return fmt.Sprintf("its caller left %s; %s read it %.0f ms or more after it had arrived, and ended it after another %.0f ms; %s",
		cmp.Or(stages[left.Outcome], left.Outcome), left.VM, left.numberField("unread_ms"), left.numberField("took_ms"), sent)
}

// describeAllowance describes a line that logs that a request got no allowance.
func describeAllowance(line *Line) string {
	of := fmt.Sprintf("customer %s, which has an allowance of %.4g requests/s and a burst of %.4g in the document with log index %.0f",
		line.stringField("customer"), line.numberField("rate"), line.numberField("burst"), line.numberField("document"))
	if line.Outcome == reducer.ReasonAllowanceUnknown {
		return fmt.Sprintf("it waited %.0f ms for an allowance of %s; VM %s, which hands them out, did not answer",
			line.numberField("waited_ms"), of, line.stringField("allocator"))
	}
	return fmt.Sprintf("there was no allowance left of %s; its failure domain saw about %.4g requests/s, and the caller was told to return after %.0f ms",
		of, line.numberField("demand"), line.numberField("retry_after_ms"))
}

// describeRefusal describes a line that logs that no server was chosen.
func describeRefusal(notPlaced *Line) string {
	if notPlaced.Outcome == string(dispatch.ReasonFairShare) {
		return fmt.Sprintf("servers of %s were short (fair-share): customer %q sent %.1f requests/s, of which %.1f were its share, and the caller was told to return after %.0f ms",
			notPlaced.stringField("service"), notPlaced.stringField("customer"), notPlaced.numberField("demand"), notPlaced.numberField("fair_level"), notPlaced.numberField("retry_after_ms"))
	}
	limits := ""
	if limited := notPlaced.numberField("limited"); limited > 0 {
		limits = fmt.Sprintf(", %.0f more would have gone beyond the limits that they name", limited)
	}
	return fmt.Sprintf("no server was chosen (%s)%s: %.0f servers of %s could be used%s, %.0f ms were left, and the caller was told to return after %.0f ms",
		notPlaced.Outcome, describeWait(notPlaced), notPlaced.numberField("candidates"), notPlaced.stringField("service"), limits, notPlaced.numberField("left_ms"), notPlaced.numberField("retry_after_ms"))
}

// describeWait says how long a request had waited at the VM for a slot, if it had.
func describeWait(line *Line) string {
	if waited := line.numberField("waited_ms"); waited > 0 {
		return fmt.Sprintf(" after it had waited %.0f ms on %s for a slot", waited, line.VM)
	}
	return ""
}

// describeEvidence describes why a send ended, and what that says of whether the request ran.
func describeEvidence(sendFailed *Line) string {
	texts := map[relay.Evidence]string{
		relay.EvidenceNoConnection:   "nothing was sent",
		relay.EvidenceNothingWritten: "nothing was written",
		relay.EvidenceStated:         "the server stated that it did not run it",
		relay.EvidenceAnswered:       fmt.Sprintf("the server answered %.0f and did not state that it had not run it", sendFailed.numberField("answer")),
		relay.EvidenceWritten:        "it may have run there",
	}
	why := causeOrDefault(sendFailed.stringField("why"))
	if text, known := texts[relay.Evidence(sendFailed.stringField("evidence"))]; known {
		return why + "; " + text
	}
	return why
}

// causeOrDefault returns the cause, or a text that none was logged.
func causeOrDefault(cause string) string {
	if cause == "" {
		return "no cause given"
	}
	return cause
}

// Write prints the report as plain text.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s\n\n", r.Request)
	for _, line := range r.Lines {
		line.write(w)
	}
	if len(r.StateChanges) > 0 {
		fmt.Fprintf(w, "\nin the %v before:\n\n", lookback)
		for _, line := range r.StateChanges {
			line.write(w)
		}
	}
	fmt.Fprintf(w, "\ncause: %s\n", r.Cause)
}

func (l Line) write(w io.Writer) {
	names := slices.SortedFunc(maps.Keys(l.Fields), func(a, b string) int { return cmp.Compare(a, b) })
	var fields []string
	for _, name := range names {
		fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	fmt.Fprintf(w, "  %s %s %s %s: %s %s\n", l.At.Format("15:04:05.000"), l.VM, l.Event, l.Message, l.Outcome, strings.Join(fields, " "))
}
