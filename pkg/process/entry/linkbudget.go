package entry

import (
	"sync"
	"time"
)

const (
	// servingShare is the share of the link's bandwidth for serving the replica to
	// other instances. The rest is left for callers' packets, calls to the store and
	// messages.
	servingShare = 0.5
	// maxServingDelay is for how long the share may be used up in advance until
	// fetches are refused.
	maxServingDelay = 100 * time.Millisecond
	// abandonAfter is how long the link may take for a response that is larger than
	// all keys.
	abandonAfter = 2 * time.Second
)

// linkBudget keeps what the instance serves to others within a share of its link.
// Responses vanish in the socket's buffer at once, so that their writing doesn't show
// how busy the link is. Its methods may be called from any goroutine.
type linkBudget struct {
	// bytesPerSecond is the bandwidth of the link, 0 if unknown: nothing is refused
	// then.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the link will have carried all that was served.
	freeAt time.Duration
}

// free reports whether something may be served now.
func (b *linkBudget) free(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freeAt-now <= maxServingDelay
}

// spend records that so many bytes are served now.
func (b *linkBudget) spend(now time.Duration, bytes int) {
	if b.bytesPerSecond == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeAt = max(b.freeAt, now) + time.Duration(float64(bytes)/(b.bytesPerSecond*servingShare)*float64(time.Second))
}

// abandonedSize returns the size in bytes from which on a response that is larger than
// all keys takes too long.
func (b *linkBudget) abandonedSize() int64 { return int64(b.bytesPerSecond * abandonAfter.Seconds()) }
