package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// noteEra records that the platform's store was restored from a copy, if the directory is
// of a newer era.
func (c *Core) noteEra(now time.Duration, d directory.Directory) {
	if d.Era() > c.directory.Era() && c.directory.Version() > 0 {
		c.eraChanged = now
	}
}

// outageEndedByRestoration reports whether the latest outage ended with a restoration of
// the store. The directory then keeps the entries that the restored store lacks for as long
// as they may be used, so that any other entry that vanishes was deleted.
func (c *Core) outageEndedByRestoration() bool {
	// The confirmation that shows the end of the outage may follow the directory.
	return c.eraChanged > 0 && c.outageEnded <= c.eraChanged+freshPeriod
}
