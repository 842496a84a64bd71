package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Header names that the system uses towards callers.
const (
	HeaderRun            = "Heatherwood-Run"
	HeaderRequest        = "Heatherwood-Request"
	HeaderService        = "Heatherwood-Service"
	HeaderTimeout        = "Heatherwood-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderObject         = "Heatherwood-Object"
)

// Problem is the body of a refusal.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason string `json:"reason"`
	Run    string `json:"run,omitempty"`

	RetryAfter           time.Duration `json:"-"`
	FractionalRetryAfter bool          `json:"-"` // Retry-After may have a fraction
}

func (p Problem) retryAfter() string {
	if p.FractionalRetryAfter {
		return strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds())))
}

// Write answers with the problem.
func Write(w http.ResponseWriter, p Problem) {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	if p.Run != "" {
		header.Set(HeaderRun, p.Run)
	}
	if p.RetryAfter > 0 {
		header.Set("Retry-After", p.retryAfter())
	}
	w.WriteHeader(p.Status)
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	w.Write(append(body, '\n'))
}
