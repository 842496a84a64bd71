package demo

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/standin"
)

// A request with a long body went on to the next VM though a part of its body was gone.
func TestLongBodiesAreRunWholeWhileHelpersRefuse(t *testing.T) {
	const (
		size    = 160 << 10 // beyond what is kept for another send
		rounds  = 5
		cutTime = 700 * time.Millisecond
		workers = 8
	)
	tests := map[string]struct {
		cut    standin.Cut
		length bool // the body has a length
	}{
		"in chunks, links hang":     {cut: standin.CutHang},
		"in chunks, links reset":    {cut: standin.CutReset},
		"with a length, links hang": {cut: standin.CutHang, length: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := passedOnSite(t)
			text := bytes.Repeat([]byte("0123456789"), size/10)
			var group sync.WaitGroup
			var mutex sync.Mutex
			done := make(chan struct{})
			counts := make(map[int]int)
			for worker := range workers {
				group.Add(1)
				go func() {
					defer group.Done()
					for i := 0; ; i++ {
						select {
						case <-done:
							return
						default:
						}
						status, answer, err := s.postBody(fmt.Sprintf("/draw/%d-%d", worker, i), text, test.length)
						mutex.Lock()
						counts[status]++
						mutex.Unlock()
						// An answer that breaks off is none.
						if status == http.StatusOK && err == nil && !bytes.Contains(answer, text) {
							t.Errorf("a request was answered that ran with another body: %d bytes of answer", len(answer))
						}
						if status == http.StatusOK && err != nil {
							t.Logf("an answer broke off after %d bytes: %v", len(answer), err)
						}
					}
				}()
			}
			for range rounds {
				for _, l := range s.links[1 : len(s.links)-1] {
					l.SetCut(test.cut)
				}
				time.Sleep(cutTime)
				for _, l := range s.links[1:] {
					l.SetCut(standin.CutNone)
				}
				time.Sleep(cutTime)
			}
			close(done)
			group.Wait()
			t.Logf("answers by status: %v", counts)
			if counts[http.StatusOK] == 0 {
				t.Error("no request was served")
			}
		})
	}
}

// postBody sends a body through the first VM, and returns the status and the body of the
// answer, which repeats that of the request.
func (s *cutSite) postBody(path string, text []byte, length bool) (status int, answer []byte, err error) {
	var body io.Reader = bytes.NewReader(text)
	if !length {
		body = struct{ io.Reader }{body}
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.VMSettings[0].Entry+path, body)
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Heatherwood-Service", "proofs")
	request.Header.Set("Heatherwood-Timeout", cutTimeLimit)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
