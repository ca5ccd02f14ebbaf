// Package ws implements WebSocket (RFC 6455) on a net.Conn, for clients and servers. One goroutine reads a connection;
// any goroutine may send. Frames to be sent are queued in a bounded buffer that a short-lived goroutine writes, so that
// an idle connection costs one goroutine.
package ws

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// Opcodes of frames (RFC 6455, section 5.2).
const (
	opContinuation = 0x0
	OpText         = 0x1
	OpBinary       = 0x2
	opClose        = 0x8
	opPing         = 0x9
	opPong         = 0xA
)

// Close codes (RFC 6455, section 7.4.1).
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

const maxControlPayload = 125 // bytes (RFC 6455, section 5.5)

// CloseError is the close frame that ended a connection. Remote says that the peer sent it.
type CloseError struct {
	Code   int
	Reason string
	Remote bool
}

func (e *CloseError) Error() string {
	return fmt.Sprintf("websocket closed: %d %s", e.Code, e.Reason)
}

func newCloseError(code int, reason string) error { return &CloseError{Code: code, Reason: reason} }

// frameHeader is the header of a frame.
type frameHeader struct {
	fin    bool
	op     byte
	masked bool
	mask   [4]byte
	length uint64
}

func (h frameHeader) isControl() bool { return h.op >= opClose }

// readFrameHeader reads and checks the header of a frame. client says which side reads: only frames from clients are
// masked.
func readFrameHeader(r *bufio.Reader, client bool) (frameHeader, error) {
	var b [8]byte
	if _, err := io.ReadFull(r, b[:2]); err != nil {
		return frameHeader{}, err
	}
	h := frameHeader{fin: b[0]&0x80 != 0, op: b[0] & 0x0f, masked: b[1]&0x80 != 0, length: uint64(b[1] & 0x7f)}
	switch {
	case b[0]&0x70 != 0:
		return h, newCloseError(CloseProtocol, "reserved bits without an extension")
	case h.op > OpBinary && h.op < opClose || h.op > opPong:
		return h, newCloseError(CloseProtocol, "unknown opcode")
	case h.isControl() && (!h.fin || h.length > maxControlPayload):
		return h, newCloseError(CloseProtocol, "control frame too long or fragmented")
	case h.masked == client:
		return h, newCloseError(CloseProtocol, "wrong masking")
	}
	if err := h.readExtendedLength(r, b[:]); err != nil {
		return h, err
	}
	if h.masked {
		if _, err := io.ReadFull(r, h.mask[:]); err != nil {
			return h, err
		}
	}
	return h, nil
}

func (h *frameHeader) readExtendedLength(r *bufio.Reader, b []byte) error {
	switch h.length {
	case 126:
		if _, err := io.ReadFull(r, b[:2]); err != nil {
			return err
		}
		h.length = uint64(binary.BigEndian.Uint16(b))
		if h.length < 126 {
			return newCloseError(CloseProtocol, "length not in its shortest form")
		}
	case 127:
		if _, err := io.ReadFull(r, b[:8]); err != nil {
			return err
		}
		h.length = binary.BigEndian.Uint64(b)
		if h.length>>63 != 0 || h.length < 1<<16 {
			return newCloseError(CloseProtocol, "length not in its shortest form")
		}
	}
	return nil
}

// appendFrame appends an unfragmented frame; with a nil mask it is not masked.
func appendFrame(dst []byte, op byte, payload []byte, mask *[4]byte) []byte {
	return appendPayload(appendFrameHeader(dst, 0x80|op, len(payload), mask), payload, mask)
}

func appendFrameHeader(dst []byte, first byte, length int, mask *[4]byte) []byte {
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
		applyMask(dst[at:], *mask, 0)
	}
	return dst
}

// applyMask masks or unmasks bytes that start at an offset of the payload.
func applyMask(p []byte, mask [4]byte, offset int) {
	for i := range p {
		p[i] ^= mask[(offset+i)&3]
	}
}

// validCloseCode reports whether a close code is allowed in a close frame.
func validCloseCode(code int) bool {
	return code >= 1000 && code <= 1014 && code != 1004 && code != CloseNoStatus && code != CloseAbnormal ||
		code >= 3000 && code <= 4999
}
