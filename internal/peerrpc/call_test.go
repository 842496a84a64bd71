package peerrpc

import (
	"context"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// A call to a peer that takes no bytes lasted until the bulk before it was given up.
func TestCallEndsWithItsContextBehindBulk(t *testing.T) {
	const (
		bulkBytes = 32 << 20 // more than the buffers of a connection hold
		timeout   = 200 * time.Millisecond
		limit     = time.Second
	)
	address := serveSilently(t, false)
	network := NewNetwork([]byte("key"))
	defer network.Close()
	network.Send(address, reducer.Message{Quorum: &quorum.Message{Entries: []quorum.Entry{{Data: make([]byte, bulkBytes)}}}})
	time.Sleep(300 * time.Millisecond) // until the bulk is being written
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	startedAt := time.Now()
	err := network.Call(ctx, address, "Propose", &ProposeArgs{}, &reducer.ProposalResult{})
	if took := time.Since(startedAt); err == nil || took > limit {
		t.Errorf("returned %v after %v, want an error after %v", err, took, timeout)
	}
}
