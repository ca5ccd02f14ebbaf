package clients

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

func hash(text string) uint64 { return max(xxhash.Sum64String(text), 1) }

// validJSON tells whether a body is a JSON object.
func validJSON(body []byte) bool {
	body = bytes.TrimLeft(body, " \t\r\n")
	return len(body) > 0 && body[0] == '{' && json.Valid(body)
}
