package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Names of HTTP headers that heatherwood reads or sets.
const (
	HeaderRun            = "Heatherwood-Run"
	HeaderRequest        = "Heatherwood-Request"
	HeaderService        = "Heatherwood-Service"
	HeaderTimeout        = "Heatherwood-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderObject         = "Heatherwood-Object"
	HeaderLeaving        = "Heatherwood-Leaving"  // of a server's answer: it will stop
	HeaderCustomer       = "Heatherwood-Customer" // to servers: customer of the request
	HeaderLimit          = "Heatherwood-Limit"    // of a server's answer: requests a second that it takes from all VMs together

	// Between VMs only, of a request that one VM passes on to another, and of its answer.
	HeaderDetourFrom     = "Heatherwood-Detour-From"     // VM that passes the request on
	HeaderDetourRuns     = "Heatherwood-Detour-Runs"     // sends by that VM that may have run
	HeaderDetourDocument = "Heatherwood-Detour-Document" // log index of its document
	HeaderDetourAnswer   = "Heatherwood-Detour-Answer"   // whose answer it is: see DetourAnswer
	HeaderDetourCustomer = "Heatherwood-Detour-Customer" // customer of the request; absent without one
	HeaderDetourKey      = "Heatherwood-Detour-Key"      // digest of that customer's key, never the key itself
)

// Values of HeaderDetourAnswer.
const (
	DetourAnswerServer = "server" // of a server, or the stored answer of one
	DetourAnswerVM     = "vm"     // a problem document of the VM that took the request over
)

// Problem is a problem document, the body of a refusal.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason string `json:"reason"`
	Run    string `json:"run,omitempty"`

	RetryAfter           time.Duration `json:"-"` // 0 for no Retry-After header
	FractionalRetryAfter bool          `json:"-"` // Retry-After has a fraction of a second
}

// retryAfter returns the value of Retry-After in seconds.
func (p Problem) retryAfter() string {
	if p.FractionalRetryAfter {
		return strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds())))
}

// Write answers the request with the problem; an empty Type or Title gets its
// default.
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
