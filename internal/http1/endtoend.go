package http1

import (
	"slices"
	"strings"
)

// hopByHop are the fields that apply to a single connection (RFC 9110, section 7.6.1), and those that frame a message,
// which each sender writes itself.
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect"}

// EndToEnd returns the fields that an intermediary forwards unchanged, in order: all but the hop-by-hop fields, those
// that Connection names, and those in except, which the intermediary writes itself.
func (h Header) EndToEnd(except ...string) Header {
	var kept Header
	for _, f := range h {
		if !contains(hopByHop, f.Name) && !contains(except, f.Name) && !h.Has("Connection", f.Name) {
			kept = append(kept, f)
		}
	}
	return kept
}

// Size returns the number of bytes of all field names and values.
func (h Header) Size() int64 {
	size := 0
	for _, f := range h {
		size += len(f.Name) + len(f.Value)
	}
	return int64(size)
}

func contains(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}
