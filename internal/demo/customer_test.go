package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/pkg/document"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

// keyAnswer is what a caller with a key gets: an answer of a server, or a refusal.
type keyAnswer struct {
	Customer, Key string // that the server was told
	Reason        string
	Run           string
	status        int
}

func sendWithKey(t *testing.T, entry, authorization string) keyAnswer {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+entry+"/draw/customer", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Heatherwood-Service", "proofs")
	request.Header.Set("Heatherwood-Customer", "forged")
	request.Header.Set("Heatherwood-Detour-Customer", "forged")
	request.Header.Set("Authorization", authorization)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	answer := keyAnswer{status: response.StatusCode}
	json.NewDecoder(response.Body).Decode(&answer)
	return answer
}

// putCustomers puts the section of customers and returns when it is acknowledged.
func putCustomers(t *testing.T, s *cutSite, id, text string) {
	t.Helper()
	ctx := context.Background()
	client := s.client(1, document.SectionCustomers)
	section, err := client.Get(ctx, document.SectionCustomers)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, document.SectionCustomers, operator.Change{Base: section.Version, ID: id, Text: []byte(text)}); err != nil {
		t.Fatal(err)
	}
}

// A request that another VM serves must be the customer's there as well, and a revocation must hold
// for it.
func TestCustomerThroughAnotherVM(t *testing.T) {
	const inForce = 2500 * time.Millisecond
	s := passedOnSite(t)
	entry := s.VMSettings[0].Entry
	putCustomers(t, s, "add", fmt.Sprintf("[[customer]]\nname = \"acme\"\nkeys = [%q]\n", document.DigestKey("key-of-acme")))
	time.Sleep(inForce)
	for name, test := range map[string]struct {
		authorization string
		want          keyAnswer
	}{
		"known key":   {"Bearer key-of-acme", keyAnswer{Customer: "acme", status: http.StatusOK}},
		"unknown key": {"Bearer key-of-nobody", keyAnswer{Reason: "unknown-key", Run: "no", status: http.StatusUnauthorized}},
		"no key":      {"", keyAnswer{Reason: "unknown-key", Run: "no", status: http.StatusUnauthorized}},
	} {
		var got keyAnswer
		waitUntil(t, name+" gets a final answer", func() bool {
			got = sendWithKey(t, entry, test.authorization)
			return got.status != http.StatusServiceUnavailable
		})
		if got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
	putCustomers(t, s, "revoke", "[[customer]]\nname = \"acme\"\nkeys = []\n")
	time.Sleep(inForce)
	for i, vm := range s.VMSettings {
		if got := sendWithKey(t, vm.Entry, "Bearer key-of-acme"); got.Run != "no" || got.status != http.StatusUnauthorized && got.status != http.StatusServiceUnavailable {
			t.Errorf("revoked key at VM %d: %+v", i, got)
		}
	}
}
