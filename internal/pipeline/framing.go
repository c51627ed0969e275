package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
)

// framing describes where a request ends, as far as its head states it.
type framing struct {
	// isKnown is false if only the server can determine where the request ends or whether
	// another request may follow it.
	isKnown bool
	// bodyLength is the length of the body that follows the head, in bytes.
	bodyLength int
}

// headLength returns the length of the head at the start of text, including its empty
// line, or -1 if the head is not complete. Lines may end without a carriage return, as
// the server allows.
func headLength(text []byte) int {
	for lineStart := 0; ; {
		newline := bytes.IndexByte(text[lineStart:], '\n')
		if newline < 0 {
			return -1
		}
		lineStart += newline + 1
		rest := text[lineStart:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return lineStart + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return lineStart + 2
		}
	}
}

// readFraming parses the framing from a complete head. The framing is unknown if the head
// has an unusual request line, or a header other than a single Content-Length that may
// affect where the request ends or whether the connection is kept.
func readFraming(head []byte) framing {
	first, rest, _ := bytes.Cut(head, []byte("\n"))
	if !isPlainRequestLine(first) {
		return framing{}
	}
	parsed := framing{isKnown: true}
	hasLength := false
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue // the empty line, or a line that the server refuses unless it continues the previous one
		}
		value = bytes.TrimSpace(value)
		switch {
		case line[0] == ' ' || line[0] == '\t':
			return framing{} // a continuation of the previous line
		case equalFold(name, "Content-Length"):
			length, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || hasLength {
				return framing{}
			}
			parsed.bodyLength = int(length)
			hasLength = true
		case equalFold(name, "Connection"):
			if !equalFold(value, "keep-alive") {
				return framing{}
			}
		case equalFold(name, "Transfer-Encoding"), equalFold(name, "Expect"), equalFold(name, "Upgrade"):
			return framing{}
		}
	}
	return parsed
}

// isPlainRequestLine reports whether a request line has a path as its target and the
// version HTTP/1.1. The server may answer requests for other targets without a handler.
func isPlainRequestLine(line []byte) bool {
	method, rest, found := bytes.Cut(line, []byte(" "))
	if !found || len(method) == 0 || method[0] < 'A' || method[0] > 'Z' {
		return false
	}
	return bytes.HasPrefix(rest, []byte("/")) && bytes.HasSuffix(bytes.TrimRight(rest, "\r"), []byte(" HTTP/1.1"))
}

func equalFold(text []byte, name string) bool {
	return len(text) == len(name) && bytes.EqualFold(text, []byte(name))
}

// parseHead parses the complete head of a request without a body.
func parseHead(head []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
}
