package placing

import (
	"math"
	"slices"
	"time"
)

// mix counts what this entry sends to the service, by class. Entries get a similar mix of requests,
// so that it also tells what the requests of other entries at a server are.
type mix struct {
	classes []classSends
	meanAt  time.Time // of mean
	mean    float64   // seconds
}

// classSends counts the requests of one class.
type classSends struct {
	class   string
	target  time.Duration
	firstAt time.Time
	at      time.Time
	count   float64 // decays with mixTime
}

// mixTime is how long a send counts on average. At the 2 requests/s of a class that entries of
// usual sites get, the rate is known to a fifth after it.
const mixTime = 10 * time.Second

// minClassSends is the decayed count below which a class is forgotten, half a minute after its only send.
const minClassSends = 0.05

func (c *classSends) countAt(now time.Time) float64 {
	return c.count * math.Exp(-now.Sub(c.at).Seconds()/mixTime.Seconds())
}

// rate returns requests per second.
func (c *classSends) rate(now time.Time) float64 {
	counted := mixTime.Seconds() * (1 - math.Exp(-now.Sub(c.firstAt).Seconds()/mixTime.Seconds()))
	return c.countAt(now) / max(1, counted) // the rate of a class that came up just now is not known yet
}

func (m *mix) find(class string) *classSends {
	for i := range m.classes {
		if m.classes[i].class == class {
			return &m.classes[i]
		}
	}
	return nil
}

func (m *mix) add(run Run, now time.Time) {
	c := m.find(run.Class)
	if c == nil {
		m.classes = slices.DeleteFunc(m.classes, func(c classSends) bool { return c.countAt(now) < minClassSends })
		m.classes = append(m.classes, classSends{class: run.Class, firstAt: now})
		c = &m.classes[len(m.classes)-1]
	}
	c.count, c.at, c.target = c.countAt(now)+1, now, run.Target
	m.meanAt = time.Time{}
}

// meanWarmRun returns the mean warm run of what this entry sends to the service, in seconds; that of
// the class which asks if nothing else was sent.
func (p *Pool) meanWarmRun(usual runTimes, req Request, now time.Time) float64 {
	m := &p.mix
	switch {
	case len(m.classes) == 0, len(m.classes) == 1 && m.classes[0].class == req.Class:
		return usual.warm
	case m.meanAt.Equal(now):
		return m.mean
	}
	sum, count := 0.0, 0.0
	for i := range m.classes {
		c := &m.classes[i]
		n := c.countAt(now)
		sum += n * usualRunTimes(p.classes, c.class, c.target).warm
		count += n
	}
	m.meanAt, m.mean = now, sum/count
	return m.mean
}

// queuedRun returns after how long, on average, a slot of a full server becomes free for one more of
// those who wait there, in seconds and if all runs are warm. Runs of this entry are known by class;
// the others count as a mix like that of this entry. Slots become free at the sum of their rates.
func (p *Pool) queuedRun(s *Server, usual runTimes, req Request, load float64, now time.Time) float64 {
	mean := p.meanWarmRun(usual, req, now)
	own, rates := 0.0, 0.0
	for _, runs := range s.runs {
		if warm := usualRunTimes(p.classes, runs.class, runs.target).warm; warm != mean {
			own += float64(runs.count)
			rates += float64(runs.count) / warm
		}
	}
	if own == 0 {
		return mean
	}
	total := max(load, own)
	return total / (rates + (total-own)/mean)
}
