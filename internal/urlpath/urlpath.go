// Package urlpath compares paths of requests without mistaking one for another. In a path an escaped reserved
// character is data: "%2F" is part of a segment and separates nothing.
package urlpath

import (
	"net/url"
	"strings"
)

// Sent returns the path of a parsed request URL as the caller sent it.
func Sent(u *url.URL) string {
	if u.RawPath != "" {
		// EscapedPath would escape Path again if RawPath has characters that are not allowed in a URL, and so lose "%2F".
		return u.RawPath
	}
	return u.EscapedPath()
}

// Normal returns the form of a path as sent that all equivalent paths share (RFC 3986, section 6.2.2). Escapes are
// decoded, except those of "%" and of the characters that mean something else in a path when they are not escaped.
// Those are written in upper case. A "%" that begins no escape counts as "%25". Dot and empty segments stay.
func Normal(path string) string {
	first := strings.IndexByte(path, '%')
	if first < 0 {
		return path
	}
	normal := append(make([]byte, 0, len(path)+escapeBytes), path[:first]...)
	for i := first; i < len(path); i++ {
		c, escaped := path[i], path[i] == '%'
		if high, low, isEscape := escape(path[i:]); isEscape {
			c, i = high<<4|low, i+escapeBytes-1
		}
		if escaped && strings.IndexByte(reserved, c) >= 0 {
			normal = append(normal, '%', upperHex[c>>4], upperHex[c&0xf])
		} else {
			normal = append(normal, c)
		}
	}
	return string(normal)
}

// HasDotSegments reports whether a path as sent has the segment "." or "..", also for a server that takes "%2F" or a
// backslash for a separator, or ignores the parameters of a segment. A path with an invalid escape counts as one that
// has.
func HasDotSegments(path string) bool {
	path, err := url.PathUnescape(path)
	for segment := range strings.SplitSeq(strings.ReplaceAll(path, `\`, "/"), "/") {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return true
		}
	}
	return err != nil
}

const (
	escapeBytes = len("%2F")
	upperHex    = "0123456789ABCDEF"
	// reserved are the characters whose escapes are kept: those that are allowed in a path but are not unreserved.
	reserved = "%/!$&'()*+,;=:@"
)

// escape returns the two digits of the escape with which s begins, if there is one.
func escape(s string) (high, low byte, isEscape bool) {
	if len(s) < escapeBytes || s[0] != '%' {
		return 0, 0, false
	}
	high, isHigh := digit(s[1])
	low, isLow := digit(s[2])
	return high, low, isHigh && isLow
}

func digit(c byte) (value byte, isDigit bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	default:
		return 0, false
	}
}
