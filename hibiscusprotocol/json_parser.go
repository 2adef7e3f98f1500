package hibiscusprotocol

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// JSON is a subset of YAML. Programs generate configurations as JSON, with hundreds of services and kinds, and the YAML parser
// needs 23 ms for 350 kinds: an entry with a fifth of a core did not respond to callers for 200 ms after each change. So the
// JSON decoder parses such a configuration, into the same syntax tree.

// jsonParser builds the YAML syntax tree of a JSON configuration.
type jsonParser struct {
	text    []byte
	decoder *json.Decoder
	depth   int
	// line and lineStart are those of the offset up to which newlines are counted.
	line      int
	lineStart int
	scanned   int
}

// parseJSON returns the syntax tree of a JSON text, with duplicate keys if it has any; an error means that it is not JSON.
func parseJSON(text []byte) (*ast.File, error) {
	t := &jsonParser{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), line: 1}
	t.decoder.UseNumber()
	body, err := t.value()
	if err != nil {
		return nil, err
	}
	if _, err := t.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("the text has data after its first JSON value")
	}
	return &ast.File{Docs: []*ast.DocumentNode{ast.Document(nil, body)}}, nil
}

// value parses the next value.
func (t *jsonParser) value() (ast.Node, error) {
	next, err := t.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch v := next.(type) {
	case json.Delim:
		if t.depth++; t.depth > maxNesting {
			return nil, errNesting
		}
		defer func() { t.depth-- }()
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
			return nil, errors.Newf("object key %v is not a string", key)
		}
		position := t.position()
		value, err := t.value()
		if err != nil {
			return nil, err
		}
		m.Values = append(m.Values, ast.MappingValue(token.MappingValue(position), ast.String(token.String(name, "", position)), value))
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

// position returns the position of the end of the last token.
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
