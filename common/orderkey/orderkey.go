// Package orderkey generates idempotency keys for non-repeatable calls. A key is a
// version 7 UUID that encodes its creation time.
//
// # Usage
//
//	key := orderkey.New(time.Now())
//
// The time is exactly the one passed to New. The uuid package can't be used for this,
// because its version 7 UUIDs are monotonic within a process and never have an earlier
// time than the previous one.
package orderkey

import (
	"time"

	"github.com/google/uuid"
)

// The layout of a version 7 UUID: a big-endian Unix time in milliseconds, followed by
// the byte whose high nibble is the version.
const (
	timestampBytes = 6
	bitsPerByte    = 8
	versionByte    = 6
	version7       = 0x70
	lowNibbleMask  = 0x0f
)

// New returns a key with the given creation time, truncated to milliseconds.
func New(now time.Time) string {
	key := uuid.New()
	ms := now.UnixMilli()
	for i := range timestampBytes {
		key[i] = byte(ms >> (bitsPerByte * (timestampBytes - 1 - i)))
	}
	key[versionByte] = version7 | key[versionByte]&lowNibbleMask
	return key.String()
}
