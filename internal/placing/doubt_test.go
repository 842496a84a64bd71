package placing

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// doubtPool returns a pool of one server, which stays cold for three seconds after a start.
func doubtPool(policy Policy) (*Pool, ServerInfo) {
	policy.Service, policy.ColdTime = "web", 3*time.Second
	p := NewPool(policy, site(0))
	info := ServerInfo{ID: "s1", Address: "a", Start: 1, Slots: 9, Site: site(0)}
	p.Update([]ServerInfo{info})
	return p, info
}

// serve sends a request if one may be sent, and returns whether it was.
func serve(p *Pool, now time.Time) bool {
	choice := p.Choose(Request{Class: "page", Object: "o", Remaining: 10 * time.Second, Target: 10 * time.Second}, now)
	if choice.Server == nil {
		return false
	}
	p.Begin(choice.Server, now)
	p.End(choice.Server, Outcome{Class: "page", Result: routing.ResultOK}, now)
	return true
}

// sentWithin counts the requests that a VM sends in a time if callers want one each 10 ms.
func sentWithin(p *Pool, from time.Time, length time.Duration) int {
	sent := 0
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		if serve(p, from.Add(at)) {
			sent++
		}
	}
	return sent
}

func TestServerThatMayHaveStartedAgainGetsTheRateOfAColdOne(t *testing.T) {
	tests := map[string]struct {
		event func(*Pool, ServerInfo, time.Time)
		most  int // requests in the second that follows
		least int
	}{
		"nothing happened":                 {event: func(*Pool, ServerInfo, time.Time) {}, most: 100, least: 100},
		"contact lost":                     {event: func(p *Pool, _ ServerInfo, now time.Time) { p.LoseContact("a", now) }, most: 1, least: 1},
		"contact with another server lost": {event: func(p *Pool, _ ServerInfo, now time.Time) { p.LoseContact("b", now) }, most: 100, least: 100},
		"VM stood still":                   {event: func(p *Pool, _ ServerInfo, now time.Time) { p.DoubtAll(now) }, most: 1, least: 1},
		"VM stood still, connection open": {event: func(p *Pool, _ ServerInfo, now time.Time) {
			p.DoubtAll(now)
			p.KeepContacts([]string{"a"}, now)
		}, most: 100, least: 100},
		"contact lost after a connection was found open": {event: func(p *Pool, _ ServerInfo, now time.Time) {
			p.DoubtAll(now.Add(-time.Second))
			p.LoseContact("a", now)
			p.KeepContacts([]string{"a"}, now.Add(-time.Second))
		}, most: 1, least: 1},
		"says that it is warm": {event: func(p *Pool, _ ServerInfo, now time.Time) {
			p.LoseContact("a", now)
			p.TakeAnswer(p.Servers[0], now, 0, now)
		}, most: 100, least: 100},
		"says that it is cold": {event: func(p *Pool, _ ServerInfo, now time.Time) {
			p.LoseContact("a", now)
			p.TakeAnswer(p.Servers[0], now, 3*time.Second, now)
		}, most: 1, least: 1},
		"said that it is warm before contact was lost again": {event: func(p *Pool, _ ServerInfo, now time.Time) {
			p.LoseContact("a", now.Add(-time.Second))
			p.LoseContact("a", now)
			p.TakeAnswer(p.Servers[0], now.Add(-time.Second), 0, now)
		}, most: 1, least: 1},
		"its start is announced while it is paced": {event: func(p *Pool, info ServerInfo, now time.Time) {
			p.LoseContact("a", now)
			serve(p, now)
			info.Start, info.ColdUntil = 2, now.Add(3*time.Second)
			p.Update([]ServerInfo{info})
		}, most: 0, least: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, info := doubtPool(Policy{ColdRate: 1 / 1.02})
			serve(p, start)
			now := start.Add(5 * time.Second)
			test.event(p, info, now)
			if sent := sentWithin(p, now, time.Second); sent < test.least || sent > test.most {
				t.Errorf("%d requests in a second, want %d to %d", sent, test.least, test.most)
			}
		})
	}
}

