package reducer

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/customer"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// loadLimits puts a document in force that limits the customers of the given names to 10 requests a
// second in the given failure domains. Acme holds the key.
func (v *customersVM) loadLimits(index uint64, domains []string, names ...string) {
	d := &document.Document{
		Places:    document.Places{Regions: []document.Region{{Name: "north"}}},
		Services:  document.Services{Services: []document.Service{{Name: "web", Placing: document.PlacingEntry}}},
		Ranks:     document.Ranks{Ranks: []document.Rank{{Name: "usual", Worth: 1}}},
		Customers: document.Customers{Overage: 0.1, Slack: 20},
	}
	for _, name := range domains {
		d.Places.Domains = append(d.Places.Domains, document.Domain{Name: name, Region: "north"})
	}
	for _, name := range names {
		c := document.Customer{Name: name, Rate: 10, Burst: 20}
		if name == "acme" {
			c.Keys = []document.KeyDigest{keyOfAcme}
		}
		d.Customers.Customers = append(d.Customers.Customers, c)
	}
	d.FillDefaults()
	v.Apply(v.now, DocumentLoaded{Position: ledger.Position{Term: 2, Index: index}, Document: d})
}

// hearVM passes gossip of another VM of the own failure domain on.
func (v *customersVM) hearVM(id string, beat uint64, stopping bool) {
	v.Apply(v.now, Received{Message{Gossip: &member.Gossip{From: member.VM{
		ID: id, Peer: id + ":1", Entry: id + ":2", Domain: "a", Region: "north", Incarnation: 1, Counter: beat, Stopping: stopping,
	}}}})
}

// ask asks the VM for allowances as another VM does, and returns the grant.
func (v *customersVM) ask(name string, waiting int) (customer.Grant, bool) {
	v.call++
	request := customer.Request{ID: v.call, Peer: "a9:1", Customer: name, Document: v.documentAt.Index, Rate: 10, Burst: 20, Waiting: waiting, Arrived: waiting}
	for _, effect := range v.Apply(v.now, Received{Message{CustomerRequest: &request}}) {
		if transmit, ok := effect.(Transmit); ok && transmit.Message.CustomerGrant != nil {
			return *transmit.Message.CustomerGrant, true
		}
	}
	return customer.Grant{}, false
}

// customerOwnedBy returns the name of a customer that a VM allocates in the own failure domain.
func (v *customersVM) customerOwnedBy(id string) string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("customer", i); v.members.ControlOwner(customerKey(name)).ID == id {
			return name
		}
	}
}

// The VM that allocated a customer may have just given out all tokens of its failure domain: the
// next allocator begins with none, also when it hears of the change between two ticks.
func TestNextAllocatorBeginsWithoutTokens(t *testing.T) {
	v := newCustomersVM(t)
	v.hearVM("a2", 1, false)
	name := v.customerOwnedBy("a2")
	v.loadLimits(6, []string{"a"}, "acme", name)
	for beat := range uint64(20) {
		v.hearVM("a2", 2+beat, false)
		v.pass(500*time.Millisecond, true)
	}
	if _, answered := v.ask(name, 1); answered {
		t.Fatal("a VM that is not the allocator answered")
	}
	v.hearVM("a2", 30, true)
	if grant, answered := v.ask(name, 20); !answered || grant.Count > 0 {
		t.Errorf("grant of %d allowances (%v), want one of 0", grant.Count, answered)
	}
}

// The other failure domains may have just given out the whole burst: one that becomes a holder
// begins without tokens.
func TestAddedDomainBeginsWithoutTokens(t *testing.T) {
	v := newCustomersVM(t)
	v.loadLimits(6, []string{"b"}, "acme")
	v.pass(5*time.Second, true)
	v.loadLimits(7, []string{"a", "b"}, "acme")
	v.pass(100*time.Millisecond, true)
	if grant, answered := v.ask("acme", 5); answered && grant.Count > 1 {
		t.Errorf("grant of %d allowances 100 ms after the failure domain was added, want at most 1", grant.Count)
	}
}

// A request that waits for an allowance must not wait for one that no VM will give any more.
func TestWaitingRequestFollowsTheDocument(t *testing.T) {
	tests := map[string]struct {
		change func(v *customersVM) []Effect
		status int // 0 for a request that goes on
	}{
		"customer removed": {func(v *customersVM) []Effect { return v.change(7, document.Customer{Name: "other", Rate: 1}) }, http.StatusUnauthorized},
		"key removed":      {func(v *customersVM) []Effect { return v.change(7, document.Customer{Name: "acme", Rate: 1}) }, http.StatusUnauthorized},
		"limit removed": {func(v *customersVM) []Effect {
			return v.change(7, document.Customer{Name: "acme", Keys: []document.KeyDigest{keyOfAcme}})
		}, 0},
		"customers off": {func(v *customersVM) []Effect { return v.change(7) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newCustomersVM(t)
			v.change(6, document.Customer{Name: "acme", Keys: []document.KeyDigest{keyOfAcme}, Rate: 1, Burst: 1})
			// Another VM allocates; it does not answer.
			for i := 2; v.members.ControlOwner(customerKey("acme")).ID == "a1"; i++ {
				v.hearVM(fmt.Sprint("a", i), 1, false)
			}
			call, step := v.begin(document.KindRepeat)
			if step != (relay.Step{}) {
				t.Fatalf("the request did not wait: %+v", step)
			}
			var answer *relay.Step
			for _, effect := range test.change(v) {
				if a, ok := effect.(Answer); ok && a.Call == call {
					step := a.Value.(relay.Step)
					answer = &step
				}
			}
			switch {
			case answer == nil:
				t.Error("the request still waits")
			case test.status == 0 && answer.Send == nil:
				t.Errorf("the request ended with %+v, want a send", answer.Refuse)
			case test.status != 0 && (answer.Refuse == nil || answer.Refuse.Status != test.status):
				t.Errorf("the request got %+v, want status %d", answer, test.status)
			}
			if len(v.customers.parked) > 0 {
				t.Errorf("%d requests are still parked", len(v.customers.parked))
			}
		})
	}
}

// change puts a document with the given customers in force.
func (v *customersVM) change(index uint64, customers ...document.Customer) []Effect {
	d := &document.Document{
		Places: document.Places{
			Regions: []document.Region{{Name: "north"}, {Name: "south"}},
			Domains: []document.Domain{{Name: "a", Region: "north"}, {Name: "b", Region: "south"}},
		},
		Services:  document.Services{Services: []document.Service{{Name: "web", Placing: document.PlacingEntry}}},
		Ranks:     document.Ranks{Ranks: []document.Rank{{Name: "usual", Worth: 1}}},
		Customers: document.Customers{Customers: customers},
	}
	d.FillDefaults()
	return v.Apply(v.now, DocumentLoaded{Position: ledger.Position{Term: 2, Index: index}, Document: d})
}
