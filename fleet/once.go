package fleet

import (
	"net/url"
	"path"
	"strings"
)

// IsOnce reports whether a call of the service is declared non-idempotent. The
// escaped path has no query. Another spelling of a declared path, with escapes
// or doubled slashes, is that path; one that can't be read counts as declared.
func (s *Service) IsOnce(method, escapedPath string) bool {
	decoded, err := url.PathUnescape(escapedPath)
	if err != nil {
		return len(s.Once) > 0
	}
	clean := path.Clean("/" + decoded)
	for _, route := range s.Once {
		if route.matches(method, clean) {
			return true
		}
	}
	return false
}

func (r OnceRoute) matches(method, clean string) bool {
	if !strings.EqualFold(r.Method, method) {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, "/*"); ok {
		return strings.HasPrefix(clean, prefix+"/")
	}
	return clean == path.Clean("/"+r.Path)
}