func TestDoubtOfAServerLastsUntilItIsWarmInAnyCase(t *testing.T) {
	const cold = 3 * time.Second // after the last moment at which the server may have started
	tests := map[string]struct {
		event func(*Pool, ServerInfo, time.Time)
	}{
		"VM stood still twice": {event: func(p *Pool, _ ServerInfo, now time.Time) {
			p.DoubtAll(now.Add(-2 * time.Second))
			p.DoubtAll(now)
		}},
		"VM stood still after an answer": {event: func(p *Pool, _ ServerInfo, now time.Time) {
			p.LoseContact("a", now.Add(-3*time.Second))
			serve(p, now.Add(-2*time.Second))
			p.DoubtAll(now)
		}},
		"contact lost and answered, VM stood still, connection open": {event: func(p *Pool, _ ServerInfo, now time.Time) {
			p.LoseContact("a", now.Add(-time.Second))
			serve(p, now)
			p.DoubtAll(now)
			p.KeepContacts([]string{"a"}, now)
		}},
		"an earlier cold time is told anew": {event: func(p *Pool, info ServerInfo, now time.Time) {
			info.ColdUntil = now.Add(time.Second)
			p.Update([]ServerInfo{info})
			p.LoseContact("a", now)
			info.ColdUntil = info.ColdUntil.Add(50 * time.Millisecond)
			info.Word = roster.Word{Source: roster.FromVM, At: now.Add(time.Millisecond)}
			p.Update([]ServerInfo{info})
		}},
		"an earlier start is told late": {event: func(p *Pool, info ServerInfo, now time.Time) {
			p.LoseContact("a", now)
			info.Start, info.ColdUntil = 2, now.Add(time.Second)
			info.Word = roster.Word{Source: roster.FromVM, At: now.Add(time.Millisecond)}
			p.Update([]ServerInfo{info})
		}},
		"it was silent meanwhile": {event: func(p *Pool, info ServerInfo, now time.Time) {
			p.LoseContact("a", now)
			p.Update(nil)
			p.Update([]ServerInfo{info})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, info := doubtPool(Policy{ColdRate: 1 / 1.02})
			serve(p, start)
			now := start.Add(10 * time.Second)
			test.event(p, info, now)
			if sent := sentWithin(p, now, cold); sent > 3 {
				t.Errorf("%d requests in %v, want at most 3", sent, cold)
			}
		})
	}
}

func TestDoubtEndsOnceTheServerIsWarmInAnyCase(t *testing.T) {
	p, _ := doubtPool(Policy{ColdRate: 1 / 1.02})
	p.LoseContact("a", start)
	if !serve(p, start.Add(10*time.Second)) {
		t.Fatal("nothing was sent after ten seconds")
	}
	answered := start.Add(10 * time.Second)
	if sent := sentWithin(p, answered.Add(10*time.Millisecond), 2900*time.Millisecond); sent > 3 {
		t.Errorf("%d requests in the cold time after its first answer, want at most 3", sent)
	}
	if sent := sentWithin(p, answered.Add(3*time.Second), 100*time.Millisecond); sent != 10 {
		t.Errorf("%d of 10 requests after it", sent)
	}
}

func TestManyVMsStaggerRequestsToAServerThatMayHaveStartedAgain(t *testing.T) {
	const vms, rate = 84, 10.1
	arrivals := make(map[int]int) // by tenth of a second
	for i := range vms {
		p, _ := doubtPool(Policy{ColdRate: rate / vms * 0.4, ColdEntries: vms, ColdEntryIndex: i, Entries: vms})
		serve(p, start)
		p.LoseContact("a", start.Add(time.Second))
		for at := range 50 {
			if serve(p, start.Add(time.Second+time.Duration(at)*100*time.Millisecond)) {
				arrivals[at]++
			}
		}
	}
	const coldTenths = 30
	for first := range coldTenths - 9 {
		sum := 0
		for at := first; at < first+10; at++ {
			sum += arrivals[at]
		}
		if float64(sum) > rate {
			t.Errorf("%d requests in the second from %d00 ms on, %v allowed", sum, first, rate)
		}
	}
}

