package node

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// logSilence logs that a silent connection to another VM was replaced.
func (n *Node) logSilence(peer string, s peerrpc.Silence) {
	n.Metrics.SilentLinks.Inc()
	n.Metrics.SilentSeconds.Update(s.Quiet.Seconds())
	n.LogDecision(reducer.Decision{Code: reducer.CodeLinkReplaced, Outcome: "replaced", Fields: []reducer.Field{
		{Name: "peer", Value: peer},
		{Name: "quiet", Value: s.Quiet.Round(time.Millisecond)},
		{Name: "age", Value: s.Age.Round(time.Millisecond)},
		{Name: "unanswered", Value: int64(s.Unanswered)},
		{Name: "bytes", Value: s.Bytes},
	}})
}
