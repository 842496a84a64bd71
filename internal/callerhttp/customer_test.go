package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/pkg/document"
)

const (
	acmeKey  = "key-of-acme"
	otherKey = "key-of-nobody"
)

// customerDocument returns a document with one route that needs a key, one that does not, one that
// another region serves, and a service found by its host.
func customerDocument(customers ...document.Customer) *document.Document {
	to := []document.Target{{Service: "web", Weight: 1}}
	d := &document.Document{
		Places: document.Places{Regions: []document.Region{{Name: "north"}, {Name: "south"}}, Domains: []document.Domain{{Name: "a", Region: "north"}}},
		Ranks:  document.Ranks{Ranks: []document.Rank{{Name: "high", Worth: 2}, {Name: "low", Worth: 1}}},
		Services: document.Services{Services: []document.Service{
			{Name: "web", Placing: document.PlacingEntry},
			{Name: "plain", Hosts: []string{"plain.example"}, Rules: []document.Rule{{Method: "*", Path: "/", Rank: "low"}}},
		}},
		Routes: document.Routes{Routes: []document.Route{
			{Name: "own", Host: "shop.example", Path: "/own", Kind: document.KindRepeat, Rank: "low", To: to},
			{Name: "public", Host: "shop.example", Path: "/public", Rank: "low", Public: true, To: to},
			{Name: "south", Host: "shop.example", Path: "/south", Rank: "low", Regions: []string{"south"}, To: to},
		}},
		Customers: document.Customers{Customers: customers},
	}
	d.FillDefaults()
	return d
}

func acme() document.Customer {
	return document.Customer{Name: "acme", Keys: []document.KeyDigest{document.DigestKey(acmeKey)}, Rank: "high", Regions: []string{"north"}}
}

// customerVM is a VM whose clock the test moves.
type customerVM struct {
	*Relay
	clk  *testClock
	beat uint64
	log  bytes.Buffer
}

// newCustomerVM returns a VM that follows a document and is certain of it.
func newCustomerVM(t *testing.T, dialect Dialect, d *document.Document) *customerVM {
	t.Helper()
	v := &customerVM{clk: &testClock{now: time.Now()}}
	n, err := node.New(settings.Settings{ID: "a1", Domain: "a", Region: "north", Entry: "127.0.0.1:0", Peer: "127.0.0.1:0", SharedKey: "0123456789abcdef"}, v.clk, zerolog.New(&v.log))
	if err != nil {
		t.Fatal(err)
	}
	v.Relay = NewRelay(n, dialect)
	n.Apply(reducer.DocumentLoaded{Position: ledger.Position{Term: 1, Index: 5}, Document: d})
	v.hear(5 * time.Second)
	return v
}

// hear lets time pass in which the control leader is heard.
func (v *customerVM) hear(length time.Duration) {
	const step = 500 * time.Millisecond
	for range length / step {
		v.clk.now = v.clk.now.Add(step)
		v.beat++
		v.Node.Apply(reducer.Received{Message: reducer.Message{
			Gossip: &member.Gossip{From: member.VM{ID: "c1", Peer: "c1:1", Domain: "a", Control: true}},
			Leader: &reducer.Leader{ID: "c1", Peer: "c1:1", Term: 1, Beat: v.beat},
		}})
		v.Node.Apply(reducer.Tick{})
	}
}

// arrive returns a request as this VM takes it in, given its path and the lines of its header.
func (v *customerVM) arrive(t *testing.T, path, header string) (*inbound, *httptest.ResponseRecorder) {
	t.Helper()
	host := "shop.example"
	if path == "/plain" {
		host = "plain.example"
	}
	text := "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\nTrailer: Authorization\r\n" + header +
		"\r\n2\r\nhi\r\n0\r\nAuthorization: Bearer " + acmeKey + "\r\nHeatherwood-Customer: forged\r\n\r\n"
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	request.RemoteAddr = "192.0.2.1:1"
	answer := httptest.NewRecorder()
	return &inbound{relay: v.Relay, writer: answer, request: request, view: v.Node.View(), id: "r1", receivedAt: v.clk.now}, answer
}

