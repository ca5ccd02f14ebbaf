package http1

import (
	"slices"
	"strings"
)

// hopByHop are the fields that concern one connection alone (RFC 9110, section
// 7.6.1), and those by which a message is framed, which its sender writes anew.
var hopByHop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect"}

// EndToEnd is the fields that an intermediary passes on as they came, in order.
// It leaves out hop-by-hop fields, those that Connection names, and those in
// except, which the intermediary writes itself.
func (h Header) EndToEnd(except ...string) Header {
	var on Header
	for _, f := range h {
		if !contains(hopByHop, f.Name) && !contains(except, f.Name) && !h.Has("Connection", f.Name) {
			on = append(on, f)
		}
	}
	return on
}

// Size is how many bytes of text the fields hold.
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
