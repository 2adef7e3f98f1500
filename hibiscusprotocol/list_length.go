package hibiscusprotocol

import "bytes"

// minListScan is the size below which a text is not searched for long lists: what they decode to is small.
const minListScan = 4096

// HasLongList reports whether a JSON text has a list at the second level, like the tasks of a job, with more than most elements. It allows
// refusing a text before it is decoded, as the shortest elements take many times their size then.
func HasLongList(text []byte, most int) bool {
	if len(text) < minListScan {
		return false
	}
	depth, elements := 0, 0
	for len(text) > 0 {
		i := bytes.IndexAny(text, `"[]{},`)
		if i < 0 {
			return false
		}
		c := text[i]
		text = text[i:]
		length := 1
		switch c {
		case '"':
			length = quotedLength(text)
		case '[', '{':
			if depth++; depth == 2 {
				elements = 1
			}
		case ']', '}':
			depth--
		case ',':
			if depth == 2 {
				elements++
			}
		}
		if elements > most {
			return true
		}
		text = text[length:]
	}
	return false
}
