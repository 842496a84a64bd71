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

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	VM      string
	Event   string
	Message string
	Outcome string
	Request string
	Fields  map[string]any
}

// Report is what the logs say of one request.
type Report struct {
	Request string
	Lines   []Line // of the request, in order of time
	Around  []Line // what the VM came to believe shortly before, in order of time
	Cause   string
}

// ErrNotFound tells that no line names the request.
var ErrNotFound = errors.New("no line names the request; look at the logs of all entries, and whether lines were dropped (HW1037)")

// around is how long before the end of a request a changed belief may matter.
const around = 15 * time.Second

// Read finds a request in logs. Lines that are not in the system's format are
// skipped.
func Read(request string, logs ...io.Reader) (Report, error) {
	r := Report{Request: request}
	var beliefs []Line
	for _, log := range logs {
		reader := bufio.NewReader(log)
		for {
			text, err := reader.ReadBytes('\n')
			line, ok := parse(text)
			switch {
			case !ok:
			case line.Request == request:
				r.Lines = append(r.Lines, line)
			case line.Request == "" && !slices.Contains(quiet, line.Event):
				beliefs = append(beliefs, line)
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
	slices.SortStableFunc(beliefs, byTime)
	for _, line := range beliefs {
		if r.matters(line) {
			r.Around = append(r.Around, line)
		}
	}
	r.Cause = r.cause()
	return r, nil
}

// quiet are events that say nothing of a failed request.
var quiet = []string{event(reducer.CodeSnapshot), event(reducer.CodeAuditDropped)}

func event(code reducer.Code) string { return fmt.Sprintf("HW%d", code) }

func parse(text []byte) (Line, bool) {
	fields := make(map[string]any)
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := Line{VM: take("vm"), Event: take("event"), Message: take("message"), Outcome: take("outcome"), Request: take("request")}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	delete(fields, "level")
	line.At, line.Fields = at, fields
	return line, err == nil && line.Event != ""
}

// matters reports whether a changed belief may have decided the request: it came
// shortly before on one of its VMs, or is about one of its servers.
func (r Report) matters(line Line) bool {
	first, last := r.Lines[0].At, r.Lines[len(r.Lines)-1].At
	if line.At.After(last) || line.At.Before(first.Add(-around)) {
		return false
	}
	for _, own := range r.Lines {
		server := own.text("server")
		if own.VM == line.VM && line.Event != event(reducer.CodeServerChanged) {
			return true
		}
		if server != "" && (line.text("server") == server || line.text("name") == server) {
			return true
		}
	}
	return false
}

func (l Line) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

func (l Line) number(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

// cause says in one sentence why the request ended as it did.
func (r Report) cause() string {
	var refused, failed, sent, ended *Line
	for i := range r.Lines {
		line := &r.Lines[i]
		switch line.Event {
		case event(reducer.CodeNotPlaced):
			refused = line
		case event(reducer.CodeSendFailed):
			failed, refused = line, nil
		case event(reducer.CodePlaced):
			sent = line
		case event(reducer.CodeRequestEnded):
			ended = line
		}
	}
	switch {
	case ended == nil && sent != nil:
		return fmt.Sprintf("it was sent to server %s and no end is logged: the VM died or its last lines were lost", sent.text("server"))
	case ended == nil:
		return "its end is not logged: the VM died or its last lines were lost"
	case ended.number("status") < 400 && ended.number("status") > 0:
		return r.answered(ended, sent, failed)
	case refused != nil && failed != nil:
		return fmt.Sprintf("the send to server %s ended %s after %.0f ms (%s); then %s",
			failed.text("server"), failed.Outcome, failed.number("took_ms"), orNone(failed.text("why")), refusal(refused))
	case refused != nil:
		return refusal(refused)
	case failed != nil:
		return fmt.Sprintf("the send to server %s ended %s after %.0f ms (%s); then: %s",
			failed.text("server"), failed.Outcome, failed.number("took_ms"), orNone(failed.text("why")), failed.text("next"))
	default:
		return fmt.Sprintf("it ended with status %.0f: %s", ended.number("status"), ended.Outcome)
	}
}

func (r Report) answered(ended, sent, failed *Line) string {
	text := fmt.Sprintf("it was answered with status %.0f after %.0f ms", ended.number("status"), ended.number("took_ms"))
	if failed != nil {
		text += fmt.Sprintf("; a first send to server %s had ended %s", failed.text("server"), failed.Outcome)
	}
	if sent != nil && ended.number("took_ms") > 2*sent.number("expected_ms") {
		text += fmt.Sprintf("; %.0f ms were expected of server %s from a load of %.1f that was %.0f ms old",
			sent.number("expected_ms"), sent.text("server"), sent.number("load"), sent.number("load_age_ms"))
	}
	if sent != nil && sent.Fields["warm"] == false {
		text += "; the server was not known to have handled the object"
	}
	return text
}

func refusal(line *Line) string {
	return fmt.Sprintf("no server was chosen (%s): %.0f servers of %s could be used, %.0f ms were left, and the caller was told to return after %.0f ms",
		line.Outcome, line.number("candidates"), line.text("service"), line.number("left_ms"), line.number("retry_after_ms"))
}

func orNone(text string) string {
	if text == "" {
		return "no cause given"
	}
	return text
}

// Write prints the report.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s\n\n", r.Request)
	for _, line := range r.Lines {
		line.write(w)
	}
	if len(r.Around) > 0 {
		fmt.Fprintf(w, "\nin the %v before:\n\n", around)
		for _, line := range r.Around {
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
