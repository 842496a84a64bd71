package detour

import (
	"fmt"
	"testing"
	"time"
)

var now = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

var (
	own       = Site{Domain: "a-1", Region: "a"}
	neighbour = Helper{VM: "neighbour", Domain: "a-1", Region: "a"}
	nearby    = Helper{VM: "nearby", Domain: "a-2", Region: "a"}
	far       = Helper{VM: "far", Domain: "b-1", Region: "b"}
	cutOff    = Helper{VM: "cut-off", Domain: "a-1", Region: "a", Cut: []string{"a-1", "a-2", "b-1"}}
	partly    = Helper{VM: "partly", Domain: "a-1", Region: "a", Cut: []string{"b-1"}}
)

func TestChoose(t *testing.T) {
	onlyB := func(region string) bool { return region == "b" }
	tests := map[string]struct {
		helpers []Helper
		running map[string]int
		need    Need
		want    string
	}{
		"nearest first":                    {helpers: []Helper{far, nearby, neighbour}, want: "neighbour"},
		"busy neighbour":                   {helpers: []Helper{far, nearby, neighbour}, running: map[string]int{"neighbour": 9}, want: "nearby"},
		"all near ones busy":               {helpers: []Helper{far, nearby, neighbour}, running: map[string]int{"neighbour": 30, "nearby": 20}, want: "far"},
		"cut off from all":                 {helpers: []Helper{cutOff, far}, need: Need{Domains: 3}, want: "far"},
		"cut off from one, any will do":    {helpers: []Helper{partly, far}, need: Need{Domains: 3}, want: "partly"},
		"cut off from the one":             {helpers: []Helper{partly, far}, need: Need{Domain: "b-1"}, want: "far"},
		"region not allowed":               {helpers: []Helper{neighbour, far}, need: Need{Allowed: onlyB}, want: "far"},
		"tried before":                     {helpers: []Helper{neighbour, nearby}, need: Need{Tried: []string{"neighbour"}}, want: "nearby"},
		"one of its domain tried before":   {helpers: []Helper{neighbour, partly, far}, need: Need{Domains: 3, Tried: []string{"neighbour"}}, want: "far"},
		"none":                             {helpers: []Helper{cutOff}, need: Need{Domains: 3}, want: ""},
		"no VM knows how many domains are": {helpers: []Helper{partly, far}, want: "far"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c Chooser
			for vm, n := range test.running {
				for range n {
					c.Begin(vm)
				}
			}
			got, found := c.Choose(own, test.helpers, test.need, now)
			if got.VM != test.want || found != (test.want != "") {
				t.Errorf("got %q, want %q", got.VM, test.want)
			}
		})
	}
}

func TestHelplessVMIsAvoidedForAWhile(t *testing.T) {
	var c Chooser
	c.Begin("neighbour")
	c.End("neighbour", true, now)
	helpers := []Helper{neighbour, far}
	if got, _ := c.Choose(own, helpers, Need{}, now); got.VM != "far" {
		t.Errorf("chose %q right after it could not help", got.VM)
	}
	if got, _ := c.Choose(own, helpers, Need{}, now.Add(time.Second)); got.VM != "neighbour" {
		t.Errorf("chose %q, want the neighbour again", got.VM)
	}
}

// Many VMs that lose their ways together, with a few requests each, must not all choose the
// same few helpers.
func TestManyVMsSpreadOverTheirHelpers(t *testing.T) {
	var helpers []Helper
	for i := range 28 {
		helpers = append(helpers, Helper{VM: fmt.Sprint("helper-", i), Domain: "a-2", Region: "a"})
	}
	load := make(map[string]int)
	const vms, requests = 14, 4
	for i := range vms {
		var c Chooser
		for range requests {
			h, _ := c.Choose(Site{VM: fmt.Sprint("vm-", i), Domain: "a-1", Region: "a"}, helpers, Need{}, now)
			c.Begin(h.VM)
			load[h.VM]++
		}
	}
	highest := 0
	for _, n := range load {
		highest = max(highest, n)
	}
	const most = 4 * vms * requests / 28
	if highest > most {
		t.Errorf("one of %d helpers serves %d of %d requests, want %d at most", len(helpers), highest, vms*requests, most)
	}
}

// A VM that was short of the processor for a moment, and is the only one with a way, must not be avoided for long.
func TestVMThatMayHelpSoonIsAvoidedForAShorterTime(t *testing.T) {
	const short = 100 * time.Millisecond
	var c Chooser
	c.Begin("neighbour")
	c.End("neighbour", true, now)
	c.Shorten("neighbour", short, now)
	helpers := []Helper{neighbour, cutOff}
	need := Need{Domains: 3}
	if wait := c.Wait(helpers, need, now); wait != short {
		t.Errorf("waits for %v, want %v", wait, short)
	}
	if _, found := c.Choose(own, helpers, need, now.Add(short-1)); found {
		t.Error("chosen while it is avoided")
	}
	if got, _ := c.Choose(own, helpers, need, now.Add(short)); got.VM != "neighbour" {
		t.Errorf("chose %q, want the neighbour", got.VM)
	}
	need.Tried = []string{"neighbour"}
	if wait := c.Wait(helpers, need, now); wait != 0 {
		t.Errorf("waits for %v though no helper will do", wait)
	}
}

// Several VMs are often cut together: a near one that is not known to have a way costs a try.
func TestVMThatServedOfLateIsPreferred(t *testing.T) {
	var c Chooser
	c.Begin("nearby")
	c.End("nearby", false, now)
	c.Served("nearby", now)
	helpers := []Helper{neighbour, nearby, far}
	if got, _ := c.Choose(own, helpers, Need{}, now); got.VM != "nearby" {
		t.Errorf("chose %q, want the one that served", got.VM)
	}
	if got, _ := c.Choose(own, helpers, Need{}, now.Add(avoidFor)); got.VM != "neighbour" {
		t.Errorf("chose %q a while later, want the nearest", got.VM)
	}
	for range unknownRequests {
		c.Begin("nearby")
	}
	if got, _ := c.Choose(own, helpers, Need{}, now); got.VM != "neighbour" {
		t.Errorf("chose %q, which has many requests, want the nearest", got.VM)
	}
	c.End("nearby", true, now)
	if got, _ := c.Choose(own, helpers, Need{}, now); got.VM != "neighbour" {
		t.Errorf("chose %q right after it could not help", got.VM)
	}
}
