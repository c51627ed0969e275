package resource

import (
	"net/netip"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"
)

// Reasons for refusing a path or host.
const (
	errPathStart           = errors.ConstError("a path begins with /")
	errPathEscape          = errors.ConstError("a percent sign is not followed by two hexadecimal digits")
	errPathAmbiguousEscape = errors.ConstError("an escaped slash, backslash, percent sign or control character is ambiguous")
	errPathForbiddenByte   = errors.ConstError("a backslash, question mark, hash or control character is not allowed in a path")
	errPathDotSegment      = errors.ConstError("a dot segment is ambiguous")
	errPathEmptySegment    = errors.ConstError("an empty segment (//) is ambiguous")
	errPathUTF8            = errors.ConstError("the path is not UTF-8")
	errHostEmpty           = errors.ConstError("the host is empty")
	errHostInvalid         = errors.ConstError("the host is not a DNS name or IP number")
	errHostTooLong         = errors.ConstError("the host is longer than 253 bytes")
)

const (
	upperHex = "0123456789ABCDEF"
	// pathPunctuation lists the characters other than letters and digits that a
	// segment may contain unescaped (RFC 3986, pchar).
	pathPunctuation = "-._~!$&'()*+,;=:@"
	maxHostLength   = 253
	maxLabelLength  = 63
)

// CanonicalPath returns the canonical form of an escaped request path, on which
// routes are matched. Unnecessary escapes are decoded; all other escapes are
// written in upper case, and raw bytes that need one are escaped. Paths that two
// HTTP implementations could interpret differently are refused: those with
// escaped slashes, backslashes, percent signs or control characters, dot
// segments (also with parameters, as in /..;x/), empty segments, broken escapes
// or bytes that are not UTF-8. A trailing slash is significant. CanonicalPath
// allocates nothing if the path is canonical already.
func CanonicalPath(path string) (string, error) {
	if path == "" || path[0] != '/' {
		return "", errPathStart
	}
	canonical := path
	if !isPlainPath(path) {
		rewritten, err := rewriteEscapes(path)
		if err != nil {
			return "", err
		}
		canonical = rewritten
	}
	if err := checkSegments(canonical); err != nil {
		return "", err
	}
	return canonical, nil
}

// isPlainPath reports whether no byte needs decoding, encoding or refusal.
func isPlainPath(path string) bool {
	for i := 0; i < len(path); i++ {
		if path[i] != '/' && !isPlainByte(path[i]) {
			return false
		}
	}
	return true
}

// plainBytes marks the bytes that a segment may contain unescaped.
var plainBytes = func() (table [256]bool) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for _, b := range []byte(letters + strings.ToUpper(letters) + "0123456789" + pathPunctuation) {
		table[b] = true
	}
	return table
}()

func isPlainByte(b byte) bool { return plainBytes[b] }

func rewriteEscapes(path string) (string, error) {
	decoded := make([]byte, 0, len(path))
	var canonical strings.Builder
	for i := 0; i < len(path); i++ {
		current := path[i]
		escaped := current == '%'
		if escaped {
			if i+2 >= len(path) || !isHex(path[i+1]) || !isHex(path[i+2]) {
				return "", errPathEscape
			}
			current = hexValue(path[i+1])<<4 | hexValue(path[i+2])
			i += 2
		}
		if err := checkByte(current, escaped); err != nil {
			return "", err
		}
		decoded = append(decoded, current)
		writeByte(&canonical, current)
	}
	if !utf8.Valid(decoded) {
		return "", errPathUTF8
	}
	return canonical.String(), nil
}

func checkByte(b byte, escaped bool) error {
	isControl := b < ' ' || b == 0x7f
	if escaped && (isControl || b == '/' || b == '\\' || b == '%') {
		return errPathAmbiguousEscape
	}
	if !escaped && (isControl || b == '\\' || b == '?' || b == '#') {
		return errPathForbiddenByte
	}
	return nil
}

func writeByte(canonical *strings.Builder, b byte) {
	if b == '/' || isPlainByte(b) {
		canonical.WriteByte(b)
		return
	}
	canonical.WriteByte('%')
	canonical.WriteByte(upperHex[b>>4])
	canonical.WriteByte(upperHex[b&15])
}

func checkSegments(path string) error {
	rest := path[1:]
	for rest != "" {
		segment, after, found := strings.Cut(rest, "/")
		if segment == "" {
			return errPathEmptySegment
		}
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return errPathDotSegment
		}
		if !found {
			return nil
		}
		rest = after
	}
	return nil
}

func isHex(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}

func hexValue(b byte) byte {
	switch {
	case b >= 'a':
		return b - 'a' + 10
	case b >= 'A':
		return b - 'A' + 10
	default:
		return b - '0'
	}
}

// CanonicalHost returns the canonical form of a Host header, on which routes are
// matched: lower case, without port and without the trailing dot of the DNS root.
// IPv6 addresses are written in brackets and in their shortest form. Non-ASCII
// names must be given as A-labels (xn--).
func CanonicalHost(host string) (string, error) {
	name := withoutPort(host)
	if name == "" {
		return "", errHostEmpty
	}
	if strings.HasPrefix(name, "[") {
		return canonicalIPv6(name)
	}
	name = strings.ToLower(strings.TrimSuffix(name, "."))
	if len(name) > maxHostLength {
		return "", errHostTooLong
	}
	for label := range strings.SplitSeq(name, ".") {
		if !isValidLabel(label) {
			return "", errHostInvalid
		}
	}
	return name, nil
}

func canonicalIPv6(name string) (string, error) {
	address, err := netip.ParseAddr(strings.TrimSuffix(strings.TrimPrefix(name, "["), "]"))
	if err != nil || !strings.HasSuffix(name, "]") || !address.Is6() || address.Zone() != "" {
		return "", errHostInvalid
	}
	return "[" + address.String() + "]", nil
}

// withoutPort removes a port of zero or more decimal digits.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	for _, digit := range host[colon+1:] {
		if digit < '0' || digit > '9' {
			return host
		}
	}
	return host[:colon]
}

func isValidLabel(label string) bool {
	if label == "" || len(label) > maxLabelLength {
		return false
	}
	for i := 0; i < len(label); i++ {
		b := label[i]
		isLetterOrDigit := b >= 'a' && b <= 'z' || b >= '0' && b <= '9'
		isPunctuation := b == '-' || b == '_'
		if !isLetterOrDigit && !isPunctuation {
			return false
		}
		if b == '-' && (i == 0 || i == len(label)-1) {
			return false
		}
	}
	return true
}
