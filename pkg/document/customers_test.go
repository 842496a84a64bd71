package document

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const digestOfA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// A fault in the section of customers must be refused with its place, and a key that stands where
// its digest should must not be repeated.
func TestMessagesOnCustomers(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"shared key":         {"[[customer]]\nname = \"a\"\nkeys = [\"" + digestOfA + "\"]\n[[customer]]\nname = \"b\"\nkeys = [\"" + digestOfA + "\"]\n", "customers.toml:6:9: error: customers \"a\" and \"b\" share a key"},
		"key listed twice":   {"[[customer]]\nname = \"a\"\nkeys = [\"" + digestOfA + "\", \"" + strings.ToUpper(digestOfA) + "\"]\n", "share a key"},
		"name used twice":    {"[[customer]]\nname = \"a\"\n[[customer]]\nname = \"a\"\n", "customer \"a\" is declared twice"},
		"plain key":          {"[[customer]]\nname = \"a\"\nkeys = [\"secret-of-a\"]\n", "customers.toml:3:"},
		"digest cut short":   {"[[customer]]\nname = \"a\"\nkeys = [\"" + digestOfA[1:] + "\"]\n", "customers.toml:3:"},
		"no hexadecimal":     {"[[customer]]\nname = \"a\"\nkeys = [\"secret-of-a" + digestOfA[11:] + "\"]\n", "customers.toml:3:"},
		"unknown rank":       {"[[customer]]\nname = \"a\"\nrank = \"none\"\n", "rank \"none\" does not exist"},
		"unknown region":     {"[[customer]]\nname = \"a\"\nregions = [\"none\"]\n", "region \"none\" does not exist"},
		"negative rate":      {"[[customer]]\nname = \"a\"\nrate = -1.0\n", "rate -1 of customer \"a\" is not valid"},
		"rate is no number":  {"[[customer]]\nname = \"a\"\nrate = nan\n", "rate NaN of customer \"a\" is not valid"},
		"burst is no number": {"[[customer]]\nname = \"a\"\nburst = nan\n", "burst NaN of customer \"a\" is not valid"},
		"name with a space":  {"[[customer]]\nname = \"a b\"\n", "customer name \"a b\" is not valid"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := parseWith(SectionCustomers, test.text).Error()
			if !strings.Contains(got, test.want) {
				t.Errorf("got:\n%s\nwant:\n%s", got, test.want)
			}
			if strings.Contains(got, "secret") {
				t.Errorf("the message repeats a key:\n%s", got)
			}
		})
	}
}

// A document of the largest size must be parsed within a fraction of the time in which it must be in
// force, and each key must lead to its customer.
func TestLargestSectionOfCustomers(t *testing.T) {
	const limit = 2 * time.Second // it takes 0.1 to 0.3 s; more points to work that grows with the square
	var text strings.Builder
	for i := range maxCustomers {
		fmt.Fprintf(&text, "[[customer]]\nname = \"customer-%d\"\nkeys = [%q, %q]\nregions = [\"north\"]\nrate = 2.0\n", i, DigestKey(fmt.Sprint("first ", i)), DigestKey(fmt.Sprint("second ", i)))
	}
	texts := Texts{SectionPlaces: {Bytes: []byte(validPlaces)}, SectionRanks: {Bytes: []byte(validRanks)}, SectionServices: {Bytes: []byte(validServices)}, SectionCustomers: {Bytes: []byte(text.String())}}
	startedAt := time.Now()
	d, messages := Parse(texts)
	took := time.Since(startedAt)
	t.Logf("parsed in %v", took)
	if took > limit {
		t.Errorf("parsed in %v", took)
	}
	if len(messages) > 0 {
		t.Fatal(messages[0])
	}
	for i := range maxCustomers {
		name := fmt.Sprint("customer-", i)
		first, second := d.Customers.ByKey(DigestKey(fmt.Sprint("first ", i))), d.Customers.ByKey(DigestKey(fmt.Sprint("second ", i)))
		if first == nil || first.Name != name || second != first || d.Customers.ByName(name) != first {
			t.Fatalf("%s is not found by its keys and name", name)
		}
	}
	text.WriteString("[[customer]]\nname = \"one-more\"\n")
	texts[SectionCustomers] = Text{Bytes: []byte(text.String())}
	if _, messages := Parse(texts); len(messages) == 0 {
		t.Error("more customers than allowed are accepted")
	}
}

// A customer whose keys were all revoked must not make the document invalid.
func TestCustomerWithoutKeysIsValid(t *testing.T) {
	if messages := parseWith(SectionCustomers, "[[customer]]\nname = \"a\"\nkeys = []\n"); len(messages) > 0 {
		t.Fatal(messages.Error())
	}
}
