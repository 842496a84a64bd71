package callerhttp

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// hedgeServer is a backend server that a test can make do other than answer.
type hedgeServer struct {
	name     string
	requests atomic.Int32
	left     atomic.Int32 // requests whose connection was closed before the answer
	timeout  atomic.Int64 // of the last request, as the server was told
	act      atomic.Pointer[func(w http.ResponseWriter, r *http.Request)]
	health   atomic.Pointer[func(w http.ResponseWriter, r *http.Request)] // nil answers with the usual load
	*httptest.Server
}

func (s *hedgeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Load", "1")
	if r.URL.Path == "/health" {
		w.Header().Set("Id", s.name)
		if act := s.health.Load(); act != nil {
			(*act)(w, r)
		}
		return
	}
	s.requests.Add(1)
	time.Sleep(10 * time.Millisecond) // a run
	timeout, _ := time.ParseDuration(r.Header.Get(problem.HeaderTimeout))
	s.timeout.Store(int64(timeout))
	if act := s.act.Load(); act != nil {
		(*act)(w, r)
	}
	if r.Context().Err() != nil {
		s.left.Add(1)
		return
	}
	fmt.Fprint(w, s.name)
}

func waitFor(d time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
		}
	}
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// laterClock is ahead of the system's clock by a time that the test sets.
type laterClock struct {
	clock.System
	later atomic.Int64
}

func (c *laterClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.later.Load())) }

// hedgeEntry returns an entry in front of two servers that know an object, the one first that requests
// for it go to.
func hedgeEntry(t *testing.T, kind document.Kind, pace float64, healthPath string) (entry *httptest.Server, first, second *hedgeServer) {
	t.Helper()
	_, entry, first, second = hedgeEntryIn(t, kind, pace, healthPath, "a")
	return entry, first, second
}

// hedgeEntryIn is hedgeEntry with the second server in a failure domain; it returns the node of the entry too.
func hedgeEntryIn(t *testing.T, kind document.Kind, pace float64, healthPath, secondDomain string) (n *node.Node, entry *httptest.Server, first, second *hedgeServer) {
	t.Helper()
	clk := &laterClock{}
	n, err := node.New(settings.Settings{ID: "a1", Domain: "a", Region: "north", Entry: "127.0.0.1:0", Peer: "127.0.0.1:0", SharedKey: "0123456789abcdef"}, clk, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	clk.later.Store(int64(10 * time.Second)) // the VM has learned of the servers
	route := document.Route{
		Name: "r", Host: "shop.example", Path: "/", Kind: kind, Rank: "rank-0", Tries: 2, Affinity: true,
		Timeout: document.Duration(5 * time.Second), Target: document.Duration(2 * time.Second), To: []document.Target{{Service: "web", Weight: 1}},
	}
	d := &document.Document{
		Places:   document.Places{Regions: []document.Region{{Name: "north"}}, Domains: []document.Domain{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}}},
		Services: document.Services{Services: []document.Service{{Name: "web", Placing: document.PlacingEntry}}},
		Ranks:    document.Ranks{Ranks: []document.Rank{{Name: "rank-0"}}},
		Routes:   document.Routes{Routes: []document.Route{route}},
	}
	d.FillDefaults()
	n.Apply(reducer.DocumentLoaded{Position: ledger.Position{Term: 1, Index: 5}, Document: d})
	servers := make(map[string]*hedgeServer)
	for i := range 2 {
		s := &hedgeServer{name: "s" + strconv.Itoa(i)}
		s.Server = httptest.NewServer(s)
		t.Cleanup(s.Close)
		servers[s.name] = s
		record := roster.Record{ID: s.name, Service: "web", Address: s.Listener.Addr().String(), Domain: []string{"a", secondDomain}[i], Slots: 9, Start: 1, Sequence: 1, Health: healthPath}
		n.Apply(reducer.ServerRecordAnnounced{Call: uint64(1000 + i), Record: record})
	}
	n.Apply(reducer.Tick{})
	dialect := DefaultDialect()
	dialect.ParseLoad = func(header http.Header) (placing.Load, error) {
		slower, err := strconv.ParseFloat(header.Get("Load"), 64)
		return placing.Load{Known: true, Slots: 9, Pace: pace * slower}, err
	}
	dialect.ParseHealth = func(response *http.Response) (string, time.Duration, error) {
		return response.Header.Get("Id"), 0, nil
	}
	entry = httptest.NewServer(NewRelay(n, dialect))
	t.Cleanup(entry.Close)
	for range 40 {
		if got, err := ask(t.Context(), entry); err != nil || got[:3] != "200" {
			t.Fatal(got, err)
		}
	}
	first, second = servers["s0"], servers["s1"]
	if second.requests.Load() > first.requests.Load() {
		first, second = second, first
	}
	if first.requests.Load() < 40 {
		t.Fatalf("the first server got %d of 40 requests", first.requests.Load())
	}
	first.requests.Store(0)
	return n, entry, first, second
}

