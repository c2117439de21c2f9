package order

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// keyVersion is the UUID version of idempotency keys.
const keyVersion = 7

var (
	errKeyMissing = errors.New("a non-idempotent call needs an Idempotency-Key")
	errKeyFormat  = errors.New("the Idempotency-Key is not a UUID of version 7")
)

// Key is the idempotency key of an order: a version 7 UUID. Its timestamp is the issue
// time of the order.
type Key struct{ id uuid.UUID }

// ParseKey parses the value of an Idempotency-Key header.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, errKeyMissing
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, fmt.Errorf("%w: %w", errKeyFormat, err)
	}
	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, errKeyFormat
	}
	return Key{id: id}, nil
}

// Issued returns the issue time with millisecond precision.
func (k Key) Issued() time.Time {
	const millisBytes = 6
	var raw [8]byte
	copy(raw[8-millisBytes:], k.id[:millisBytes])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(raw[:])))
}

// String returns the key in the text form of a UUID.
func (k Key) String() string { return k.id.String() }

// keyHash identifies an order: a hash of the caller and the idempotency key.
type keyHash [16]byte

func hashKey(caller string, key Key) keyHash {
	h := sha256.New()
	_, _ = h.Write(key.id[:])
	_, _ = h.Write([]byte(caller))
	return keyHash(h.Sum(nil)[:len(keyHash{})])
}

// Digest returns a hash of the parts of a request. Each part is hashed with its length,
// so that the boundaries between the parts are significant.
func Digest(parts ...[]byte) uint64 {
	h := sha256.New()
	for _, part := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}
