package routing

import "strings"

// CanonicalPath returns the form of an escaped URL path that routes are
// matched by, and false when the path is one that back ends could read in
// another way than the route table does: not starting with a slash, with
// empty, "." or ".." segments, with a backslash, or with an escaped slash,
// dot, backslash, percent sign or control character.
func CanonicalPath(escaped string) (string, bool) {
	if !strings.HasPrefix(escaped, "/") {
		return "", false
	}
	rest := escaped[1:]
	for rest != "" {
		segment, tail, more := strings.Cut(rest, "/")
		if !plainSegment(segment) || (more && segment == "") {
			return "", false
		}
		rest = tail
	}
	return escaped, true
}

func plainSegment(segment string) bool {
	if segment == "." || segment == ".." {
		return false
	}
	for index := 0; index < len(segment); index++ {
		character := segment[index]
		if character == '\\' || character < 0x20 || character == 0x7f {
			return false
		}
		if character == '%' && ambiguousEscape(segment[index:]) {
			return false
		}
	}
	return true
}

func ambiguousEscape(escape string) bool {
	if len(escape) < 3 {
		return true
	}
	if escape[1] < '2' || escape[1] > '9' {
		return escape[1] < 'A' || (escape[1] > 'F' && escape[1] < 'a')
	}
	switch strings.ToUpper(escape[:3]) {
	case "%2F", "%2E", "%5C", "%25", "%7F":
		return true
	}
	return false
}
