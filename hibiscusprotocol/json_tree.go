package hibiscusprotocol

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// A text that is JSON is YAML too. Programs write it, with hundreds of services and kinds, and the YAML parser takes 23 ms for 350
// kinds: on an entry with a fifth of a core, callers got no answer for 200 ms after each change. So such a text is read by the
// JSON decoder, into the same syntax tree.

// jsonTree builds the syntax tree of a JSON text.
type jsonTree struct {
	text    []byte
	decoder *json.Decoder
	// line and lineStart are those of the offset that was asked for last.
	line      int
	lineStart int
	last      int
}

// parseJSON returns the syntax tree of a JSON text, in which a name may stand twice; an error means that it is not JSON.
func parseJSON(text []byte) (*ast.File, error) {
	t := &jsonTree{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), line: 1}
	t.decoder.UseNumber()
	body, err := t.value()
	if err != nil {
		return nil, err
	}
	if _, err := t.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("the text goes on after its first value")
	}
	return &ast.File{Docs: []*ast.DocumentNode{ast.Document(nil, body)}}, nil
}

// value reads the next value.
func (t *jsonTree) value() (ast.Node, error) {
	next, err := t.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch v := next.(type) {
	case json.Delim:
		if v == '{' {
			return t.object()
		}
		return t.list()
	case string:
		return ast.String(token.String(v, "", t.place())), nil
	case json.Number:
		tk := token.New(v.String(), "", t.place())
		if tk.Type == token.FloatType {
			return ast.Float(tk), nil
		}
		return ast.Integer(tk), nil
	case bool:
		if v {
			return ast.Bool(token.New("true", "", t.place())), nil
		}
		return ast.Bool(token.New("false", "", t.place())), nil
	default:
		return ast.Null(token.New("null", "", t.place())), nil
	}
}

func (t *jsonTree) object() (ast.Node, error) {
	m := ast.Mapping(token.MappingStart("", t.place()), true)
	for t.decoder.More() {
		key, err := t.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := key.(string)
		if !ok {
			return nil, errors.Newf("%v is not a name", key)
		}
		place := t.place()
		value, err := t.value()
		if err != nil {
			return nil, err
		}
		m.Values = append(m.Values, ast.MappingValue(token.MappingValue(place), ast.String(token.String(name, "", place)), value))
	}
	_, err := t.decoder.Token()
	return m, err
}

func (t *jsonTree) list() (ast.Node, error) {
	s := ast.Sequence(token.SequenceStart("", t.place()), true)
	for t.decoder.More() {
		item, err := t.value()
		if err != nil {
			return nil, err
		}
		s.Values = append(s.Values, item)
	}
	_, err := t.decoder.Token()
	return s, err
}

// place returns where the last token ended.
func (t *jsonTree) place() *token.Position {
	offset := int(t.decoder.InputOffset())
	for ; t.last < offset; t.last++ {
		if t.text[t.last] == '\n' {
			t.line++
			t.lineStart = t.last + 1
		}
	}
	return &token.Position{Line: t.line, Column: max(offset-t.lineStart, 1), Offset: offset}
}
