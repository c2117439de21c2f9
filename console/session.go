package console

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	cookieName = "balsamlock_console"
	nonceBytes = 16
)

// sessionManager issues and verifies the signed session cookies of operators. It is
// stateless, so a session is valid at every console with the same operator key.
type sessionManager struct {
	signingKey    []byte
	keyDigest     [sha256.Size]byte
	lifetime      time.Duration
	secureCookies bool
}

func newSessionManager(cfg Config) *sessionManager {
	signingKey := sha256.Sum256([]byte("console session " + cfg.OperatorKey))
	return &sessionManager{
		signingKey:    signingKey[:],
		keyDigest:     sha256.Sum256([]byte(cfg.OperatorKey)),
		lifetime:      cfg.sessionLifetime(),
		secureCookies: cfg.SecureCookies,
	}
}

// isOperatorKey reports whether key is the operator key. It compares in constant time.
func (s *sessionManager) isOperatorKey(key string) bool {
	digest := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(digest[:], s.keyDigest[:]) == 1
}

// sign returns the MAC of a payload. Signatures for one purpose are invalid for any
// other.
func (s *sessionManager) sign(purpose, payload string) string {
	mac := hmac.New(sha256.New, s.signingKey)
	_, _ = mac.Write([]byte(purpose + "\x00" + payload))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// start sets the cookie of a new session.
func (s *sessionManager) start(w http.ResponseWriter) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	expiry := time.Now().Add(s.lifetime).Unix()
	payload := strconv.FormatInt(expiry, 10) + "." + base64.RawURLEncoding.EncodeToString(nonce)
	s.setCookie(w, payload+"."+s.sign("session", payload), int(s.lifetime/time.Second))
}

func (s *sessionManager) end(w http.ResponseWriter) { s.setCookie(w, "", -1) }

func (s *sessionManager) setCookie(w http.ResponseWriter, value string, maxAge int) {
	http.SetCookie(w, &http.Cookie{
		Name:     cookieName,
		Value:    value,
		Path:     "/",
		MaxAge:   maxAge,
		HttpOnly: true,
		Secure:   s.secureCookies,
		SameSite: http.SameSiteStrictMode,
	})
}

// authenticate returns the signed payload of the request's session cookie. It returns
// false if there is no valid session.
func (s *sessionManager) authenticate(r *http.Request) (string, bool) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return "", false
	}
	i := strings.LastIndexByte(cookie.Value, '.')
	if i < 0 {
		return "", false
	}
	payload, mac := cookie.Value[:i], cookie.Value[i+1:]
	if !hmac.Equal([]byte(mac), []byte(s.sign("session", payload))) {
		return "", false
	}
	expiry, _, _ := strings.Cut(payload, ".")
	expirySeconds, err := strconv.ParseInt(expiry, 10, 64)
	if err != nil || time.Now().Unix() >= expirySeconds {
		return "", false
	}
	return payload, true
}

// formToken returns the CSRF token that the forms of a session carry.
func (s *sessionManager) formToken(session string) string { return s.sign("form", session) }

func (s *sessionManager) isFormToken(session, token string) bool {
	return hmac.Equal([]byte(token), []byte(s.formToken(session)))
}
