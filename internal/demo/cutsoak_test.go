package demo

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/standin"
)

// cutSeedsVariable is the environment variable that holds the seeds of TestCutsOverlapRestarts,
// separated by commas.
const cutSeedsVariable = "HEATHERWOOD_CUT_SEEDS"

const (
	cutSoakLength   = 10 * time.Second
	cutSoakRecovery = 5 * time.Second // after the last fault, until every VM must serve as before
	cutSoakCheck    = 2 * time.Second
)

// While VMs lose and regain their ways to the servers, alone and together, and others are killed
// and restarted, no key runs twice, what is refused as not run has not run, and afterwards every
// VM serves its callers.
func TestCutsOverlapRestarts(t *testing.T) {
	seeds := []uint64{1}
	if text := os.Getenv(cutSeedsVariable); text != "" {
		seeds = nil
		for _, part := range strings.Split(text, ",") {
			seed, err := strconv.ParseUint(part, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playCutsAndRestarts(t, seed) })
	}
}

func playCutsAndRestarts(t *testing.T, seed uint64) {
	s := startCutSite(t)
	random := rand.New(rand.NewPCG(seed, 1))
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Add(2)
	go func() {
		defer faults.Done()
		s.cutAtRandom(stop, rand.New(rand.NewPCG(seed, 2)))
	}()
	go func() {
		defer faults.Done()
		s.restartAtRandom(t, stop, random)
	}()
	begin := time.Now()
	tries := s.sendUntil(begin.Add(cutSoakLength))
	close(stop)
	faults.Wait()
	s.setCut(standin.CutNone, len(s.links))
	tries = append(tries, s.sendUntil(time.Now().Add(cutSoakRecovery))...)
	last := s.sendUntil(time.Now().Add(cutSoakCheck))
	served, n := share(last, func(firstTry) bool { return true })
	t.Logf("%d requests; after the last fault %.3f of %d served", len(tries)+len(last), served, n)
	if failed := float64(n) * (1 - served); failed > 3 {
		t.Errorf("%.0f of %d first tries failed %v after the last fault", failed, n, cutSoakRecovery)
		logFailures(t, last, len(s.VMSettings))
	}
	checkRunsOnce(t, s.Demo, append(tries, last...))
}

// sendUntil sends requests to all VMs in turn until the given time.
func (s *cutSite) sendUntil(end time.Time) []firstTry {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var tries []firstTry
	for time.Now().Before(end) {
		s.requests++
		i := s.requests
		group.Add(1)
		go func() {
			defer group.Done()
			try := s.tryOnce(client, i)
			mutex.Lock()
			tries = append(tries, try)
			mutex.Unlock()
		}()
		time.Sleep(time.Second / cutLoad)
	}
	group.Wait()
	return tries
}

// cutAtRandom cuts the links of some VMs, in one way each, and repairs them again.
func (s *cutSite) cutAtRandom(stop chan struct{}, random *rand.Rand) {
	for !isClosed(stop) {
		for _, l := range s.links {
			switch random.IntN(4) {
			case 0:
				l.SetCut(standin.Cuts[random.IntN(len(standin.Cuts))])
			case 1, 2:
				l.SetCut(standin.CutNone)
			}
		}
		pause(stop, time.Duration(200+random.IntN(2500))*time.Millisecond)
	}
}

// restartAtRandom kills one VM at a time and starts it again.
func (s *cutSite) restartAtRandom(t *testing.T, stop chan struct{}, random *rand.Rand) {
	for !isClosed(stop) {
		vm := random.IntN(len(s.VMSettings))
		s.Kill(vm)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		if err := s.Restart(vm); err != nil {
			t.Errorf("restart %s: %v", s.VMSettings[vm].ID, err)
			return
		}
		pause(stop, time.Duration(300+random.IntN(2000))*time.Millisecond)
	}
}

func isClosed(stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

func pause(stop chan struct{}, d time.Duration) {
	select {
	case <-stop:
	case <-time.After(d):
	}
}
