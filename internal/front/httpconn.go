package front

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"gannethook/internal/http1"
	"gannethook/internal/httpapi"
	"gannethook/internal/settings"
	"gannethook/internal/ws"
)

// Paths of the HTTP APIs.
const (
	ChatPath       = "/v1/chat/completions"
	EmbeddingsPath = "/v1/embeddings"
	RerankPath     = "/v1/rerank"
	RerankPathV2   = "/v2/rerank"
)

var works = map[string]settings.Work{ChatPath: settings.Chat, EmbeddingsPath: settings.Embedding,
	RerankPath: settings.Rerank, RerankPathV2: settings.Rerank}

// httpConn is a client's connection while it speaks HTTP. One goroutine uses it.
type httpConn struct {
	srv       *Server
	raw, nc   net.Conn // as accepted, and with TLS on top
	br        *bufio.Reader
	bw        *bufio.Writer
	spiffeID  string // of the client's certificate, or ""
	bodyBytes int64  // of the current request, counted in Server.bodies
}

// serve reads requests until the connection ends; one that is upgraded becomes a session.
func (s *Server) serve(nc net.Conn) {
	nc.SetDeadline(time.Now().Add(s.cfg.Load().Sessions.HandshakeTimeout))
	c := &httpConn{srv: s, raw: nc, nc: nc}
	if s.tls != nil {
		t := tls.Server(nc, s.tls)
		if t.HandshakeContext(context.Background()) != nil {
			return
		}
		c.nc, c.spiffeID = t, spiffeIDOf(t.ConnectionState())
	}
	c.br, c.bw = bufio.NewReaderSize(c.nc, 1024), bufio.NewWriterSize(c.nc, 512)
	for first := true; c.serveNext(first); first = false {
	}
}

// serveNext serves one request and reports whether the connection may serve another. One deadline covers the whole
// head, so that a client that sends it byte by byte can't hold the connection.
func (c *httpConn) serveNext(first bool) bool {
	if !first && !c.awaitRequest() {
		return false
	}
	c.nc.SetDeadline(time.Now().Add(c.srv.cfg.Load().Sessions.HandshakeTimeout))
	req, err := http1.ReadRequest(c.br)
	if err != nil {
		c.rejectHead(err)
		return false
	}
	path, _, _ := strings.Cut(req.Target, "?")
	work, isAPI := works[path]
	switch {
	case isAPI && req.Method != "POST":
		c.replyEmpty("405 Method Not Allowed", http1.Field{Name: "Allow", Value: "POST"})
	case isAPI:
		return c.api(req, work)
	case path == LivePath, path == ReadyPath && !c.srv.isDraining():
		c.replyEmpty("200 OK")
	case path != SessionPath && path != ReadyPath:
		c.replyEmpty("404 Not Found")
	case c.srv.isDraining() && !c.srv.acceptedBeforeDrain(c.raw):
		c.replyEmpty("503 Service Unavailable")
	default:
		c.upgrade(req)
	}
	return false
}

// awaitRequest waits for the first byte of the next request and reports whether it came.
func (c *httpConn) awaitRequest() bool {
	c.srv.setIdle(c.raw, true)
	c.nc.SetReadDeadline(time.Now().Add(c.srv.cfg.Load().HTTP.IdleTimeout))
	if c.srv.isDraining() { // the drain may have started before the deadline was set
		c.nc.SetReadDeadline(pastDeadline)
	}
	_, err := c.br.Peek(1)
	if err != nil && c.srv.isDraining() {
		// Woken by the drain: a request that is already in flight is still served, since its client can't know.
		c.nc.SetReadDeadline(time.Now().Add(drainGrace))
		_, err = c.br.Peek(1)
	}
	c.srv.setIdle(c.raw, false)
	return err == nil
}

// drainGrace is how long an idle connection is still read after the router starts to drain.
const drainGrace = 50 * time.Millisecond

// upgrade performs the WebSocket handshake and serves the session.
func (c *httpConn) upgrade(req *http1.Request) {
	caller, apiErr := c.srv.authenticate(req, c.spiffeID)
	if apiErr != nil {
		c.replyEmpty("401 Unauthorized", http1.Field{Name: "WWW-Authenticate", Value: "Bearer"})
		return
	}
	if err := ws.Upgrade(c.bw, req, "realtime"); err != nil {
		return
	}
	c.nc.SetDeadline(time.Time{})
	c.srv.session(ws.New(c.nc, c.br, false, c.srv.cfg.Load().SessionLimits()), req, caller)
}

func (c *httpConn) rejectHead(err error) {
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		c.replyEmpty("431 Request Header Fields Too Large")
	case errors.Is(err, http1.ErrMalformed):
		c.replyEmpty("400 Bad Request")
	}
}

// replyEmpty writes an answer without a body, the last on this connection.
func (c *httpConn) replyEmpty(status string, extra ...http1.Field) {
	http1.WriteHead(c.bw, "HTTP/1.1 "+status, append(http1.Header{{Name: "Content-Length", Value: "0"},
		{Name: "Connection", Value: "close"}}, extra...))
	c.bw.Flush()
	c.lingeringClose()
}

// lingeringClose closes the write side and reads on for a second: closing with unread bytes would reset the connection,
// and the client could lose the last answer (RFC 9112, section 9.6).
func (c *httpConn) lingeringClose() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(time.Second))
		io.CopyN(io.Discard, c.br, 1<<20)
	}
}

// readBody reads a request's body, after 100 Continue if the client expects it.
func (c *httpConn) readBody(req *http1.Request) ([]byte, *httpapi.Error) {
	limit := int64(c.srv.cfg.Load().HTTP.MaxBody)
	tooLarge := &httpapi.Error{Status: 413, Type: httpapi.InvalidRequest, Code: "too_large",
		Message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	b, err := http1.RequestBody(c.br, req.Header)
	if err != nil {
		return nil, &httpapi.Error{Status: 400, Type: httpapi.InvalidRequest, Code: "malformed", Message: err.Error()}
	}
	if b.Length() > limit {
		return nil, tooLarge
	}
	switch expect := req.Header.Get("Expect"); {
	case expect == "":
	case !strings.EqualFold(expect, "100-continue"):
		return nil, &httpapi.Error{Status: 417, Type: httpapi.InvalidRequest, Code: "expectation", Message: "only 100-continue is known"}
	case c.br.Buffered() == 0 && req.Minor == 1:
		c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		c.bw.Flush()
	}
	c.nc.SetReadDeadline(time.Now().Add(c.srv.cfg.Load().HTTP.ReadTimeout))
	text, held, err := b.ReadAll(limit, int64(c.srv.cfg.Load().HTTP.MaxBodies), &c.srv.bodies)
	if err != nil { // freed before the answer, since the client may retry at once on another connection
		c.srv.bodies.Release(held)
	} else {
		c.bodyBytes += held
	}
	switch {
	case errors.Is(err, http1.ErrBudgetExceeded):
		return nil, &httpapi.Error{Status: 503, Type: httpapi.Overloaded, Code: httpapi.CodeRefused, Message: err.Error() + "; nothing has run"}
	case errors.Is(err, http1.ErrBodyTooLarge):
		return nil, tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &httpapi.Error{Status: 408, Type: httpapi.InvalidRequest, Code: "timeout", Message: "the body did not come in time"}
	case err != nil:
		return nil, &httpapi.Error{Status: 400, Type: httpapi.InvalidRequest, Code: "malformed", Message: "body: " + err.Error()}
	}
	return text, nil
}
