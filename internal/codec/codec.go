package codec

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) { return msgpack.Marshal(value) }

// Unmarshal decodes into the value. The library panics on some malformed input,
// such as nil in place of a struct; that is an error like any other here.
func Unmarshal(data []byte, value any) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("malformed data: %v", reason)
		}
	}()
	return msgpack.Unmarshal(data, value)
}
