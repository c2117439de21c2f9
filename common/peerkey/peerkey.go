// Package peerkey implements HTTP authentication with a shared key in a header. It is
// used between the system's own processes and for operators' programs.
//
// # Usage
//
//	server := &http.Server{Handler: peerkey.Require(key, handler)}
//	client := &http.Client{Transport: peerkey.Transport(key, base)}
//
// RequireIn and TransportIn do the same with another header.
package peerkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
)

// Header is the request header that carries the peer key.
const Header = "X-Peer-Key"

// Require returns a handler that passes requests with the right key to next and
// responds to all others with 401 Unauthorized.
func Require(key string, next http.Handler) http.Handler {
	return RequireIn(Header, key, next)
}

// RequireIn is like Require, but reads the key from the given header.
func RequireIn(header, key string, next http.Handler) http.Handler {
	// ConstantTimeCompare returns early if the lengths differ. Hashes have equal lengths,
	// so that the length of the key isn't revealed.
	want := sha256.Sum256([]byte(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(header)))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, `{"code":"unauthorized","msg":"key missing or wrong"}`, http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type transport struct {
	header string
	key    string
	base   http.RoundTripper
}

// Transport returns a transport that adds the key to every request and sends it with
// base.
func Transport(key string, base http.RoundTripper) http.RoundTripper {
	return TransportIn(Header, key, base)
}

// TransportIn is like Transport, but sends the key in the given header.
func TransportIn(header, key string, base http.RoundTripper) http.RoundTripper {
	return &transport{
		header: header,
		key:    key,
		base:   base,
	}
}

// RoundTrip sends a copy of r with the key. It doesn't change r, as http.RoundTripper
// requires.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	clone := r.Clone(r.Context())
	clone.Header.Set(t.header, t.key)
	return t.base.RoundTrip(clone)
}

var _ http.RoundTripper = (*transport)(nil)
