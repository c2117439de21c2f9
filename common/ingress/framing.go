package ingress

import (
	"strconv"
	"strings"
)

// isUnambiguous reports whether all parsers agree on where the message with this
// header ends. It requires at most one Content-Length, of digits only, or one
// "Transfer-Encoding: chunked", but not both. Folded lines, bare CR or LF, NUL
// bytes and white space in or around field names are not allowed.
func isUnambiguous(header []byte) bool {
	lines := strings.Split(strings.TrimSuffix(string(header), "\r\n\r\n"), "\r\n")
	lengths, encodings := 0, 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") || strings.ContainsAny(line, "\n\r\x00") {
			return false
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if !isContentLength(strings.Trim(value, " \t")) {
				return false
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(strings.Trim(value, " \t"), "chunked") {
				return false
			}
		}
	}
	return lengths+encodings <= 1 && !strings.ContainsAny(lines[0], "\n\r\x00")
}

func isContentLength(s string) bool {
	_, err := strconv.ParseUint(s, 10, 62)
	return err == nil && !strings.HasPrefix(s, "+")
}
