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

// callerIdentity is the authenticated identity of a client.
type callerIdentity struct {
	tenant     int    // by API key or certificate; -1: not known by either, a request may name it
	tenantName string // name of the tenant
	keyID      string // id of the API key, or ""
	client     uint64 // key under which retries are counted; 0: not known
}

// spiffeIDOf returns the SPIFFE id of the client's certificate, which the TLS handshake has verified, or "".
func spiffeIDOf(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	id, err := x509svid.IDFromCert(state.PeerCertificates[0])
	if err != nil {
		return ""
	}
	return id.String()
}

// authenticate identifies the client by API key, else by certificate. With a table of API keys one of the two is
// required, and they must not belong to different tenants.
func (s *Server) authenticate(req *http1.Request, spiffeID string) (callerIdentity, *httpapi.Error) {
	cfg, caller := s.cfg.Load(), callerIdentity{tenant: -1}
	if spiffeID != "" {
		if t := cfg.TenantIndexForID(spiffeID); t >= 0 {
			caller = callerIdentity{tenant: t, tenantName: cfg.Tenants[t].Name, client: max(xxhash.Sum64String(spiffeID), 1)}
		}
	}
	table := s.keys.Load()
	if table == nil {
		return caller, nil
	}
	apiKey, present := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !present && caller.tenant >= 0 {
		return caller, nil
	}
	k, ok := table.Find(time.Now(), strings.TrimSpace(apiKey))
	tenant := -1
	if ok {
		tenant = cfg.TenantIndex(k.Tenant)
	}
	if tenant < 0 || caller.tenant >= 0 && caller.tenant != tenant {
		return caller, &httpapi.Error{Status: 401, Type: httpapi.InvalidRequest, Code: "invalid_api_key", Message: "no such API key"}
	}
	return callerIdentity{tenant: tenant, tenantName: k.Tenant, keyID: k.ID, client: k.Client()}, nil
}

// clientKey returns the key under which a client's retries are counted: that of its API key or certificate, else its
// tenant's, else one shared by all unidentified clients.
func (s *Server) clientKey(caller callerIdentity, tenant int) uint64 {
	if caller.client != 0 {
		return caller.client
	}
	return uint64(tenant + 2)
}

// hasPriorAttempt reports whether a request's metadata marks it as a retry.
func hasPriorAttempt(meta func(string) (string, bool)) bool {
	text, _ := meta(realtime.MetaAttempt)
	n, err := strconv.Atoi(text)
	return err == nil && n > 1
}

// resolveTenant returns a request's tenant: the caller's own, or, for a caller without one, the tenant that the request
// names. ok is false if the request names an unknown tenant, or another than the caller's own.
func (s *Server) resolveTenant(caller callerIdentity, name string) (tenant int, tenantName string, ok bool) {
	if caller.tenant >= 0 {
		return caller.tenant, caller.tenantName, name == "" || name == caller.tenantName
	}
	if name == "" {
		return -1, "", true
	}
	t := s.cfg.Load().TenantIndex(name)
	return t, name, t >= 0
}