// A server must see neither a key nor a customer that the caller only claims to be.
func TestCustomerHeadersOfARequest(t *testing.T) {
	key := "Authorization: Bearer " + acmeKey + "\r\n"
	unknown := "Authorization: Bearer " + otherKey + "\r\n"
	tests := map[string]struct {
		path, header string
		status       int    // of a refusal, 0 if it is sent on
		customer     string // that the server is told
	}{
		"known key":                       {"/own", key, 0, "acme"},
		"scheme in another case":          {"/own", "authorization: bEARER  " + acmeKey + " \r\n", 0, "acme"},
		"service found by its host":       {"/plain", key, 0, "acme"},
		"service found by host, no key":   {"/plain", "", http.StatusUnauthorized, ""},
		"forged customer":                 {"/own", key + "Heatherwood-Customer: forged\r\nHEATHERWOOD-CUSTOMER: forged\r\n", 0, "acme"},
		"forged customer, underscore":     {"/own", key + "Heatherwood_Customer: forged\r\n", 0, "acme"},
		"customer named in Connection":    {"/own", key + "Connection: heatherwood-customer, authorization\r\nHeatherwood-Customer: forged\r\n", 0, "acme"},
		"no key":                          {"/own", "", http.StatusUnauthorized, ""},
		"unknown key":                     {"/own", unknown, http.StatusUnauthorized, ""},
		"another scheme":                  {"/own", "Authorization: Basic " + acmeKey + "\r\n", http.StatusUnauthorized, ""},
		"no scheme":                       {"/own", "Authorization: " + acmeKey + "\r\n", http.StatusUnauthorized, ""},
		"no key after the scheme":         {"/own", "Authorization: Bearer\r\n", http.StatusUnauthorized, ""},
		"two headers, one of them known":  {"/own", unknown + key, http.StatusUnauthorized, ""},
		"the same header twice":           {"/own", key + key, http.StatusUnauthorized, ""},
		"public, no key":                  {"/public", "Heatherwood-Customer: forged\r\n", 0, ""},
		"public, unknown key":             {"/public", unknown + "heatherwood-customer: forged\r\n", 0, ""},
		"public, two keys":                {"/public", key + key, 0, ""},
		"public, known key":               {"/public", key + "Heatherwood-Customer: forged\r\n", 0, "acme"},
		"public, forged by another VM":    {"/public", "Heatherwood-Detour-Customer: acme\r\nHeatherwood-Detour-Key: " + document.DigestKey(acmeKey).String() + "\r\n", 0, ""},
		"no region in common":             {"/south", key, http.StatusForbidden, ""},
		"no region in common, no key":     {"/south", "", http.StatusUnauthorized, ""},
		"digest in place of the key":      {"/own", "Authorization: Bearer " + document.DigestKey(acmeKey).String() + "\r\n", http.StatusUnauthorized, ""},
		"key of another dialect's scheme": {"/own", "Authorization: Token " + acmeKey + "\r\n", http.StatusUnauthorized, ""},
	}
	v := newCustomerVM(t, DefaultDialect(), customerDocument(acme()))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in, answer := v.arrive(t, test.path, test.header)
			if matched := in.matchRequest() && in.readBody(); matched != (test.status == 0) || in.status != test.status {
				t.Fatalf("matched: %v, status %d, want %d: %s", matched, in.status, test.status, answer.Body)
			}
			if strings.Contains(answer.Body.String(), "key-of") || strings.Contains(v.log.String(), "key-of") {
				t.Errorf("an answer or the log holds a key: %s", answer.Body)
			}
			if test.status != 0 {
				if run := answer.Header().Get(problem.HeaderRun); run != "no" {
					t.Errorf("%s %q, want no", problem.HeaderRun, run)
				}
				return
			}
			in.service = in.view.Document.Services.ByName("web")
			request := in.outbound(context.Background(), "127.0.0.1:1", "s1")
			request.Body, _ = in.body.open()
			var sent bytes.Buffer
			if err := request.Write(&sent); err != nil {
				t.Fatal(err)
			}
			lower := strings.ToLower(sent.String())
			if strings.Contains(lower, "authorization") || strings.Contains(lower, "key-of") || strings.Contains(lower, "forged") || strings.Contains(lower, "detour") {
				t.Errorf("the server gets what the caller sent: %q", &sent)
			}
			if got := request.Header.Values(problem.HeaderCustomer); strings.Join(got, "|") != test.customer || test.customer == "" && len(got) > 0 {
				t.Errorf("the server is told of customers %q, want %q", got, test.customer)
			}
			if rank := in.view.Ranks[in.rankIndex()].Name; (rank == "high") != (test.customer != "") {
				t.Errorf("rank %s for customer %q", rank, test.customer)
			}
		})
	}
}

