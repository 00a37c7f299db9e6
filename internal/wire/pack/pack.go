// Package pack packs the documents that entries push to agents.
//
// An entry sends the whole document to each of its agents for every version. A
// document of 510 accounts has 80 KB, most of it keys that repeat, and 4,500
// versions a day would exceed the 4 KB/s of a node. Packed it is a quarter.
package pack

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("pack")

// Pack returns the data packed with gzip.
func Pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return b.Bytes(), nil
}

// Unpack returns the data that was packed. It is an error if there are more
// than limit bytes, so that a small message cannot fill the memory.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if int64(len(data)) > limit {
		return nil, Error.New("more than %d bytes", limit)
	}
	return data, nil
}
