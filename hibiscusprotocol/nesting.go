package hibiscusprotocol

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxNesting bounds how deeply the collections of a text are nested; a configuration has a depth of six. The parsers recurse, so a text
// of a megabyte of opening brackets exceeds the stack, which ends a process and can't be recovered.
const maxNesting = 32

// errNesting means that collections are nested more deeply than maxNesting.
var errNesting = errors.Newf("collections are nested more than %d deep", maxNesting)

// checkNesting returns errNesting if a YAML text may nest its collections more deeply than maxNesting on one line: by brackets, or by a
// run of block indicators and node properties like "- - - x". Nesting by indentation needs a text of quadratic size, which is bounded.
func checkNesting(text []byte) error {
	depth, run := 0, 0
	for len(text) > 0 {
		c := text[0]
		length := 1
		switch {
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth = max(depth-1, 0)
		case c == '"':
			length = quotedLength(text)
			run = 0
		case c == '\n':
			run = 0
		case c == ' ' || c == '\t' || c == '\r':
		case strings.IndexByte("-?:", c) >= 0 && (len(text) == 1 || isSpace(text[1])):
			run++
		case c == '!' || c == '&':
			run++
			length = tokenLength(text)
		default:
			run = 0
			length = tokenLength(text)
		}
		if depth+run > maxNesting {
			return errNesting
		}
		text = text[length:]
	}
	return nil
}

func isSpace(c byte) bool { return strings.IndexByte(" \t\r\n", c) >= 0 }

// tokenLength returns the length of the plain text at the start, at least one.
func tokenLength(text []byte) int {
	if n := bytes.IndexAny(text[1:], " \t\r\n[]{}\""); n >= 0 {
		return 1 + n
	}
	return len(text)
}

// quotedLength returns the length of the quoted text at the start, up to its closing quote or the end of the text.
func quotedLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}
