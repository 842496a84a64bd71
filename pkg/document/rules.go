package document

import (
	"net"
	"slices"
	"strings"
	"time"
)

// RankIndex is the position of a rank by descending worth; 0 is the most urgent.
type RankIndex int

// Order returns the ranks by descending worth; ranks of equal worth keep their
// order in the section.
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

// Match returns the rule for a request, the one with the longest matching path
// prefix; at equal length an exact method wins over "*".
func (s *Service) Match(method, path string) (Rule, bool) {
	bestIndex := -1
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
			bestIndex, bestScore = i, score
		}
	}
	if bestIndex < 0 {
		return Rule{}, false
	}
	return s.Rules[bestIndex], true
}

// prefixMatches compares whole path elements: "/pay" matches "/pay" and "/pay/1"
// but not "/payments".
func prefixMatches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// ByHost returns the service that a Host header names, or nil; a port is ignored.
func (s Services) ByHost(host string) *Service {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for i := range s.Services {
		for _, serviceHost := range s.Services[i].Hosts {
			if strings.EqualFold(serviceHost, host) {
				return &s.Services[i]
			}
		}
	}
	return nil
}

// PlacedByEntries reports whether entries choose the servers of any service.
func (s Services) PlacedByEntries() bool {
	return slices.ContainsFunc(s.Services, func(service Service) bool { return service.Placing == PlacingEntry })
}

// ByName returns the service of the name, or nil.
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

// OneWay returns the one-way latency between two regions: 0 within a region and
// defaultOneWay for two regions without a Latency.
func (p Places) OneWay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	for _, l := range p.Latencies {
		if (l.From == from && l.To == to) || (l.From == to && l.To == from) {
			return l.OneWay.Std()
		}
	}
	return defaultOneWay
}

const defaultOneWay = 200 * time.Millisecond // long, so that the regions count as far apart

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

// Stopped reports whether a planned stop of the target is active at some time
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
