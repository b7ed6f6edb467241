package fleet

import (
	"net/url"
	"path"
	"strings"
)

// IsNonIdempotent reports whether a call to the service is declared
// non-idempotent. The escaped path must not include a query. It is unescaped and
// cleaned before matching, so a declared path spelled with escapes or doubled
// slashes still matches. If the service declares any route, a path that cannot
// be unescaped also matches.
func (s *Service) IsNonIdempotent(method, escapedPath string) bool {
	decoded, err := url.PathUnescape(escapedPath)
	if err != nil {
		return len(s.Once) > 0
	}
	cleanPath := path.Clean("/" + decoded)
	for _, route := range s.Once {
		if route.matches(method, cleanPath) {
			return true
		}
	}
	return false
}

func (r OnceRoute) matches(method, cleanPath string) bool {
	if !strings.EqualFold(r.Method, method) {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, "/*"); ok {
		return strings.HasPrefix(cleanPath, prefix+"/")
	}
	return cleanPath == path.Clean("/"+r.Path)
}
