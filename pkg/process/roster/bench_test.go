package roster_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/service/api"
)

// BenchmarkExchange times both sides of one exchange in a fleet whose views
// agree. It also reports the bytes that an instance sends in a second, and
// those that it would send if every message carried all members.
func BenchmarkExchange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(size, 16)
			f.run(6*time.Minute, nil)
			f.bytes = 0
			f.run(time.Minute, nil)
			idleRate := float64(f.bytes) / 60 / float64(size)
			allMembers := proto.Size(&api.Roster{Members: api.MembersToWire(f.nodes[0].core.Members())})
			client, server := f.nodes[0], f.nodes[1]
			b.ResetTimer()
			for b.Loop() {
				request := client.core.MessageFor(f.now, server.self.Name)
				client.core.Receive(f.now, server.core.Answer(f.now, request))
			}
			b.ReportMetric(idleRate, "B/s-quiet")
			b.ReportMetric(2*float64(allMembers), "B/s-vectors")
		})
	}
}
