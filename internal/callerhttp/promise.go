package callerhttp

import (
	"slices"
	"strings"

	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
)

// decider tells whose decision an answer is.
type decider string

const (
	decidedHere     decider = "vm"       // this VM refused the request
	decidedByVM     decider = "other-vm" // the VM that the request was passed on to
	decidedByServer decider = "server"   // a backend server
)

// endedSend is a send of a request to a server or another VM that has ended.
type endedSend struct {
	receiver string
	evidence relay.Evidence
}

// noteSend keeps the evidence of a send for the log of the answer.
func (in *inbound) noteSend(receiver string, evidence relay.Evidence) {
	in.sends = append(in.sends, endedSend{receiver: receiver, evidence: evidence})
}

// weakestEvidence returns the evidence of the send that most likely ran the request, or
// relay.EvidenceUnsent without any.
func (in *inbound) weakestEvidence() relay.Evidence {
	weakest := relay.EvidenceUnsent
	for _, s := range in.sends {
		if slices.Index(relay.EvidenceByStrength, s.evidence) > slices.Index(relay.EvidenceByStrength, weakest) {
			weakest = s.evidence
		}
	}
	return weakest
}

// promiseFields returns what tells on whose word, and on what evidence, the caller takes its
// request for not run; none for other answers.
func (in *inbound) promiseFields() []reducer.Field {
	if !relay.StatusMeansNotRun(in.status) {
		return nil
	}
	evidence := in.weakestEvidence()
	in.relay.Node.Metrics.CountPromise(in.status, string(in.decided), string(evidence))
	var sends []string
	for _, s := range in.sends {
		sends = append(sends, s.receiver+":"+string(s.evidence))
	}
	return []reducer.Field{
		{Name: "decided", Value: string(in.decided)},
		{Name: "evidence", Value: string(evidence)},
		{Name: "sends", Value: strings.Join(sends, " ")},
	}
}
