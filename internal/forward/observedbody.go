package forward

import "io"

// observedBody is a body that reports how it ended.
type observedBody struct {
	io.ReadCloser

	// onEnd is called once, with the first error of a read; io.EOF means that the body is whole.
	onEnd func(error)
}

// Read implements io.Reader.
func (b *observedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil && b.onEnd != nil {
		b.onEnd(err)
		b.onEnd = nil
	}
	return n, err
}
