package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// BenchmarkAsk measures a whole decision: the ask with its queue entry and grant,
// and the end of the grant.
func BenchmarkAsk(b *testing.B) {
	for _, servers := range []int{20, 500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			pool := NewPool(policy(), Location{VM: "a", Peer: "a", Domain: "a"}, &quarantine.Table{}, 0)
			for i := range servers {
				pool.Announce(routing.Announcement{ID: fmt.Sprintf("s%03d", i), Address: "s", Service: "web", Slots: 5, State: routing.StateServing}, start)
			}
			b.ReportAllocs()
			id := uint64(0)
			for b.Loop() {
				id++
				for _, effect := range pool.RequestSlot(SlotRequest{ID: id, From: "a", Service: "web", Remaining: target, Fingerprint: id % 1000}, start) {
					if reply, found := effect.(Reply); found && reply.Answer.Grant != nil {
						pool.Finish(Finish{Service: "web", Ticket: reply.Answer.Grant.Ticket, Result: routing.ResultOK, Latency: time.Millisecond}, start)
					}
				}
			}
		})
	}
}
