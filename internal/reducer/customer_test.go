package reducer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/customer"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// customerVM is an entry with a document, beside a VM a2 that allocates customer "acme".
type customerVM struct {
	*State
	now   time.Time
	sent  []Transmit
	steps map[uint64]relay.Step // by call
	other member.VM
}

func newCustomerVM(t *testing.T, rate float64) *customerVM {
	v := &customerVM{State: entryVM(t), now: testStart, steps: make(map[uint64]relay.Step)}
	d := &document.Document{
		Places: document.Places{Regions: []document.Region{{Name: "north"}}, Domains: []document.Domain{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}}},
		Customers: document.Customers{Slack: 20, Customers: []document.Customer{
			{Name: "acme", Rate: rate, Burst: rate, Keys: []document.KeyDigest{document.DigestKey("acme")}},
			{Name: "free", Keys: []document.KeyDigest{document.DigestKey("free")}},
		}},
	}
	d.FillDefaults()
	v.other = member.VM{ID: ownerBeside(t, "a1", "acme"), Peer: "a2:1", Domain: "a", Incarnation: 1}
	v.hearOther()
	v.apply(DocumentLoaded{Position: ledger.Position{Term: 1, Index: 7}, Document: d})
	v.apply(Tick{})
	v.sent = nil
	return v
}

// hearOther delivers a heartbeat of the other VM of the domain.
func (v *customerVM) hearOther() {
	v.other.Counter++
	v.apply(Received{Message{Gossip: &member.Gossip{From: v.other}}})
}

// ownerBeside returns the id of a VM that allocates a customer when there is another one.
func ownerBeside(t *testing.T, other, name string) string {
	for i := range 100 {
		id := fmt.Sprint("a", 2+i)
		d := member.Domain{Entries: []member.EntryRef{{ID: other}, {ID: id}}}
		if d.Owner(customerKey(name)).ID == id {
			return id
		}
	}
	t.Fatal("no id found")
	return ""
}

func (v *customerVM) apply(event Event) {
	for _, effect := range v.Apply(v.now, event) {
		switch e := effect.(type) {
		case Transmit:
			if kind := e.Message.Kind(); kind == "customer-allowances" || kind == "customer-loans" {
				v.sent = append(v.sent, e)
			}
		case Answer:
			if step, ok := e.Value.(relay.Step); ok {
				v.steps[e.Call] = step
			}
		}
	}
}

func (v *customerVM) begin(call uint64, name string, takenOver bool) {
	v.apply(RequestBegan{Call: call, From: "b1", Request: &relay.Request{ID: fmt.Sprint("r", call), Service: "web", Customer: name, KeyDigest: document.DigestKey(name), TakenOver: takenOver, Deadline: v.now.Add(time.Minute)}})
}

func (v *customerVM) tickUntil(at time.Time) {
	for v.now.Before(at) {
		v.now = v.now.Add(50 * time.Millisecond)
		v.hearOther()
		v.apply(Tick{})
	}
}

// grant answers the last question of the VM.
func (v *customerVM) grant(count int, wait time.Duration) {
	r := v.sent[len(v.sent)-1].Message.CustomerRequest
	v.apply(Received{Message{CustomerGrant: &customer.Grant{ID: r.ID, Customer: r.Customer, Count: count, Wait: wait, Spacing: wait}}})
}

// outcome returns status and reason of a refusal, or what else became of a call.
func (v *customerVM) outcome(call uint64) string {
	step, found := v.steps[call]
	switch {
	case !found:
		return "parked"
	case step.Refuse == nil:
		return "begun"
	case step.Refuse.Run != relay.RunNo || step.Refuse.RetryAfter <= 0:
		return fmt.Sprintf("bad refusal %+v", step.Refuse)
	}
	return fmt.Sprint(step.Refuse.Status, " ", step.Refuse.Reason)
}

// A request must neither begin without an allowance, nor wait for one in vain, nor cost a
// message where its customer needs none.
func TestRequestsAwaitAllowances(t *testing.T) {
	tests := map[string]struct {
		rate     float64
		act      func(v *customerVM)
		want     []string // of calls 1, 2, ...
		messages int
		parked   int
	}{
		"granted":            {20, func(v *customerVM) { v.begin(1, "acme", false); v.grant(2, 0); v.begin(2, "acme", false) }, []string{"begun", "begun"}, 1, 0},
		"refused":            {20, func(v *customerVM) { v.begin(1, "acme", false); v.grant(0, time.Second); v.begin(2, "acme", false) }, []string{"429 over-allowance", "429 over-allowance"}, 1, 0},
		"one question open":  {20, func(v *customerVM) { v.begin(1, "acme", false); v.begin(2, "acme", false) }, []string{"parked", "parked"}, 1, 2},
		"asked for the rest": {20, func(v *customerVM) { v.begin(1, "acme", false); v.begin(2, "acme", false); v.grant(1, 0) }, []string{"begun", "parked"}, 2, 1},
		"no answer":          {20, func(v *customerVM) { v.begin(1, "acme", false); v.tickUntil(v.now.Add(customer.Patience(time.Minute))) }, []string{"503 allowance-unknown"}, 4, 0},
		"caller leaves": {20, func(v *customerVM) {
			v.begin(1, "acme", false)
			v.apply(RequestEnded{Call: 1})
			v.grant(1, 0)
			v.begin(2, "acme", false)
		}, []string{"parked", "begun"}, 1, 0},
		"paused": {20, func(v *customerVM) {
			v.begin(1, "acme", false)
			v.grant(2, 0)
			v.now = v.now.Add(time.Second)
			v.begin(2, "acme", false)
		}, []string{"begun", "parked"}, 2, 1},
		"taken over":          {20, func(v *customerVM) { v.begin(1, "acme", true) }, []string{"begun"}, 0, 0},
		"no customer":         {20, func(v *customerVM) { v.begin(1, "", false) }, []string{"begun"}, 0, 0},
		"no limit":            {20, func(v *customerVM) { v.begin(1, "free", false) }, []string{"begun"}, 0, 0},
		"limit of no request": {0, func(v *customerVM) { v.begin(1, "acme", false) }, []string{"begun"}, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newCustomerVM(t, test.rate)
			test.act(v)
			for i, want := range test.want {
				if got := v.outcome(uint64(i + 1)); got != want {
					t.Errorf("request %d: %s, want %s", i+1, got, want)
				}
			}
			if len(v.sent) != test.messages || len(v.customers.parked) != test.parked {
				t.Errorf("%d messages, %d parked, want %d and %d", len(v.sent), len(v.customers.parked), test.messages, test.parked)
			}
		})
	}
}

