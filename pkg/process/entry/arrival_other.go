//go:build !linux

package entry

import (
	"net"
	"time"
)

// controlBytes is the length of the control messages that are read.
const controlBytes = 0

// stampArrivals does nothing: only Linux is asked for the time of arrival.
func stampArrivals(*net.UDPConn) error { return nil }

// waitedInSocket returns 0, as the time isn't known.
func waitedInSocket([]byte) time.Duration { return 0 }
