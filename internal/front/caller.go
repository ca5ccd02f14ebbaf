package front

import (
	"crypto/tls"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"

	"gannethook/internal/http1"
	"gannethook/internal/httpapi"
	"gannethook/internal/realtime"
)

// caller is who asks.
type caller struct {
	tenant int    // by key or certificate; -1: it names one itself, or has none
	name   string // the tenant's
	key    string // id of the API key
	client uint64 // whose tries are counted; 0: not known
}

// identityOf is the SPIFFE id of a client's certificate, which the handshake has checked.
func identityOf(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	id, err := x509svid.IDFromCert(state.PeerCertificates[0])
	if err != nil {
		return ""
	}
	return id.String()
}

// caller tells who asks, by API key, else by certificate. Where keys are listed,
// one of the two is due; they may not name two tenants.
func (s *Server) caller(req *http1.Request, identity string) (caller, *httpapi.Error) {
	cfg, who := s.cfg.Load(), caller{tenant: -1}
	if identity != "" {
		if t := cfg.TenantOf(identity); t >= 0 {
			who = caller{tenant: t, name: cfg.Tenants[t].Name, client: max(xxhash.Sum64String(identity), 1)}
		}
	}
	table := s.keys.Load()
	if table == nil {
		return who, nil
	}
	text, shown := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !shown && who.tenant >= 0 {
		return who, nil
	}
	k, ok := table.Find(time.Now(), strings.TrimSpace(text))
	tenant := -1
	if ok {
		tenant = cfg.TenantNamed(k.Tenant)
	}
	if tenant < 0 || who.tenant >= 0 && who.tenant != tenant {
		return who, &httpapi.Error{Status: 401, Type: httpapi.InvalidRequest, Code: "invalid_api_key", Message: "no such API key"}
	}
	return caller{tenant: tenant, name: k.Tenant, key: k.ID, client: k.Client()}, nil
}

// client is whose tries are counted together: a key's or certificate's, else a
// tenant's, else those of all whom nothing tells apart.
func (s *Server) client(who caller, tenant int) uint64 {
	if who.client != 0 {
		return who.client
	}
	return uint64(tenant + 2)
}

// triedBefore tells whether a request says that tries of it went before.
func triedBefore(meta func(string) (string, bool)) bool {
	text, _ := meta(realtime.MetaTry)
	n, err := strconv.Atoi(text)
	return err == nil && n > 1
}

// named settles a request's tenant: the caller's own, or one that it may name itself.
func (s *Server) named(who caller, name string) (tenant int, as string, ok bool) {
	if who.tenant >= 0 {
		return who.tenant, who.name, name == "" || name == who.name
	}
	if name == "" {
		return -1, "", true
	}
	t := s.cfg.Load().TenantNamed(name)
	return t, name, t >= 0
}
