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

// jsonParser builds the syntax tree of a JSON text.
type jsonParser struct {
	text    []byte
	decoder *json.Decoder
	// line and lineStart are those of the offset that was asked for last.
	line      int
	lineStart int
	scanned   int
}

// parseJSON returns the syntax tree of a JSON text, in which a name may stand twice; an error means that it is not JSON.
func parseJSON(text []byte) (*ast.File, error) {
	t := &jsonParser{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), line: 1}
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
func (t *jsonParser) value() (ast.Node, error) {
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
		return ast.String(token.String(v, "", t.position())), nil
	case json.Number:
		tk := token.New(v.String(), "", t.position())
		if tk.Type == token.FloatType {
			return ast.Float(tk), nil
		}
		return ast.Integer(tk), nil
	case bool:
		if v {
			return ast.Bool(token.New("true", "", t.position())), nil
		}
		return ast.Bool(token.New("false", "", t.position())), nil
	default:
		return ast.Null(token.New("null", "", t.position())), nil
	}
}

func (t *jsonParser) object() (ast.Node, error) {
	m := ast.Mapping(token.MappingStart("", t.position()), true)
	for t.decoder.More() {
		key, err := t.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := key.(string)
		if !ok {
			return nil, errors.Newf("%v is not a name", key)
		}
		place := t.position()
		value, err := t.value()
		if err != nil {
			return nil, err
		}
		m.Values = append(m.Values, ast.MappingValue(token.MappingValue(place), ast.String(token.String(name, "", place)), value))
	}
	_, err := t.decoder.Token()
	return m, err
}

func (t *jsonParser) list() (ast.Node, error) {
	s := ast.Sequence(token.SequenceStart("", t.position()), true)
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

// position returns where the last token ended.
func (t *jsonParser) position() *token.Position {
	offset := int(t.decoder.InputOffset())
	for ; t.scanned < offset; t.scanned++ {
		if t.text[t.scanned] == '\n' {
			t.line++
			t.lineStart = t.scanned + 1
		}
	}
	return &token.Position{Line: t.line, Column: max(offset-t.lineStart, 1), Offset: offset}
}
