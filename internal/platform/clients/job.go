package clients

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gannethook"
	"gannethook/internal/driver"
	"gannethook/internal/http1"
)

func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// requestError tells why a request can't be taken.
type requestError struct{ status, why string }

// Bounds of what a request may say of itself.
const (
	maxRequestID = 128
	maxTokens    = 1 << 22
	maxTimeoutMS = int64(time.Hour / time.Millisecond)
)

// validJSON tells whether a body is a JSON object: no worker could use another.
func validJSON(body []byte) bool {
	body = bytes.TrimLeft(body, " \t\r\n")
	return len(body) > 0 && body[0] == '{' && json.Valid(body)
}

// readJob reads a request's head.
func readJob(req *http1.Request, classes map[string]int) (*driver.Job, *requestError) {
	bad := func(why string) (*driver.Job, *requestError) { return nil, &requestError{"400 Bad Request", why} }
	if path(req.Target) != ChatPath {
		return nil, &requestError{"404 Not Found", "only " + ChatPath + " is served"}
	}
	if req.Method != "POST" {
		return nil, &requestError{"405 Method Not Allowed", "POST is expected"}
	}
	if req.Header.Get("Host") == "" {
		return bad("Host is missing")
	}
	var values [len(headers)]string
	for i, name := range headers {
		v, ok := singleValue(req.Header, name)
		if !ok {
			return bad(name + " comes twice")
		}
		values[i] = v
	}
	name, class, key, timeout, attrs, tenant := values[0], values[1], values[2], values[3], values[4], values[5]
	if !isName(name) {
		return bad("X-Request-ID: up to 128 letters, digits, '-', '_' or '.' expected")
	}
	at, ok := classes[class]
	if !ok {
		return bad("X-Priority-Class: not known")
	}
	ms, err := strconv.ParseInt(timeout, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeoutMS {
		return bad("X-Timeout-Ms: milliseconds expected")
	}
	job := &driver.Job{Name: name, Class: at, ClassName: class, TenantName: tenant, Path: req.Target, Session: keyOf(key),
		SessionID: key, Timeout: time.Duration(ms) * time.Millisecond, Header: req.Header.EndToEnd(ownFields...)}
	if why := readAttrs(attrs, job); why != "" {
		return bad(why)
	}
	return job, nil
}

// ownFields are the fields that each attempt writes for itself. All others that
// go end to end are passed on as they came: workers may know a repeat by any of
// them, as by an idempotency key.
var ownFields = []string{"X-Request-ID", "X-Timeout-Ms"}

var headers = [...]string{"X-Request-ID", "X-Priority-Class", "X-Route-Key", "X-Timeout-Ms", "X-Attrs", "X-Tenant-Id"}

// singleValue is a field's one value.
func singleValue(h http1.Header, name string) (value string, ok bool) {
	seen := false
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			if seen {
				return "", false
			}
			seen, value = true, f.Value
		}
	}
	return value, true
}

func isName(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return s != "" && len(s) <= maxRequestID
}

// readAttrs reads what a request says of its prompt; it returns what is wrong.
func readAttrs(attrs string, job *driver.Job) string {
	for part := range strings.SplitSeq(attrs, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if name == "" && !ok {
			continue
		}
		if name == "prefix" {
			job.Prefix, job.PrefixName = keyOf(value), value
			continue
		}
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil || n > maxTokens {
			return "X-Attrs: " + strconv.Quote(name) + " is not a number of tokens"
		}
		switch name {
		case "prompt_len":
			job.PromptSize = float64(n)
		case "prefix_len":
			job.PrefixTokens = float64(n)
		case "max_out":
			job.MaxTokens = int(n)
		}
	}
	return ""
}

// keyOf names a session or a shared beginning in the module's terms.
func keyOf(text string) gannethook.Key {
	if text == "" {
		return 0
	}
	return gannethook.Key(max(xxhash.Sum64String(text), 1))
}
