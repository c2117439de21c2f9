package plan

import (
	"path"
	"strings"
)

// isCleanPath reports whether p starts with a slash and has no empty, "." or
// ".." segments. A trailing slash is allowed.
func isCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	if p == "/" {
		return true
	}
	return path.Clean(p) == strings.TrimSuffix(p, "/")
}

// hasPathPrefix reports whether p equals the prefix or is below it.
func hasPathPrefix(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
