package explain

import (
	"errors"
	"strings"
	"testing"
)

// vmEvents are log lines of no request, and one line in another format.
const vmEvents = `{"level":"info","vm":"e1","event":"HW1001","time":"2026-01-01T10:00:00.000Z","message":"VM started"}
{"level":"info","vm":"c1","event":"HW1032","server":"s1","service":"web","time":"2026-01-01T10:00:01.000Z","message":"backend server announced a change of itself","outcome":"announced"}
{"level":"info","vm":"c1","event":"HW1032","server":"s9","service":"web","time":"2026-01-01T10:00:01.000Z","message":"backend server announced a change of itself","outcome":"announced"}
not a line of the system
`

// requestLine returns a log line of request r1 on VM e1.
func requestLine(event, second, rest string) string {
	return `{"level":"info","vm":"e1","event":"` + event + `","request":"r1",` + rest + `,"time":"2026-01-01T10:00:` + second + `Z"}` + "\n"
}

// The cause is the one that the log lines show, also where lines are missing, and the
// report leaves out state changes of servers that the request did not use.
func TestReadFindsCause(t *testing.T) {
	placed := requestLine("HW1028", "02.000", `"server":"s1","service":"web","warm":true,"expected_ms":200,"load":3,"load_age_ms":900,"outcome":"sent"`)
	placedCold := requestLine("HW1028", "02.000", `"server":"s1","service":"web","warm":false,"expected_ms":900,"outcome":"sent"`)
	sendFailed := requestLine("HW1030", "03.000", `"server":"s1","took_ms":1000,"why":"EOF","next":"refuse","outcome":"broken"`)
	notPlaced := requestLine("HW1029", "03.000", `"service":"web","candidates":4,"left_ms":500,"retry_after_ms":300,"outcome":"queue-full"`)
	limited := requestLine("HW1029", "03.000", `"service":"web","candidates":0,"limited":3,"left_ms":500,"retry_after_ms":300,"outcome":"queue-full"`)
	ended := func(status, outcome string) string {
		return requestLine("HW1031", "04.000", `"status":`+status+`,"took_ms":1900,"server":"s1","outcome":"`+outcome+`"`)
	}
	tests := map[string]struct {
		log  string
		want string
	}{
		"no server chosen":                  {notPlaced + ended("503", "queue-full"), "no server was chosen (queue-full): 4 servers of web could be used, 500 ms were left"},
		"server crashed":                    {placed + sendFailed + ended("502", "connection-lost"), "the send to server s1 ended broken after 1000 ms (EOF); then: refuse"},
		"no server chosen for their limits": {limited + ended("503", "queue-full"), "0 servers of web could be used, 3 more would have gone beyond the limits that they name, 500 ms"},
		"above its fair share": {
			requestLine("HW1061", "03.000", `"service":"web","customer":"acme","demand":60,"fair_level":12.5,"retry_after_ms":300,"outcome":"fair-share"`) + ended("503", "fair-share"),
			`servers of web were short (fair-share): customer "acme" sent 60.0 requests/s, of which 12.5 were its share, and the caller was told to return after 300 ms`,
		},
		"over the allowance": {
			requestLine("HW1054", "03.000", `"customer":"acme","rate":530,"burst":530,"demand":188.2,"retry_after_ms":212,"document":41,"outcome":"over-allowance"`) + ended("429", "over-allowance"),
			"no allowance left of customer acme, which has an allowance of 530 requests/s and a burst of 530 in the document with log index 41; its failure domain saw about 188.2",
		},
		"allowance unknown": {
			requestLine("HW1054", "03.000", `"customer":"acme","rate":530,"burst":530,"allocator":"e7","waited_ms":310,"document":41,"outcome":"allowance-unknown"`) + ended("503", "allowance-unknown"),
			"it waited 310 ms for an allowance of customer acme",
		},
		"no server chosen after a crash":       {placed + sendFailed + notPlaced + ended("503", "queue-full"), "ended broken after 1000 ms (EOF); then no server was chosen"},
		"late, load report was old":            {placed + ended("200", "answered"), "200 ms were expected of server s1 from a load of 3.0 that was 900 ms old"},
		"late, server did not know the object": {placedCold + ended("200", "answered"), "was not known to have handled the object"},
		"VM died":                              {placed, "no end is logged"},
		"waited for a slot": {
			requestLine("HW1028", "02.000", `"server":"s1","service":"web","warm":true,"waited_ms":1500,"expected_ms":200,"outcome":"sent"`) + ended("200", "answered"),
			"it was sent after it had waited 1500 ms on",
		},
		"waits for a slot":                   {requestLine("HW1063", "02.000", `"service":"web","waiting":3,"outcome":"waits"`), "for a slot of web, as one of 3 requests, and no end is logged"},
		"refused before a server was chosen": {ended("404", "unknown-service"), "it ended with status 404: unknown-service"},
		"refused by an old document": {
			requestLine("HW1031", "04.000", `"status":503,"took_ms":1,"server":"","host":"shop.example","path":"/new/","document":49,"outcome":"document-outdated"`),
			"document-outdated; nothing in the document with log index 49, then in force on e1, fits shop.example/new/",
		},
		"unknown key": {
			requestLine("HW1031", "04.000", `"status":401,"took_ms":1,"server":"","document":49,"not_logged":0,"outcome":"unknown-key"`),
			"status 401: its key is missing, malformed or that of no customer in the document with log index 49, then in force on e1",
		},
		"no region in common": {
			requestLine("HW1031", "04.000", `"status":403,"took_ms":1,"server":"","document":49,"customer":"acme","outcome":"no-region"`),
			"status 403: customer acme and the route have no region in common in the document with log index 49, then in force on e1",
		},
		"key revoked before a second send": {
			requestLine("HW1030", "03.000", `"server":"s1","took_ms":30,"why":"","evidence":"stated","next":"another-server","outcome":"shed"`) +
				requestLine("HW1031", "04.000", `"status":401,"took_ms":31,"server":"s1","document":49,"customer":"acme","outcome":"key-revoked"`),
			"then: another-server; it ended with status 401: its key was that of customer acme in the document with log index 49",
		},
		"caller left before its request was read": {
			requestLine("HW1049", "04.000", `"unread_ms":2101,"took_ms":0.3,"sent":false,"server":"","outcome":"unread"`) + ended("503", "cancelled"),
			"its caller left before it was read; e1 read it 2101 ms or more after it had arrived, and ended it after another 0 ms; it had not been sent to a server",
		},
		"server says nothing of whether it ran": {
			requestLine("HW1030", "03.000", `"server":"s1","took_ms":30,"why":"","evidence":"answered","answer":429,"next":"refuse","outcome":"ok"`) + ended("502", "run-unstated"),
			"the send to server s1 ended ok after 30 ms (no cause given; the server answered 429 and did not state that it had not run it); then: refuse",
		},
		"refused by another VM": {
			requestLine("HW1048", "03.000", `"to":"e2","took_ms":3,"why":"","evidence":"stated","reason":"queue-full","next":"refuse","outcome":"shed"`) +
				requestLine("HW1031", "04.000", `"status":503,"took_ms":9,"server":"","decided":"other-vm","evidence":"stated","sends":"s1:no-connection e2:stated","outcome":"queue-full"`),
			"another VM refused it (queue-full), and its caller was told with status 503 that it did not run; it had been sent to s1:no-connection e2:stated",
		},
		"answered by the second send": {placed + sendFailed + placed + ended("200", "answered"), "the send before it, to server s1, had ended broken"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report, err := Read("r1", strings.NewReader(vmEvents+test.log))
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(report.Cause, test.want) {
				t.Errorf("cause %q, want %q", report.Cause, test.want)
			}
			for _, line := range report.StateChanges {
				if line.stringField("server") == "s9" {
					t.Error("the report names a server that has no part in the request")
				}
			}
		})
	}
	if _, err := Read("r2", strings.NewReader(vmEvents)); !errors.Is(err, ErrNotFound) {
		t.Errorf("error %v for a request that no line names", err)
	}
}