func TestServersAreAskedOnlyAsFarAsRequestsWantThem(t *testing.T) {
	p, _ := doubtPool(Policy{ColdRate: 1, Entries: 10, ColdEntryIndex: 9})
	p.LoseContact("a", start)
	if asked := p.Questions(16, start.Add(time.Second)); len(asked) != 0 {
		t.Error("asked though no request wants it")
	}
	serve(p, start)
	if asked := p.Questions(16, start); len(asked) != 0 {
		t.Error("the last of ten VMs asks at once")
	}
	if asked := p.Questions(0, start.Add(time.Second)); len(asked) != 0 {
		t.Error("more servers asked than allowed")
	}
	count := 0
	for i := range 100 {
		now := start.Add(time.Second + time.Duration(i)*50*time.Millisecond)
		p.Choose(Request{Class: "page", Remaining: time.Second, Target: time.Second}, now)
		count += len(p.Questions(16, now))
		p.LoseContact("a", now) // as a question that is refused does
	}
	if count < 3 || count > 6 {
		t.Errorf("asked %d times in 5 s without an answer, want 3 to 6", count)
	}
	if cold, word := p.Servers[0].Cold(start.Add(6 * time.Second)); !cold || word.Source != roster.FromConnection {
		t.Errorf("counts as cold: %v, on the word of %q", cold, word.Source)
	}
}

func TestEntryThatDoesNotKnowItsShareSendsToWarmServersOnly(t *testing.T) {
	tests := map[string]struct {
		rate float64 // of a cold server
		cold bool
		most int
	}{
		"warm":                     {rate: 1 / 1.02, most: 100},
		"cold":                     {rate: 1 / 1.02, cold: true, most: 0},
		"cold, rate without limit": {cold: true, most: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, info := doubtPool(Policy{ColdRate: test.rate, ColdHeld: true})
			if test.cold {
				info.ColdUntil = start.Add(3 * time.Second)
				p.Update([]ServerInfo{info})
			}
			if sent := sentWithin(p, start, time.Second); sent != test.most {
				t.Errorf("%d requests in a second, want %d", sent, test.most)
			}
		})
	}
}

// VMs that start together come to know their share of the rate at the same moment.
func TestVMsThatWaitedForTheirShareDoNotSendAllAtOnce(t *testing.T) {
	const vms, rate = 24, 10.1
	sent := 0
	for i := range vms {
		p, info := doubtPool(Policy{ColdHeld: true})
		info.ColdUntil = start.Add(10 * time.Second)
		p.Update([]ServerInfo{info})
		p.Policy.ColdRate, p.Policy.ColdEntries, p.Policy.ColdEntryIndex = rate/vms*0.4, vms, i
		if serve(p, start) {
			t.Fatal("sent to a cold server before its share was known")
		}
		known := start.Add(6 * time.Second)
		p.Policy.ColdHeld = false
		sent += sentWithin(p, known, time.Second)
	}
	if float64(sent) > rate {
		t.Errorf("%d requests in the first second, %v allowed", sent, rate)
	}
}

func TestVMThatHasJustStartedSendsOneRequestAtATime(t *testing.T) {
	tests := map[string]func(p *Pool){
		"asked early":     func(p *Pool) { p.AskEarly(start) },
		"asked when used": func(*Pool) {},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			p, info := doubtPool(Policy{ColdRate: 1 / 1.02, InformedAt: start.Add(3 * time.Second)})
			info.CanAsk = true
			p.Update([]ServerInfo{info})
			prepare(p)
			choose := func(now time.Time) *Server {
				return p.Choose(Request{Class: "page", Object: "o", Remaining: 10 * time.Second, Target: 10 * time.Second}, now).Server
			}
			s := choose(start)
			if s == nil {
				t.Fatal("nothing may be sent before the server has answered")
			}
			p.Begin(s, start)
			if choose(start) != nil {
				t.Error("two requests at a time before the server has said that it is warm")
			}
			if asked := p.Questions(16, start); len(asked) != 1 || !p.TakeAnswer(s, start, 0, start) || choose(start) == nil {
				t.Errorf("%d servers asked; none may be sent to after the answer", len(asked))
			}
			p.LoseContact("a", start.Add(time.Second))
			if sent := sentWithin(p, start.Add(time.Second), time.Second); sent > 1 {
				t.Errorf("%d requests in the second after contact was lost, want at most 1", sent)
			}
		})
	}
}

