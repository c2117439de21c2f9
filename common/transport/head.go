package transport

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"slices"

	"golang.org/x/net/http/httpguts"
)

var (
	errNotFinal  = errors.New("response is not final")
	errFieldName = errors.New("response has an invalid field name")
	errTwoHeads  = errors.New("response has the status line of another one in its head")
)

// CheckHead returns an error if the head of a response is broken although net/http accepts it:
//   - if its status is not final;
//   - if the name of a field contains a space. With a space in "Content-Length" or "Transfer-Encoding", the body is
//     not that of the server;
//   - if the head holds a status line. It then begins with a piece of another response, which the server did not
//     finish, and neither its status nor its fields are known to be those of the request.
//
// The caller must not reuse the connection of such a response, since its end is not known.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.StatusCode < http.StatusOK:
		return fmt.Errorf("status %d: %w", resp.StatusCode, errNotFinal)
	case statusLine.MatchString(resp.Status):
		return fmt.Errorf("status %q: %w", resp.Status, errTwoHeads)
	}
	for name, values := range resp.Header {
		switch {
		case !httpguts.ValidHeaderFieldName(name):
			return fmt.Errorf("status %d: field %q: %w", resp.StatusCode, name, errFieldName)
		case slices.ContainsFunc(values, statusLine.MatchString):
			return fmt.Errorf("status %d: field %q: %w", resp.StatusCode, name, errTwoHeads)
		}
	}
	return nil
}

// statusLine matches the beginning of a status line: the version and a status.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// headChecker is a transport that refuses responses with a broken head.
type headChecker struct{ *http.Transport }

// CheckHeads returns a transport that sends requests with base and refuses responses for which CheckHead returns an
// error.
func CheckHeads(base *http.Transport) http.RoundTripper { return headChecker{Transport: base} }

// RoundTrip implements http.RoundTripper.
func (t headChecker) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		// net/http may have given the connection to the next request already.
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
