package codec

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a value as msgpack.
func Marshal(value any) ([]byte, error) { return msgpack.Marshal(value) }

// Unmarshal decodes msgpack into the value. The library panics on some malformed
// input, such as nil in place of a struct; Unmarshal returns an error for it.
func Unmarshal(data []byte, value any) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("malformed data: %v", panicValue)
		}
	}()
	return msgpack.Unmarshal(data, value)
}
