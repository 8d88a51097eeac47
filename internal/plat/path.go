package plat

import (
	"net/url"
	"strings"
)

// Path returns the path of a kind, or of an object, below a base. A name that no path can hold, since it would be read as
// another path, is Rejected.
func Path(base string, names ...string) (string, error) {
	for _, name := range names {
		if name == "" || name == "." || name == ".." {
			return "", &Error{Cause: Rejected, Detail: "a name that is empty or only dots"}
		}
	}
	escaped := make([]string, len(names))
	for at, name := range names {
		escaped[at] = url.PathEscape(name)
	}
	return base + strings.Join(escaped, "/"), nil
}
