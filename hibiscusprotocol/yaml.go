package hibiscusprotocol

import (
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// unmarshalYAML decodes a text into v and refuses unknown names. The library panics on some texts, for example on a tag in
// the place of a list (goccy/go-yaml 1.19.2, found by FuzzParseText). Such a text may come from an operator or another
// process, so the panic is turned into an error.
func unmarshalYAML(text []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("the text can't be decoded as YAML: %v", r)
		}
	}()
	return yaml.UnmarshalWithOptions(text, v, yaml.Strict())
}
