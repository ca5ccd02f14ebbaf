// Package ws speaks WebSocket (RFC 6455) on a net.Conn: one goroutine reads a
// connection, anyone may send, and what is to be sent waits in a bounded buffer
// that a short-lived goroutine empties. An idle connection costs one goroutine.
package ws

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// Opcodes of frames (RFC 6455, 5.2).
const (
	opCont  = 0x0
	OpText  = 0x1
	OpBin   = 0x2
	opClose = 0x8
	opPing  = 0x9
	opPong  = 0xA
)

// Close codes (RFC 6455, 7.4.1).
const (
	CloseNormal      = 1000
	CloseGoingAway   = 1001
	CloseProtocol    = 1002
	CloseUnsupported = 1003
	CloseNoStatus    = 1005 // never on the wire
	CloseAbnormal    = 1006 // never on the wire
	CloseBadData     = 1007
	ClosePolicy      = 1008
	CloseTooBig      = 1009
	CloseInternal    = 1011
)

const maxControl = 125 // bytes of a control frame's payload

// CloseError tells with which code a connection ended; Remote, that the peer began it.
type CloseError struct {
	Code   int
	Reason string
	Remote bool
}

func (e *CloseError) Error() string {
	return fmt.Sprintf("websocket closed: %d %s", e.Code, e.Reason)
}

func fault(code int, reason string) error { return &CloseError{Code: code, Reason: reason} }

// header is a frame's head.
type header struct {
	fin    bool
	op     byte
	masked bool
	mask   [4]byte
	length uint64
}

func (h header) control() bool { return h.op >= opClose }

// readHeader reads and checks a frame's head; client tells which side reads.
func readHeader(r *bufio.Reader, client bool) (header, error) {
	var b [8]byte
	if _, err := io.ReadFull(r, b[:2]); err != nil {
		return header{}, err
	}
	h := header{fin: b[0]&0x80 != 0, op: b[0] & 0x0f, masked: b[1]&0x80 != 0, length: uint64(b[1] & 0x7f)}
	switch {
	case b[0]&0x70 != 0:
		return h, fault(CloseProtocol, "reserved bits without an extension")
	case h.op > OpBin && h.op < opClose || h.op > opPong:
		return h, fault(CloseProtocol, "unknown opcode")
	case h.control() && (!h.fin || h.length > maxControl):
		return h, fault(CloseProtocol, "control frame too long or fragmented")
	case h.masked == client:
		return h, fault(CloseProtocol, "wrong masking")
	}
	if err := h.readLength(r, b[:]); err != nil {
		return h, err
	}
	if h.masked {
		if _, err := io.ReadFull(r, h.mask[:]); err != nil {
			return h, err
		}
	}
	return h, nil
}

func (h *header) readLength(r *bufio.Reader, b []byte) error {
	switch h.length {
	case 126:
		if _, err := io.ReadFull(r, b[:2]); err != nil {
			return err
		}
		h.length = uint64(binary.BigEndian.Uint16(b))
		if h.length < 126 {
			return fault(CloseProtocol, "length not in its shortest form")
		}
	case 127:
		if _, err := io.ReadFull(r, b[:8]); err != nil {
			return err
		}
		h.length = binary.BigEndian.Uint64(b)
		if h.length>>63 != 0 || h.length < 1<<16 {
			return fault(CloseProtocol, "length not in its shortest form")
		}
	}
	return nil
}

// appendFrame appends a whole frame; a nil mask sends it plain.
func appendFrame(dst []byte, op byte, payload []byte, mask *[4]byte) []byte {
	return appendPayload(appendHead(dst, 0x80|op, len(payload), mask), payload, mask)
}

func appendHead(dst []byte, first byte, length int, mask *[4]byte) []byte {
	bit := byte(0)
	if mask != nil {
		bit = 0x80
	}
	dst = append(dst, first)
	switch {
	case length < 126:
		dst = append(dst, bit|byte(length))
	case length < 1<<16:
		dst = binary.BigEndian.AppendUint16(append(dst, bit|126), uint16(length))
	default:
		dst = binary.BigEndian.AppendUint64(append(dst, bit|127), uint64(length))
	}
	if mask != nil {
		dst = append(dst, mask[:]...)
	}
	return dst
}

func appendPayload(dst, payload []byte, mask *[4]byte) []byte {
	at := len(dst)
	dst = append(dst, payload...)
	if mask != nil {
		unmask(dst[at:], *mask, 0)
	}
	return dst
}

// unmask applies a mask to bytes that start at an offset in the payload.
func unmask(p []byte, mask [4]byte, offset int) {
	for i := range p {
		p[i] ^= mask[(offset+i)&3]
	}
}

// validCode tells whether a peer may send a close code.
func validCode(code int) bool {
	return code >= 1000 && code <= 1014 && code != 1004 && code != CloseNoStatus && code != CloseAbnormal ||
		code >= 3000 && code <= 4999
}
