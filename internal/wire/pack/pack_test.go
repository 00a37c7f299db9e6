package pack

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRoundTrip guards against a document that reaches agents changed.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		packed, err := Pack(data)
		assert.NilError(t, err)
		got, err := Unpack(packed, int64(len(data)))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, data))
	})
}

// TestUnpackRefuses guards against a message that fills an agent's memory, and
// against a part of a document taken for the whole.
func TestUnpackRefuses(t *testing.T) {
	packed, err := Pack(make([]byte, 100))
	assert.NilError(t, err)
	tests := map[string][]byte{"too large": packed, "cut off": packed[:len(packed)-1], "not packed": []byte("schema: 1"), "empty": nil}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Unpack(data, 99)
			assert.Assert(t, err != nil)
		})
	}
	_, err = Unpack(packed, 100)
	assert.NilError(t, err)
}