// An allocator must follow the newer document, lend to other domains, and hand over what it
// does not allocate.
func TestAllocatorAnswersByTheNewerDocument(t *testing.T) {
	v := newCustomerVM(t, 20)
	name := "acme"
	for i := 0; !v.allocatesCustomer(name); i++ {
		name = fmt.Sprint("customer", i)
	}
	v.document.Customers.Customers[0].Name = name
	v.document.FillDefaults()
	v.tickUntil(v.now.Add(3 * time.Second))
	v.sent = nil
	id := uint64(0)
	ask := func(index uint64, rate float64) customer.Grant {
		id++
		v.apply(Received{Message{CustomerRequest: &customer.Request{ID: id, Peer: "a9:1", Customer: name, Document: index, Rate: rate, Burst: rate, Waiting: 1000}}})
		v.tickUntil(v.now.Add(200 * time.Millisecond))
		for _, transmit := range v.sent {
			if transmit.Peer == "a9:1" && transmit.Message.CustomerGrant != nil {
				v.sent = nil
				return *transmit.Message.CustomerGrant
			}
		}
		t.Fatal("no answer")
		return customer.Grant{}
	}
	if g := ask(6, 1e6); g.Count < 5 || g.Count > 20 || g.Wait <= 0 {
		t.Errorf("%+v by an older document, want half of the burst of the document in force at most", g)
	}
	v.tickUntil(v.now.Add(3 * time.Second))
	if g := ask(8, 0.01); g.Count > 2 {
		t.Errorf("%+v by a newer document with a lower rate", g)
	}
	v.apply(Received{Message{CustomerLoanRequest: &customer.LoanRequest{ID: 4, Peer: "b1:1", Domain: "a", Customer: name, Document: 8, Rate: 0.01, Count: 5}}})
	v.apply(Received{Message{CustomerRequest: &customer.Request{ID: 1, Peer: "a9:1", Customer: "acme", Document: 8, Waiting: 1}}})
	if len(v.sent) != 2 || v.sent[0].Message.CustomerLoan == nil || v.sent[1].Peer != "a2:1" {
		t.Errorf("sent %+v, want a loan and a request passed on to the allocator", v.sent)
	}
}

// The sizes in docs/design/allowances.md rest on what messages take.
func TestSizesOfAllowanceMessages(t *testing.T) {
	id := uint64(testStart.UnixMicro())
	messages := map[string]struct {
		message Message
		most    int // bytes
	}{
		"request":      {Message{CustomerRequest: &customer.Request{ID: id, Peer: "10.20.30.40:7000", Customer: "customer-0123456789", Document: 123456, Rate: 530, Burst: 530, Waiting: 3, Ahead: 5, Arrived: 20}}, 100},
		"grant":        {Message{CustomerGrant: &customer.Grant{ID: id, Customer: "customer-0123456789", Count: 3, Wait: 123456789, Spacing: 12345678, Demand: 123.456789}}, 80},
		"loan request": {Message{CustomerLoanRequest: &customer.LoanRequest{ID: id, Peer: "10.20.30.40:7000", Domain: "north-1", Customer: "customer-0123456789", Document: 123456, Rate: 530, Burst: 530, Count: 20}}, 110},
		"loan":         {Message{CustomerLoan: &customer.LoanGrant{ID: id, Domain: "north-1", Customer: "customer-0123456789", Count: 20, Left: 12.3456, Gain: 34.5678}}, 90},
	}
	for name, test := range messages {
		var buffer bytes.Buffer
		encoder := gob.NewEncoder(&buffer)
		encoder.Encode(test.message)
		first := buffer.Len()
		encoder.Encode(test.message) // a connection sends the descriptions of types once
		size := buffer.Len() - first
		t.Logf("%s: %d bytes", name, size)
		if size > test.most {
			t.Errorf("a %s takes %d bytes, at most %d are counted with", name, size, test.most)
		}
	}
}
