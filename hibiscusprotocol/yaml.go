package hibiscusprotocol

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// The YAML library panics on some inputs, for example on a tag in place of a list (goccy/go-yaml 1.19.2, found by
// FuzzParseConfiguration). Such input may come from an operator or another process, so the panic is converted into an error.

// unmarshalYAML decodes YAML into v and rejects unknown fields.
func unmarshalYAML(text []byte, v any) (err error) {
	defer recoverYAML(&err)
	if err := checkNesting(text); err != nil {
		return err
	}
	return yaml.UnmarshalWithOptions(text, v, yaml.Strict())
}

// parseYAML returns the syntax tree of a YAML or JSON text, with duplicate keys if it has any.
func parseYAML(text []byte) (file *ast.File, err error) {
	defer recoverYAML(&err)
	if bytes.HasPrefix(text, []byte("{")) {
		if file, err := parseJSON(text); err == nil {
			return file, nil
		}
	}
	if err := checkNesting(text); err != nil {
		return nil, err
	}
	return parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
}

func recoverYAML(err *error) {
	if r := recover(); r != nil {
		*err = errors.Newf("the text can't be decoded as YAML: %v", r)
	}
}
