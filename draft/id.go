package draft

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// id identifies a draft. It is random, so that it can't be guessed.
type id [16]byte

func newID() id {
	var d id
	_, _ = rand.Read(d[:])
	return d
}

// String returns the id in the hexadecimal form that callers use.
func (d id) String() string { return hex.EncodeToString(d[:]) }

func parseID(text string) (id, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(id{}) {
		return id{}, false
	}
	return id(raw), true
}

// digestCollectKey returns the digest of a collection key that is stored in the log.
func digestCollectKey(draftID id, key string) []byte {
	h := sha256.New()
	_, _ = h.Write(draftID[:])
	_, _ = h.Write([]byte(key))
	return h.Sum(nil)[:len(id{})]
}

// weight returns the rendezvous hashing weight of an instance for a draft. It is the
// same on every instance.
func weight(draftID id, instance string) uint64 {
	h := xxhash.New()
	_, _ = h.Write(draftID[:])
	_, _ = h.WriteString(instance)
	return h.Sum64()
}

// chooseInstance returns the instance with the highest weight, or an empty string if
// there are no instances.
func chooseInstance(draftID id, instances []string) string {
	best := ""
	for _, instance := range instances {
		if best == "" || weight(draftID, instance) > weight(draftID, best) {
			best = instance
		}
	}
	return best
}
