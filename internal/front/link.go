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

// link is a client's connection while it speaks HTTP. One goroutine has it.
type link struct {
	s        *Server
	raw, nc  net.Conn // as accepted, and with TLS
	br       *bufio.Reader
	bw       *bufio.Writer
	identity string // SPIFFE id of the client's certificate
	held     int64  // bytes of the body under way
}

// serve reads requests until the connection ends or becomes a session's.
func (s *Server) serve(nc net.Conn) {
	nc.SetDeadline(time.Now().Add(s.cfg.Load().Sessions.Handshake))
	l := &link{s: s, raw: nc, nc: nc}
	if s.tls != nil {
		t := tls.Server(nc, s.tls)
		if t.HandshakeContext(context.Background()) != nil {
			return
		}
		l.nc, l.identity = t, identityOf(t.ConnectionState())
	}
	l.br, l.bw = bufio.NewReaderSize(l.nc, 1024), bufio.NewWriterSize(l.nc, 512)
	for first := true; l.next(first); first = false {
	}
}

// next serves one request; it tells whether another may follow. The whole head
// has one deadline, however slowly its bytes drip.
func (l *link) next(first bool) bool {
	if !first && !l.idle() {
		return false
	}
	l.nc.SetDeadline(time.Now().Add(l.s.cfg.Load().Sessions.Handshake))
	req, err := http1.ReadRequest(l.br)
	if err != nil {
		l.badHead(err)
		return false
	}
	path, _, _ := strings.Cut(req.Target, "?")
	work, isAPI := works[path]
	switch {
	case isAPI && req.Method != "POST":
		l.plain("405 Method Not Allowed", http1.Field{Name: "Allow", Value: "POST"})
	case isAPI:
		return l.api(req, work)
	case path == LivePath, path == ReadyPath && !l.s.stopping():
		l.plain("200 OK")
	case path != Path && path != ReadyPath:
		l.plain("404 Not Found")
	case l.s.stopping() && !l.s.adopted(l.raw):
		l.plain("503 Service Unavailable")
	default:
		l.upgrade(req)
	}
	return false
}

// idle waits for the next request.
func (l *link) idle() bool {
	l.s.rest(l.raw, true)
	l.nc.SetReadDeadline(time.Now().Add(l.s.cfg.Load().HTTP.Idle))
	if l.s.stopping() { // it may have turned before the deadline was set
		l.nc.SetReadDeadline(past)
	}
	_, err := l.br.Peek(1)
	if err != nil && l.s.stopping() {
		// Woken by the router's turn: a request that is on its way is taken, for its client can't know.
		l.nc.SetReadDeadline(time.Now().Add(onItsWay))
		_, err = l.br.Peek(1)
	}
	l.s.rest(l.raw, false)
	return err == nil
}

// onItsWay is how long an idle connection is still heard once the router turns.
const onItsWay = 50 * time.Millisecond

// upgrade makes the connection a session's.
func (l *link) upgrade(req *http1.Request) {
	who, bad := l.s.caller(req, l.identity)
	if bad != nil {
		l.plain("401 Unauthorized", http1.Field{Name: "WWW-Authenticate", Value: "Bearer"})
		return
	}
	if err := ws.Upgrade(l.bw, req, "realtime"); err != nil {
		return
	}
	l.nc.SetDeadline(time.Time{})
	l.s.session(ws.New(l.nc, l.br, false, l.s.cfg.Load().SessionLimits()), req, who)
}

func (l *link) badHead(err error) {
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		l.plain("431 Request Header Fields Too Large")
	case errors.Is(err, http1.ErrMalformed):
		l.plain("400 Bad Request")
	}
}

// plain writes an answer without a body, the connection's last.
func (l *link) plain(status string, more ...http1.Field) {
	http1.WriteHead(l.bw, "HTTP/1.1 "+status, append(http1.Header{{Name: "Content-Length", Value: "0"},
		{Name: "Connection", Value: "close"}}, more...))
	l.bw.Flush()
	l.linger()
}

// linger lets the last answer out: to close on unread bytes would reset the
// connection, and the answer might be lost.
func (l *link) linger() {
	if c, ok := l.nc.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		l.nc.SetReadDeadline(time.Now().Add(time.Second))
		io.CopyN(io.Discard, l.br, 1<<20)
	}
}

// body reads a request's body, which the client may want to be asked for first.
func (l *link) body(req *http1.Request) ([]byte, *httpapi.Error) {
	most := int64(l.s.cfg.Load().HTTP.Body)
	tooLarge := &httpapi.Error{Status: 413, Type: httpapi.InvalidRequest, Code: "too_large",
		Message: "the body is larger than " + strconv.FormatInt(most, 10) + " bytes"}
	b, err := http1.RequestBody(l.br, req.Header)
	if err != nil {
		return nil, &httpapi.Error{Status: 400, Type: httpapi.InvalidRequest, Code: "malformed", Message: err.Error()}
	}
	if b.Length() > most {
		return nil, tooLarge
	}
	switch expect := req.Header.Get("Expect"); {
	case expect == "":
	case !strings.EqualFold(expect, "100-continue"):
		return nil, &httpapi.Error{Status: 417, Type: httpapi.InvalidRequest, Code: "expectation", Message: "only 100-continue is known"}
	case l.br.Buffered() == 0 && req.Minor == 1:
		l.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		l.bw.Flush()
	}
	l.nc.SetReadDeadline(time.Now().Add(l.s.cfg.Load().HTTP.Read))
	text, held, err := b.ReadWhole(most, int64(l.s.cfg.Load().HTTP.Bodies), &l.s.bodies)
	if err != nil { // free before the answer: its client may come again at once, on another connection
		l.s.bodies.Give(held)
	} else {
		l.held += held
	}
	switch {
	case errors.Is(err, http1.ErrCrowded):
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
