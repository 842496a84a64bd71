package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	contactTime   = 4 * time.Second // contact_s of the settings
	crashedEnough = 3               // crashes after which the request is known
	mostRetries   = 3               // of it that may reach upstreams later
	cartPath      = "/browse/cart"
	otherPath     = "/browse/other"
)

// Variants for comparison, on if not empty.
const (
	envOtherPath    = "OTHER_PATH"    // the harmless requests have another path
	envHarmfulFirst = "HARMFUL_FIRST" // the harmful request comes before the harmless ones
)

// playCrash has one caller send a request again and again that crashes each upstream that runs it,
// beside callers whose requests for the same path do no harm.
func playCrash(s *site, trouble bool) ([]string, error) {
	if err := s.order(http.MethodPut, "/api/config", []byte(twoServices)); err != nil {
		return nil, err
	}
	const harmful = "key-of-a"
	path := cartPath
	if os.Getenv(envOtherPath) != "" {
		path = otherPath
	}
	for i := range 4 * zoneCount {
		u, err := s.startUpstream(fmt.Sprintf("i-catalog-%d", i), "catalog", i%zoneCount)
		if err != nil {
			return nil, err
		}
		if trouble {
			u.crashes = func(r *http.Request) bool { return r.Header.Get("Authorization") == "Token "+harmful }
		}
	}
	if _, err := s.startUpstream("i-payments-0", "payments", 0); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	others, one := s.newClient("b"), s.newClient("a")
	others.key, one.key = "key-of-b", harmful
	startOne := func() func() {
		return repeat(time.Second, func(int) { one.send(http.MethodGet, cartPath, "7") })
	}
	startOthers := func() func() {
		return repeat(50*time.Millisecond, func(i int) { others.send(http.MethodGet, path, fmt.Sprint(i%50)) })
	}
	first, second := startOthers, startOne
	if os.Getenv(envHarmfulFirst) != "" {
		first, second = startOne, startOthers
	}
	stopFirst := first()
	time.Sleep(3 * time.Second)
	stopSecond := second()
	time.Sleep(40 * time.Second)
	stopFirst()
	stopSecond()
	s.record.note("%s", others.summary())
	s.record.note("%s", one.summary())
	return judgeCrashes(s, one.name), nil
}

// judgeCrashes returns the retries of the request that reached upstreams later than they may.
func judgeCrashes(s *site, name string) []string {
	s.mutex.Lock()
	upstreams := append([]*upstream(nil), s.upstreams...)
	s.mutex.Unlock()
	var crashes []time.Time
	for _, u := range upstreams {
		u.mutex.Lock()
		if !u.crashedAt.IsZero() {
			crashes = append(crashes, u.crashedAt)
		}
		u.mutex.Unlock()
	}
	s.record.note("%d upstreams crashed", len(crashes))
	if len(crashes) < crashedEnough {
		return nil
	}
	sortTimes(crashes)
	from := crashes[crashedEnough-1].Add(contactTime)
	late := make(map[string]string)
	for _, u := range upstreams {
		for _, run := range u.runsOf() {
			if isOf(run.id, name) && run.at.After(from) {
				late[run.id] = u.id
			}
		}
	}
	if len(late) <= mostRetries {
		return nil
	}
	var broken []string
	for id, server := range late {
		broken = append(broken, fmt.Sprintf("BUDGET: %s reached %s later than %v after the third crash", id, server, contactTime))
	}
	return broken
}
