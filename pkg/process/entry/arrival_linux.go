package entry

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// controlBytes is enough for the control message with the time of arrival: a header of 16
// bytes, and two numbers of 8 bytes.
const controlBytes = 64

// stampArrivals makes the kernel record when datagrams arrive.
func stampArrivals(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "stamp arriving datagrams")
	}
	var setting error
	if err := raw.Control(func(fd uintptr) {
		setting = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return errors.Wrap(err, "stamp arriving datagrams")
	}
	if setting != nil {
		return errors.Wrap(setting, "stamp arriving datagrams")
	}
	return nil
}

// waitedInSocket returns how long a datagram waited in the socket, by the control message
// read with it, and 0 if that doesn't say. The kernel stamps by the clock of the day; a step
// of that clock can only make a single message look older.
func waitedInSocket(control []byte) time.Duration {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return 0 // only a malformed control message fails, and the kernel writes none
	}
	const timespecBytes = 16
	for _, m := range messages {
		if m.Header.Level == syscall.SOL_SOCKET && m.Header.Type == syscall.SCM_TIMESTAMPNS && len(m.Data) >= timespecBytes {
			seconds, nanoseconds := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[8:])
			return max(time.Since(time.Unix(int64(seconds), int64(nanoseconds))), 0)
		}
	}
	return 0
}
