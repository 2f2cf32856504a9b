package claim

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// issuedPrefix distinguishes tickets issued to callers from those that package
// dispatch makes for its own use.
const issuedPrefix = "issued-"

// keyKind is the kind of a caller's key.
type keyKind uint8

const (
	keyInvalid keyKind = iota
	keyTicket
	keyUUID
)

func ticketOf(instance string, incarnation, sequence uint64) string {
	return fmt.Sprintf("%s/%d/%s%d", instance, incarnation, issuedPrefix, sequence)
}

// kindOf returns the kind of a key and, for a UUID, the time that it holds.
func kindOf(key string) (keyKind, time.Time) {
	if parts := strings.Split(key, "/"); len(parts) == 3 && strings.HasPrefix(parts[2], issuedPrefix) {
		return keyTicket, time.Time{}
	}
	if made, ok := timeOf(key); ok {
		return keyUUID, made
	}
	return keyInvalid, time.Time{}
}

// Lengths and byte offsets in a UUID of version 7, see RFC 9562.
const (
	uuidBytes       = 16
	uuidTimeBytes   = 6
	uuidVersionByte = 6
	uuidVariantByte = 8
	uuidTextLength  = 36
)

// timeOf returns the time that a UUID of version 7 holds, and false for any
// other key.
func timeOf(key string) (time.Time, bool) {
	if len(key) != uuidTextLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != uuidBytes || raw[uuidVersionByte]>>4 != 7 || raw[uuidVariantByte]>>6 != 2 {
		return time.Time{}, false
	}
	var millis [8]byte
	copy(millis[8-uuidTimeBytes:], raw[:uuidTimeBytes])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(millis[:]))).UTC(), true
}