// ask sends a request for the object, and returns the status and body of the answer.
func ask(ctx context.Context, entry *httptest.Server) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry.URL+"/a", nil)
	if err != nil {
		return "", err
	}
	request.Host = "shop.example"
	request.Header.Set(problem.HeaderObject, "o")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body := make([]byte, 200)
	count, _ := response.Body.Read(body)
	return fmt.Sprint(response.StatusCode, " ", string(body[:count])), nil
}

// A request that is late must be answered by a second server where one is worth it, run on two servers
// at most, and leave no try behind.
func TestLateRequestIsTriedOnASecondServer(t *testing.T) {
	tests := map[string]struct {
		kind          document.Kind
		pace          float64
		first, second func(http.ResponseWriter, *http.Request)
		wantSecond    bool // the second server is tried
		wantAnswer    string
		wantLeft      int32 // tries that are cancelled
	}{
		"the first hangs":            {document.KindRepeat, 1, waitFor(2 * time.Second), nil, true, "200 second", 1},
		"the first is a bit late":    {document.KindRepeat, 1, waitFor(600 * time.Millisecond), waitFor(2 * time.Second), true, "200 first", 1},
		"the second breaks":          {document.KindRepeat, 1, waitFor(800 * time.Millisecond), breakOff, true, "200 first", 0},
		"the first breaks":           {document.KindRepeat, 1, func(w http.ResponseWriter, r *http.Request) { waitFor(500*time.Millisecond)(w, r); breakOff(w, r) }, waitFor(600 * time.Millisecond), true, "200 second", 0},
		"the first is in time":       {document.KindRepeat, 1, nil, nil, false, "200 first", 0},
		"it may run once only":       {document.KindAttempt, 1, waitFor(300 * time.Millisecond), nil, false, "200 first", 0},
		"the servers report no pace": {document.KindRepeat, 0, waitFor(300 * time.Millisecond), nil, false, "200 first", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			entry, first, second := hedgeEntry(t, test.kind, test.pace, "")
			for s, act := range map[*hedgeServer]func(http.ResponseWriter, *http.Request){first: test.first, second: test.second} {
				if act != nil {
					s.act.Store(&act)
				}
			}
			want := map[string]string{"200 first": "200 " + first.name, "200 second": "200 " + second.name}[test.wantAnswer]
			if got, err := ask(t.Context(), entry); got != want || err != nil {
				t.Errorf("answer %q (%v), want %q", got, err, want)
			}
			if tried := second.requests.Load(); (tried > 0) != test.wantSecond || tried+first.requests.Load() > 2 {
				t.Errorf("%d tries on the first server and %d on the second, want two at most, and the second: %v", first.requests.Load(), tried, test.wantSecond)
			}
			if test.wantSecond && second.timeout.Load() >= first.timeout.Load() {
				t.Errorf("the second server was told of %v left, the first of %v", time.Duration(second.timeout.Load()), time.Duration(first.timeout.Load()))
			}
			for end := time.Now().Add(time.Second); first.left.Load()+second.left.Load() < test.wantLeft && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if left := first.left.Load() + second.left.Load(); left != test.wantLeft {
				t.Errorf("%d tries were cancelled, want %d", left, test.wantLeft)
			}
		})
	}
}

// A caller that leaves ends both tries.
func TestCallerThatLeavesEndsBothTries(t *testing.T) {
	entry, first, second := hedgeEntry(t, document.KindRepeat, 1, "")
	act := waitFor(5 * time.Second)
	first.act.Store(&act)
	second.act.Store(&act)
	ctx, leave := context.WithTimeout(t.Context(), 800*time.Millisecond)
	defer leave()
	if got, err := ask(ctx, entry); err == nil {
		t.Errorf("answer %q", got)
	}
	for end := time.Now().Add(2 * time.Second); first.left.Load()+second.left.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if first.left.Load() != 1 || second.left.Load() != 1 {
		t.Errorf("%d and %d tries ended", first.left.Load(), second.left.Load())
	}
}

// A request goes elsewhere if the server says, when asked, that it is slow, and waits only shortly for one
// that does not answer.
func TestServerIsAskedForItsLoadBeforeASend(t *testing.T) {
	tests := map[string]struct {
		health     func(http.ResponseWriter, *http.Request)
		wantSecond bool
	}{
		"usual speed": {},
		"slow":        {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Load", "12") }, true},
		"no answer":   {waitFor(2 * time.Second), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			entry, first, second := hedgeEntry(t, document.KindRepeat, 1, "/health")
			if test.health != nil {
				first.health.Store(&test.health)
			}
			time.Sleep(150 * time.Millisecond) // until the reports of the answers so far count as old
			began := time.Now()
			got, err := ask(t.Context(), entry)
			if err != nil || (got == "200 "+second.name) != test.wantSecond {
				t.Errorf("answer %q (%v), the second server: %v", got, err, test.wantSecond)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %v", took)
			}
			if first.requests.Load()+second.requests.Load() != 1 {
				t.Errorf("%d and %d servers got the request", first.requests.Load(), second.requests.Load())
			}
		})
	}
}
