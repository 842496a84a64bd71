package document

import (
	"net"
	"slices"
	"strings"
	"time"
)

// RankIndex is the position of a rank by falling worth; 0 is the most urgent.
type RankIndex int

// Order returns the ranks by falling worth; equal worths keep their order in
// the section.
func (r Ranks) Order() []Rank {
	order := slices.Clone(r.Ranks)
	slices.SortStableFunc(order, func(a, b Rank) int {
		switch {
		case a.Worth > b.Worth:
			return -1
		case a.Worth < b.Worth:
			return 1
		default:
			return 0
		}
	})
	return order
}

// Match finds the rule for a request: the longest path prefix that fits, an
// exact method before "*".
func (s *Service) Match(method, path string) (Rule, bool) {
	best := -1
	bestScore := -1
	for i, rule := range s.Rules {
		if rule.Method != "*" && rule.Method != method {
			continue
		}
		if !prefixMatches(rule.Path, path) {
			continue
		}
		score := 2 * len(rule.Path)
		if rule.Method != "*" {
			score++
		}
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Rule{}, false
	}
	return s.Rules[best], true
}

// prefixMatches compares whole path elements: "/pay" fits "/pay" and "/pay/1"
// but not "/payments".
func prefixMatches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// ByHost finds the service that a Host header names; a port is ignored.
func (s Services) ByHost(host string) *Service {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for i := range s.Services {
		for _, own := range s.Services[i].Hosts {
			if strings.EqualFold(own, host) {
				return &s.Services[i]
			}
		}
	}
	return nil
}

// ByName finds a service by its name.
func (s Services) ByName(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// AllowedIn reports whether the service may run in the region.
func (s *Service) AllowedIn(region string) bool {
	return len(s.Regions) == 0 || slices.Contains(s.Regions, region)
}

// RegionOf returns the region of a failure domain, or "" when it is unknown.
func (p Places) RegionOf(domain string) string {
	for _, d := range p.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// OneWay returns the one-way delay between two regions; regions without an
// entry count as far away.
func (p Places) OneWay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	for _, l := range p.Latencies {
		if (l.From == from && l.To == to) || (l.From == to && l.To == from) {
			return l.OneWay.Std()
		}
	}
	return unknownOneWay
}

const unknownOneWay = 200 * time.Millisecond

// Limit returns the limit of the link between two regions in bits per second,
// and false when there is none.
func (p Places) Limit(from, to string) (BitsRate, bool) {
	for _, l := range p.Links {
		if (l.From == from && l.To == to) || (l.From == to && l.To == from) {
			return l.Limit, true
		}
	}
	return 0, false
}

// Stopped reports whether a planned stop covers the target during the time
// from now to now plus ahead.
func (s Stops) Stopped(kind StopKind, what string, now time.Time, ahead time.Duration) bool {
	for _, stop := range s.Stops {
		if stop.Kind != kind || stop.What != what {
			continue
		}
		if stop.Active(now) || (now.Before(stop.Begin) && !now.Add(ahead).Before(stop.Begin)) {
			return true
		}
	}
	return false
}
