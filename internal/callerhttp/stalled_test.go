package callerhttp

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/pkg/document"
)

const longAnswer = 3 * bufferedAnswerBytes

// answerSlowly answers with a body that is not buffered whole, in several parts.
func answerSlowly(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		const parts = 6
		for range parts {
			io.WriteString(w, strings.Repeat(text, longAnswer/parts))
			w.(http.Flusher).Flush()
			waitFor(150*time.Millisecond)(w, r)
		}
	}
}

func inTurn(acts ...func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, act := range acts {
			act(w, r)
		}
	}
}

// A request was given up where the way to its server seemed lost, and what the server answered after that
// was thrown away, even if no other server answered: on a full link most of such ways come back.
func TestAnswerOnAWayThatSeemedLostIsUsed(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		once          bool // it may run once only
		sameWay       bool // the second server is on the lost way too
		stop          bool // the VM stops during the request
		first, second func(http.ResponseWriter, *http.Request)
		want          string // status, and the start of the body
		wantBytes     int    // of the body, if it is long
		wantLeft      int32  // tries that are cancelled
	}{
		"the first answers while the second works": {first: waitFor(1200 * time.Millisecond), second: waitFor(2500 * time.Millisecond), want: "200 first", wantLeft: 1},
		"the second is faster":                     {first: waitFor(2500 * time.Millisecond), want: "200 second", wantLeft: 1},
		"the second breaks":                        {first: waitFor(1200 * time.Millisecond), second: breakOff, want: "200 first"},
		"the second is on the lost way too":        {sameWay: true, first: waitFor(1200 * time.Millisecond), second: waitFor(2500 * time.Millisecond), want: "200 first", wantLeft: 1},
		"a long answer of the first":               {first: inTurn(waitFor(time.Second), answerSlowly("f")), second: waitFor(2500 * time.Millisecond), want: "200 f", wantBytes: longAnswer, wantLeft: 1},
		"the first answers during a long one":      {first: waitFor(1100 * time.Millisecond), second: answerSlowly("s"), want: "200 s", wantBytes: longAnswer},
		"both break":                               {first: inTurn(waitFor(1200*time.Millisecond), breakOff), second: breakOff, want: "502 "},
		"none answers, and the way stays lost":     {first: waitFor(8 * time.Second), second: breakOff, want: "502 ", wantLeft: 1},
		"late, and the VM stops":                   {stop: true, first: waitFor(2400 * time.Millisecond), second: breakOff, want: "200 first"},
		"it may run once only":                     {once: true, first: waitFor(1200 * time.Millisecond), want: "200 first"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			kind, secondDomain := document.KindRepeat, "b"
			if test.once {
				kind = document.KindAttempt
			}
			if test.sameWay {
				secondDomain = "a"
			}
			n, entry, first, second := hedgeEntryIn(t, kind, 0, "", secondDomain)
			n.ProbeServer = func(address string) reach.Failure {
				if address == second.Listener.Addr().String() && !test.sameWay {
					return ""
				}
				return reach.Late
			}
			for s, act := range map[*hedgeServer]func(http.ResponseWriter, *http.Request){first: test.first, second: test.second} {
				if act != nil {
					s.act.Store(&act)
				}
			}
			ended := make(chan struct{})
			defer close(ended)
			go func() {
				began := time.Now()
				for stopped := false; ; {
					select {
					case <-ended:
						return
					case <-time.After(10 * time.Millisecond):
						n.Apply(reducer.Tick{})
					}
					if test.stop && !stopped && time.Since(began) > time.Second {
						stopped = true
						n.Apply(reducer.Leave{StopAt: n.Clock.Now().Add(10 * time.Second)})
					}
				}
			}()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.URL+"/a", nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Host = "shop.example"
			request.Header.Set(problem.HeaderObject, "o")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Errorf("after %d bytes of the answer: %v", len(body), err)
			}
			got := response.Status[:4] + strings.NewReplacer(first.name, "first", second.name, "second").Replace(string(body))
			if !strings.HasPrefix(got, test.want) || test.wantBytes > 0 && strings.Count(got, test.want[4:]) < test.wantBytes {
				t.Errorf("answer %.60q with %d bytes, want %q", got, len(body), test.want)
			}
			if first.requests.Load() != 1 || second.requests.Load() > 1 {
				t.Errorf("%d tries on the first server and %d on the second", first.requests.Load(), second.requests.Load())
			}
			for end := time.Now().Add(time.Second); first.left.Load()+second.left.Load() < test.wantLeft && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if left := first.left.Load() + second.left.Load(); test.wantBytes == 0 && left != test.wantLeft {
				t.Errorf("%d tries were cancelled, want %d", left, test.wantLeft)
			}
		})
	}
}