func TestServerToWhichNoConnectionWasOpenIsDoubtedWhereRequestsAreOften(t *testing.T) {
	const share = 1250 * time.Millisecond // between requests to a cold server
	tests := map[string]struct {
		before []time.Duration // requests, by their distance from the one on the new connection
		after  []time.Duration // the same
		rate   float64
		mute   bool // it cannot be asked
		want   bool
	}{
		"requests come often":                    {before: []time.Duration{200 * time.Millisecond}, rate: 1 / share.Seconds(), want: true},
		"the last one was long ago":              {before: []time.Duration{20 * time.Second}, rate: 1 / share.Seconds()},
		"it is the first one ever":               {rate: 1 / share.Seconds()},
		"the last one was long ago, next soon":   {before: []time.Duration{20 * time.Second}, after: []time.Duration{time.Second}, rate: 1 / share.Seconds(), want: true},
		"the last one was long ago, next late":   {before: []time.Duration{20 * time.Second}, after: []time.Duration{2 * time.Second}, rate: 1 / share.Seconds()},
		"next after the cold time, if any":       {after: []time.Duration{4 * time.Second, 4*time.Second + time.Millisecond}, rate: 1 / share.Seconds()},
		"cold servers have no rate":              {before: []time.Duration{200 * time.Millisecond}},
		"it cannot say whether it is cold":       {before: []time.Duration{200 * time.Millisecond}, rate: 1 / share.Seconds(), mute: true},
		"this VM's share of the rate is smaller": {before: []time.Duration{5 * time.Second}, rate: 0.1, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, info := doubtPool(Policy{ColdRate: test.rate})
			info.CanAsk = !test.mute
			p.Update([]ServerInfo{info})
			now := start.Add(time.Minute)
			for _, d := range test.before {
				serve(p, now.Add(-d))
			}
			serve(p, now)
			p.RenewContact("a", now)
			for _, d := range test.after {
				now = start.Add(time.Minute + d)
				serve(p, now)
			}
			if asked := p.Questions(2, now); (len(asked) == 1) != test.want {
				t.Errorf("%d questions, want one: %v", len(asked), test.want)
			}
			p.Servers[0].running++ // one that has no answer yet
			if sent := sentWithin(p, now.Add(time.Millisecond), 500*time.Millisecond); (sent == 0) != test.want {
				t.Errorf("%d requests beside another one in half a second, want none: %v", sent, test.want)
			}
			p.Servers[0].running--
			if sent := sentWithin(p, now.Add(time.Second), 500*time.Millisecond); sent == 0 {
				t.Error("no request is sent after another one has ended")
			}
		})
	}
}

func TestServerThatDoesNotSayWhetherItIsColdIsNotPacedAtEachNewConnection(t *testing.T) {
	p, info := doubtPool(Policy{ColdRate: 1 / 1.02})
	info.CanAsk = true
	p.Update([]ServerInfo{info})
	doubts, last := 0, time.Time{}
	for at := time.Duration(0); at < maxDoubt; at += 100 * time.Millisecond {
		now := start.Add(at)
		if serve(p, now) {
			p.RenewContact("a", now)
		}
		if asked := p.Servers[0].askedRenewed; asked != last {
			doubts, last = doubts+1, asked
		}
	}
	if doubts != 1 {
		t.Errorf("doubted %d times, want once", doubts)
	}
	p.TakeAnswer(p.Servers[0], start, 0, start) // too late to count
	now := start.Add(maxDoubt + time.Second)
	serve(p, now)
	serve(p, now)
	if p.RenewContact("a", now) == nil {
		t.Error("not doubted again after maxDoubt")
	}
}
