package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// MaxKeyBytes is the maximum length of a key that Table.Authenticate accepts. It
// limits the work for a request with an invalid key.
const MaxKeyBytes = 4096

// keyDigest is the SHA-256 digest of a key.
type keyDigest [sha256.Size]byte

// keyTable maps the digests of keys to the grants of their callers.
type keyTable map[keyDigest]*Grant

// DigestKey returns the digest of a key, as Caller.KeySHA256 contains it.
func DigestKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// add adds the keys of a caller, except malformed digests. It returns another caller
// that one of the keys belongs to already, or nil.
func (t keyTable) add(grant *Grant) *Grant {
	var other *Grant
	for _, text := range grant.caller.KeySHA256 {
		var digest keyDigest
		if len(text) != hex.EncodedLen(len(digest)) {
			continue
		}
		if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
			continue
		}
		if holder, ok := t[digest]; ok && holder != grant {
			other = holder
		}
		t[digest] = grant
	}
	return other
}

func (t keyTable) find(key string) (*Grant, bool) {
	grant, ok := t[sha256.Sum256([]byte(key))]
	return grant, ok
}

// CallerError is the error for callers that cannot be told apart. It contains no key.
type CallerError struct {
	Caller string
	// Field is the manifest's name of the field.
	Field  string
	Reason string
}

// Error returns the caller, the field and the reason.
func (e *CallerError) Error() string {
	return fmt.Sprintf("team %q: field %s: %s", e.Caller, e.Field, e.Reason)
}

// WithCallers returns a table that requires a key of one of the callers for routes
// that are not public, also if there are no callers. It returns a CallerError if two
// callers have the same name or key.
func (t *Table) WithCallers(callers []Caller) (*Table, error) {
	next := *t
	next.requiresKeys = true
	next.keys = make(keyTable, len(callers))
	next.callerLimits = newCallerLimits(callers)
	names := make(map[string]struct{}, len(callers))
	for i := range callers {
		caller := &callers[i]
		if _, ok := names[caller.Name]; ok {
			return nil, &CallerError{
				Caller: caller.Name,
				Field:  "name",
				Reason: "another team has this name",
			}
		}
		names[caller.Name] = struct{}{}
		if other := next.keys.add(newGrant(caller)); other != nil {
			return nil, &CallerError{
				Caller: caller.Name,
				Field:  "api-keys",
				Reason: fmt.Sprintf("a key also belongs to team %q", other.Name()),
			}
		}
	}
	return &next, nil
}

// RequiresKeys reports whether requests need a key, unless their route is public.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }

// Authenticate returns the caller that a key belongs to. Keys are looked up by their
// digests, so that the time reveals nothing about other keys.
func (t *Table) Authenticate(key string) (*Grant, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return nil, false
	}
	return t.keys.find(key)
}
