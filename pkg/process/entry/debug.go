package entry

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

func debugPacket(now time.Duration, s segment.Segment, d forwarding.Decision, data []byte) {
	text := string(data)
	if i := strings.IndexByte(text, '\r'); i >= 0 { text = text[:i] }
	if len(text) > 60 { text = text[:60] }
	fmt.Fprintf(os.Stdout, "PKT %v %v>%v f=%02x seq=%x ack=%x mark=%x len=%d %v %s %q\n", now, s.Flow.Caller, s.Flow.Route, s.Flags, s.Sequence, s.Acknowledged, s.Mark, s.Length, d.Reason, d.Server, text)
}
