package ws

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"strings"

	"gannethook/internal/http1"
)

const acceptGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11" // RFC 6455, section 1.3

// HandshakeError says why an opening handshake was refused. Status is the status of the HTTP response.
type HandshakeError struct {
	Status int
	Msg    string
}

func (e *HandshakeError) Error() string { return "websocket handshake: " + e.Msg }

func acceptKey(key string) string {
	sum := sha1.Sum([]byte(key + acceptGUID))
	return base64.StdEncoding.EncodeToString(sum[:])
}

// Upgrade checks an opening handshake (RFC 6455, section 4.2) and writes the response, also if it refuses it. protocol
// is selected as subprotocol if the client offers it. Extensions such as permessage-deflate are declined by not naming
// them in the response.
func Upgrade(w *bufio.Writer, req *http1.Request, protocol string) error {
	if err := checkUpgrade(req); err != nil {
		h := http1.Header{{Name: "Content-Length", Value: "0"}, {Name: "Connection", Value: "close"}}
		if err.Status == 426 {
			h = append(h, http1.Field{Name: "Sec-WebSocket-Version", Value: "13"},
				http1.Field{Name: "Upgrade", Value: "websocket"})
		}
		http1.WriteHead(w, fmt.Sprintf("HTTP/1.1 %d %s", err.Status, err.Msg), h)
		w.Flush()
		return err
	}
	h := http1.Header{{Name: "Upgrade", Value: "websocket"}, {Name: "Connection", Value: "Upgrade"},
		{Name: "Sec-WebSocket-Accept", Value: acceptKey(req.Header.Get("Sec-WebSocket-Key"))}}
	if protocol != "" && req.Header.Has("Sec-WebSocket-Protocol", protocol) {
		h = append(h, http1.Field{Name: "Sec-WebSocket-Protocol", Value: protocol})
	}
	http1.WriteHead(w, "HTTP/1.1 101 Switching Protocols", h)
	return w.Flush()
}

func checkUpgrade(req *http1.Request) *HandshakeError {
	key, err := base64.StdEncoding.DecodeString(req.Header.Get("Sec-WebSocket-Key"))
	switch {
	case req.Method != "GET":
		return &HandshakeError{405, "GET expected"}
	case req.Minor < 1 || req.Header.Get("Host") == "":
		return &HandshakeError{400, "HTTP/1.1 with a host expected"}
	case !req.Header.Has("Upgrade", "websocket") || !req.Header.Has("Connection", "upgrade"):
		return &HandshakeError{426, "Upgrade Required"}
	case req.Header.Get("Sec-WebSocket-Version") != "13":
		return &HandshakeError{426, "Upgrade Required"}
	case err != nil || len(key) != 16:
		return &HandshakeError{400, "bad Sec-WebSocket-Key"}
	}
	return nil
}

// Dial opens a connection to a host and port. A response with a status other than 101 is a *HandshakeError.
func Dial(ctx context.Context, addr, path, protocol string, limits Limits) (*Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	br, err := clientHandshake(nc, addr, path, protocol)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return New(nc, br, true, limits), nil
}

func clientHandshake(nc net.Conn, addr, path, protocol string) (*bufio.Reader, error) {
	var nonce [16]byte
	rand.Read(nonce[:])
	key := base64.StdEncoding.EncodeToString(nonce[:])
	h := http1.Header{{Name: "Host", Value: addr}, {Name: "Upgrade", Value: "websocket"},
		{Name: "Connection", Value: "Upgrade"}, {Name: "Sec-WebSocket-Version", Value: "13"},
		{Name: "Sec-WebSocket-Key", Value: key}}
	if protocol != "" {
		h = append(h, http1.Field{Name: "Sec-WebSocket-Protocol", Value: protocol})
	}
	w := bufio.NewWriterSize(nc, 512)
	http1.WriteHead(w, "GET "+path+" HTTP/1.1", h)
	if err := w.Flush(); err != nil {
		return nil, err
	}
	br := bufio.NewReaderSize(nc, 1024)
	res, err := http1.ReadResponse(br)
	switch {
	case err != nil:
		return nil, err
	case res.Status != 101:
		return nil, &HandshakeError{res.Status, strings.TrimSpace(res.Reason)}
	case res.Header.Get("Sec-WebSocket-Accept") != acceptKey(key):
		return nil, errors.New("websocket handshake: Sec-WebSocket-Accept does not match the key")
	}
	return br, nil
}
