package hibiscusprotocol

import "io"

// firstRead is the size of the first buffer for a body.
const firstRead = 4096

// ReadAll reads a body whose announced length is known, or -1. The buffer doubles up to that length. io.ReadAll grows in smaller steps, and
// leaves five times the size of a large body as garbage.
func ReadAll(body io.Reader, length int64) ([]byte, error) {
	// One byte more lets the read that finds the end of the body fit into the buffer.
	most := int(length) + 1
	if length < 0 || most <= 0 {
		most = 0
	}
	size := firstRead
	if most > 0 {
		size = min(size, most)
	}
	b := make([]byte, 0, size)
	for {
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
		if len(b) == cap(b) {
			size = 2 * cap(b)
			if most > len(b) {
				size = min(size, most)
			}
			b = append(make([]byte, 0, size), b...)
		}
	}
}