// Without customers, headers must pass as they did before there were any.
func TestHeadersPassWhereCustomersAreOff(t *testing.T) {
	v := newCustomerVM(t, DefaultDialect(), customerDocument())
	in, answer := v.arrive(t, "/own", "Authorization: Basic abc\r\nHeatherwood-Customer: any\r\n")
	if !in.matchRequest() || !in.readBody() {
		t.Fatalf("refused: %s", answer.Body)
	}
	header := in.outbound(context.Background(), "127.0.0.1:1", "s1").Header
	if header.Get("Authorization") != "Basic abc" || header.Get(problem.HeaderCustomer) != "any" {
		t.Errorf("the server gets %v", header)
	}
}

// Callers take a 401 and a 403 as final: a VM that may lack a newer document must not send them.
func TestUncertainVMRefusesNoKeyForGood(t *testing.T) {
	tests := map[string]struct {
		before func(*customerVM)
		status int // in place of the final one; 0 for the final one
	}{
		"the leader is heard":      {func(*customerVM) {}, 0},
		"the leader is not heard":  {func(v *customerVM) { v.clk.now = v.clk.now.Add(2100 * time.Millisecond) }, http.StatusServiceUnavailable},
		"just paused":              {func(v *customerVM) { v.clk.now = v.clk.now.Add(1500 * time.Millisecond) }, http.StatusServiceUnavailable},
		"a newer document is held": {func(v *customerVM) { v.offer(9) }, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		for path, final := range map[string]int{"/own": http.StatusUnauthorized, "/south": http.StatusForbidden} {
			t.Run(name+path, func(t *testing.T) {
				v := newCustomerVM(t, DefaultDialect(), customerDocument(acme()))
				test.before(v)
				header := ""
				if final == http.StatusForbidden {
					header = "Authorization: Bearer " + acmeKey + "\r\n"
				}
				in, answer := v.arrive(t, path, header)
				v.ServeHTTP(answer, in.request)
				want, reason := final, map[int]string{http.StatusUnauthorized: "unknown-key", http.StatusForbidden: "no-region"}[final]
				if test.status != 0 {
					want, reason = test.status, "document-outdated"
				}
				if answer.Code != want || !strings.Contains(answer.Body.String(), `"`+reason+`"`) || answer.Header().Get(problem.HeaderRun) != "no" {
					t.Errorf("%d %s, want %d %s", answer.Code, answer.Body, want, reason)
				}
				if told := answer.Header().Get("Retry-After") != ""; told != (want == http.StatusServiceUnavailable) {
					t.Errorf("Retry-After %q with %d", answer.Header().Get("Retry-After"), answer.Code)
				}
			})
		}
	}
}

func (v *customerVM) offer(index uint64) {
	v.Node.Apply(reducer.Received{Message: reducer.Message{Offer: &reducer.DocumentOffer{From: "b1:1", Position: ledger.Position{Term: 1, Index: index}}}})
}

// All callers that an uncertain VM turned away must not return at the same moment.
func TestRetryOfAnUncertainRefusalIsSpread(t *testing.T) {
	dialect := DefaultDialect()
	dialect.FractionalRetryAfter = true
	v := newCustomerVM(t, dialect, customerDocument(acme()))
	v.offer(9)
	times := make(map[string]bool)
	for range 50 {
		in, answer := v.arrive(t, "/own", "")
		v.ServeHTTP(answer, in.request)
		text := answer.Header().Get("Retry-After")
		if seconds, err := strconv.ParseFloat(text, 64); err != nil || seconds < 0.3 || seconds > 1 {
			t.Fatalf("Retry-After %q", text)
		}
		times[text] = true
	}
	if len(times) < 10 {
		t.Errorf("%d different times for 50 callers", len(times))
	}
}

// A flood of unknown keys must fill neither the log nor the memory.
func TestUnknownKeysAreCheap(t *testing.T) {
	v := newCustomerVM(t, DefaultDialect(), customerDocument(acme()))
	v.log.Reset()
	metrics := func() int {
		var text bytes.Buffer
		v.Node.Metrics.Write(&text, reducer.Status{}, 0)
		return strings.Count(text.String(), "\n")
	}
	send := func(i int) {
		request := httptest.NewRequest(http.MethodGet, "http://shop.example/own", nil)
		request.Header.Set("Authorization", fmt.Sprint("Bearer ", otherKey, i))
		answer := httptest.NewRecorder()
		v.ServeHTTP(answer, request)
		if answer.Code != http.StatusUnauthorized {
			t.Fatalf("status %d", answer.Code)
		}
	}
	send(0)
	before := metrics()
	for i := range 10_000 {
		send(i)
	}
	if lines := strings.Count(v.log.String(), "\n"); lines == 0 || lines > maxRefusalLines {
		t.Errorf("%d lines logged, want 1 to %d", lines, maxRefusalLines)
	}
	if after := metrics(); after != before {
		t.Errorf("%d lines of metrics became %d", before, after)
	}
	v.hear(time.Second)
	send(1)
	if !strings.Contains(v.log.String(), fmt.Sprint(`"not_logged":`, 10_001-maxRefusalLines)) {
		t.Error("the log does not say how many lines were left out")
	}
	if strings.Contains(v.log.String(), otherKey) {
		t.Error("the log holds a key")
	}
}

// The VM that takes a request over must find a revoked key, and must be told no key itself.
func TestRequestPassedOnCarriesTheDigest(t *testing.T) {
	v := newCustomerVM(t, DefaultDialect(), customerDocument(acme()))
	in, answer := v.arrive(t, "/own", "Authorization: Bearer "+acmeKey+"\r\nHeatherwood-Detour-Customer: forged\r\nHeatherwood-Detour-Customer: forged\r\n")
	if !in.matchRequest() || !in.readBody() {
		t.Fatalf("refused: %s", answer.Body)
	}
	request := in.outbound(context.Background(), "127.0.0.1:1", "a2")
	in.setDetourIdentity(request.Header)
	if text := fmt.Sprint(request.Header); strings.Contains(text, acmeKey) || strings.Contains(text, "forged") {
		t.Errorf("the other VM gets %s", text)
	}
	digest := document.DigestKey(acmeKey).String()
	if got := request.Header.Get(problem.HeaderDetourCustomer) + request.Header.Get(problem.HeaderDetourKey); got != "acme"+digest {
		t.Errorf("the other VM is told %q", got)
	}
	moved := acme()
	moved.Name = "successor"
	revoked := acme()
	revoked.Keys = nil
	tests := map[string]struct {
		key       string
		runs      string
		customers []document.Customer
		status    int
		reason    string
	}{
		"held":                   {digest, "0", []document.Customer{acme()}, http.StatusServiceUnavailable, "no-servers"},
		"revoked":                {digest, "0", []document.Customer{revoked}, http.StatusUnauthorized, "key-revoked"},
		"moved":                  {digest, "0", []document.Customer{moved}, http.StatusUnauthorized, "key-revoked"},
		"revoked, may have run":  {digest, "1", []document.Customer{revoked}, http.StatusBadGateway, "key-revoked"},
		"customers are off here": {digest, "0", nil, http.StatusServiceUnavailable, "no-servers"},
		"malformed digest":       {"x", "0", []document.Customer{acme()}, http.StatusBadRequest, "bad-detour"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newCustomerVM(t, DefaultDialect(), customerDocument(test.customers...))
			passed := httptest.NewRequest(http.MethodGet, "http://shop.example/own", nil)
			passed.Header.Set(problem.HeaderDetourFrom, "a2")
			passed.Header.Set(problem.HeaderDetourRuns, test.runs)
			passed.Header.Set(problem.HeaderDetourDocument, "5")
			passed.Header.Set(problem.HeaderDetourCustomer, "acme")
			passed.Header.Set(problem.HeaderDetourKey, test.key)
			answer := httptest.NewRecorder()
			v.servePeer(answer, passed)
			if answer.Code != test.status || !strings.Contains(answer.Body.String(), `"`+test.reason+`"`) {
				t.Errorf("%d %s, want %d %s", answer.Code, answer.Body, test.status, test.reason)
			}
		})
	}
}

// A customer that used another one's Idempotency-Key got the answer stored for that one.
func TestClaimsOfCustomersDiffer(t *testing.T) {
	digest := func(customer string) uint64 { return (&inbound{identity: identity{customer: customer}}).claimDigest(1) }
	if digest("acme") == digest("other") || digest("acme") == digest("") {
		t.Error("claims of two customers compare as equal")
	}
	if digest("") != 1 {
		t.Error("the claim of a request without a customer changed")
	}
}
